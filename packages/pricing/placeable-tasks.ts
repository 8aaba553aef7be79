/** Counts the tasks of a job that a set of machines could take, with regard to all of the job's constraints. */
import { countFitting, hasFreeCapacity } from './resources.js';
import { isFeasible, type ShapePool } from './shape-pools.js';
import type { CandidateMachine, PendingJob, Resources } from './types.js';
import { ZoneConstraint } from './zone-constraint.js';

/** Numbers of pending tasks of a job that the machines could take, if no other job used them. */
export interface PlaceableTasks {
  /** Tasks that could be placed now. */
  readonly now: number;
  /** Tasks that could be placed if the machines were empty. Never below `now`. */
  readonly onceEmpty: number;
}

/** The machines of one pool as the counts need them. Most machines of a full fleet have no free capacity. */
interface PoolSummary {
  readonly pool: ShapePool;
  readonly withFreeCapacity: readonly CandidateMachine[];
  /** Capacity of an empty machine. */
  readonly total: Resources;
  /** Number of machines. Keyed by zone. */
  readonly machineCounts: ReadonlyMap<string, number>;
}

/** Counts the tasks of one job after the other that the machines of a round could take at its start. */
export class PlaceableCounter {
  private readonly summaries: readonly PoolSummary[];

  constructor(pools: readonly ShapePool[]) {
    this.summaries = pools.map(summarize);
  }

  /**
   * Counts pending tasks that the machines could take, at most `pendingTaskCount`. For a gang the result is that number or
   * 0. Other jobs are disregarded, so a round never places more tasks than `now`.
   */
  count(job: PendingJob): PlaceableTasks {
    const feasible = this.summaries.filter(({ pool }) => isFeasible(job, pool));
    const now = limitToJob(job, freeByZone(job, feasible));
    if (now === job.pendingTaskCount) return { now, onceEmpty: now };
    return { now, onceEmpty: limitToJob(job, totalByZone(job, feasible)) };
  }
}

function summarize(pool: ShapePool): PoolSummary {
  const machineCounts = new Map<string, number>();
  for (const { zone } of pool.machines) machineCounts.set(zone, (machineCounts.get(zone) ?? 0) + 1);
  return {
    pool,
    withFreeCapacity: pool.machines.filter(({ free }) => hasFreeCapacity(free)),
    total: pool.machines[0]?.total ?? { cpus: 0, gpus: 0, memGb: 0 },
    machineCounts,
  };
}

/** Returns the number of tasks that the free capacity in each allowed zone could take, or enough of it. Keyed by zone. */
function freeByZone(job: PendingJob, summaries: readonly PoolSummary[]): Map<string, number> {
  const byZone = new Map<string, number>();
  const isAnyZoneEnough = !job.spreadZones && !job.singleZone;
  let sum = 0;
  for (const { withFreeCapacity } of summaries) {
    for (const { zone, free } of withFreeCapacity) {
      if (job.zone !== null && zone !== job.zone) continue;
      const count = countFitting(job.taskResources, free);
      if (count === 0) continue;
      byZone.set(zone, (byZone.get(zone) ?? 0) + count);
      sum += count;
      if (isAnyZoneEnough && sum >= job.pendingTaskCount) return byZone;
    }
  }
  return byZone;
}

/** Returns the number of tasks that the machines of each allowed zone could take if they were empty. Keyed by zone. */
function totalByZone(job: PendingJob, summaries: readonly PoolSummary[]): Map<string, number> {
  const byZone = new Map<string, number>();
  for (const { total, machineCounts } of summaries) {
    const tasksPerMachine = countFitting(job.taskResources, total);
    for (const [zone, machineCount] of machineCounts) {
      if (job.zone !== null && zone !== job.zone) continue;
      byZone.set(zone, (byZone.get(zone) ?? 0) + machineCount * tasksPerMachine);
    }
  }
  return byZone;
}

/** Returns how many pending tasks the capacity of the zones takes: for a gang all of them or none. */
function limitToJob(job: PendingJob, byZone: ReadonlyMap<string, number>): number {
  const count = Math.min(job.pendingTaskCount, usableInZones(job, byZone));
  return job.isGang && count < job.pendingTaskCount ? 0 : count;
}

/** Returns how many tasks may use the capacity of the zones under the job's constraints on several zones. */
function usableInZones(job: PendingJob, byZone: ReadonlyMap<string, number>): number {
  const zones = new ZoneConstraint(job);
  const counts = [...byZone].map(([zone, count]) => Math.min(count, zones.remainingIn(zone)));
  return job.singleZone ? Math.max(0, ...counts) : counts.reduce((sum, count) => sum + count, 0);
}
