/** Sums of what tasks need and machines have. */
import type { Resources } from './types.js';

/** Tolerance for sums of decimal amounts. */
export const RESOURCE_TOLERANCE = 1e-6;

/** Whether one task of this need fits into the room. */
export function fits(need: Resources, room: Resources): boolean {
  return (
    need.cpus <= room.cpus + RESOURCE_TOLERANCE &&
    need.gpus <= room.gpus + RESOURCE_TOLERANCE &&
    need.memGb <= room.memGb + RESOURCE_TOLERANCE
  );
}

/** How many tasks of this need fit into the room; infinitely many of one that needs nothing. */
export function countFitting(need: Resources, room: Resources): number {
  let count = Infinity;
  if (need.cpus > 0) count = Math.min(count, (room.cpus + RESOURCE_TOLERANCE) / need.cpus);
  if (need.gpus > 0) count = Math.min(count, (room.gpus + RESOURCE_TOLERANCE) / need.gpus);
  if (need.memGb > 0) count = Math.min(count, (room.memGb + RESOURCE_TOLERANCE) / need.memGb);
  return Math.max(0, Math.floor(count));
}

/** Subtracts the need of so many tasks from the room, in place; a negative number gives it back. */
export function subtractResources(room: Resources, need: Resources, times: number): void {
  room.cpus -= need.cpus * times;
  room.gpus -= need.gpus * times;
  room.memGb -= need.memGb * times;
}

/** A new empty amount, to be added to. */
export function noResources(): Resources {
  return { cpus: 0, gpus: 0, memGb: 0 };
}
