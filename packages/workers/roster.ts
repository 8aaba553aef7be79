import type { Ledger, LiveJob, Outcome, Placement } from '#cluster';
import {
  type Cause,
  type Count,
  fromSeconds,
  type Micros,
  MS,
  type Order,
  parsePiece,
  type PieceReport,
  type Report,
  sameCount,
  SECOND,
} from '#wire';

export type SessionState = 'reporting' | 'recalled' | 'silent' | 'expired';

/** What the owner knows of one worker since it became its owner. */
export interface Session {
  state: SessionState;
  report: Report;
  heardAt: Micros;
  /** Steady time at which a report was last answered 200, or -Infinity. */
  answeredAt: Micros;
  /** The worker has seen our token: it drops whatever an earlier owner still answers. */
  acknowledged: boolean;
  recallAt: Micros | null;
  /** Since when no task is on it. */
  idleSince: Micros | null;
  /** Our attempts that were seen running, with the time they were first seen so. */
  runningSince: Map<string, Micros>;
  /** Attempts launched by the answer to the newest report: their absence from it proves nothing. */
  launched: Set<string>;
  /** Names of images fetched on it, oldest first. */
  images: Set<string>;
  /** Until when it gets no new tasks because it failed some. */
  shunnedUntil: Micros;
  errors: number;
}

export interface Ending {
  placement: Placement;
  outcome: Outcome;
}

export interface RosterLimits {
  report: Micros;
  lease: Micros;
  cancel: Micros;
}

/** Steady clocks drift apart by at most 0.05%; a margin of 0.2% and a little more is always on the safe side. */
export function withDrift(duration: Micros): Micros {
  return Math.ceil(duration * 1.002) + 100 * MS;
}

/**
 * How long after the last moment at which its state was known to be complete an owner may still renew
 * leases. A withdrawal confirmed elsewhere after that moment then still takes hold in time: the last answer
 * given runs out `lease` later, within `cancel` of the withdrawal.
 */
export function renewalBound(limits: RosterLimits): Micros {
  return Math.max(0, Math.floor((limits.cancel - limits.lease) * 0.996) - SECOND);
}

const IMAGES_KEPT = 12;

export class Roster {
  readonly sessions = new Map<string, Session>();
  /** Attempts that are to be stopped, by piece: the attempt and the time granted for saving. */
  private readonly stops = new Map<string, { try: number; windDownS: number }>();
  private ownerSince: Micros = 0;

  constructor(private readonly limits: RosterLimits) {}

  /** A new leadership knows nothing of what the workers were told before it. */
  reset(now: Micros): void {
    this.sessions.clear();
    this.stops.clear();
    this.ownerSince = now;
  }

  /** Takes a report in; false if a newer one from this worker is known already. */
  receive(report: Report, baton: number, now: Micros): boolean {
    const old = this.sessions.get(report.Host);
    if (old && !newer(report, old.report)) return false;
    const sameSession = old && sameCount(old.report.Shift, report.Shift);
    const session: Session = {
      state: 'reporting',
      report,
      heardAt: now,
      answeredAt: old?.answeredAt ?? -Infinity,
      acknowledged: sameCount(report.Baton, baton),
      recallAt: null,
      idleSince: null,
      runningSince: sameSession ? old.runningSince : new Map<string, Micros>(),
      launched: new Set(),
      images: old?.images ?? new Set<string>(),
      shunnedUntil: old?.shunnedUntil ?? -Infinity,
      errors: old?.errors ?? 0,
    };
    const recall = report.RecallS ?? null;
    if (recall !== null) session.recallAt = now + fromSeconds(recall);
    // A notice is not taken back, so a report without it after one with it must not undo it.
    else if (old?.recallAt !== null && old?.recallAt !== undefined) session.recallAt = old.recallAt;
    if (session.recallAt !== null) session.state = 'recalled';
    const busy = report.Pieces.some((p) => p.Status !== 'exited');
    if (!busy) session.idleSince = old?.idleSince ?? now;
    for (const p of report.Pieces) {
      if (p.Status === 'running' && !session.runningSince.has(attemptKey(p.Piece, p.Try))) {
        session.runningSince.set(attemptKey(p.Piece, p.Try), now);
      }
    }
    this.sessions.set(report.Host, session);
    return true;
  }

  answered(host: string, now: Micros): void {
    const session = this.sessions.get(host);
    if (session) session.answeredAt = now;
  }

  noteImage(host: string, bundle: string): void {
    const images = this.sessions.get(host)?.images;
    if (!images) return;
    images.delete(bundle);
    images.add(bundle);
    if (images.size > IMAGES_KEPT) images.delete(images.values().next().value as string);
  }

  stop(placement: Placement, windDownS: number): void {
    this.stops.set(placement.piece, { try: placement.try, windDownS });
  }

  isStopping(placement: Placement): boolean {
    return this.stops.get(placement.piece)?.try === placement.try;
  }

  forget(host: string): void {
    this.sessions.delete(host);
  }

  /** Moves every session to the state that its silence calls for. */
  advance(now: Micros, ledger: Ledger): void {
    for (const [host, s] of this.sessions) {
      const silence = now - s.heardAt;
      if (this.leaseOver(s, now)) this.enter(s, 'expired');
      else if (s.state === 'reporting' && silence > this.limits.report * 1.5 + 1500 * MS)
        this.enter(s, 'silent');
      if (ledger.onHost.has(host)) s.idleSince = null;
      else s.idleSince ??= now;
    }
    for (const [piece, stop] of this.stops) {
      const at = parsePiece(piece);
      if (!at || ledger.placement(at.job, at.index)?.try !== stop.try) this.stops.delete(piece);
    }
  }

  /** Every placement that is proven off its machine, with how it ended. */
  endings(ledger: Ledger, jobs: ReadonlyMap<string, LiveJob>, now: Micros): Ending[] {
    const endings: Ending[] = [];
    for (const [host, session] of this.sessions) {
      if (!ledger.onHost.has(host)) continue;
      const pieces = new Map(session.report.Pieces.map((p) => [p.Piece, p]));
      for (const placement of ledger.placementsOn(host)) {
        const outcome = this.outcome(placement, session, pieces.get(placement.piece), jobs, now);
        if (outcome) endings.push({ placement, outcome });
      }
    }
    // A machine not heard of since the last change of owner: whoever was entitled before must have fallen
    // silent by now, and the lease on top of that is over.
    if (now > this.ownerSince + withDrift(this.limits.cancel)) {
      for (const host of ledger.onHost.keys()) {
        if (this.sessions.has(host)) continue;
        for (const placement of ledger.placementsOn(host)) endings.push({ placement, outcome: 'lost' });
      }
    }
    return endings;
  }

  /** The commands for a worker that has just reported. `fresh`: new starts may be sent. */
  orders(host: string, ledger: Ledger, jobs: ReadonlyMap<string, LiveJob>, fresh: boolean): Order[] {
    const session = this.sessions.get(host);
    if (!session) return [];
    const orders: Order[] = [];
    const seen = new Set<string>();
    for (const p of session.report.Pieces) {
      const placement = matching(ledger, host, p);
      if (placement) seen.add(p.Piece);
      const { Piece, Try } = p;
      if (p.Status === 'exited') {
        // Once reaped the worker doesn't know the attempt any more: only after its end is in the log.
        if (!placement) orders.push({ Verb: 'reap', Piece, Try });
      } else if (!placement || !jobs.has(placement.job)) {
        orders.push({ Verb: 'halt', Piece, Try, WindDownS: 0 });
      } else if (this.isStopping(placement) && p.Status !== 'saving') {
        orders.push({ Verb: 'halt', Piece, Try, WindDownS: this.stops.get(Piece)?.windDownS ?? 0 });
      }
    }
    if (!fresh) return orders;
    for (const placement of ledger.placementsOn(host)) {
      if (seen.has(placement.piece) || !this.wanted(placement, session, jobs)) continue;
      if (!sameCount(placement.shift, session.report.Shift)) continue;
      session.launched.add(attemptKey(placement.piece, placement.try));
      orders.push({ Verb: 'launch', Piece: placement.piece, Try: placement.try });
    }
    return orders;
  }

  /** A start is wanted until its job is over, its machine is to go, or it was told to stop; never again after. */
  private wanted(placement: Placement, session: Session, jobs: ReadonlyMap<string, LiveJob>): boolean {
    return jobs.has(placement.job) && session.recallAt === null && !this.isStopping(placement);
  }

  private outcome(
    placement: Placement,
    session: Session,
    piece: PieceReport | undefined,
    jobs: ReadonlyMap<string, LiveJob>,
    now: Micros,
  ): Outcome | null {
    const { report } = session;
    if (!sameCount(placement.shift, report.Shift)) {
      // The worker killed and forgot all tasks of its earlier sessions.
      return placement.shift < report.Shift ? 'lost' : null;
    }
    const present = piece !== undefined && sameCount(piece.Try, placement.try);
    if (present && piece.Status === 'exited') return outcomeOf(piece.Cause ?? 'error');
    if (this.leaseOver(session, now)) return 'lost';
    if (present) return null;
    // Absent from the newest report of a worker that obeys our token only: no answer to an earlier report can
    // still take effect, and the answer to this one carried no start of it. If it isn't wanted any more, it is
    // off for good.
    const launched = session.launched.has(attemptKey(placement.piece, placement.try));
    if (session.acknowledged && !launched && !this.wanted(placement, session, jobs)) return 'undelivered';
    return null;
  }

  /** The worker's lease has run out for certain, whoever may have answered it last. */
  private leaseOver(session: Session, now: Micros): boolean {
    const own = session.answeredAt + withDrift(this.limits.lease);
    const others = session.acknowledged ? -Infinity : this.ownerSince + withDrift(this.limits.cancel);
    const heard = session.heardAt + withDrift(this.limits.lease);
    return now > Math.max(own, others, heard);
  }

  private enter(session: Session, state: SessionState): void {
    session.state = state;
  }
}

function newer(a: Report, b: Report): boolean {
  if (!sameCount(a.Shift, b.Shift)) return a.Shift > b.Shift;
  return a.Tally > b.Tally;
}

function matching(ledger: Ledger, host: string, p: PieceReport): Placement | null {
  const at = parsePiece(p.Piece);
  const placement = at ? ledger.placement(at.job, at.index) : undefined;
  return placement && placement.host === host && sameCount(placement.try, p.Try) ? placement : null;
}

function outcomeOf(cause: Cause): Outcome {
  switch (cause) {
    case 'done':
    case 'halted':
    case 'error':
      return cause;
    case 'full':
    case 'in_use':
    case 'unknown':
      return 'refused';
  }
}

export function attemptKey(piece: string, attempt: Count): string {
  return `${piece}#${attempt}`;
}
