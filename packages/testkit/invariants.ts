/** Checks the invariants of the protocol against the tasks on machines and the answers to users. */
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

/** Once all faults have ended, a status request for a job is answered within this time. */
const ANSWER_DEADLINE: Micros = 75 * SECOND;
/** Longest time that a task may wait while a suitable machine has free capacity and its team is under its limit. */
const WAITING_DEADLINE: Micros = 90 * SECOND;
/**
 * Observes the simulated machines and the answers to users, and throws an {@link InvariantViolation} as soon as an
 * invariant of the protocol is violated. It does not depend on the implementation of the controllers.
 */
export class InvariantChecker {
  /** Keyed by job id. */
  private readonly jobs = new Map<string, JobObservation>();
  private readonly running: RunningTasks;
  /** Ids of jobs whose cancellation is confirmed and whose cancellation deadline has not passed. */
  private readonly pendingCancellations = new Set<string>();
  /** Ids of jobs whose users have not received a terminal status yet. */
  private readonly jobsAwaitingEnd = new Set<string>();
  private faultsEndedAt: Micros = Infinity;
  /** Number of task starts. */
  starts = 0;
  /** Task starts between a confirmed cancellation and its deadline: allowed, but useless. */
  startsAfterConfirmation = 0;
  /** Called for each event during which tests may inject further faults. */
  onEvent: (event: 'confirmed' | 'last end') => void = () => undefined;

  constructor(
    limits: TeamLimits,
    private readonly cancellationDeadline: Micros,
  ) {
    this.running = new RunningTasks(limits);
  }

  /** Records the first submission of a job; repeated submissions change nothing. */
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

  /** Records that a user has requested the cancellation of a job. */
  cancellationRequested(id: string): void {
    const job = this.jobs.get(id);
    if (job) job.isCancellationRequested = true;
  }

  /** Records and checks an answer that a user received about a job, to a request sent at `sentAt`. */
  answerReceived(id: string, { status, state, now, sentAt = now }: UserAnswer): void {
    const job = this.jobs.get(id);
    if (status === 200 || status === 201) {
      if (!job) throw new InvariantViolation('invented', `${id} is answered ${status}`);
      job.isAccepted = true;
      job.answeredAt = now;
      // The request was sent before the user received the terminal status, so its answer may be older than that one
      // and have been delayed in the network.
      if (sentAt < (job.endedAt ?? -Infinity) && !isTerminal(state)) return;
      this.statusReceived(job, state, now);
    } else if (job?.isAccepted && (status === 404 || status === 400 || status === 422)) {
      throw new InvariantViolation('forgotten', `${id} is answered ${status}`);
    }
  }

  /** Records that a task has its image and starts on its machine. */
  taskStarted(taskName: string, machine: MachineFacts, { now, attempt = 0 }: TaskStart): void {
    const { id } = splitTaskName(taskName);
    const job = this.jobs.get(id);
    if (!job) throw new InvariantViolation('invented', `${taskName} starts but its job was never submitted`);
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

  /** Records that a task has left its machine; `isDone` is true if it completed its work. */
  taskEnded(taskName: string, isDone: boolean): void {
    this.running.end(taskName);
    const { id, index } = splitTaskName(taskName);
    const job = this.jobs.get(id);
    if (!isDone || !job) return;
    job.doneTasks.add(index);
    if (job.doneTasks.size >= job.spec.taskCount) this.onEvent('last end');
  }

  /** Returns the name and the host of each running task of the job. */
  runningTasks(id: string): { taskName: string; host: string }[] {
    return this.running.ofJob(id).map((task) => ({ taskName: task.taskName, host: task.machine.host }));
  }

  /**
   * Checks that no job waits for longer than {@link WAITING_DEADLINE} while capacity for it is free; `capacities` holds
   * all healthy machines. Called periodically; has no effect until all faults have ended.
   */
  checkWaitingJobs(now: Micros, capacities: readonly FreeCapacity[]): void {
    if (now < this.faultsEndedAt) return;
    for (const [id, job] of this.jobs) {
      const isWaiting = job.isAccepted && !job.isCancellationRequested && this.waitingTaskCount(id, job) > 0;
      const free =
        isWaiting && this.running.isUnderLimit(job.spec)
          ? this.running.capacityFor(job.spec, capacities)
          : undefined;
      if (!free) job.waitingSince = null;
      else if (now > (job.waitingSince ??= now) + WAITING_DEADLINE) {
        throw new InvariantViolation(
          'left_waiting',
          `${id} waits while ${free.machine.host} has free capacity`,
        );
      }
    }
  }

  /** Returns the number of the job's tasks that are neither done nor running. */
  private waitingTaskCount(id: string, job: JobObservation): number {
    return job.spec.taskCount - job.doneTasks.size - this.runningTasks(id).length;
  }

  /** True if all tasks of the job are done. */
  isJobComplete(id: string): boolean {
    const job = this.jobs.get(id);
    return job !== undefined && job.doneTasks.size >= job.spec.taskCount;
  }

  /** True if the task has completed its work. */
  isTaskDone(taskName: string): boolean {
    const { id, index } = splitTaskName(taskName);
    return this.jobs.get(id)?.doneTasks.has(index) ?? false;
  }

  /** Records that no fault is in effect from now on. */
  faultsEnded(now: Micros): void {
    this.faultsEndedAt = now;
  }

  /** Checks the deadlines of answers and of cancellations. Called after every step of the simulation. */
  checkDeadlines(now: Micros): void {
    for (const id of this.jobsAwaitingEnd) {
      const job = this.jobs.get(id);
      if (!job || isTerminal(job.lastStatus)) this.jobsAwaitingEnd.delete(id);
      else if (job.isAccepted && now > Math.max(this.faultsEndedAt, job.answeredAt) + ANSWER_DEADLINE) {
        throw new InvariantViolation('forgotten', `no status request for ${id} is answered`);
      }
    }
    for (const id of this.pendingCancellations) {
      const cancelledAt = this.jobs.get(id)?.cancelledAt ?? now;
      if (now <= cancelledAt + this.cancellationDeadline) continue;
      for (const task of this.running.ofJob(id)) {
        throw new InvariantViolation('ran_cancelled', `${task.taskName} is still on ${task.machine.host}`);
      }
      // taskStarted() catches every later start.
      this.pendingCancellations.delete(id);
    }
  }

  /** Returns the accepted jobs whose users have not received a terminal status; empty after a run that ends without faults. */
  unfinishedJobs(): string[] {
    return [...this.jobs].filter(([, j]) => j.isAccepted && !isTerminal(j.lastStatus)).map(([id]) => id);
  }

  /** Describes the neglected classes, teams and largest jobs; see {@link findNeglectedGroups}. */
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
      throw new InvariantViolation('went_back', `${id}: no cancellation was requested`);
    if (isTerminal(job.lastStatus) && state !== job.lastStatus)
      throw new InvariantViolation('went_back', `${id}: ${job.lastStatus}, ${state}`);
    job.lastStatus = state;
    if (isTerminal(state)) job.endedAt ??= now;
    if (state === 'cancelled' && job.cancelledAt === null) {
      job.cancelledAt = now;
      this.pendingCancellations.add(id);
      this.onEvent('confirmed');
    }
  }
}

function splitTaskName(taskName: string): { id: string; index: number } {
  const separator = taskName.lastIndexOf('/');
  return { id: taskName.slice(0, separator), index: Number(taskName.slice(separator + 1)) };
}
