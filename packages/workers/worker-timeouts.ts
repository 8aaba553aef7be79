/** Timeouts of worker leases, with safety margins for clock drift between nodes. */
import { type Micros, MS, SECOND } from '#wire';

/** The settings that determine the timeouts of worker leases. */
export interface WorkerTimeouts {
  /** Time between two consecutive heartbeats of a worker. */
  readonly heartbeatInterval: Micros;
  /** Time for which a worker keeps its tasks after it sent the last heartbeat that was answered. */
  readonly workerLease: Micros;
  /** Time within which every task of a job is stopped after its cancellation was confirmed, whatever fails. */
  readonly cancellationDeadline: Micros;
}

/**
 * Returns the time to wait on this node's clock until the duration has certainly passed on any other node's clock.
 * Monotonic clocks drift apart by at most 0.05%. The margin of 0.2% and 100 ms covers that drift.
 */
export function withDriftMargin(duration: Micros): Micros {
  return Math.ceil(duration * 1.002) + 100 * MS;
}

/**
 * Returns the renewal bound: the time for which an owner may renew leases after the last moment at which its state was
 * known to be complete. A cancellation may be confirmed on another node after that moment. The last lease that the
 * owner renewed expires `workerLease` later, and so within `cancellationDeadline` of the cancellation. The factor and
 * the subtracted second are safety margins, which cover clock drift.
 */
export function renewalBound(timeouts: WorkerTimeouts): Micros {
  return Math.max(0, Math.floor((timeouts.cancellationDeadline - timeouts.workerLease) * 0.996) - SECOND);
}
