/** Checks the invariants of the protocol against what happens on machines and what users are answered. */
import { type JobSpec, type JobStatus, type Micros, SECOND } from '#wire';
import {
  type FreeCapacity,
  InvariantViolation,
  isTerminal,
  type JobObservation,
  type MachineFacts,
  type TaskStart,
  type TeamLimits,
  type UserAnswer,
} from './invariant-types.js';
import { findNeglectedGroups } from './neglected-groups.js';
import { RunningTasks } from './running-tasks.js';

export * from './invariant-types.js';

/** Once all faults have ended, a question about a job is answered within this time. */
const ANSWER_DEADLINE: Micros = 75 * SECOND;
/** No task waits for longer than this while a machine that fits has enough free capacity and its team is under its limit. */
const WAITING_DEADLINE: Micros = 90 * SECOND;
/**
 * Observes the simulated machines and the answers to users, and throws an {@link InvariantViolation} as soon as an
 * invariant of the protocol is violated. It knows nothing of the implementation.
 */
export class InvariantChecker {
  private readonly jobs = new Map<string, JobObservation>();
  private readonly running: RunningTasks;
  /** Jobs with a confirmed cancellation, until their cancellation deadline. */
  private readonly cancelled = new Set<string>();
  /** Jobs whose users do not know of an end yet. */
  private readonly jobsAwaitingEnd = new Set<string>();
  private faultsEndedAt: Micros = Infinity;
  starts = 0;
  /** Starts before the cancellation deadline: allowed, but of no use. */
  startsAfterConfirmation = 0;
  /** Called with events during which tests inject further faults. */
  onEvent: (event: 'confirmed' | 'last end') => void = () => undefined;

  constructor(
    limits: TeamLimits,
    private readonly cancellationDeadline: Micros,
  ) {
    this.running = new RunningTasks(limits);
  }

  jobSubmitted(spec: JobSpec, now: Micros): void {
    if (this.jobs.has(spec.id)) return;
    this.jobs.set(spec.id, {
      spec,
      isAccepted: false,
      doneTasks: new Set(),
      lastStatus: null,
      isCancellationRequested: false,
      cancelledAt: null,
      endedAt: null,
      submittedAt: now,
      answeredAt: now,
      startedAt: null,
      waitingSince: null,
    });
    this.jobsAwaitingEnd.add(spec.id);
  }

  cancellationRequested(id: string): void {
    const job = this.jobs.get(id);
    if (job) job.isCancellationRequested = true;
  }

  /** A user got this answer about this job, to a request sent at `sentAt`. */
  answerReceived(id: string, { status, state, now, sentAt = now }: UserAnswer): void {
    const job = this.jobs.get(id);
    if (status === 200 || status === 201) {
      if (!job) throw new InvariantViolation('invented', `${id} is answered ${status}`);
      job.isAccepted = true;
      job.answeredAt = now;
      // Asked before the end was told, an answer may have been given before it, too, and overtaken on its way.
      if (sentAt < (job.endedAt ?? -Infinity) && !isTerminal(state)) return;
      this.statusReceived(job, state, now);
    } else if (job?.isAccepted && (status === 404 || status === 400 || status === 422)) {
      throw new InvariantViolation('forgotten', `${id} is answered ${status}`);
    }
  }

  /** A task is on its machine: it has its image. */
  taskStarted(taskName: string, machine: MachineFacts, { now, attempt = 0 }: TaskStart): void {
    const { id } = splitTaskName(taskName);
    const job = this.jobs.get(id);
    if (!job) throw new InvariantViolation('invented', `${taskName} starts but nobody submitted it`);
    const other = this.running.get(taskName);
    if (other)
      throw new InvariantViolation('ran_twice', `${taskName} on ${other.machine.host} and ${machine.host}`);
    if (job.cancelledAt !== null && now > job.cancelledAt + this.cancellationDeadline) {
      throw new InvariantViolation('ran_cancelled', `${taskName} starts`);
    }
    this.running.start({ taskName, spec: job.spec, machine, attempt });
    job.startedAt ??= now;
    job.waitingSince = null;
    this.starts++;
    if (job.cancelledAt !== null) this.startsAfterConfirmation++;
  }

  taskEnded(taskName: string, done: boolean): void {
    this.running.end(taskName);
    const { id, index } = splitTaskName(taskName);
    const job = this.jobs.get(id);
    if (!done || !job) return;
    job.doneTasks.add(index);
    if (job.doneTasks.size >= job.spec.taskCount) this.onEvent('last end');
  }

  /** Tasks of the job that are on machines: name and machine of each. */
  runningTasks(id: string): { taskName: string; host: string }[] {
    return this.running.ofJob(id).map((task) => ({ taskName: task.taskName, host: task.machine.host }));
  }

  /**
   * Nothing waits without reason: looked at every so often once all faults have ended, with all machines that
   * work.
   */
  checkWaitingJobs(now: Micros, capacities: readonly FreeCapacity[]): void {
    if (now < this.faultsEndedAt) return;
    for (const [id, job] of this.jobs) {
      const waits = job.isAccepted && !job.isCancellationRequested && this.waiting(id, job) > 0;
      const free =
        waits && this.running.isUnderLimit(job.spec)
          ? this.running.capacityFor(job.spec, capacities)
          : undefined;
      if (!free) job.waitingSince = null;
      else if (now > (job.waitingSince ??= now) + WAITING_DEADLINE) {
        throw new InvariantViolation('left_waiting', `${id} waits while ${free.machine.host} has room`);
      }
    }
  }

  private waiting(id: string, job: JobObservation): number {
    return job.spec.taskCount - job.doneTasks.size - this.runningTasks(id).length;
  }

  /** All tasks of the job are done. */
  isComplete(id: string): boolean {
    const job = this.jobs.get(id);
    return job !== undefined && job.doneTasks.size >= job.spec.taskCount;
  }

  isDone(taskName: string): boolean {
    const { id, index } = splitTaskName(taskName);
    return this.jobs.get(id)?.doneTasks.has(index) ?? false;
  }

  /** No fault is in effect from now on. */
  faultsEnded(now: Micros): void {
    this.faultsEndedAt = now;
  }

  /** What must hold at every moment. */
  check(now: Micros): void {
    for (const id of this.jobsAwaitingEnd) {
      const job = this.jobs.get(id);
      if (!job || isTerminal(job.lastStatus)) this.jobsAwaitingEnd.delete(id);
      else if (job.isAccepted && now > Math.max(this.faultsEndedAt, job.answeredAt) + ANSWER_DEADLINE) {
        throw new InvariantViolation('forgotten', `no question about ${id} is answered`);
      }
    }
    for (const id of this.cancelled) {
      const at = this.jobs.get(id)?.cancelledAt ?? now;
      if (now <= at + this.cancellationDeadline) continue;
      for (const task of this.running.ofJob(id)) {
        throw new InvariantViolation('ran_cancelled', `${task.taskName} is still on ${task.machine.host}`);
      }
      // Every later start of it is caught as it begins.
      this.cancelled.delete(id);
    }
  }

  /** Accepted jobs whose users do not know of their end; none at the end of a run that ended without faults. */
  unfinishedJobs(): string[] {
    return [...this.jobs].filter(([, j]) => j.isAccepted && !isTerminal(j.lastStatus)).map(([id]) => id);
  }

  /** Classes, teams and largest jobs that were neglected; see {@link findNeglectedGroups}. */
  neglectedGroups(): string[] {
    return findNeglectedGroups(this.jobs.values());
  }

  private statusReceived(job: JobObservation, state: JobStatus | null, now: Micros): void {
    const { id } = job.spec;
    if (state === 'done' && job.doneTasks.size < job.spec.taskCount) {
      throw new InvariantViolation(
        'not_done',
        `${id} with ${job.doneTasks.size} of ${job.spec.taskCount} tasks done`,
      );
    }
    if (state === 'cancelled' && !job.isCancellationRequested)
      throw new InvariantViolation('went_back', `${id} was never cancelled`);
    if (isTerminal(job.lastStatus) && state !== job.lastStatus)
      throw new InvariantViolation('went_back', `${id}: ${job.lastStatus}, ${state}`);
    job.lastStatus = state;
    if (isTerminal(state)) job.endedAt ??= now;
    if (state === 'cancelled' && job.cancelledAt === null) {
      job.cancelledAt = now;
      this.cancelled.add(id);
      this.onEvent('confirmed');
    }
  }
}

function splitTaskName(taskName: string): { id: string; index: number } {
  const separator = taskName.lastIndexOf('/');
  return { id: taskName.slice(0, separator), index: Number(taskName.slice(separator + 1)) };
}
