/** Arithmetic on the resources that tasks require and machines provide. */
import type { Resources } from './types.js';

/** Tolerance for rounding errors in sums of fractional amounts. */
export const RESOURCE_TOLERANCE = 1e-6;

/** True if one task of this demand fits into the capacity. */
export function fits(demand: Resources, capacity: Resources): boolean {
  return (
    hasTaskSlot(capacity) &&
    demand.cpus <= capacity.cpus + RESOURCE_TOLERANCE &&
    demand.gpus <= capacity.gpus + RESOURCE_TOLERANCE &&
    demand.memGb <= capacity.memGb + RESOURCE_TOLERANCE
  );
}

/** Returns how many tasks of this demand fit into the capacity; `Infinity` if neither the demand nor the task slots limit it. */
export function countFitting(demand: Resources, capacity: Resources): number {
  let count = capacity.taskSlots ?? Infinity;
  if (demand.cpus > 0) count = Math.min(count, (capacity.cpus + RESOURCE_TOLERANCE) / demand.cpus);
  if (demand.gpus > 0) count = Math.min(count, (capacity.gpus + RESOURCE_TOLERANCE) / demand.gpus);
  if (demand.memGb > 0) count = Math.min(count, (capacity.memGb + RESOURCE_TOLERANCE) / demand.memGb);
  return Math.max(0, Math.floor(count));
}

/** Subtracts the demand of `times` tasks from the capacity, in place. A negative number adds it. */
export function subtractResources(capacity: Resources, demand: Resources, times: number): void {
  capacity.cpus -= demand.cpus * times;
  capacity.gpus -= demand.gpus * times;
  capacity.memGb -= demand.memGb * times;
  if (capacity.taskSlots !== undefined) capacity.taskSlots -= (demand.taskSlots ?? 1) * times;
}

/** True if the capacity may take one more task, regardless of its other resources. */
export function hasTaskSlot({ taskSlots }: Resources): boolean {
  return taskSlots === undefined || taskSlots >= 1;
}

/** True if the capacity is enough for some task: a task slot is free, and some of a resource. */
export function hasFreeCapacity(capacity: Resources): boolean {
  const hasResources = Math.max(capacity.cpus, capacity.gpus, capacity.memGb) > RESOURCE_TOLERANCE;
  return hasTaskSlot(capacity) && hasResources;
}

/** Returns a new object with all amounts zero, which callers may modify. */
export function noResources(): Resources {
  return { cpus: 0, gpus: 0, memGb: 0 };
}
