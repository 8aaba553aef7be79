/** Machines of one shape, priced together. */
import { fits, noResources, subtractResources } from './resources.js';
import type { Resources, Price, CandidateMachine, PendingJob } from './types.js';

/** A shape: machines of one type and kind, priced together. Spot ones are a shape apart. */
export function shapeOf(machineType: string, spot: boolean): string {
  return spot ? `${machineType}+` : machineType;
}

/** The machines of one shape, as one round sees them. */
export interface ShapePool {
  readonly shape: string;
  readonly machineType: string;
  readonly spot: boolean;
  /** Copies of the round's own: their free capacity shrinks as tasks are placed. */
  readonly machines: CandidateMachine[];
  /** Sum of the free capacity of all machines when the round began. */
  readonly free: Resources;
  readonly total: Resources;
  /** Moves with each price pass. */
  readonly price: Price;
  /** What one of the machines costs per hour and CPU. */
  readonly hourlyCostPerCpu: number;
}

/**
 * Groups machines by shape, the cheapest shape first, with the prices that the last round ended with.
 * The machines themselves stay as they are: pools hold copies.
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
    subtractResources(pool.free, machine.free, -1);
    subtractResources(pool.total, machine.total, -1);
  }
  // Cheapest first: of shapes of equal utility the first is chosen.
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

/** Whether the job's constraints admit the shape, and a whole machine of it could hold one of its tasks. */
export function isFeasible(job: PendingJob, pool: ShapePool): boolean {
  if (pool.spot && !job.allowsSpot) return false;
  if (job.machineTypes && !job.machineTypes.includes(pool.machineType)) return false;
  return fits(job.taskResources, pool.machines[0]?.total ?? noResources());
}
