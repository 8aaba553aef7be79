/** Bin packing: puts tasks of one job on random roomy machines, in the order of its shapes. */
import { fits, subtractResources } from './resources.js';
import type { ShapePool } from './shape-pools.js';
import type { CandidateMachine, PendingJob } from './types.js';
import type { ZoneConstraint } from './zone-constraint.js';

/** How the machine of a task is chosen. */
export interface BinPackingOptions {
  /** Random roomy machines that are looked at for each task; the fullest of them gets it. */
  readonly choices: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Tasks of one job that are to be placed. */
export interface BinPackingRequest {
  readonly job: PendingJob;
  /** The shapes that they may go to, best first. */
  readonly pools: readonly ShapePool[];
  readonly rule: ZoneConstraint;
  /** Tasks to place at most. */
  readonly count: number;
}

/**
 * Places up to `count` tasks, the best shape first, and takes the room of each. Returns the machine of every task
 * that found one.
 */
export function packTasks(request: BinPackingRequest, options: BinPackingOptions): CandidateMachine[] {
  const { job, pools, rule, count } = request;
  const chosen: CandidateMachine[] = [];
  for (const pool of pools) {
    if (chosen.length >= count) break;
    const roomy = pool.machines.filter((machine) => canTake(machine, job, rule));
    // A machine that has the image starts the task at once: the random choice is among those first.
    const warm = roomy.filter((machine) => machine.cachedImages.includes(job.image));
    const cold = roomy.filter((machine) => !machine.cachedImages.includes(job.image));
    packGroup(warm, request, { options, chosen });
    packGroup(cold, request, { options, chosen });
  }
  return chosen;
}

/** Adds machines of the group to those chosen, one for each task; those that get full leave the group. */
function packGroup(
  group: CandidateMachine[],
  { job, rule, count }: BinPackingRequest,
  { options, chosen }: { options: BinPackingOptions; chosen: CandidateMachine[] },
): void {
  while (chosen.length < count && group.length > 0) {
    const index = tightest(group, options);
    const machine = group[index]!;
    if (!canTake(machine, job, rule)) {
      group[index] = group[group.length - 1]!;
      group.pop();
      continue;
    }
    subtractResources(machine.free, job.need, 1);
    rule.onTaskPlaced(machine.zone);
    chosen.push(machine);
  }
}

function canTake(machine: CandidateMachine, job: PendingJob, rule: ZoneConstraint): boolean {
  return rule.allows(machine.zone) && fits(job.need, machine.free);
}

/**
 * Of some random roomy machines the one with least room left: whole machines stay free for large tasks, and
 * idle ones can be returned.
 */
function tightest(group: readonly CandidateMachine[], { choices, random }: BinPackingOptions): number {
  let best = Math.floor(random() * group.length);
  for (let i = 1; i < choices; i++) {
    const other = Math.floor(random() * group.length);
    if (utilization(group[other]) > utilization(group[best])) best = other;
  }
  return best;
}

/** The part of the machine's CPUs that is in use, from 0 to 1. */
function utilization(machine: CandidateMachine | undefined): number {
  return machine && machine.total.cpus > 0 ? 1 - machine.free.cpus / machine.total.cpus : 0;
}
