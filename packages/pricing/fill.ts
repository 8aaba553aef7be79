/** Puts tasks of one job on random roomy machines, in the order of its shapes. */
import { fits, take } from './amounts.js';
import type { Pool } from './pools.js';
import type { RoomyMachine, WaitingJob } from './types.js';
import type { ZoneRule } from './zone-rule.js';

export interface FillOptions {
  /** Random roomy machines that are looked at for each task; the fullest of them gets it. */
  choices: number;
  /** Uniform in [0, 1). */
  random: () => number;
}

/**
 * Places up to `count` tasks, the best shape first, and takes the room of each. Returns the machine of every task
 * that found one.
 */
export function fill(
  job: WaitingJob,
  pools: readonly Pool[],
  rule: ZoneRule,
  count: number,
  options: FillOptions,
): RoomyMachine[] {
  const chosen: RoomyMachine[] = [];
  for (const pool of pools) {
    if (chosen.length >= count) break;
    const roomy = pool.machines.filter((m) => rule.open(m.zone) && fits(job.need, m.room));
    // A machine that has the image starts the task at once: the random choice is among those first.
    const warm = roomy.filter((m) => m.warm.includes(job.image));
    const cold = roomy.filter((m) => !m.warm.includes(job.image));
    for (const group of [warm, cold]) {
      while (chosen.length < count && group.length > 0) {
        const at = tightest(group, options);
        const machine = group[at] as RoomyMachine;
        if (!rule.open(machine.zone) || !fits(job.need, machine.room)) {
          group[at] = group[group.length - 1] as RoomyMachine;
          group.pop();
          continue;
        }
        take(machine.room, job.need, 1);
        rule.placed(machine.zone);
        chosen.push(machine);
      }
    }
  }
  return chosen;
}

/**
 * Of some random roomy machines the one with least room left: whole machines stay free for large tasks, and
 * idle ones can be returned.
 */
function tightest(group: readonly RoomyMachine[], { choices, random }: FillOptions): number {
  let best = Math.floor(random() * group.length);
  for (let i = 1; i < choices; i++) {
    const other = Math.floor(random() * group.length);
    if (filled(group[other]) > filled(group[best])) best = other;
  }
  return best;
}

function filled(machine: RoomyMachine | undefined): number {
  return machine && machine.total.cpus > 0 ? 1 - machine.room.cpus / machine.total.cpus : 0;
}
