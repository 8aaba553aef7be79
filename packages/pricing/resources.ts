/** Arithmetic on the resources that tasks demand and machines have. */
import type { Resources } from './types.js';

/** Tolerance for sums of decimal amounts. */
export const RESOURCE_TOLERANCE = 1e-6;

/** Whether one task of this demand fits into the capacity. */
export function fits(demand: Resources, capacity: Resources): boolean {
  return (
    demand.cpus <= capacity.cpus + RESOURCE_TOLERANCE &&
    demand.gpus <= capacity.gpus + RESOURCE_TOLERANCE &&
    demand.memGb <= capacity.memGb + RESOURCE_TOLERANCE
  );
}

/** How many tasks of this demand fit into the capacity; `Infinity` if the demand is zero. */
export function countFitting(demand: Resources, capacity: Resources): number {
  let count = Infinity;
  if (demand.cpus > 0) count = Math.min(count, (capacity.cpus + RESOURCE_TOLERANCE) / demand.cpus);
  if (demand.gpus > 0) count = Math.min(count, (capacity.gpus + RESOURCE_TOLERANCE) / demand.gpus);
  if (demand.memGb > 0) count = Math.min(count, (capacity.memGb + RESOURCE_TOLERANCE) / demand.memGb);
  return Math.max(0, Math.floor(count));
}

/** Subtracts the demand of so many tasks from the capacity, in place; a negative number gives it back. */
export function subtractResources(capacity: Resources, demand: Resources, times: number): void {
  capacity.cpus -= demand.cpus * times;
  capacity.gpus -= demand.gpus * times;
  capacity.memGb -= demand.memGb * times;
}

/** A new empty amount, to be added to. */
export function noResources(): Resources {
  return { cpus: 0, gpus: 0, memGb: 0 };
}
