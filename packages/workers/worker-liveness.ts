/** Derives lease expiry, worker liveness and machine status from the time since a worker's last heartbeat. */
import type { MachineEntry, MachineStatus } from '#cluster';
import { type Micros, MS, SECOND } from '#wire';
import type { MachineOwnership } from './machine-ownership.js';
import type { TrackedWorker } from './tracked-worker.js';
import { type WorkerTimeouts, withDriftMargin } from './worker-timeouts.js';

/** Number of consecutive failed tasks after which a machine is quarantined. */
const QUARANTINE_AFTER_FAILURES = 3;
/** Time for which a machine may stay unresponsive after its worker's lease expired before it counts as lost. */
const LOST_AFTER_LEASE_EXPIRY: Micros = 15 * SECOND;
/** Additional time allowed for the first heartbeat to a new owner, because the worker has to find the owner first. */
const OWNER_DISCOVERY_TIME: Micros = 2 * SECOND;

/** Returns the time after its last heartbeat at which a worker counts as unresponsive. */
export function heartbeatTimeout(timeouts: WorkerTimeouts): Micros {
  return Math.floor(timeouts.heartbeatInterval * 1.5) + 1500 * MS;
}

/** A worker and the ownership of its machine, as of the time `now`. */
export interface LeaseContext {
  readonly worker: TrackedWorker;
  /** If undefined, the machine counts as acquired now. */
  readonly ownership: MachineOwnership | undefined;
  /** The current monotonic time. */
  readonly now: Micros;
}

/**
 * Returns true if the worker's lease has certainly expired, whichever owner renewed it last. The worker has then
 * killed all of its tasks. The lease starts when the worker sends the last heartbeat that is answered. That heartbeat
 * is either:
 *
 * - a heartbeat that this owner received, sent at `heartbeatAt` at the latest (`respondedAt` adds a margin); or
 * - a heartbeat that an earlier owner answered. An owner that released the machine itself sent no response after
 *   `since`, the time at which this owner acquired the machine. An owner that was superseded without knowing it may
 *   renew leases until its renewal bound. The renewal bound and the lease together end within `cancellationDeadline`
 *   after `since`. A worker that has seen this owner's fencing token drops such responses.
 */
export function isLeaseExpired(timeouts: WorkerTimeouts, { worker, ownership, now }: LeaseContext): boolean {
  const ownedSince = ownership?.since ?? now;
  const lease = withDriftMargin(timeouts.workerLease);
  const earlierLease = worker.hasSeenToken ? lease : withDriftMargin(timeouts.cancellationDeadline);
  return now > Math.max(worker.respondedAt + lease, worker.heartbeatAt + lease, ownedSince + earlierLease);
}

/** Updates the liveness of a worker from the time since its last heartbeat. */
export function updateLiveness(timeouts: WorkerTimeouts, context: LeaseContext): void {
  const { worker, now } = context;
  const isOverdue = now - worker.heartbeatAt > heartbeatTimeout(timeouts);
  if (isLeaseExpired(timeouts, context)) worker.liveness = 'expired';
  else if (worker.liveness === 'reporting' && isOverdue) worker.liveness = 'unresponsive';
}

/** Returns the status of a machine whose worker has sent a heartbeat to this owner. */
export function trackedMachineStatus(
  timeouts: WorkerTimeouts,
  entry: MachineEntry,
  { worker, now }: { readonly worker: TrackedWorker; readonly now: Micros },
): MachineStatus {
  const lostAfter = withDriftMargin(timeouts.workerLease) + LOST_AFTER_LEASE_EXPIRY;
  const unreachableFor = worker.unreachableSince === null ? 0 : now - worker.unreachableSince;
  if (unreachableFor > lostAfter) return 'lost';
  switch (worker.liveness) {
    case 'reporting':
      if (unreachableFor > heartbeatTimeout(timeouts)) return 'unresponsive';
      return entry.consecutiveFailures >= QUARANTINE_AFTER_FAILURES ? 'quarantined' : 'up';
    case 'reclaimed':
      return 'reclaimed';
    case 'unresponsive':
      return 'unresponsive';
    case 'expired':
      return now > worker.heartbeatAt + lostAfter ? 'lost' : 'unresponsive';
  }
}

/** Returns the status of a machine whose worker hasn't sent a heartbeat to this owner yet. */
export function untrackedMachineStatus(
  timeouts: WorkerTimeouts,
  entry: MachineEntry,
  { ownership, now }: { readonly ownership: MachineOwnership | undefined; readonly now: Micros },
): MachineStatus {
  if (!ownership || entry.status === 'new' || entry.status === 'lost') return entry.status;
  if (now > ownership.since + withDriftMargin(timeouts.cancellationDeadline)) return 'lost';
  const isOverdue = now > ownership.since + heartbeatTimeout(timeouts) + OWNER_DISCOVERY_TIME;
  return isOverdue ? 'unresponsive' : entry.status;
}
