/** What the owner of a machine knows of its worker, report by report. */
import { type Count, fromSeconds, type Micros, sameCount, type WorkerReport } from '#wire';

export type SessionState = 'reporting' | 'recalled' | 'silent' | 'expired';

/** What the owner knows of one worker since its machine became the owner's. */
export interface Session {
  state: SessionState;
  report: WorkerReport;
  heardAt: Micros;
  /** Steady time at which a report was last answered 200, or -Infinity. */
  answeredAt: Micros;
  /** The worker has seen our token: it drops whatever an earlier owner still answers. */
  acknowledged: boolean;
  recallAt: Micros | null;
  /** Our attempts that were seen running, since when; null for those that ran before this owner looked. */
  runningSince: Map<string, Micros | null>;
  /** Attempts launched by the answer to the newest report: their absence from it proves nothing. */
  launched: Set<string>;
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
export function openSession(
  report: WorkerReport,
  old: Session | null,
  acknowledged: boolean,
  now: Micros,
): Session {
  const sameSession = old && sameCount(old.report.session, report.session);
  const session: Session = {
    state: 'reporting',
    report,
    heardAt: now,
    answeredAt: old?.answeredAt ?? -Infinity,
    acknowledged,
    recallAt: null,
    runningSince: sameSession ? old.runningSince : new Map<string, Micros | null>(),
    unreachableSince: old ? unreachableSince(old, report, now) : null,
    launched: new Set(),
    avoidedUntil: old?.avoidedUntil ?? -Infinity,
  };
  const recall = report.spotNoticeS ?? null;
  if (recall !== null) session.recallAt = now + fromSeconds(recall);
  // A notice is not taken back, so a report without it after one with it must not undo it.
  else if (old?.recallAt !== null && old?.recallAt !== undefined) session.recallAt = old.recallAt;
  if (session.recallAt !== null) session.state = 'recalled';
  for (const p of report.tasks) {
    if (p.state === 'running' && !session.runningSince.has(attemptKey(p.task, p.attempt))) {
      // How long those of the first report have run is not known: taken for new they would seem to end early.
      session.runningSince.set(attemptKey(p.task, p.attempt), sameSession ? now : null);
    }
  }
  return session;
}

type Age = Pick<WorkerReport, 'session' | 'sequence'>;

/** Of two messages of one worker the first is the newer one. */
export function newer(a: Age, b: Age): boolean {
  if (!sameCount(a.session, b.session)) return a.session > b.session;
  return a.sequence > b.sequence;
}

/**
 * A worker that got its answer stays and reports here next; one that didn't asks other nodes first, or lives on
 * in a session of its own. Either shows in the numbers of its reports.
 */
function unreachableSince(old: Session, report: WorkerReport, now: Micros): Micros | null {
  if (old.answeredAt < old.heardAt) return old.unreachableSince;
  const stayed = sameCount(old.report.session, report.session);
  if (stayed && BigInt(report.sequence) === BigInt(old.report.sequence) + 1n) return null;
  return old.unreachableSince ?? now;
}

export function attemptKey(taskName: string, attempt: Count): string {
  return `${taskName}#${attempt}`;
}
