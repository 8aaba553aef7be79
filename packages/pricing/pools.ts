/** Machines of one shape, priced together. */
import { nothing, take } from './amounts.js';
import type { Amounts, Price, RoomyMachine } from './types.js';

/** A shape: machines of one type and kind, priced together. Spot ones are a shape apart. */
export function shapeOf(machineType: string, spot: boolean): string {
  return spot ? `${machineType}+` : machineType;
}

export interface Pool {
  shape: string;
  machineType: string;
  spot: boolean;
  machines: RoomyMachine[];
  room: Amounts;
  total: Amounts;
  price: Price;
  upkeep: number;
}

export function poolByShape(machines: readonly RoomyMachine[], prices: ReadonlyMap<string, Price>): Pool[] {
  const pools = new Map<string, Pool>();
  for (const machine of machines) {
    const shape = shapeOf(machine.machineType, machine.spot);
    let pool = pools.get(shape);
    if (!pool) {
      const price = { ...(prices.get(shape) ?? { cpu: 0, gpu: 0, mem: 0 }) };
      const { machineType, spot, upkeep } = machine;
      pool = { shape, machineType, spot, upkeep, machines: [], room: nothing(), total: nothing(), price };
      pools.set(shape, pool);
    }
    pool.machines.push({ ...machine, room: { ...machine.room } });
    take(pool.room, machine.room, -1);
    take(pool.total, machine.total, -1);
  }
  // Cheapest first: of shapes of equal utility the first is chosen.
  return [...pools.values()].sort((a, b) => a.upkeep - b.upkeep || (a.shape < b.shape ? -1 : 1));
}
