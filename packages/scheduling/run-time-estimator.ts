/** How long tasks run: what their owners estimate, put right by what was seen of their class. */
import type { Logger, Placement, Replica } from '#cluster';
import { type Clock, fromSeconds, type JobSpec, type Micros, MS, SECOND } from '#wire';
import { attemptKey, type TaskCompletion, type WorkerRegistry } from '#workers';

/** A machine that refused a task gets none for so long. */
const REFUSAL_PAUSE: Micros = 5 * SECOND;
/** A task that ended within this part of its estimate was kept from an earlier attempt. */
const STORED_RESULT_RATIO = 0.1;
/** How much of a newly seen ratio goes into what is known of its class, and the most that one may say. */
const LEARNING_RATE = 0.1;
const MOST_RATIO = 5;

export class RunTimeEstimator {
  /** By class: how long its tasks really run against the owners' estimates. */
  private readonly ratios = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly replica: Replica,
    private readonly workers: WorkerRegistry,
    private readonly log: Logger,
  ) {}

  /** Takes in how a task ended. */
  onCompletion({ placement, outcome }: TaskCompletion): void {
    const now = this.clock.now();
    const session = this.workers.trackedWorkers.get(placement.host);
    const job = this.replica.jobs.get(placement.job);
    const began = session?.runningSince.get(attemptKey(placement.taskName, placement.attempt)) ?? null;
    session?.runningSince.delete(attemptKey(placement.taskName, placement.attempt));
    if (outcome === 'refused' && session) {
      session.avoidedUntil = Math.max(session.avoidedUntil, now + REFUSAL_PAUSE);
    } else if (outcome === 'done' && job && began !== null && job.spec.estimateS > 0) {
      const ratio = (now - began) / fromSeconds(job.spec.estimateS);
      // A task whose result was kept from an earlier attempt ends at once and tells nothing of its class.
      if (ratio < STORED_RESULT_RATIO) return;
      const old = this.ratios.get(job.spec.jobClass) ?? 1;
      this.ratios.set(job.spec.jobClass, old + LEARNING_RATE * (Math.min(MOST_RATIO, ratio) - old));
      const beganMs = Math.round((this.clock.wall() - now + began) / MS - placement.startedAtMs);
      this.log.debug(
        { taskName: placement.taskName, beganMs, ranMs: Math.round((now - began) / MS) },
        'task done',
      );
    }
  }

  /** Run time of a task: its owner's estimate, put right by what was seen of its class. */
  expected(spec: JobSpec): Micros {
    return fromSeconds(spec.estimateS) * (this.ratios.get(spec.jobClass) ?? 1);
  }

  /** Expected time a running task still takes; 0 if it should be over. */
  remaining(placement: Placement): Micros {
    const job = this.replica.jobs.get(placement.job);
    if (!job) return 0;
    const session = this.workers.trackedWorkers.get(placement.host);
    const began = session?.runningSince.get(attemptKey(placement.taskName, placement.attempt)) ?? null;
    const whole = this.expected(job.spec);
    // On another owner's machine only the time of the start is known.
    if (began === null) return Math.max(0, placement.startedAtMs * MS + whole - this.clock.wall());
    return Math.max(0, began + whole - this.clock.now());
  }

  /** Time until all that is on the machine should have ended. */
  busyFor(host: string): Micros {
    let longest = 0;
    for (const p of this.replica.ledger.placementsOn(host)) longest = Math.max(longest, this.remaining(p));
    return longest;
  }
}
