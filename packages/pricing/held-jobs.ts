/**
 * Jobs that start nothing in a round although a task of theirs fits what is left of their team's limit, since jobs of
 * higher rank claim the rest of it for a large task or a gang.
 */
import { type Micros, SECOND } from '#wire';
import { countFitting, subtractResources } from './resources.js';
import type { PendingJob, PricingRoundInput, Resources } from './types.js';

/**
 * Maximum time for which claims on a team's limit hold back a job that a machine has capacity for. It leaves enough of
 * the 90 s in which such a job has to start for the start to reach its machine.
 */
export const MAX_HOLD_TIME: Micros = 60 * SECOND;

/** What a round leaves of the limits of the teams. */
export class RemainingLimits {
  /** Keyed by team. */
  private readonly left: ReadonlyMap<string, Resources>;

  constructor(teams: PricingRoundInput['teams']) {
    this.left = new Map(
      teams.map(({ name, limit, used }) => [
        name,
        { cpus: limit.cpus - used.cpus, gpus: limit.gpus - used.gpus, memGb: Infinity },
      ]),
    );
  }

  /** True if one more task of the job fits, or the whole gang. */
  fits(job: PendingJob): boolean {
    const left = this.left.get(job.team);
    return left !== undefined && countFitting(job.taskResources, left) >= minStartCount(job);
  }

  subtract(job: PendingJob, taskCount: number): void {
    const left = this.left.get(job.team);
    if (left) subtractResources(left, job.taskResources, taskCount);
  }
}

/** Returns the least number of tasks that the job can start: one, or all tasks of a gang. */
export function minStartCount(job: PendingJob): number {
  return job.isGang ? job.pendingTaskCount : 1;
}

/** Returns the number of pending tasks that are in no segment, for each job that has such tasks. Keyed by job. */
export function countHeldTasks(
  jobs: readonly PendingJob[],
  segments: readonly { readonly job: PendingJob; readonly count: number }[],
): Map<string, number> {
  const held = new Map(jobs.map(({ id, pendingTaskCount }) => [id, pendingTaskCount]));
  for (const { job, count } of segments) held.set(job.id, (held.get(job.id) ?? 0) - count);
  return new Map([...held].filter(([, count]) => count > 0));
}

/** Returns the jobs of which all pending tasks are held, those of highest priority first. */
export function fullyHeldJobs(jobs: readonly PendingJob[], held: ReadonlyMap<string, number>): PendingJob[] {
  return jobs
    .filter((job) => held.get(job.id) === job.pendingTaskCount)
    .sort((a, b) => b.priority - a.priority || a.acceptanceOrder - b.acceptanceOrder);
}
