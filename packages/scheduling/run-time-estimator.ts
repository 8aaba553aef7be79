/** Estimates task run times: the estimate submitted with the job, corrected by observed run times of its job class. */
import type { Logger, Placement, Replica } from '#cluster';
import { type Clock, fromSeconds, type JobSpec, type Micros, MS, SECOND } from '#wire';
import { attemptKey, type TaskCompletion, type WorkerRegistry } from '#workers';

/** A machine that refused a task gets no new tasks for this time. */
const REFUSAL_BACKOFF: Micros = 5 * SECOND;
/** A run time below this fraction of the estimate means that the result was already stored by an earlier attempt. */
const STORED_RESULT_RATIO = 0.1;
/** Weight of a newly observed ratio in the moving average of its job class. */
const LEARNING_RATE = 0.1;
/** Upper bound of a single observed ratio, so that one outlier has a limited effect on the average. */
const MAX_OBSERVED_RATIO = 5;

/** Dependencies of {@link RunTimeEstimator}. */
export interface RunTimeEstimatorOptions {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly workers: WorkerRegistry;
  readonly log: Logger;
}

/** Corrects the submitted run-time estimates by the ratio of actual to estimated run time of each job class. */
export class RunTimeEstimator {
  /** Moving average of the observed run time divided by the estimated run time. Keyed by job class. */
  private readonly runTimeRatios = new Map<string, number>();

  constructor(private readonly options: RunTimeEstimatorOptions) {}

  /** Updates the ratio of the job class from a completion. A machine that refused the task is avoided temporarily. */
  onCompletion({ placement, outcome }: TaskCompletion): void {
    const { clock, workers } = this.options;
    const worker = workers.trackedWorkers.get(placement.host);
    const startedAt = this.observedStart(placement);
    worker?.runningSince.delete(attemptKey(placement.taskName, placement.attempt));
    if (outcome === 'refused' && worker) {
      worker.avoidedUntil = Math.max(worker.avoidedUntil, clock.now() + REFUSAL_BACKOFF);
    } else if (outcome === 'done' && startedAt !== null) {
      this.updateRatio(placement, startedAt);
    }
  }

  /** Returns the expected run time of one task of the job, from start to end. */
  expectedRunTime(spec: JobSpec): Micros {
    return fromSeconds(spec.estimateS) * (this.runTimeRatios.get(spec.jobClass) ?? 1);
  }

  /** Returns the expected time until a running task ends; 0 if its expected run time is over or its job is unknown. */
  remainingRunTime(placement: Placement): Micros {
    const { clock, replica } = this.options;
    const job = replica.jobs.get(placement.job);
    if (!job) return 0;
    const startedAt = this.observedStart(placement);
    const runTime = this.expectedRunTime(job.spec);
    // For a task on another owner's machine only the recorded start time is available.
    if (startedAt === null) return Math.max(0, placement.startedAtMs * MS + runTime - clock.wall());
    return Math.max(0, startedAt + runTime - clock.now());
  }

  /** Returns the expected time until all tasks on the machine have ended. */
  busyFor(host: string): Micros {
    let longest = 0;
    for (const placement of this.options.replica.ledger.placementsOn(host)) {
      longest = Math.max(longest, this.remainingRunTime(placement));
    }
    return longest;
  }

  /** Returns the monotonic time at which the local node first saw the attempt running; null if it never did. */
  private observedStart({ host, taskName, attempt }: Placement): Micros | null {
    const worker = this.options.workers.trackedWorkers.get(host);
    return worker?.runningSince.get(attemptKey(taskName, attempt)) ?? null;
  }

  /** Updates the ratio of the task's job class with the observed run time. */
  private updateRatio(placement: Placement, startedAt: Micros): void {
    const { clock, replica, log } = this.options;
    const spec = replica.jobs.get(placement.job)?.spec;
    if (!spec || spec.estimateS <= 0) return;
    const runTime = clock.now() - startedAt;
    const ratio = runTime / fromSeconds(spec.estimateS);
    // A result stored by an earlier attempt is available at once and is no measure of the run time of the job class.
    if (ratio < STORED_RESULT_RATIO) return;
    const average = this.runTimeRatios.get(spec.jobClass) ?? 1;
    this.runTimeRatios.set(
      spec.jobClass,
      average + LEARNING_RATE * (Math.min(MAX_OBSERVED_RATIO, ratio) - average),
    );
    const startDelayMs = Math.round((clock.wall() - runTime) / MS - placement.startedAtMs);
    const runMs = Math.round(runTime / MS);
    log.debug({ task: placement.taskName, startDelayMs, runMs }, 'task completed');
  }
}
