/** Puts tasks of one job on random roomy machines, in the order of its shapes. */
import { fits, subtractResources } from './amounts.js';
import type { ShapePool } from './pools.js';
import type { CandidateMachine, PendingJob } from './types.js';
import type { ZoneConstraint } from './zone-rule.js';

export interface BinPackingOptions {
  /** Random roomy machines that are looked at for each task; the fullest of them gets it. */
  choices: number;
  /** Uniform in [0, 1). */
  random: () => number;
}

/**
 * Places up to `count` tasks, the best shape first, and takes the room of each. Returns the machine of every task
 * that found one.
 */
export function packTasks(
  job: PendingJob,
  pools: readonly ShapePool[],
  rule: ZoneConstraint,
  count: number,
  options: BinPackingOptions,
): CandidateMachine[] {
  const chosen: CandidateMachine[] = [];
  for (const pool of pools) {
    if (chosen.length >= count) break;
    const roomy = pool.machines.filter((m) => rule.allows(m.zone) && fits(job.need, m.free));
    // A machine that has the image starts the task at once: the random choice is among those first.
    const warm = roomy.filter((m) => m.cachedImages.includes(job.image));
    const cold = roomy.filter((m) => !m.cachedImages.includes(job.image));
    for (const group of [warm, cold]) {
      while (chosen.length < count && group.length > 0) {
        const at = tightest(group, options);
        const machine = group[at] as CandidateMachine;
        if (!rule.allows(machine.zone) || !fits(job.need, machine.free)) {
          group[at] = group[group.length - 1] as CandidateMachine;
          group.pop();
          continue;
        }
        subtractResources(machine.free, job.need, 1);
        rule.onTaskPlaced(machine.zone);
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
function tightest(group: readonly CandidateMachine[], { choices, random }: BinPackingOptions): number {
  let best = Math.floor(random() * group.length);
  for (let i = 1; i < choices; i++) {
    const other = Math.floor(random() * group.length);
    if (filled(group[other]) > filled(group[best])) best = other;
  }
  return best;
}

function filled(machine: CandidateMachine | undefined): number {
  return machine && machine.total.cpus > 0 ? 1 - machine.free.cpus / machine.total.cpus : 0;
}
