/** What the time since a worker's last heartbeat says of its lease and of its machine. */
import type { MachineEntry, MachineStatus } from '#cluster';
import { type Micros, MS, SECOND } from '#wire';
import type { MachineOwnership } from './machine-ownership.js';
import type { TrackedWorker } from './tracked-worker.js';
import { type WorkerTimeouts, withDrift } from './worker-timeouts.js';

/** This many failed tasks in a row quarantine a machine. */
const QUARANTINE_AFTER_FAILURES = 3;
/** How long a machine may stay unresponsive beyond its lease before it is given up. */
const LOST_AFTER_LEASE: Micros = 15 * SECOND;
/** Further time for the first heartbeat to a new owner: the worker has to find it first. */
const OWNER_DISCOVERY: Micros = 2 * SECOND;

/** How long after its last heartbeat a worker counts as unresponsive. */
export function heartbeatTimeout(limits: WorkerTimeouts): Micros {
  return Math.floor(limits.heartbeatInterval * 1.5) + 1500 * MS;
}

/** A moment at which a worker is judged. */
export interface LeaseCheck {
  readonly worker: TrackedWorker;
  /** Undefined: counted as acquired now. */
  readonly ownership: MachineOwnership | undefined;
  readonly now: Micros;
}

/**
 * Whether the worker's lease has expired for certain, whoever renewed it last: then the worker has killed all of its
 * tasks. Its lease runs from the time at which it sent the last heartbeat that was answered. That one was
 *
 * - one of those that this owner received, sent at `heartbeatAt` at the latest (`respondedAt` adds a margin); or
 * - one that an earlier owner answered. An owner that released the machine itself answered none after `since`. One that
 *   was superseded without knowing it may go on for its renewal bound, which together with the lease ends within
 *   `cancellationDeadline` after `since`; a worker that has seen this owner's token drops such answers.
 */
export function isLeaseExpired(limits: WorkerTimeouts, { worker, ownership, now }: LeaseCheck): boolean {
  const since = ownership?.since ?? now;
  const lease = withDrift(limits.workerLease);
  const earlierOwners = worker.hasSeenToken ? lease : withDrift(limits.cancellationDeadline);
  return now > Math.max(worker.respondedAt + lease, worker.heartbeatAt + lease, since + earlierOwners);
}

/** Sets the liveness that the time since the last heartbeat calls for. */
export function updateLiveness(limits: WorkerTimeouts, check: LeaseCheck): void {
  const { worker, now } = check;
  const isOverdue = now - worker.heartbeatAt > heartbeatTimeout(limits);
  if (isLeaseExpired(limits, check)) worker.liveness = 'expired';
  else if (worker.liveness === 'reporting' && isOverdue) worker.liveness = 'unresponsive';
}

/** The status of a machine whose worker has sent heartbeats to this owner. */
export function trackedMachineStatus(
  limits: WorkerTimeouts,
  entry: MachineEntry,
  { worker, now }: { readonly worker: TrackedWorker; readonly now: Micros },
): MachineStatus {
  const lostAfter = withDrift(limits.workerLease) + LOST_AFTER_LEASE;
  const unreachableFor = worker.unreachableSince === null ? 0 : now - worker.unreachableSince;
  if (unreachableFor > lostAfter) return 'lost';
  switch (worker.liveness) {
    case 'reporting':
      if (unreachableFor > heartbeatTimeout(limits)) return 'unresponsive';
      return entry.consecutiveFailures >= QUARANTINE_AFTER_FAILURES ? 'quarantined' : 'up';
    case 'reclaimed':
      return 'reclaimed';
    case 'unresponsive':
      return 'unresponsive';
    case 'expired':
      return now > worker.heartbeatAt + lostAfter ? 'lost' : 'unresponsive';
  }
}

/** The status of a machine whose worker has yet to find this owner. */
export function untrackedMachineStatus(
  limits: WorkerTimeouts,
  entry: MachineEntry,
  { ownership, now }: { readonly ownership: MachineOwnership | undefined; readonly now: Micros },
): MachineStatus {
  if (!ownership || entry.status === 'new' || entry.status === 'lost') return entry.status;
  if (now > ownership.since + withDrift(limits.cancellationDeadline)) return 'lost';
  const isOverdue = now > ownership.since + heartbeatTimeout(limits) + OWNER_DISCOVERY;
  return isOverdue ? 'unresponsive' : entry.status;
}
