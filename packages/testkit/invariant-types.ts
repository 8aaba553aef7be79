/** What the invariant checker observes, and the error that it throws. */
import type { JobSpec, JobStatus, Micros } from '#wire';

/** A violated invariant of the protocol, by its name in {@link InvariantChecker}'s checks. */
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

/** What is known of a job from its user's answers and from the machines. */
export interface JobObservation {
  spec: JobSpec;
  isAccepted: boolean;
  doneTasks: Set<number>;
  lastStatus: JobStatus | null;
  isCancellationRequested: boolean;
  /** When its user was first informed that it is cancelled. */
  cancelledAt: Micros | null;
  /** When its user was first informed of its end. */
  endedAt: Micros | null;
  submittedAt: Micros;
  /** When a question about it was last answered. */
  answeredAt: Micros;
  /** When the first of its tasks began. */
  startedAt: Micros | null;
  /** Since when it has waited though a machine had room; null while it does not. */
  waitingSince: Micros | null;
}

/** Whether a job with this status has ended. */
export function isTerminal(status: JobStatus | null): boolean {
  return status === 'done' || status === 'cancelled';
}
