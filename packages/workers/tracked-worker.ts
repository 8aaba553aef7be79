/** What the owner of a machine knows of its worker, report by report. */
import { type Count, fromSeconds, type Micros, countsEqual, type Heartbeat } from '#wire';

export type WorkerLiveness = 'reporting' | 'recalled' | 'silent' | 'expired';

/** What the owner knows of one worker since its machine became the owner's. */
export interface TrackedWorker {
  liveness: WorkerLiveness;
  heartbeat: Heartbeat;
  heartbeatAt: Micros;
  /** Steady time at which a report was last answered 200, or -Infinity. */
  respondedAt: Micros;
  /** The worker has seen our token: it drops whatever an earlier owner still answers. */
  hasSeenToken: boolean;
  reclaimAt: Micros | null;
  /** Our attempts that were seen running, since when; null for those that ran before this owner looked. */
  runningSince: Map<string, Micros | null>;
  /** Attempts launched by the answer to the newest report: their absence from it proves nothing. */
  deliveredStarts: Set<string>;
  /**
   * Since when answers seem not to reach it, or null. Its reports may arrive all the while, so silence doesn't
   * tell; and whatever is placed on it is neither started nor proven off before its lease is over.
   */
  unreachableSince: Micros | null;
  /** Until when it gets no new tasks because it refused some. */
  avoidedUntil: Micros;
}

/**
 * What is known of a worker once a newer report than all before has come. `acknowledged`: the report shows the
 * token of this owner.
 */
export function trackHeartbeat(
  heartbeat: Heartbeat,
  old: TrackedWorker | null,
  acknowledged: boolean,
  now: Micros,
): TrackedWorker {
  const sameSession = old && countsEqual(old.heartbeat.incarnation, heartbeat.incarnation);
  const session: TrackedWorker = {
    liveness: 'reporting',
    heartbeat,
    heartbeatAt: now,
    respondedAt: old?.respondedAt ?? -Infinity,
    hasSeenToken: acknowledged,
    reclaimAt: null,
    runningSince: sameSession ? old.runningSince : new Map<string, Micros | null>(),
    unreachableSince: old ? unreachableSince(old, heartbeat, now) : null,
    deliveredStarts: new Set(),
    avoidedUntil: old?.avoidedUntil ?? -Infinity,
  };
  const recall = heartbeat.spotNoticeS ?? null;
  if (recall !== null) session.reclaimAt = now + fromSeconds(recall);
  // A notice is not taken back, so a report without it after one with it must not undo it.
  else if (old?.reclaimAt !== null && old?.reclaimAt !== undefined) session.reclaimAt = old.reclaimAt;
  if (session.reclaimAt !== null) session.liveness = 'recalled';
  for (const p of heartbeat.tasks) {
    if (p.state === 'running' && !session.runningSince.has(attemptKey(p.task, p.attempt))) {
      // How long those of the first report have run is not known: taken for new they would seem to end early.
      session.runningSince.set(attemptKey(p.task, p.attempt), sameSession ? now : null);
    }
  }
  return session;
}

type Age = Pick<Heartbeat, 'incarnation' | 'sequence'>;

/** Of two messages of one worker the first is the newer one. */
export function isNewerHeartbeat(a: Age, b: Age): boolean {
  if (!countsEqual(a.incarnation, b.incarnation)) return a.incarnation > b.incarnation;
  return a.sequence > b.sequence;
}

/**
 * A worker that got its answer stays and reports here next; one that didn't asks other nodes first, or lives on
 * in a session of its own. Either shows in the numbers of its reports.
 */
function unreachableSince(old: TrackedWorker, heartbeat: Heartbeat, now: Micros): Micros | null {
  if (old.respondedAt < old.heartbeatAt) return old.unreachableSince;
  const stayed = countsEqual(old.heartbeat.incarnation, heartbeat.incarnation);
  if (stayed && BigInt(heartbeat.sequence) === BigInt(old.heartbeat.sequence) + 1n) return null;
  return old.unreachableSince ?? now;
}

export function attemptKey(taskName: string, attempt: Count): string {
  return `${taskName}#${attempt}`;
}
