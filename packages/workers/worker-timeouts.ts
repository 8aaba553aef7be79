/** For how long leases last and may be renewed, on the safe side of clocks that drift apart. */
import { type Micros, MS, SECOND } from '#wire';

export interface WorkerTimeouts {
  heartbeatInterval: Micros;
  workerLease: Micros;
  cancellationDeadline: Micros;
}

/** Steady clocks drift apart by at most 0.05%; a margin of 0.2% and a little more is always on the safe side. */
export function withDrift(duration: Micros): Micros {
  return Math.ceil(duration * 1.002) + 100 * MS;
}

/**
 * How long after the last moment at which its state was known to be complete an owner may still renew
 * leases. A cancellation confirmed elsewhere after that moment then still takes hold in time: the last answer
 * given runs out `lease` later, within `cancel` of the cancellation.
 */
export function renewalBound(limits: WorkerTimeouts): Micros {
  return Math.max(0, Math.floor((limits.cancellationDeadline - limits.workerLease) * 0.996) - SECOND);
}
