/** Groups machines by shape. All machines of one shape have the same prices. */
import { fits, hasTaskSlot, noResources, subtractResources } from './resources.js';
import type { Resources, Price, CandidateMachine, PendingJob } from './types.js';

/** Returns the name of a machine's shape: its type, with a suffix for spot machines, which are priced separately. */
export function shapeOf(machineType: string, spot: boolean): string {
  return spot ? `${machineType}+` : machineType;
}

/** The machines of one shape in one pricing round. */
export interface ShapePool {
  readonly shape: string;
  readonly machineType: string;
  readonly spot: boolean;
  /** Copies of the input machines. Their free capacity shrinks as the round places tasks. */
  readonly machines: CandidateMachine[];
  /** Free capacity of all machines together at the start of the round. */
  readonly free: Resources;
  /** Capacity of all machines together. */
  readonly total: Resources;
  /** Prices of the shape's resources. They change with each price pass. */
  readonly price: Price;
  /** Cost of one of the machines per hour and CPU. */
  readonly hourlyCostPerCpu: number;
}

/**
 * Groups machines by shape, cheapest shape first. Prices start where the last round left them. The pools hold copies
 * of the machines, so the input is not modified.
 */
export function poolByShape(
  machines: readonly CandidateMachine[],
  prices: ReadonlyMap<string, Price>,
): ShapePool[] {
  const pools = new Map<string, ShapePool>();
  for (const machine of machines) {
    const shape = shapeOf(machine.machineType, machine.spot);
    let pool = pools.get(shape);
    if (!pool) {
      pool = emptyPool(shape, machine, prices.get(shape));
      pools.set(shape, pool);
    }
    pool.machines.push({ ...machine, free: { ...machine.free } });
    // Resources of a machine that may take no further task can't be bought at any price.
    if (hasTaskSlot(machine.free)) subtractResources(pool.free, machine.free, -1);
    subtractResources(pool.total, machine.total, -1);
  }
  // If several shapes have equal utility, the first and thus cheapest one is chosen.
  return [...pools.values()].sort(
    (a, b) => a.hourlyCostPerCpu - b.hourlyCostPerCpu || (a.shape < b.shape ? -1 : 1),
  );
}

function emptyPool(shape: string, machine: CandidateMachine, lastPrice: Price | undefined): ShapePool {
  return {
    shape,
    machineType: machine.machineType,
    spot: machine.spot,
    machines: [],
    free: noResources(),
    total: noResources(),
    price: { ...(lastPrice ?? { cpu: 0, gpu: 0, mem: 0 }) },
    hourlyCostPerCpu: machine.hourlyCostPerCpu,
  };
}

/** True if the job's constraints allow the shape and an empty machine of that shape could hold one of its tasks. */
export function isFeasible(job: PendingJob, pool: ShapePool): boolean {
  if (pool.spot && !job.allowsSpot) return false;
  if (job.machineTypes && !job.machineTypes.includes(pool.machineType)) return false;
  return fits(job.taskResources, pool.machines[0]?.total ?? noResources());
}
