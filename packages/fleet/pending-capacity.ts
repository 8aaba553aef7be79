/** Capacity that is about to become usable, counted in groups of alike machines. */
import { type Resources, countFitting, subtractResources, type PendingJob, ZoneConstraint } from '#pricing';
import { type Offer, isFeasible } from './offers.js';

/**
 * Machines of one offer that are about to have the same free capacity: they are requested or booting, or tasks on them
 * are about to end. Alike machines are counted rather than listed, so that the memory for them depends on the number of
 * requests and not on the number of machines requested.
 */
export interface PendingCapacity extends Offer {
  /** Number of machines; at least 1. */
  machineCount: number;
  /** Capacity of each of the machines that is not allocated yet. */
  free: Resources;
  /** True if the cloud has not answered yet whether it has these machines; false if absent. */
  readonly isRequested?: boolean;
}

/** Tasks to which pending capacity is allocated. */
export interface CapacityDemand {
  /** Maximum number of tasks. */
  readonly count: number;
  /** What each zone may still take of the job's tasks. The allocated tasks are counted in it. */
  readonly zones: ZoneConstraint;
}

/** Returns a copy that can be allocated without a change of the original. */
export function copyPending(group: PendingCapacity): PendingCapacity {
  const { machineType, zone, spot, machineCount, free, isRequested = false } = group;
  return { machineType, zone, spot, machineCount, free: { ...free }, isRequested };
}

/**
 * Allocates pending capacity, in place, to up to `count` tasks of the job, machine by machine in the given order. A
 * group of which only some machines are allocated is split into at most three. Returns the number of tasks that got
 * capacity.
 */
export function allocatePending(
  pendingCapacity: PendingCapacity[],
  job: PendingJob,
  { count, zones }: CapacityDemand,
): number {
  let remaining = count;
  for (let i = 0; i < pendingCapacity.length && remaining > 0; i++) {
    const group = pendingCapacity[i];
    if (!group || !isFeasible(job, group)) continue;
    const maxTasks = Math.min(remaining, zones.remainingIn(group.zone));
    const tasksPerMachine = Math.min(maxTasks, countFitting(job.taskResources, group.free));
    if (tasksPerMachine === 0) continue;
    const { allocated, splitOff } = allocateGroup(group, job, { remaining: maxTasks, tasksPerMachine });
    zones.onTasksPlaced(group.zone, allocated);
    remaining -= allocated;
    if (splitOff.length > 0) pendingCapacity.splice(i + 1, 0, ...splitOff);
  }
  return count - remaining;
}

/** Returns how many tasks of the job fit the pending capacity. */
export function countFittingPending(pendingCapacity: readonly PendingCapacity[], job: PendingJob): number {
  let sum = 0;
  for (const group of pendingCapacity) {
    if (isFeasible(job, group)) sum += group.machineCount * countFitting(job.taskResources, group.free);
  }
  return sum;
}

/** The tasks to allocate to a group: their number, and how many of them each of its machines takes. */
interface GroupAllocation {
  readonly remaining: number;
  readonly tasksPerMachine: number;
}

/** The tasks that were allocated to a group, and its machines that differ from the others now. */
interface AllocatedGroup {
  readonly allocated: number;
  readonly splitOff: readonly PendingCapacity[];
}

/** Allocates tasks to the machines of a group. The group keeps the machines that take as many tasks as fit. */
function allocateGroup(
  group: PendingCapacity,
  job: PendingJob,
  { remaining, tasksPerMachine }: GroupAllocation,
): AllocatedGroup {
  const fullCount = Math.min(group.machineCount, Math.floor(remaining / tasksPerMachine));
  const unusedCount = group.machineCount - fullCount;
  const fullyAllocated = fullCount * tasksPerMachine;
  const lastTasks = unusedCount > 0 ? remaining - fullyAllocated : 0;
  const splitOff: PendingCapacity[] = [];
  if (lastTasks > 0) {
    const partlyUsed = { ...copyPending(group), machineCount: 1 };
    subtractResources(partlyUsed.free, job.taskResources, lastTasks);
    splitOff.push(partlyUsed);
  }
  const untouchedCount = unusedCount - splitOff.length;
  if (untouchedCount > 0) splitOff.push({ ...copyPending(group), machineCount: untouchedCount });
  group.machineCount = fullCount;
  subtractResources(group.free, job.taskResources, tasksPerMachine);
  return { allocated: fullyAllocated + lastTasks, splitOff };
}
