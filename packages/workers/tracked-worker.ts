/** What the owner of a machine knows of its worker, updated with each heartbeat. */
import { type Count, fromSeconds, type Micros, countsEqual, type Heartbeat } from '#wire';

/**
 * `reporting`: heartbeats arrive in time. `reclaimed`: the cloud has given notice that it takes the machine back.
 * `unresponsive`: a heartbeat is overdue. `expired`: the worker's lease is over for certain.
 */
export type WorkerLiveness = 'reporting' | 'reclaimed' | 'unresponsive' | 'expired';

/** What the owner knows of one worker since it acquired the machine. */
export interface TrackedWorker {
  liveness: WorkerLiveness;
  /** The newest heartbeat. */
  readonly heartbeat: Heartbeat;
  /** Steady time at which it arrived. */
  readonly heartbeatAt: Micros;
  /** Steady time of the last answer that renewed its lease, or -Infinity. */
  respondedAt: Micros;
  /** The worker has seen the fencing token of this owner: it drops whatever an earlier owner still answers. */
  readonly hasSeenToken: boolean;
  /** Steady time at which the cloud takes the machine back, or null. A notice is never withdrawn. */
  readonly reclaimAt: Micros | null;
  /** By attempt key: since when it was seen running; null if it ran before this owner's first heartbeat. */
  readonly runningSince: Map<string, Micros | null>;
  /** Attempts started by the answer to the newest heartbeat: their absence from it proves nothing. */
  readonly deliveredStarts: Set<string>;
  /**
   * Since when answers seem not to reach the worker, or null. Its heartbeats may arrive all the while, so their absence
   * doesn't show it; and a task placed on it is neither started nor proven off before the lease is over.
   */
  readonly unreachableSince: Micros | null;
  /** Until when it gets no new tasks because it refused some. */
  avoidedUntil: Micros;
}

/** A heartbeat that is newer than all before, and what it is added to. */
export interface HeartbeatUpdate {
  readonly heartbeat: Heartbeat;
  /** What was known before; null with the first heartbeat that reaches this owner. */
  readonly previous: TrackedWorker | null;
  /** The heartbeat shows the fencing token of this owner. */
  readonly hasSeenToken: boolean;
  /** Steady time of its arrival. */
  readonly now: Micros;
}

/** What is known of a worker after a heartbeat. */
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
    deliveredStarts: new Set(),
    avoidedUntil: previous?.avoidedUntil ?? -Infinity,
  };
}

function reclaimTime({ heartbeat, previous, now }: HeartbeatUpdate): Micros | null {
  const noticeS = heartbeat.spotNoticeS ?? null;
  if (noticeS !== null) return now + fromSeconds(noticeS);
  // The cloud never withdraws a notice, so a heartbeat without it doesn't end one.
  return previous?.reclaimAt ?? null;
}

function updateRunningSince({ heartbeat, previous, now }: HeartbeatUpdate): Map<string, Micros | null> {
  const isSameIncarnation = previous && countsEqual(previous.heartbeat.incarnation, heartbeat.incarnation);
  const runningSince = isSameIncarnation ? previous.runningSince : new Map<string, Micros | null>();
  for (const { task, attempt, state } of heartbeat.tasks) {
    const key = attemptKey(task, attempt);
    if (state !== 'running' || runningSince.has(key)) continue;
    // How long the tasks of the first heartbeat have run is unknown: counted from now, their run times would be too short.
    runningSince.set(key, isSameIncarnation ? now : null);
  }
  return runningSince;
}

/** Where a heartbeat stands in the sequence of its worker's messages. */
export type HeartbeatPosition = Pick<Heartbeat, 'incarnation' | 'sequence'>;

/** Whether the first of two messages of one worker is the newer one. */
export function isNewerHeartbeat(a: HeartbeatPosition, b: HeartbeatPosition): boolean {
  if (!countsEqual(a.incarnation, b.incarnation)) return a.incarnation > b.incarnation;
  return a.sequence > b.sequence;
}

/**
 * A worker that got its answer sends its next heartbeat to this node. One that didn't asks other nodes first, which
 * raises its sequence number, or starts a new incarnation when its lease is over: both show in its next heartbeat.
 */
function unreachableSince(previous: TrackedWorker, heartbeat: Heartbeat, now: Micros): Micros | null {
  if (previous.respondedAt < previous.heartbeatAt) return previous.unreachableSince;
  const isSameIncarnation = countsEqual(previous.heartbeat.incarnation, heartbeat.incarnation);
  const isNext = BigInt(heartbeat.sequence) === BigInt(previous.heartbeat.sequence) + 1n;
  if (isSameIncarnation && isNext) return null;
  return previous.unreachableSince ?? now;
}

/** Identifies one attempt of a task in maps and sets of this package. */
export function attemptKey(taskName: string, attempt: Count): string {
  return `${taskName}#${attempt}`;
}
