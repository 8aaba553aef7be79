/**
 * Checks the history of effects: what the simulated state service and cloud executed, and under which term it was
 * requested. An effect of an ended term is allowed only where the record rule makes it harmless: the leader's log
 * named the machine or the scale-out request for this purpose first, and no other use of it is allowed afterwards.
 */
import {
  CHECKPOINT_HEAD_KEY,
  CHECKPOINT_CHUNK_PREFIX,
  decodeRecord,
  JOB_PREFIX,
  LEADER_KEY,
  Ledger,
  logIdOfKey,
  LOG_PREFIX,
  TERMINAL_PREFIX,
  ownershipKey,
  type PlacementRecord,
  SHARD_PREFIX,
  FENCING_TOKEN_KEY,
  MACHINE_TYPE_PREFIX,
} from '#cluster';
import { type WireFields, isWireFields, parseTaskName } from '#wire';
import { InvariantViolation } from './invariants.js';

/** The sender of a request. The production version knows neither terms nor the record rule. */
export interface Sender {
  /** The leader's term as the sender knew it when it sent the request; null if it named none. */
  term: number | null;
  runsProductionVersion: boolean;
}

/** Number of effects of each kind; late ones, which were requested under an ended term, are also counted separately. */
export interface EffectCounts {
  /** Transactions whose guards held. */
  commits: number;
  /** Task starts that workers executed. */
  launches: number;
  /** Task starts under a fencing token that was no longer the highest. */
  lateLaunches: number;
  scaleOuts: number;
  deletions: number;
  lateScaleOuts: number;
  lateDeletions: number;
  /** Deletions by the production version that no record had named: a known fault of that version. */
  unrecordedByOld: number;
}

/** Returns the keys of the roles that a transaction must guard to make this write. */
function requiredRoleKeys(write: WireFields): string[] {
  const key = String(write['Set'] ?? write['Remove']);
  if (key.startsWith(LOG_PREFIX)) return [ownershipKey(logIdOfKey(key))];
  const isLeaderOwned = [SHARD_PREFIX, MACHINE_TYPE_PREFIX, CHECKPOINT_CHUNK_PREFIX, TERMINAL_PREFIX].some(
    (prefix) => key.startsWith(prefix),
  );
  if (isLeaderOwned || key === FENCING_TOKEN_KEY || key === CHECKPOINT_HEAD_KEY) return [LEADER_KEY];
  // Only the leader removes the rows of ended jobs.
  return key.startsWith(JOB_PREFIX) && write['Remove'] !== undefined ? [LEADER_KEY] : [];
}

/** Records the effects of roles; throws an {@link InvariantViolation} for an effect that its term did not allow. */
export class RoleHistory {
  readonly counts: EffectCounts = {
    launches: 0,
    lateLaunches: 0,
    commits: 0,
    scaleOuts: 0,
    deletions: 0,
    lateScaleOuts: 0,
    lateDeletions: 0,
    unrecordedByOld: 0,
  };
  private readonly ledger = new Ledger();
  private readonly recordedScaleOuts = new Set<string>();
  /** Revision of the latest leader row, which is the current term. */
  private currentTerm = 0;
  /** The highest fencing token. */
  private highestFencingToken = 0;

  constructor(private readonly revisionOf: (key: string) => number) {}

  /** Checks a transaction that the state service is about to apply. */
  beforeCommit(guards: readonly WireFields[], writes: readonly WireFields[]): void {
    this.counts.commits++;
    for (const write of writes) {
      for (const key of requiredRoleKeys(write)) this.checkGuard(key, guards, write);
      const isJobEnd = isWireFields(write['V']) && write['V']['Status'] === 'done';
      if (isJobEnd && String(write['Set']).startsWith(JOB_PREFIX)) this.checkShardGuard(guards, write);
    }
  }

  /** Records a transaction that the state service has applied at this revision. */
  afterCommit(writes: readonly WireFields[], revision: number): void {
    for (const write of writes) {
      const key = String(write['Set'] ?? '');
      if (key === LEADER_KEY) this.currentTerm = revision;
      if (key === FENCING_TOKEN_KEY) this.advanceToken(write['V']);
      if (key.startsWith(LOG_PREFIX)) this.applyRecord(key, decodeRecord(write['V'] as WireFields));
    }
  }

  /** Checks a task start on a worker: a record must contain the start, and the attempt must not have ended. */
  launched(taskName: string, attempt: number, host: string, fencingToken: number): void {
    this.counts.launches++;
    const position = parseTaskName(taskName);
    const placement = position ? this.ledger.placement(position.job, position.index) : undefined;
    if (fencingToken > this.highestFencingToken) {
      throw new InvariantViolation(
        'unrecorded',
        `${taskName} starts under fencing token ${fencingToken}; the highest one is ${this.highestFencingToken}`,
      );
    }
    if (fencingToken < this.highestFencingToken) this.counts.lateLaunches++;
    if (placement?.attempt === attempt && placement.host === host) return;
    throw new InvariantViolation(
      'unrecorded',
      `attempt ${attempt} of ${taskName} starts on ${host} without a record of it`,
    );
  }

  /** Checks the first execution of a scale-out request by the cloud. */
  scaledOut(requestId: string, sender: Sender): void {
    this.counts.scaleOuts++;
    if (this.hasStaleTerm(sender)) this.counts.lateScaleOuts++;
    if (!this.recordedScaleOuts.has(requestId))
      throw new InvariantViolation('unrecorded', `scale-out request ${requestId} is in no record`);
  }

  /** Checks the deletion of a machine by the cloud. `wasWorking` is false if the machine had stopped by itself. */
  deleted(host: string, wasWorking: boolean, sender: Sender): void {
    this.counts.deletions++;
    if (this.hasStaleTerm(sender)) this.counts.lateDeletions++;
    if (!wasWorking) return;
    const entry = this.ledger.machines.get(host);
    if (entry?.destination === 'scale_in' && entry.shard === null) return;
    if (sender.runsProductionVersion) this.counts.unrecordedByOld++;
    else {
      const state = entry ? `shard ${entry.shard}, destination ${entry.destination}` : 'in no record';
      throw new InvariantViolation(
        'unrecorded',
        `${host} is deleted under term ${sender.term}, the current term is ${this.currentTerm}: ${state}`,
      );
    }
  }

  /** True if the sender named a term that has ended. */
  private hasStaleTerm({ term }: Sender): boolean {
    return term !== null && term !== this.currentTerm;
  }

  private checkGuard(key: string, guards: readonly WireFields[], write: WireFields): void {
    const revision = this.revisionOf(key);
    if (revision > 0 && guards.some((g) => g['Path'] === key && Number(g['Stamp']) === revision)) return;
    throw new InvariantViolation(
      'ownership',
      `${String(write['Set'] ?? write['Remove'])} was written without a guard on the current revision of ${key}`,
    );
  }

  private checkShardGuard(guards: readonly WireFields[], write: WireFields): void {
    if (guards.some((g) => String(g['Path']).startsWith(SHARD_PREFIX))) return;
    throw new InvariantViolation(
      'ownership',
      `${String(write['Set'])} was marked as done without a guard on the owner of a shard`,
    );
  }

  private advanceToken(value: unknown): void {
    const fencingToken = isWireFields(value) ? Number(value['Token']) : NaN;
    if (!(fencingToken > this.highestFencingToken))
      throw new InvariantViolation(
        'token',
        `fencing token ${this.highestFencingToken} is followed by ${fencingToken}`,
      );
    this.highestFencingToken = fencingToken;
  }

  private applyRecord(key: string, record: PlacementRecord): void {
    for (const [requestId] of record.scaleOuts ?? []) {
      if (this.recordedScaleOuts.has(requestId))
        throw new InvariantViolation('unrecorded', `scale-out request ${requestId} is recorded twice`);
      this.recordedScaleOuts.add(requestId);
    }
    this.ledger.apply(logIdOfKey(key), record);
  }
}
