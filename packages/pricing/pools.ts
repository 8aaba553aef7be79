/** Machines of one shape, priced together. */
import { noResources, subtractResources } from './amounts.js';
import type { Resources, Price, CandidateMachine } from './types.js';

/** A shape: machines of one type and kind, priced together. Spot ones are a shape apart. */
export function shapeOf(machineType: string, spot: boolean): string {
  return spot ? `${machineType}+` : machineType;
}

export interface ShapePool {
  shape: string;
  machineType: string;
  spot: boolean;
  machines: CandidateMachine[];
  free: Resources;
  total: Resources;
  price: Price;
  hourlyCostPerCpu: number;
}

export function poolByShape(
  machines: readonly CandidateMachine[],
  prices: ReadonlyMap<string, Price>,
): ShapePool[] {
  const pools = new Map<string, ShapePool>();
  for (const machine of machines) {
    const shape = shapeOf(machine.machineType, machine.spot);
    let pool = pools.get(shape);
    if (!pool) {
      const price = { ...(prices.get(shape) ?? { cpu: 0, gpu: 0, mem: 0 }) };
      const { machineType, spot, hourlyCostPerCpu: upkeep } = machine;
      pool = {
        shape,
        machineType,
        spot,
        hourlyCostPerCpu: upkeep,
        machines: [],
        free: noResources(),
        total: noResources(),
        price,
      };
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
