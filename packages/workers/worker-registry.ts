import type { MachineEntry, MachineStatus, Ledger, LiveJob, Outcome, Placement, ShardOwner } from '#cluster';
import {
  type ExitCause,
  type Count,
  type Micros,
  MS,
  type Command,
  parseTaskName,
  type TaskStatus,
  type Heartbeat,
  countsEqual,
  SECOND,
} from '#wire';
import { type WorkerTimeouts, withDrift } from './worker-timeouts.js';
import {
  attemptKey,
  isNewerHeartbeat,
  trackHeartbeat,
  type TrackedWorker,
  type WorkerLiveness,
} from './tracked-worker.js';

/** One time of owning a machine. */
interface Ownership {
  /** Its share, the revision of the ownership, and the machine's own count: together they name this time. */
  shard: number;
  ownerRevision: number;
  ownershipCount: number;
  /** When this node learnt that the machine is its own. */
  since: Micros;
  /** A worker that has seen this token obeys no earlier owner. */
  fencingToken: number;
  /** Reports up to this one were for its last owner; held back on their way they may still come. */
  lastHeartbeat: [session: Count, sequence: Count] | null;
}

export interface TaskCompletion {
  placement: Placement;
  outcome: Outcome;
}

/** So many failed tasks in a row make a machine faulty. */
const QUARANTINE_AFTER_FAILURES = 3;
/** How long a machine is silent beyond its lease before it is given up. */
const LOST_AFTER_LEASE: Micros = 15 * SECOND;

/** The workers of the machines that a node owns: what they reported, and what they are to be told. */
export class WorkerRegistry {
  readonly trackedWorkers = new Map<string, TrackedWorker>();
  private readonly ownerships = new Map<string, Ownership>();
  /** Attempts that are to be stopped, by task: the attempt and the time granted for saving. */
  private readonly stopRequests = new Map<string, { attempt: number; graceS: number }>();

  /** What ownership was last followed to: nothing is looked at again until it differs. */
  private syncedOwnership: { ledger: Ledger; ownershipChanges: number; owners: string } | null = null;

  constructor(private readonly limits: WorkerTimeouts) {}

  /**
   * Follows what this node owns. A machine that comes (again) into its hands starts afresh, since nothing is
   * known of what its worker was told in between.
   */
  syncOwnership(
    ledger: Ledger,
    owners: ReadonlyMap<number, ShardOwner>,
    fencingToken: number,
    now: Micros,
  ): void {
    const revisions = [...owners].map(([shard, owner]) => `${shard}/${owner.revision}`).join();
    const at = this.syncedOwnership;
    // Asked for at every report: a look at each machine every time would cost machines times reports.
    if (at?.ledger === ledger && at.ownershipChanges === ledger.ownershipChanges && at.owners === revisions)
      return;
    this.syncedOwnership = { ledger, ownershipChanges: ledger.ownershipChanges, owners: revisions };
    for (const [host, ownership] of this.ownerships) {
      const entry = ledger.machines.get(host);
      const owner = entry && entry.shard !== null ? owners.get(entry.shard) : undefined;
      if (entry && owner && isSame(ownership, entry, owner)) continue;
      this.ownerships.delete(host);
      this.trackedWorkers.delete(host);
    }
    for (const [host, entry] of ledger.machines) {
      const owner = entry.shard === null ? undefined : owners.get(entry.shard);
      if (entry.shard === null || !owner || this.ownerships.has(host)) continue;
      // Let go by an owner that had not heard of it: then only a token yet to come tells old from new.
      const unheard = entry.ownershipCount > 0 && entry.lastHeartbeat === null;
      this.ownerships.set(host, {
        ...{
          shard: entry.shard,
          ownerRevision: owner.revision,
          ownershipCount: entry.ownershipCount,
          lastHeartbeat: entry.lastHeartbeat,
        },
        ...{ since: now, fencingToken: unheard ? fencingToken + 1 : fencingToken },
      });
    }
  }

  /** Takes a report in; false if a newer one from this worker is known already, or it isn't ours. */
  onHeartbeat(heartbeat: Heartbeat, now: Micros): boolean {
    const ownership = this.ownerships.get(heartbeat.host);
    const old = this.trackedWorkers.get(heartbeat.host);
    if (!ownership || (old && !isNewerHeartbeat(heartbeat, old.heartbeat))) return false;
    if (
      ownership.lastHeartbeat &&
      !isNewerHeartbeat(heartbeat, {
        incarnation: ownership.lastHeartbeat[0],
        sequence: ownership.lastHeartbeat[1],
      })
    )
      return false;
    const session = trackHeartbeat(
      heartbeat,
      old ?? null,
      heartbeat.fencingToken >= ownership.fencingToken,
      now,
    );
    this.trackedWorkers.set(heartbeat.host, session);
    return true;
  }

  onResponseSent(host: string, now: Micros): void {
    const session = this.trackedWorkers.get(host);
    if (session) session.respondedAt = now;
  }

  /** Time until the worker can be told something: none while its report waits for its answer. */
  nextHeartbeatIn(host: string, now: Micros): Micros {
    const session = this.trackedWorkers.get(host);
    if (!session) return this.limits.heartbeatInterval;
    if (session.respondedAt < session.heartbeatAt) return 0;
    return Math.max(0, session.heartbeatAt + this.limits.heartbeatInterval - now);
  }

  requestStop(placement: Placement, graceS: number): void {
    this.stopRequests.set(placement.taskName, { attempt: placement.attempt, graceS });
  }

  /** Tasks on this machine are being stopped. */
  isPreempting(host: string, ledger: Ledger): boolean {
    if (this.stopRequests.size === 0) return false;
    for (const p of ledger.placementsOn(host)) if (this.isStopping(p)) return true;
    return false;
  }

  isStopping(placement: Placement): boolean {
    return this.stopRequests.get(placement.taskName)?.attempt === placement.attempt;
  }

  /** Moves every session to the state that its silence calls for. */
  updateLiveness(now: Micros, ledger: Ledger): void {
    for (const [host, s] of this.trackedWorkers) {
      const silence = now - s.heartbeatAt;
      if (this.isLeaseExpired(host, s, now)) this.enter(s, 'expired');
      else if (s.liveness === 'reporting' && silence > this.heartbeatTimeout()) this.enter(s, 'silent');
    }
    for (const [taskName, stop] of this.stopRequests) {
      const at = parseTaskName(taskName);
      if (!at || ledger.placement(at.job, at.index)?.attempt !== stop.attempt)
        this.stopRequests.delete(taskName);
    }
  }

  /** What the log should say of a machine that this node owns. */
  machineStatus(entry: MachineEntry, now: Micros): MachineStatus {
    const session = this.trackedWorkers.get(entry.host);
    if (session) {
      const unreachableFor = session.unreachableSince === null ? 0 : now - session.unreachableSince;
      if (unreachableFor > withDrift(this.limits.workerLease) + LOST_AFTER_LEASE) return 'lost';
      if (session.liveness === 'reporting') {
        if (unreachableFor > this.heartbeatTimeout()) return 'silent';
        return entry.consecutiveFailures >= QUARANTINE_AFTER_FAILURES ? 'faulty' : 'up';
      }
      if (session.liveness === 'recalled') return 'recalled';
      const expired = session.liveness === 'expired';
      return expired && now > session.heartbeatAt + withDrift(this.limits.workerLease) + LOST_AFTER_LEASE
        ? 'lost'
        : 'silent';
    }
    const ownership = this.ownerships.get(entry.host);
    if (!ownership || entry.status === 'new' || entry.status === 'lost') return entry.status;
    // It was up under an earlier owner and has yet to find this one.
    if (now > ownership.since + withDrift(this.limits.cancellationDeadline)) return 'lost';
    return now > ownership.since + this.heartbeatTimeout() + 2 * SECOND ? 'silent' : entry.status;
  }

  /** Every placement that is proven off its machine, with how it ended. */
  findCompletions(ledger: Ledger, jobs: ReadonlyMap<string, LiveJob>, now: Micros): TaskCompletion[] {
    const completions: TaskCompletion[] = [];
    for (const [host, ownership] of this.ownerships) {
      if (!ledger.placementsByHost.has(host)) continue;
      const session = this.trackedWorkers.get(host);
      if (!session) {
        // Not heard of since it became ours: whoever was entitled before must have fallen silent by now, and
        // the lease on top of that is over.
        if (now <= ownership.since + withDrift(this.limits.cancellationDeadline)) continue;
        for (const placement of ledger.placementsOn(host)) completions.push({ placement, outcome: 'lost' });
        continue;
      }
      const reported = new Map(session.heartbeat.tasks.map((p) => [p.task, p]));
      for (const placement of ledger.placementsOn(host)) {
        const reportedTask = reported.get(placement.taskName);
        const outcome = this.completionOutcome(placement, session, reportedTask, ledger, jobs, now);
        if (!outcome) continue;
        completions.push({ placement, outcome });
        // A late commit may yet make its gang whole while this end is on its way to the log: it stays unwanted.
        if (outcome === 'undelivered') this.requestStop(placement, 0);
      }
    }
    return completions;
  }

  /** The commands for a worker that has just reported. `fresh`: new starts may be sent. */
  commands(host: string, ledger: Ledger, jobs: ReadonlyMap<string, LiveJob>, fresh: boolean): Command[] {
    const session = this.trackedWorkers.get(host);
    if (!session) return [];
    const commands: Command[] = [];
    const seen = new Set<string>();
    for (const p of session.heartbeat.tasks) {
      const placement = findPlacement(ledger, host, p);
      if (placement) seen.add(p.task);
      const { task, attempt } = p;
      if (p.state === 'exited') {
        // Once told to forget it the worker doesn't know the attempt any more: only after its end is in the log.
        if (!placement) commands.push({ kind: 'forget', task, attempt });
      } else if (
        !placement ||
        !jobs.has(placement.job) ||
        (!ledger.isGangComplete(placement) && p.state !== 'saving')
      ) {
        // What is left of a gang that lost a task can do nothing more; one that saves ends by itself.
        commands.push({ kind: 'stop', task, attempt, graceS: 0 });
      } else if (this.isStopping(placement) && p.state !== 'saving') {
        commands.push({ kind: 'stop', task, attempt, graceS: this.stopRequests.get(task)?.graceS ?? 0 });
      }
    }
    if (!fresh) return commands;
    for (const placement of ledger.placementsOn(host)) {
      if (seen.has(placement.taskName) || !this.isStartWanted(placement, session, ledger, jobs)) continue;
      if (!countsEqual(placement.workerIncarnation, session.heartbeat.incarnation)) continue;
      session.deliveredStarts.add(attemptKey(placement.taskName, placement.attempt));
      commands.push({ kind: 'start', task: placement.taskName, attempt: placement.attempt });
    }
    return commands;
  }

  /**
   * A start is wanted until its job is over, its machine is to go, or it was told to stop; never again after. One of
   * a gang is wanted while nothing of the gang is missing: once one task has ended, nothing joins that attempt again.
   */
  private isStartWanted(
    placement: Placement,
    session: TrackedWorker,
    ledger: Ledger,
    jobs: ReadonlyMap<string, LiveJob>,
  ): boolean {
    if (!jobs.has(placement.job) || session.reclaimAt !== null) return false;
    return !this.isStopping(placement) && ledger.isGangComplete(placement);
  }

  private completionOutcome(
    placement: Placement,
    session: TrackedWorker,
    task: TaskStatus | undefined,
    ledger: Ledger,
    jobs: ReadonlyMap<string, LiveJob>,
    now: Micros,
  ): Outcome | null {
    const { heartbeat } = session;
    if (!countsEqual(placement.workerIncarnation, heartbeat.incarnation)) {
      // The worker killed and forgot all tasks of its earlier sessions.
      return placement.workerIncarnation < heartbeat.incarnation ? 'lost' : null;
    }
    const present = task !== undefined && countsEqual(task.attempt, placement.attempt);
    if (present && task.state === 'exited') return outcomeOf(task.cause ?? 'failed');
    if (this.isLeaseExpired(placement.host, session, now)) return 'lost';
    if (present) return null;
    // Absent from the newest report of a worker that obeys our token only: no answer to an earlier report can
    // still take effect, and the answer to this one carried no start of it. If it isn't wanted any more, it is
    // off for good.
    const launched = session.deliveredStarts.has(attemptKey(placement.taskName, placement.attempt));
    if (session.hasSeenToken && !launched && !this.isStartWanted(placement, session, ledger, jobs))
      return 'undelivered';
    return null;
  }

  /** The worker's lease has run out for certain, whoever may have answered it last. */
  private isLeaseExpired(host: string, session: TrackedWorker, now: Micros): boolean {
    const since = this.ownerships.get(host)?.since ?? now;
    const lease = withDrift(this.limits.workerLease);
    // An earlier owner that is superseded without knowing it may answer a worker that has not seen our token
    // until its own bound; one that gave the machine up itself has stopped before.
    const others = since + (session.hasSeenToken ? lease : withDrift(this.limits.cancellationDeadline));
    return now > Math.max(session.respondedAt + lease, session.heartbeatAt + lease, others);
  }

  private heartbeatTimeout(): Micros {
    return Math.floor(this.limits.heartbeatInterval * 1.5) + 1500 * MS;
  }

  private enter(session: TrackedWorker, state: WorkerLiveness): void {
    session.liveness = state;
  }
}

function isSame(ownership: Ownership, entry: MachineEntry, owner: ShardOwner): boolean {
  return (
    ownership.shard === entry.shard &&
    ownership.ownerRevision === owner.revision &&
    ownership.ownershipCount === entry.ownershipCount
  );
}

/** The placement that a task in a worker's report is, if the log knows that attempt on that machine. */
export function findPlacement(ledger: Ledger, host: string, p: TaskStatus): Placement | null {
  const at = parseTaskName(p.task);
  const placement = at ? ledger.placement(at.job, at.index) : undefined;
  return placement && placement.host === host && countsEqual(placement.attempt, p.attempt) ? placement : null;
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
