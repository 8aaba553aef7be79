/** Bin packing: places tasks of one job on random machines with enough free capacity, in the order of its shapes. */
import { fits, subtractResources } from './resources.js';
import type { ShapePool } from './shape-pools.js';
import type { CandidateMachine, PendingJob } from './types.js';
import type { ZoneConstraint } from './zone-constraint.js';

/** How the machine of a task is chosen. */
export interface BinPackingOptions {
  /** Random candidate machines that are looked at for each task; the fullest of them gets it. */
  readonly choices: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Tasks of one job that are to be placed. */
export interface BinPackingRequest {
  readonly job: PendingJob;
  /** The shapes that they may go to, best first. */
  readonly pools: readonly ShapePool[];
  readonly zoneConstraint: ZoneConstraint;
  /** Tasks to place at most. */
  readonly count: number;
}

/**
 * Places up to `count` tasks, the best shape first, and takes the capacity for each. Returns the machine of every task
 * that found one.
 */
export function packTasks(request: BinPackingRequest, options: BinPackingOptions): CandidateMachine[] {
  const { job, pools, zoneConstraint, count } = request;
  const chosen: CandidateMachine[] = [];
  for (const pool of pools) {
    if (chosen.length >= count) break;
    const candidates = pool.machines.filter((machine) => hasCapacity(machine, job, zoneConstraint));
    // A machine that has the image starts the task at once: the random choice is among those first.
    const withImage = candidates.filter((machine) => machine.cachedImages.includes(job.image));
    const withoutImage = candidates.filter((machine) => !machine.cachedImages.includes(job.image));
    packGroup(withImage, request, { options, chosen });
    packGroup(withoutImage, request, { options, chosen });
  }
  return chosen;
}

/** Adds machines of the group to those chosen, one for each task; those that get full leave the group. */
function packGroup(
  group: CandidateMachine[],
  { job, zoneConstraint, count }: BinPackingRequest,
  { options, chosen }: { options: BinPackingOptions; chosen: CandidateMachine[] },
): void {
  while (chosen.length < count && group.length > 0) {
    const index = chooseFullest(group, options);
    const machine = group[index]!;
    if (!hasCapacity(machine, job, zoneConstraint)) {
      group[index] = group[group.length - 1]!;
      group.pop();
      continue;
    }
    subtractResources(machine.free, job.taskResources, 1);
    zoneConstraint.onTaskPlaced(machine.zone);
    chosen.push(machine);
  }
}

/** Whether the next task of the job may be placed on the machine. */
function hasCapacity(machine: CandidateMachine, job: PendingJob, zoneConstraint: ZoneConstraint): boolean {
  return zoneConstraint.allows(machine.zone) && fits(job.taskResources, machine.free);
}

/**
 * The index of the fullest of some random machines of the group: whole machines stay free for large tasks, and idle
 * ones can be scaled in.
 */
function chooseFullest(group: readonly CandidateMachine[], { choices, random }: BinPackingOptions): number {
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
