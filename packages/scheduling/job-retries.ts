/** Limits how many tasks of a job that is suspected to be at fault are tried at a time. */
import type { FailureEvidence, JobProgress } from '#cluster';
import { type JobSpec, type Micros, MS, SECOND } from '#wire';

/**
 * Maximum time between two attempts of a failing job, so that it resumes soon after the cause is fixed. It leaves a
 * machine with capacity enough time to get a task within the 90 s in which a waiting job has to start one.
 */
const MAX_JOB_BACKOFF: Micros = 45 * SECOND;

/** A job that is suspected to be at fault. */
export interface SuspectJob {
  readonly spec: JobSpec;
  readonly progress: JobProgress;
  readonly failures: FailureEvidence;
  /** The current wall-clock time. */
  readonly wallTime: Micros;
}

/**
 * Returns how many of the job's `pendingCount` tasks to place. Without a sound task the job is retried with a single one
 * (a gang with all of its tasks) after an exponential backoff, so that it uses little capacity. Each task that has outlived
 * the failed attempts allows for one more, so that the job soon has all of its tasks if the machines were at fault. A
 * task is tried every MAX_JOB_BACKOFF in any case, whatever the others do.
 */
export function tasksToRetry(pendingCount: number, job: SuspectJob): number {
  if (job.spec.shape === 'gang') return isInBackoff(job) ? 0 : pendingCount;
  return Math.min(pendingCount, Math.max(allowedTasks(job), isRetryDue(job) ? 1 : 0));
}

function allowedTasks(job: SuspectJob): number {
  const { spec, progress, failures, wallTime } = job;
  const soundCount = failures.soundTaskCount(spec.id, progress, wallTime / MS);
  if (soundCount === 0 && isInBackoff(job)) return 0;
  const uncertainCount = progress.placements.size - soundCount;
  return Math.max(1, soundCount) - uncertainCount;
}

/** True if no task of the job was started for MAX_JOB_BACKOFF. */
function isRetryDue({ progress, wallTime }: SuspectJob): boolean {
  return wallTime >= progress.lastStartedAtMs * MS + MAX_JOB_BACKOFF;
}

function isInBackoff({ spec, failures, wallTime }: SuspectJob): boolean {
  const { independentCount = 0, lastFailureAtMs = 0 } = failures.ofJob(spec.id) ?? {};
  const backoff = Math.min(MAX_JOB_BACKOFF, 2 ** independentCount * SECOND);
  return wallTime < lastFailureAtMs * MS + backoff;
}
