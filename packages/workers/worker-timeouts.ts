/** Durations of worker leases, with margins for steady clocks that drift apart. */
import { type Micros, MS, SECOND } from '#wire';

/** The durations, from the settings, that the leases of workers follow. */
export interface WorkerTimeouts {
  /** Time between two heartbeats of a worker. */
  readonly heartbeatInterval: Micros;
  /** How long a worker keeps its tasks, counted from when it sent the last heartbeat that was answered. */
  readonly workerLease: Micros;
  /** Time within which a confirmed cancellation has stopped every task of its job, whatever fails. */
  readonly cancellationDeadline: Micros;
}

/**
 * The time on this node's clock after which a duration has passed on any other clock for certain. Steady clocks drift
 * apart by at most 0.05%; the margin of 0.2% and 100 ms covers that.
 */
export function withDrift(duration: Micros): Micros {
  return Math.ceil(duration * 1.002) + 100 * MS;
}

/**
 * How long after the last moment at which its state was known to be complete an owner may still renew
 * leases. A cancellation confirmed elsewhere after that moment then still takes hold in time: the last answer
 * given runs out `workerLease` later, within `cancellationDeadline` of the cancellation.
 */
export function renewalBound(limits: WorkerTimeouts): Micros {
  return Math.max(0, Math.floor((limits.cancellationDeadline - limits.workerLease) * 0.996) - SECOND);
}
