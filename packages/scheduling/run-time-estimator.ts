/** Estimates how long tasks run: what the job's owner estimates, corrected by the observed run times of its class. */
import type { Logger, Placement, Replica } from '#cluster';
import { type Clock, fromSeconds, type JobSpec, type Micros, MS, SECOND } from '#wire';
import { attemptKey, type TaskCompletion, type WorkerRegistry } from '#workers';

/** A machine that refused a task gets no new ones for this long. */
const REFUSAL_BACKOFF: Micros = 5 * SECOND;
/** A task that ended within this part of its estimate had its result kept from an earlier attempt. */
const STORED_RESULT_RATIO = 0.1;
/** Weight of a newly observed ratio in the moving average of its class. */
const LEARNING_RATE = 0.1;
/** A single observed ratio counts for at most this much. */
const MAX_OBSERVED_RATIO = 5;

/** What a run time estimator works with. */
export interface RunTimeEstimatorOptions {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly workers: WorkerRegistry;
  readonly log: Logger;
}

/** Learns from completions by how much the owners' estimates are off, by job class. */
export class RunTimeEstimator {
  /** By job class: moving average of observed run time by estimated run time. */
  private readonly runTimeRatios = new Map<string, number>();

  constructor(private readonly options: RunTimeEstimatorOptions) {}

  /** Learns from a completion. A machine that refused the task gets no new ones for a while. */
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

  /** Expected run time of a task of this job from start to end. */
  expectedRunTime(spec: JobSpec): Micros {
    return fromSeconds(spec.estimateS) * (this.runTimeRatios.get(spec.jobClass) ?? 1);
  }

  /** Expected time until a running task ends; 0 if it should have ended already. */
  remainingRunTime(placement: Placement): Micros {
    const { clock, replica } = this.options;
    const job = replica.jobs.get(placement.job);
    if (!job) return 0;
    const startedAt = this.observedStart(placement);
    const runTime = this.expectedRunTime(job.spec);
    // On another owner's machine only the recorded time of the start is known.
    if (startedAt === null) return Math.max(0, placement.startedAtMs * MS + runTime - clock.wall());
    return Math.max(0, startedAt + runTime - clock.now());
  }

  /** Expected time until all tasks on the machine have ended. */
  busyFor(host: string): Micros {
    let longest = 0;
    for (const placement of this.options.replica.ledger.placementsOn(host)) {
      longest = Math.max(longest, this.remainingRunTime(placement));
    }
    return longest;
  }

  /** Steady time at which this node saw the attempt run first; null if it didn't see that. */
  private observedStart({ host, taskName, attempt }: Placement): Micros | null {
    const worker = this.options.workers.trackedWorkers.get(host);
    return worker?.runningSince.get(attemptKey(taskName, attempt)) ?? null;
  }

  /** Corrects the ratio of the task's class by its run time. */
  private updateRatio(placement: Placement, startedAt: Micros): void {
    const { clock, replica, log } = this.options;
    const spec = replica.jobs.get(placement.job)?.spec;
    if (!spec || spec.estimateS <= 0) return;
    const runTime = clock.now() - startedAt;
    const ratio = runTime / fromSeconds(spec.estimateS);
    // A result that was kept from an earlier attempt is there at once and says nothing about the class.
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
