/** Observations that the invariant checker works on, and the error that it throws. */
import type { JobSpec, JobStatus, Micros } from '#wire';

/** Thrown by the checkers when an invariant of the protocol is violated; `invariant` is its name, such as `ran_twice`. */
export class InvariantViolation extends Error {
  constructor(
    readonly invariant: string,
    detail: string,
  ) {
    super(`${invariant}: ${detail}`);
  }
}

/** Resources that the running tasks of a team may use in total. Keyed by team. */
export type TeamLimits = ReadonlyMap<string, { readonly cpus: number; readonly gpus: number }>;

/** Properties of a machine that the invariants refer to. */
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
  /** Time at which the request was sent; `now` by default. */
  readonly sentAt?: Micros;
}

/** Time and attempt of a task start. */
export interface TaskStart {
  readonly now: Micros;
  /** 0 by default. */
  readonly attempt?: number;
}

/** A healthy machine with its unused resources. */
export interface FreeCapacity {
  machine: MachineFacts;
  cpus: number;
  gpus: number;
  memGb: number;
}

/** State of a job as observed from the answers to its user and from the machines. */
export interface JobObservation {
  spec: JobSpec;
  /** True once the user received an answer with status 200 or 201. */
  isAccepted: boolean;
  /** Indexes of the tasks that completed their work. */
  doneTasks: Set<number>;
  /** Status in the last answer to the user. */
  lastStatus: JobStatus | null;
  isCancellationRequested: boolean;
  /** Time at which its user first received the status `cancelled`. */
  cancelledAt: Micros | null;
  /** Time at which its user first received a terminal status. */
  endedAt: Micros | null;
  submittedAt: Micros;
  /** Time of the last answer to a request about it. */
  answeredAt: Micros;
  /** Time at which the first of its tasks started. */
  startedAt: Micros | null;
  /** Time since which it has waited although a machine has free capacity for it; null if it does not. */
  waitingSince: Micros | null;
}

/** True if a job with this status has ended. */
export function isTerminal(status: JobStatus | null): boolean {
  return status === 'done' || status === 'cancelled';
}
