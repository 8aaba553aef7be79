/** The state of a worker as the owner of its machine knows it. Each heartbeat updates it. */
import { type Count, fromSeconds, type Micros, countsEqual, type Heartbeat } from '#wire';

/**
 * Liveness of a worker. `reporting`: heartbeats arrive in time. `reclaimed`: the cloud has given notice that it
 * reclaims the machine. `unresponsive`: a heartbeat is overdue. `expired`: the worker's lease has certainly expired.
 */
export type WorkerLiveness = 'reporting' | 'reclaimed' | 'unresponsive' | 'expired';

/** The state of one worker, from the heartbeats that the owner received since it acquired the machine. */
export interface TrackedWorker {
  liveness: WorkerLiveness;
  /** The newest heartbeat. */
  readonly heartbeat: Heartbeat;
  /** Monotonic time at which the newest heartbeat arrived. */
  readonly heartbeatAt: Micros;
  /** Monotonic time of the last heartbeat response, which renewed the lease; -Infinity if none was sent. */
  respondedAt: Micros;
  /** True if the worker has seen this owner's fencing token. It then ignores the responses of earlier owners. */
  readonly hasSeenToken: boolean;
  /** Monotonic time at which the cloud reclaims the machine; null without a notice. A notice is never withdrawn. */
  readonly reclaimAt: Micros | null;
  /**
   * Monotonic time at which this owner first saw an attempt running; null if the attempt was already running in the
   * first heartbeat of the worker's incarnation. Keyed by attempt key.
   */
  readonly runningSince: Map<string, Micros | null>;
  /**
   * Keys of the attempts for which the response to the newest heartbeat carried a start command. The absence of these
   * attempts from that heartbeat doesn't prove that they never start.
   */
  readonly sentStarts: Set<string>;
  /**
   * Monotonic time since which responses seem not to reach the worker, or null. Heartbeats may arrive meanwhile, so
   * this fault doesn't show as a missing heartbeat. A task placed on the worker can neither start nor be proven
   * stopped before the lease has expired.
   */
  readonly unreachableSince: Micros | null;
  /** Monotonic time until which the worker gets no new tasks, because it refused a task. */
  avoidedUntil: Micros;
}

/** A heartbeat that is newer than all earlier ones of its worker, and the state that it updates. */
export interface HeartbeatUpdate {
  readonly heartbeat: Heartbeat;
  /** The state before this heartbeat; null for the first heartbeat that reaches this owner. */
  readonly previous: TrackedWorker | null;
  /** True if the heartbeat proves that the worker has seen this owner's fencing token. */
  readonly hasSeenToken: boolean;
  /** Monotonic time at which the heartbeat arrived. */
  readonly now: Micros;
}

/** Returns the state of a worker after a heartbeat. */
export function trackHeartbeat(update: HeartbeatUpdate): TrackedWorker {
  const { heartbeat, previous, hasSeenToken, now } = update;
  const reclaimAt = reclaimTime(update);
  return {
    liveness: reclaimAt === null ? 'reporting' : 'reclaimed',
    heartbeat,
    heartbeatAt: now,
    respondedAt: previous?.respondedAt ?? -Infinity,
    hasSeenToken,
    reclaimAt,
    runningSince: updateRunningSince(update),
    unreachableSince: previous ? unreachableSince(previous, heartbeat, now) : null,
    sentStarts: new Set(),
    avoidedUntil: previous?.avoidedUntil ?? -Infinity,
  };
}

function reclaimTime({ heartbeat, previous, now }: HeartbeatUpdate): Micros | null {
  const noticeS = heartbeat.spotNoticeS ?? null;
  if (noticeS !== null) return now + fromSeconds(noticeS);
  // The cloud never withdraws a notice, so a heartbeat without a notice doesn't cancel an earlier one.
  return previous?.reclaimAt ?? null;
}

function updateRunningSince({ heartbeat, previous, now }: HeartbeatUpdate): Map<string, Micros | null> {
  const isSameIncarnation = previous && countsEqual(previous.heartbeat.incarnation, heartbeat.incarnation);
  const runningSince = isSameIncarnation ? previous.runningSince : new Map<string, Micros | null>();
  for (const { task, attempt, state } of heartbeat.tasks) {
    const key = attemptKey(task, attempt);
    if (state !== 'running' || runningSince.has(key)) continue;
    // It is unknown how long the tasks of the first heartbeat have been running. Measured from now, their run times
    // would be too short.
    runningSince.set(key, isSameIncarnation ? now : null);
  }
  return runningSince;
}

/** The position of a heartbeat in the order of all heartbeats of its worker. */
export type HeartbeatPosition = Pick<Heartbeat, 'incarnation' | 'sequence'>;

/** Returns true if `candidate` is newer than `reference`. Both are heartbeats of the same worker. */
export function isNewerHeartbeat(candidate: HeartbeatPosition, reference: HeartbeatPosition): boolean {
  if (!countsEqual(candidate.incarnation, reference.incarnation))
    return candidate.incarnation > reference.incarnation;
  return candidate.sequence > reference.sequence;
}

/**
 * Returns the time since which responses seem not to reach the worker, or null. A worker that received a response
 * sends its next heartbeat to this node, with the next sequence number. A worker that didn't receive it tries other
 * nodes first, which increases its sequence number, or starts a new incarnation when its lease expires. Both show in
 * the next heartbeat that this node receives. An unanswered heartbeat gives no new information.
 */
function unreachableSince(previous: TrackedWorker, heartbeat: Heartbeat, now: Micros): Micros | null {
  if (previous.respondedAt < previous.heartbeatAt) return previous.unreachableSince;
  const isSameIncarnation = countsEqual(previous.heartbeat.incarnation, heartbeat.incarnation);
  const isNext = BigInt(heartbeat.sequence) === BigInt(previous.heartbeat.sequence) + 1n;
  if (isSameIncarnation && isNext) return null;
  return previous.unreachableSince ?? now;
}

/** Returns the key of one attempt of a task in the maps and sets of this package. */
export function attemptKey(taskName: string, attempt: Count): string {
  return `${taskName}#${attempt}`;
}
