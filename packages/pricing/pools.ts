/** Machines of one shape, priced together. */
import { fits, nothing, take } from './amounts.js';
import type { Amounts, Price, RoomyMachine, WaitingJob } from './types.js';

/** A shape: machines of one type and kind, priced together. Spot ones are a shape apart. */
export function shapeOf(machineType: string, spot: boolean): string {
  return spot ? `${machineType}+` : machineType;
}

/** The machines of one shape, as one round sees them. */
export interface Pool {
  readonly shape: string;
  readonly machineType: string;
  readonly spot: boolean;
  /** Copies of the round's own: their room shrinks as tasks are placed. */
  readonly machines: RoomyMachine[];
  /** Sum of the room of all machines when the round began. */
  readonly room: Amounts;
  readonly total: Amounts;
  /** Moves with each price pass. */
  readonly price: Price;
  /** What one of the machines costs per hour and CPU. */
  readonly upkeep: number;
}

/**
 * Groups machines by shape, the cheapest shape first, with the prices that the last round ended with.
 * The machines themselves stay as they are: pools hold copies.
 */
export function poolByShape(machines: readonly RoomyMachine[], prices: ReadonlyMap<string, Price>): Pool[] {
  const pools = new Map<string, Pool>();
  for (const machine of machines) {
    const shape = shapeOf(machine.machineType, machine.spot);
    let pool = pools.get(shape);
    if (!pool) {
      pool = emptyPool(shape, machine, prices.get(shape));
      pools.set(shape, pool);
    }
    pool.machines.push({ ...machine, room: { ...machine.room } });
    take(pool.room, machine.room, -1);
    take(pool.total, machine.total, -1);
  }
  // Cheapest first: of shapes of equal utility the first is chosen.
  return [...pools.values()].sort((a, b) => a.upkeep - b.upkeep || (a.shape < b.shape ? -1 : 1));
}

function emptyPool(shape: string, machine: RoomyMachine, lastPrice: Price | undefined): Pool {
  return {
    shape,
    machineType: machine.machineType,
    spot: machine.spot,
    machines: [],
    room: nothing(),
    total: nothing(),
    price: { ...(lastPrice ?? { cpu: 0, gpu: 0, mem: 0 }) },
    upkeep: machine.upkeep,
  };
}

/** Whether the job's constraints admit the shape, and a whole machine of it could hold one of its tasks. */
export function isFeasible(job: WaitingJob, pool: Pool): boolean {
  if (pool.spot && !job.spot) return false;
  if (job.machineTypes && !job.machineTypes.includes(pool.machineType)) return false;
  return fits(job.need, pool.machines[0]?.total ?? nothing());
}
