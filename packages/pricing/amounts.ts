/** Sums of what tasks need and machines have. */
import type { Amounts } from './types.js';

/** Tolerance for sums of decimal amounts. */
export const EPS = 1e-6;

/** Whether one task of this need fits into the room. */
export function fits(need: Amounts, room: Amounts): boolean {
  return need.cpus <= room.cpus + EPS && need.gpus <= room.gpus + EPS && need.memGb <= room.memGb + EPS;
}

/** How many tasks of this need fit into the room; infinitely many of one that needs nothing. */
export function slots(need: Amounts, room: Amounts): number {
  let count = Infinity;
  if (need.cpus > 0) count = Math.min(count, (room.cpus + EPS) / need.cpus);
  if (need.gpus > 0) count = Math.min(count, (room.gpus + EPS) / need.gpus);
  if (need.memGb > 0) count = Math.min(count, (room.memGb + EPS) / need.memGb);
  return Math.max(0, Math.floor(count));
}

/** Subtracts the need of so many tasks from the room, in place; a negative number gives it back. */
export function take(room: Amounts, need: Amounts, times: number): void {
  room.cpus -= need.cpus * times;
  room.gpus -= need.gpus * times;
  room.memGb -= need.memGb * times;
}

/** A new empty amount, to be added to. */
export function nothing(): Amounts {
  return { cpus: 0, gpus: 0, memGb: 0 };
}
