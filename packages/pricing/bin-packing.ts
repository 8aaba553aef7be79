/** Bin packing: places tasks of one job on machines with enough free capacity, one shape after the other. */
import { fits, subtractResources } from './resources.js';
import type { ShapePool } from './shape-pools.js';
import type { CandidateMachine, PendingJob } from './types.js';
import type { ZoneConstraint } from './zone-constraint.js';

/** Parameters of the choice of a machine for a task. */
export interface BinPackingOptions {
  /** Number of random machines compared for each task. The fullest of them gets the task. */
  readonly choices: number;
  /** Returns uniformly distributed numbers in [0, 1). */
  readonly random: () => number;
}

/** Tasks of one job to place. */
export interface BinPackingRequest {
  readonly job: PendingJob;
  /** Feasible shapes, best first. */
  readonly pools: readonly ShapePool[];
  readonly zoneConstraint: ZoneConstraint;
  /** Maximum number of tasks to place. */
  readonly count: number;
}

/**
 * Places up to `count` tasks, on the best shape first, and subtracts their resources from the free capacity. Returns
 * one machine for each task placed; a machine occurs once for each of its tasks.
 */
export function packTasks(request: BinPackingRequest, options: BinPackingOptions): CandidateMachine[] {
  const { job, pools, zoneConstraint, count } = request;
  const chosen: CandidateMachine[] = [];
  for (const pool of pools) {
    if (chosen.length >= count) break;
    const candidates = pool.machines.filter((machine) => hasCapacity(machine, job, zoneConstraint));
    // A machine that has the image cached starts the task without a download, so these machines are tried first.
    const withImage = candidates.filter((machine) => machine.cachedImages.includes(job.image));
    const withoutImage = candidates.filter((machine) => !machine.cachedImages.includes(job.image));
    packGroup(withImage, request, { options, chosen });
    packGroup(withoutImage, request, { options, chosen });
  }
  return chosen;
}

/** Adds one machine of the group to `chosen` for each task. Removes machines from the group once they are full. */
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
    zoneConstraint.onTasksPlaced(machine.zone, 1);
    chosen.push(machine);
  }
}

/** True if the next task of the job may be placed on the machine. */
function hasCapacity(machine: CandidateMachine, job: PendingJob, zoneConstraint: ZoneConstraint): boolean {
  return zoneConstraint.allows(machine.zone) && fits(job.taskResources, machine.free);
}

/**
 * Returns the index of the fullest of `choices` random machines of the group. Filling partly used machines first keeps
 * whole machines free for large tasks, and lets idle machines be scaled in.
 */
function chooseFullest(group: readonly CandidateMachine[], { choices, random }: BinPackingOptions): number {
  let best = Math.floor(random() * group.length);
  for (let i = 1; i < choices; i++) {
    const other = Math.floor(random() * group.length);
    if (utilization(group[other]) > utilization(group[best])) best = other;
  }
  return best;
}

/** Returns the fraction of the machine's CPUs that is in use, from 0 to 1. */
function utilization(machine: CandidateMachine | undefined): number {
  return machine && machine.total.cpus > 0 ? 1 - machine.free.cpus / machine.total.cpus : 0;
}
