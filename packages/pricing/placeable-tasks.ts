/** Counts the tasks of a job that a set of machines could take, with regard to all of the job's constraints. */
import { countFitting } from './resources.js';
import { isFeasible, type ShapePool } from './shape-pools.js';
import type { CandidateMachine, PendingJob, Resources } from './types.js';
import { maxTasksPerZone } from './zone-constraint.js';

/** Which capacity of a machine counts: what is free, or that of the machine when it is empty. */
export type CountedCapacity = 'free' | 'total';

/** Numbers of pending tasks of a job that the machines could take, if no other job used them. */
export interface PlaceableTasks {
  /** Tasks that could be placed now. */
  readonly now: number;
  /** Tasks that could be placed if the machines were empty. Never below `now`. */
  readonly onceEmpty: number;
}

/**
 * Counts pending tasks that the machines of the pools could take, at most `pendingTaskCount`. For a gang the result is
 * that number or 0. Other jobs are disregarded, so a round never places more tasks than `now`.
 */
export function countPlaceable(job: PendingJob, pools: readonly ShapePool[]): PlaceableTasks {
  const feasible = pools.filter((pool) => isFeasible(job, pool));
  const now = countTasks(job, feasible, 'free');
  return { now, onceEmpty: now === job.pendingTaskCount ? now : countTasks(job, feasible, 'total') };
}

function countTasks(job: PendingJob, pools: readonly ShapePool[], capacity: CountedCapacity): number {
  const byZone = tasksByZone(job, pools, capacity);
  const count = Math.min(job.pendingTaskCount, usableInZones(job, byZone));
  return job.isGang && count < job.pendingTaskCount ? 0 : count;
}

/** Returns the number of tasks that the machines of each allowed zone could take. Keyed by zone. */
function tasksByZone(
  job: PendingJob,
  pools: readonly ShapePool[],
  capacity: CountedCapacity,
): Map<string, number> {
  const byZone = new Map<string, number>();
  for (const { machines } of pools) {
    for (const machine of machines) {
      if (job.zone !== null && machine.zone !== job.zone) continue;
      const count = countFitting(job.taskResources, capacityOf(machine, capacity));
      if (count > 0) byZone.set(machine.zone, (byZone.get(machine.zone) ?? 0) + count);
    }
  }
  return byZone;
}

function capacityOf(machine: CandidateMachine, capacity: CountedCapacity): Resources {
  return capacity === 'free' ? machine.free : machine.total;
}

/** Returns how many tasks may use the capacity of the zones under the job's constraints on several zones. */
function usableInZones(job: PendingJob, byZone: ReadonlyMap<string, number>): number {
  const counts = [...byZone].map(([zone, count]) => {
    if (!job.spreadZones) return { zone, count };
    return { zone, count: Math.min(count, maxTasksPerZone(job) - (job.placedByZone.get(zone) ?? 0)) };
  });
  if (!job.singleZone) return counts.reduce((sum, { count }) => sum + Math.max(0, count), 0);
  const isAllowed = (zone: string): boolean => job.placedByZone.size === 0 || job.placedByZone.has(zone);
  return Math.max(0, ...counts.filter(({ zone }) => isAllowed(zone)).map(({ count }) => count));
}
