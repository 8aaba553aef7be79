import type { MachineEntry, MachineStatus, Ledger, LiveJob, Outcome, Placement, ShareOwner } from '#cluster';
import {
  type ExitCause,
  type Count,
  type Micros,
  MS,
  type Command,
  parseTaskName,
  type TaskReport,
  type WorkerReport,
  sameCount,
  SECOND,
} from '#wire';
import { type RegistryLimits, withDrift } from './lease-bounds.js';
import { attemptKey, newer, openSession, type Session, type SessionState } from './session.js';

/** One time of owning a machine. */
interface Ownership {
  /** Its share, the revision of the ownership, and the machine's own count: together they name this time. */
  share: number;
  owner: number;
  ownershipCount: number;
  /** When this node learnt that the machine is its own. */
  since: Micros;
  /** A worker that has seen this token obeys no earlier owner. */
  token: number;
  /** Reports up to this one were for its last owner; held back on their way they may still come. */
  lastReport: [session: Count, sequence: Count] | null;
}

export interface Ending {
  placement: Placement;
  outcome: Outcome;
}

/** So many failed tasks in a row make a machine faulty. */
const FAULTY_AFTER = 3;
/** How long a machine is silent beyond its lease before it is given up. */
const GIVE_UP: Micros = 15 * SECOND;

/** The workers of the machines that a node owns: what they reported, and what they are to be told. */
export class WorkerRegistry {
  readonly sessions = new Map<string, Session>();
  private readonly ownerships = new Map<string, Ownership>();
  /** Attempts that are to be stopped, by task: the attempt and the time granted for saving. */
  private readonly stops = new Map<string, { attempt: number; graceS: number }>();

  /** What ownership was last followed to: nothing is looked at again until it differs. */
  private followed: { ledger: Ledger; ownershipChanges: number; owners: string } | null = null;

  constructor(private readonly limits: RegistryLimits) {}

  /**
   * Follows what this node owns. A machine that comes (again) into its hands starts afresh, since nothing is
   * known of what its worker was told in between.
   */
  own(ledger: Ledger, owners: ReadonlyMap<number, ShareOwner>, token: number, now: Micros): void {
    const revisions = [...owners].map(([share, owner]) => `${share}/${owner.revision}`).join();
    const at = this.followed;
    // Asked for at every report: a look at each machine every time would cost machines times reports.
    if (at?.ledger === ledger && at.ownershipChanges === ledger.ownershipChanges && at.owners === revisions)
      return;
    this.followed = { ledger, ownershipChanges: ledger.ownershipChanges, owners: revisions };
    for (const [host, ownership] of this.ownerships) {
      const entry = ledger.hosts.get(host);
      const owner = entry && entry.share !== null ? owners.get(entry.share) : undefined;
      if (entry && owner && isSame(ownership, entry, owner)) continue;
      this.ownerships.delete(host);
      this.sessions.delete(host);
    }
    for (const [host, entry] of ledger.hosts) {
      const owner = entry.share === null ? undefined : owners.get(entry.share);
      if (entry.share === null || !owner || this.ownerships.has(host)) continue;
      // Let go by an owner that had not heard of it: then only a token yet to come tells old from new.
      const unheard = entry.ownershipCount > 0 && entry.lastReport === null;
      this.ownerships.set(host, {
        ...{
          share: entry.share,
          owner: owner.revision,
          ownershipCount: entry.ownershipCount,
          lastReport: entry.lastReport,
        },
        ...{ since: now, token: unheard ? token + 1 : token },
      });
    }
  }

  /** Takes a report in; false if a newer one from this worker is known already, or it isn't ours. */
  receive(report: WorkerReport, now: Micros): boolean {
    const ownership = this.ownerships.get(report.host);
    const old = this.sessions.get(report.host);
    if (!ownership || (old && !newer(report, old.report))) return false;
    if (
      ownership.lastReport &&
      !newer(report, { session: ownership.lastReport[0], sequence: ownership.lastReport[1] })
    )
      return false;
    const session = openSession(report, old ?? null, report.token >= ownership.token, now);
    this.sessions.set(report.host, session);
    return true;
  }

  answered(host: string, now: Micros): void {
    const session = this.sessions.get(host);
    if (session) session.answeredAt = now;
  }

  /** Time until the worker can be told something: none while its report waits for its answer. */
  nextReportIn(host: string, now: Micros): Micros {
    const session = this.sessions.get(host);
    if (!session) return this.limits.report;
    if (session.answeredAt < session.heardAt) return 0;
    return Math.max(0, session.heardAt + this.limits.report - now);
  }

  stop(placement: Placement, graceS: number): void {
    this.stops.set(placement.taskName, { attempt: placement.attempt, graceS });
  }

  /** Tasks on this machine are being stopped. */
  isMakingRoom(host: string, ledger: Ledger): boolean {
    if (this.stops.size === 0) return false;
    for (const p of ledger.placementsOn(host)) if (this.isStopping(p)) return true;
    return false;
  }

  isStopping(placement: Placement): boolean {
    return this.stops.get(placement.taskName)?.attempt === placement.attempt;
  }

  /** Moves every session to the state that its silence calls for. */
  advance(now: Micros, ledger: Ledger): void {
    for (const [host, s] of this.sessions) {
      const silence = now - s.heardAt;
      if (this.leaseOver(host, s, now)) this.enter(s, 'expired');
      else if (s.state === 'reporting' && silence > this.silenceLimit()) this.enter(s, 'silent');
    }
    for (const [taskName, stop] of this.stops) {
      const at = parseTaskName(taskName);
      if (!at || ledger.placement(at.job, at.index)?.attempt !== stop.attempt) this.stops.delete(taskName);
    }
  }

  /** What the log should say of a machine that this node owns. */
  status(entry: MachineEntry, now: Micros): MachineStatus {
    const session = this.sessions.get(entry.host);
    if (session) {
      const unreachableFor = session.unreachableSince === null ? 0 : now - session.unreachableSince;
      if (unreachableFor > withDrift(this.limits.lease) + GIVE_UP) return 'lost';
      if (session.state === 'reporting') {
        if (unreachableFor > this.silenceLimit()) return 'silent';
        return entry.errors >= FAULTY_AFTER ? 'faulty' : 'up';
      }
      if (session.state === 'recalled') return 'recalled';
      const expired = session.state === 'expired';
      return expired && now > session.heardAt + withDrift(this.limits.lease) + GIVE_UP ? 'lost' : 'silent';
    }
    const ownership = this.ownerships.get(entry.host);
    if (!ownership || entry.status === 'new' || entry.status === 'lost') return entry.status;
    // It was up under an earlier owner and has yet to find this one.
    if (now > ownership.since + withDrift(this.limits.cancel)) return 'lost';
    return now > ownership.since + this.silenceLimit() + 2 * SECOND ? 'silent' : entry.status;
  }

  /** Every placement that is proven off its machine, with how it ended. */
  endings(ledger: Ledger, jobs: ReadonlyMap<string, LiveJob>, now: Micros): Ending[] {
    const endings: Ending[] = [];
    for (const [host, ownership] of this.ownerships) {
      if (!ledger.onHost.has(host)) continue;
      const session = this.sessions.get(host);
      if (!session) {
        // Not heard of since it became ours: whoever was entitled before must have fallen silent by now, and
        // the lease on top of that is over.
        if (now <= ownership.since + withDrift(this.limits.cancel)) continue;
        for (const placement of ledger.placementsOn(host)) endings.push({ placement, outcome: 'lost' });
        continue;
      }
      const reported = new Map(session.report.tasks.map((p) => [p.task, p]));
      for (const placement of ledger.placementsOn(host)) {
        const reportedTask = reported.get(placement.taskName);
        const outcome = this.outcome(placement, session, reportedTask, ledger, jobs, now);
        if (!outcome) continue;
        endings.push({ placement, outcome });
        // A late commit may yet make its gang whole while this end is on its way to the log: it stays unwanted.
        if (outcome === 'undelivered') this.stop(placement, 0);
      }
    }
    return endings;
  }

  /** The commands for a worker that has just reported. `fresh`: new starts may be sent. */
  commands(host: string, ledger: Ledger, jobs: ReadonlyMap<string, LiveJob>, fresh: boolean): Command[] {
    const session = this.sessions.get(host);
    if (!session) return [];
    const commands: Command[] = [];
    const seen = new Set<string>();
    for (const p of session.report.tasks) {
      const placement = placementOf(ledger, host, p);
      if (placement) seen.add(p.task);
      const { task, attempt } = p;
      if (p.state === 'exited') {
        // Once told to forget it the worker doesn't know the attempt any more: only after its end is in the log.
        if (!placement) commands.push({ kind: 'forget', task, attempt });
      } else if (
        !placement ||
        !jobs.has(placement.job) ||
        (!ledger.isWhole(placement) && p.state !== 'saving')
      ) {
        // What is left of a gang that lost a task can do nothing more; one that saves ends by itself.
        commands.push({ kind: 'stop', task, attempt, graceS: 0 });
      } else if (this.isStopping(placement) && p.state !== 'saving') {
        commands.push({ kind: 'stop', task, attempt, graceS: this.stops.get(task)?.graceS ?? 0 });
      }
    }
    if (!fresh) return commands;
    for (const placement of ledger.placementsOn(host)) {
      if (seen.has(placement.taskName) || !this.wanted(placement, session, ledger, jobs)) continue;
      if (!sameCount(placement.session, session.report.session)) continue;
      session.launched.add(attemptKey(placement.taskName, placement.attempt));
      commands.push({ kind: 'start', task: placement.taskName, attempt: placement.attempt });
    }
    return commands;
  }

  /**
   * A start is wanted until its job is over, its machine is to go, or it was told to stop; never again after. One of
   * a gang is wanted while nothing of the gang is missing: once one task has ended, nothing joins that attempt again.
   */
  private wanted(
    placement: Placement,
    session: Session,
    ledger: Ledger,
    jobs: ReadonlyMap<string, LiveJob>,
  ): boolean {
    if (!jobs.has(placement.job) || session.recallAt !== null) return false;
    return !this.isStopping(placement) && ledger.isWhole(placement);
  }

  private outcome(
    placement: Placement,
    session: Session,
    task: TaskReport | undefined,
    ledger: Ledger,
    jobs: ReadonlyMap<string, LiveJob>,
    now: Micros,
  ): Outcome | null {
    const { report } = session;
    if (!sameCount(placement.session, report.session)) {
      // The worker killed and forgot all tasks of its earlier sessions.
      return placement.session < report.session ? 'lost' : null;
    }
    const present = task !== undefined && sameCount(task.attempt, placement.attempt);
    if (present && task.state === 'exited') return outcomeOf(task.cause ?? 'failed');
    if (this.leaseOver(placement.host, session, now)) return 'lost';
    if (present) return null;
    // Absent from the newest report of a worker that obeys our token only: no answer to an earlier report can
    // still take effect, and the answer to this one carried no start of it. If it isn't wanted any more, it is
    // off for good.
    const launched = session.launched.has(attemptKey(placement.taskName, placement.attempt));
    if (session.acknowledged && !launched && !this.wanted(placement, session, ledger, jobs))
      return 'undelivered';
    return null;
  }

  /** The worker's lease has run out for certain, whoever may have answered it last. */
  private leaseOver(host: string, session: Session, now: Micros): boolean {
    const since = this.ownerships.get(host)?.since ?? now;
    const lease = withDrift(this.limits.lease);
    // An earlier owner that is superseded without knowing it may answer a worker that has not seen our token
    // until its own bound; one that gave the machine up itself has stopped before.
    const others = since + (session.acknowledged ? lease : withDrift(this.limits.cancel));
    return now > Math.max(session.answeredAt + lease, session.heardAt + lease, others);
  }

  private silenceLimit(): Micros {
    return Math.floor(this.limits.report * 1.5) + 1500 * MS;
  }

  private enter(session: Session, state: SessionState): void {
    session.state = state;
  }
}

function isSame(ownership: Ownership, entry: MachineEntry, owner: ShareOwner): boolean {
  return (
    ownership.share === entry.share &&
    ownership.owner === owner.revision &&
    ownership.ownershipCount === entry.ownershipCount
  );
}

/** The placement that a task in a worker's report is, if the log knows that attempt on that machine. */
export function placementOf(ledger: Ledger, host: string, p: TaskReport): Placement | null {
  const at = parseTaskName(p.task);
  const placement = at ? ledger.placement(at.job, at.index) : undefined;
  return placement && placement.host === host && sameCount(placement.attempt, p.attempt) ? placement : null;
}

function outcomeOf(cause: ExitCause): Outcome {
  switch (cause) {
    case 'done':
    case 'stopped':
    case 'failed':
      return cause;
    case 'peer_gone':
    case 'gang_incomplete':
      return 'stopped';
    case 'no_room':
    case 'duplicate':
    case 'unknown_task':
      return 'refused';
  }
}
