/** Sums of what tasks need and machines have. */
import type { Amounts } from './types.js';

/** Tolerance for sums of decimal amounts. */
export const EPS = 1e-6;

export function fits(need: Amounts, room: Amounts): boolean {
  return need.cpus <= room.cpus + EPS && need.gpus <= room.gpus + EPS && need.memGb <= room.memGb + EPS;
}

/** How many tasks of this need fit into the room. */
export function slots(need: Amounts, room: Amounts): number {
  let count = Infinity;
  if (need.cpus > 0) count = Math.min(count, (room.cpus + EPS) / need.cpus);
  if (need.gpus > 0) count = Math.min(count, (room.gpus + EPS) / need.gpus);
  if (need.memGb > 0) count = Math.min(count, (room.memGb + EPS) / need.memGb);
  return Math.max(0, Math.floor(count));
}

export function take(room: Amounts, need: Amounts, times: number): void {
  room.cpus -= need.cpus * times;
  room.gpus -= need.gpus * times;
  room.memGb -= need.memGb * times;
}

export function nothing(): Amounts {
  return { cpus: 0, gpus: 0, memGb: 0 };
}
