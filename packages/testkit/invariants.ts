import { type JobStatus, type Micros, SECOND, type JobSpec } from '#wire';

/** Once all troubles are over, a question about a job is answered within this time. */
const ANSWER_DEADLINE: Micros = 75 * SECOND;
/** So long no task waits while a machine that fits has room and its team is under its limit. */
const WAITING_DEADLINE: Micros = 90 * SECOND;
/** Within this time the largest jobs begin, too. */
const LARGEST_JOB_START_DEADLINE: Micros = 240 * SECOND;

/** A broken rule of the protocol, by its name there. */
export class InvariantViolation extends Error {
  constructor(
    readonly invariant: string,
    detail: string,
  ) {
    super(`${invariant}: ${detail}`);
  }
}

/** Resources that the running tasks of each team may use together. */
export type TeamLimits = ReadonlyMap<string, { readonly cpus: number; readonly gpus: number }>;

/** What an invariant needs to know about a machine. */
export interface MachineFacts {
  host: string;
  machineType: string;
  zone: string;
  spot: boolean;
}

/** An answer that a user received about a job. */
export interface UserAnswer {
  readonly status: number;
  readonly state: JobStatus | null;
  readonly now: Micros;
  /** When its request was sent; `now` by default. */
  readonly sentAt?: Micros;
}

/** When a task started, and in which attempt. */
export interface TaskStart {
  readonly now: Micros;
  /** 0 by default. */
  readonly attempt?: number;
}

/** A machine that works, with the room that it really has. */
export interface FreeCapacity {
  machine: MachineFacts;
  cpus: number;
  gpus: number;
  memGb: number;
}

interface RunningTask {
  taskName: string;
  job: string;
  machine: MachineFacts;
  attempt: number;
}

interface JobObservation {
  spec: JobSpec;
  isAccepted: boolean;
  doneTasks: Set<number>;
  lastStatus: JobStatus | null;
  isCancellationRequested: boolean;
  /** When its user was first told that it is cancelled. */
  cancelledAt: Micros | null;
  /** When its user was first told of its end. */
  endedAt: Micros | null;
  submittedAt: Micros;
  /** When a question about it was last answered. */
  answeredAt: Micros;
  /** When the first of its tasks began. */
  startedAt: Micros | null;
  /** Since when it has waited though a machine had room; null while it does not. */
  waitingSince: Micros | null;
}

/**
 * Sees what really happens on the simulated machines and what users are told, and throws as soon as a rule
 * of the protocol is broken. It knows nothing of the service.
 */
export class InvariantChecker {
  private readonly jobs = new Map<string, JobObservation>();
  private readonly running = new Map<string, RunningTask>();
  private readonly used = new Map<string, { cpus: number; gpus: number }>();
  /** Jobs whose users were told that they are cancelled, until their time to be gone is up. */
  private readonly cancelled = new Set<string>();
  /** Jobs whose users have yet to be told of an end. */
  private readonly jobsAwaitingEnd = new Set<string>();
  private faultsEndedAt: Micros = Infinity;
  starts = 0;
  /** No rule forbids them within the time to be gone, but they are of no use to anyone. */
  startsAfterConfirmation = 0;
  /** Told of what a second trouble may follow upon. */
  onEvent: (event: 'confirmed' | 'last end') => void = () => undefined;

  constructor(
    private readonly limits: TeamLimits,
    private readonly cancellationDeadline: Micros,
  ) {}

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
      this.statusReceived(id, job, state, now);
    } else if (job?.isAccepted && (status === 404 || status === 400 || status === 422)) {
      throw new InvariantViolation('forgotten', `${id} is answered ${status}`);
    }
  }

  /** A task is on its machine: it has its image. */
  taskStarted(taskName: string, machine: MachineFacts, { now, attempt = 0 }: TaskStart): void {
    const cut = taskName.lastIndexOf('/');
    const id = taskName.slice(0, cut);
    const job = this.jobs.get(id);
    if (!job) throw new InvariantViolation('invented', `${taskName} starts but nobody submitted it`);
    const other = this.running.get(taskName);
    if (other)
      throw new InvariantViolation('ran_twice', `${taskName} on ${other.machine.host} and ${machine.host}`);
    if (job.cancelledAt !== null && now > job.cancelledAt + this.cancellationDeadline) {
      throw new InvariantViolation('ran_cancelled', `${taskName} starts`);
    }
    this.checkPlacement(job.spec, taskName, machine);
    if (job.spec.shape === 'gang') this.checkAttempt(taskName, id, attempt);
    this.running.set(taskName, { taskName, job: id, machine, attempt });
    this.updateUsage(job.spec, 1);
    job.startedAt ??= now;
    job.waitingSince = null;
    this.starts++;
    if (job.cancelledAt !== null) this.startsAfterConfirmation++;
  }

  taskEnded(taskName: string, done: boolean): void {
    const was = this.running.get(taskName);
    const cut = taskName.lastIndexOf('/');
    const job = this.jobs.get(taskName.slice(0, cut));
    if (was && job) {
      this.running.delete(taskName);
      this.updateUsage(job.spec, -1);
    }
    if (!done || !job) return;
    job.doneTasks.add(Number(taskName.slice(cut + 1)));
    if (job.doneTasks.size >= job.spec.taskCount) this.onEvent('last end');
  }

  /** Tasks of the job that are on machines: name and machine of each. */
  runningTasks(id: string): { taskName: string; host: string }[] {
    const owned = [...this.running.values()].filter((r) => r.job === id);
    return owned.map((r) => ({ taskName: r.taskName, host: r.machine.host }));
  }

  /**
   * Nothing waits without reason: looked at every so often once the troubles are over, with all machines that
   * work.
   */
  checkWaitingJobs(now: Micros, rooms: readonly FreeCapacity[]): void {
    if (now < this.faultsEndedAt) return;
    for (const [id, job] of this.jobs) {
      const waits = job.isAccepted && !job.isCancellationRequested && this.waiting(id, job) > 0;
      const room = waits && this.isUnderLimit(job.spec) ? this.capacityFor(job.spec, rooms) : undefined;
      if (!room) job.waitingSince = null;
      else if (now > (job.waitingSince ??= now) + WAITING_DEADLINE) {
        throw new InvariantViolation('left_waiting', `${id} waits while ${room.machine.host} has room`);
      }
    }
  }

  private waiting(id: string, job: JobObservation): number {
    return job.spec.taskCount - job.doneTasks.size - this.runningTasks(id).length;
  }

  /** A machine with room for one of the job's tasks; for a gang, one of those that have room for all of them. */
  private capacityFor(spec: JobSpec, rooms: readonly FreeCapacity[]): FreeCapacity | undefined {
    const open = rooms.filter((room) => this.fits(spec, room));
    if (spec.shape === 'array') return open[0];
    const slots = new Map<string, number>();
    return open.find((room) => {
      const zone = spec.singleZone ? room.machine.zone : '';
      slots.set(zone, (slots.get(zone) ?? 0) + slotsIn(spec, room));
      return (slots.get(zone) ?? 0) >= spec.taskCount;
    });
  }

  private isUnderLimit({ team, cpus, gpus, shape, taskCount }: JobSpec): boolean {
    const limit = this.limits.get(team);
    const used = this.used.get(team) ?? { cpus: 0, gpus: 0 };
    const count = shape === 'gang' ? taskCount : 1;
    return !limit || (used.cpus + count * cpus <= limit.cpus && used.gpus + count * gpus <= limit.gpus);
  }

  private fits(spec: JobSpec, { machine, cpus, gpus, memGb }: FreeCapacity): boolean {
    return (
      spec.cpus <= cpus &&
      spec.gpus <= gpus &&
      spec.memGb <= memGb &&
      this.placementViolation(spec, machine) === null
    );
  }

  /** All tasks of the job are done. */
  isComplete(id: string): boolean {
    const job = this.jobs.get(id);
    return job !== undefined && job.doneTasks.size >= job.spec.taskCount;
  }

  isDone(taskName: string): boolean {
    const cut = taskName.lastIndexOf('/');
    return this.jobs.get(taskName.slice(0, cut))?.doneTasks.has(Number(taskName.slice(cut + 1))) ?? false;
  }

  /** From now on nothing is in the way any more. */
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
      for (const task of this.running.values()) {
        if (task.job !== id) continue;
        throw new InvariantViolation('ran_cancelled', `${task.taskName} is still on ${task.machine.host}`);
      }
      // Every later start of it is caught as it begins.
      this.cancelled.delete(id);
    }
  }

  /** At the end of a run without further trouble every accepted job should have been told final. */
  unfinishedJobs(): string[] {
    return [...this.jobs].filter(([, j]) => j.isAccepted && !isTerminal(j.lastStatus)).map(([id]) => id);
  }

  /**
   * Classes, teams and largest jobs that were neglected: less than half of their jobs done (those that their
   * users cancelled apart), or a largest job that began too late.
   */
  neglectedGroups(): string[] {
    const groups = new Map<string, JobObservation[]>();
    const into = (name: string, job: JobObservation): void => {
      groups.set(name, [...(groups.get(name) ?? []), job]);
    };
    const jobs = [...this.jobs.values()].filter((j) => j.isAccepted && !j.isCancellationRequested);
    for (const job of jobs) {
      into(`class ${job.spec.jobClass}`, job);
      into(`team ${job.spec.team}`, job);
    }
    const complaints: string[] = [];
    for (const lane of new Set(jobs.map((j) => j.spec.jobClass))) {
      const ranked = jobs
        .filter((j) => j.spec.jobClass === lane)
        .sort((a, b) => b.spec.taskCount - a.spec.taskCount);
      for (const job of ranked.slice(0, Math.ceil(ranked.length / 10))) {
        into(`largest of ${lane}`, job);
        const wait = (job.startedAt ?? Infinity) - job.submittedAt;
        if (wait > LARGEST_JOB_START_DEADLINE) complaints.push(`${job.spec.id} of ${lane} began too late`);
      }
    }
    for (const [name, members] of groups) {
      const served = members.filter((j) => j.doneTasks.size >= j.spec.taskCount).length;
      if (served * 2 < members.length) complaints.push(`${name}: ${served} of ${members.length} done`);
    }
    return complaints;
  }

  private statusReceived(id: string, job: JobObservation, state: JobStatus | null, now: Micros): void {
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

  /** Our own promise: a new attempt of a gang begins only once the old one is off all machines. */
  private checkAttempt(taskName: string, job: string, attempt: number): void {
    const other = [...this.running.values()].find((r) => r.job === job && r.attempt !== attempt);
    if (!other) return;
    const detail = `${taskName} of attempt ${attempt} meets ${other.taskName} of ${other.attempt}`;
    throw new InvariantViolation('mixed_attempts', detail);
  }

  private checkPlacement(spec: JobSpec, taskName: string, machine: MachineFacts): void {
    const why = this.placementViolation(spec, machine);
    if (why !== null) throw new InvariantViolation('wrong_place', `${taskName} on ${machine.host}: ${why}`);
  }

  /** Why one more task of the job must not be on that machine now, or null. */
  private placementViolation(spec: JobSpec, machine: MachineFacts): string | null {
    if (spec.machineTypes && !spec.machineTypes.includes(machine.machineType)) return 'type';
    if (spec.zone !== null && spec.zone !== machine.zone) return 'zone';
    if (!spec.allowsSpot && machine.spot) return 'spot';
    const others = [...this.running.values()].filter((r) => r.job === spec.id).map((r) => r.machine.zone);
    if (spec.singleZone && others.some((zone) => zone !== machine.zone))
      return 'not the zone of its other tasks';
    const here = others.filter((zone) => zone === machine.zone).length + 1;
    return spec.spreadZones && here > Math.ceil(spec.taskCount / 2) ? 'too many in one zone' : null;
  }

  private tasksOf(team: string): string {
    const owned = [...this.running.values()].filter((r) => this.jobs.get(r.job)?.spec.team === team);
    return owned.map((r) => `${r.taskName} on ${r.machine.host}`).join(', ');
  }

  private updateUsage(spec: JobSpec, sign: 1 | -1): void {
    const used = this.used.get(spec.team) ?? { cpus: 0, gpus: 0 };
    used.cpus += sign * spec.cpus;
    used.gpus += sign * spec.gpus;
    this.used.set(spec.team, used);
    const limit = this.limits.get(spec.team);
    if (limit && (used.cpus > limit.cpus + 1e-6 || used.gpus > limit.gpus + 1e-6)) {
      throw new InvariantViolation(
        'quota',
        `${spec.team} uses ${used.cpus} CPUs and ${used.gpus} GPUs with ${this.tasksOf(spec.team)}`,
      );
    }
  }
}

/** How many of the job's tasks the room takes. */
function slotsIn(spec: JobSpec, { cpus, gpus, memGb }: FreeCapacity): number {
  const part = (room: number, need: number): number => (need > 0 ? Math.floor(room / need + 1e-6) : Infinity);
  return Math.min(part(cpus, spec.cpus), part(gpus, spec.gpus), part(memGb, spec.memGb));
}

function isTerminal(state: JobStatus | null): boolean {
  return state === 'done' || state === 'cancelled';
}
