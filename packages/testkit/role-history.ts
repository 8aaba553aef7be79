/**
 * Checks a history of effects: what the stand-in state service and cloud really did, and under which term it was
 * asked for. An effect of a term that is over may show only where the record rule makes it harmless: the machine
 * or the rental was named for it in the leader's log first, and nobody may use it otherwise any more.
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

/** Whose effects are judged: the version in production knows neither terms nor the record rule. */
export interface Sender {
  /** The term of the lead that the sender believed in when it sent; null if it named none. */
  term: number | null;
  isOld: boolean;
}

/** How many effects there were of each kind; those of terms that were over are counted apart. */
export interface EffectCounts {
  commits: number;
  /** Starts that workers executed, and those under a token that had been raised since. */
  launches: number;
  lateLaunches: number;
  scaleOuts: number;
  deletions: number;
  lateScaleOuts: number;
  lateDeletions: number;
  /** Deletions by the version in production that no record had named: a known fault of that version. */
  unrecordedByOld: number;
}

/** What a transaction has to guard: the roles under which each of its writes may be made. */
function requiredRoleKeys(write: WireFields): string[] {
  const path = String(write['Set'] ?? write['Remove']);
  if (path.startsWith(LOG_PREFIX)) return [ownershipKey(logIdOfKey(path))];
  const isLeaders = [SHARD_PREFIX, MACHINE_TYPE_PREFIX, CHECKPOINT_CHUNK_PREFIX, TERMINAL_PREFIX].some(
    (prefix) => path.startsWith(prefix),
  );
  if (isLeaders || path === FENCING_TOKEN_KEY || path === CHECKPOINT_HEAD_KEY) return [LEADER_KEY];
  // Ended jobs are put away by the leader.
  return path.startsWith(JOB_PREFIX) && write['Remove'] !== undefined ? [LEADER_KEY] : [];
}

/** Records the effects of roles and throws an {@link InvariantViolation} for one that its term did not allow. */
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
  private term = 0;
  private token = 0;

  constructor(private readonly revisionOf: (path: string) => number) {}

  /** The state service is about to apply this transaction. */
  beforeCommit(guards: readonly WireFields[], writes: readonly WireFields[]): void {
    this.counts.commits++;
    for (const write of writes) {
      for (const key of requiredRoleKeys(write)) this.checkGuard(key, guards, write);
      const isEnd = isWireFields(write['V']) && write['V']['Status'] === 'done';
      if (isEnd && String(write['Set']).startsWith(JOB_PREFIX)) this.checkShardGuard(guards, write);
    }
  }

  /** The state service has applied this transaction at the given revision. */
  afterCommit(writes: readonly WireFields[], revision: number): void {
    for (const write of writes) {
      const path = String(write['Set'] ?? '');
      if (path === LEADER_KEY) this.term = revision;
      if (path === FENCING_TOKEN_KEY) this.advanceToken(write['V']);
      if (path.startsWith(LOG_PREFIX)) this.applyRecord(path, decodeRecord(write['V'] as WireFields));
    }
  }

  /** A worker starts a task: its start must be in a record, and not have ended. */
  launched(taskName: string, attempt: number, host: string, fencingToken: number): void {
    this.counts.launches++;
    const at = parseTaskName(taskName);
    const placement = at ? this.ledger.placement(at.job, at.index) : undefined;
    if (fencingToken > this.token) {
      throw new InvariantViolation(
        'unrecorded',
        `${taskName} starts under token ${fencingToken}, the highest is ${this.token}`,
      );
    }
    if (fencingToken < this.token) this.counts.lateLaunches++;
    if (placement?.attempt === attempt && placement.host === host) return;
    throw new InvariantViolation(
      'unrecorded',
      `attempt ${attempt} of ${taskName} starts on ${host} without a record`,
    );
  }

  /** The cloud rents machines under this name for the first time. */
  scaledOut(name: string, sender: Sender): void {
    this.counts.scaleOuts++;
    if (this.isOver(sender)) this.counts.lateScaleOuts++;
    if (!this.recordedScaleOuts.has(name))
      throw new InvariantViolation('unrecorded', `rental ${name} is in no record`);
  }

  /** The cloud deletes a machine that was there; `works`: it had not stopped by itself. */
  deleted(host: string, works: boolean, sender: Sender): void {
    this.counts.deletions++;
    if (this.isOver(sender)) this.counts.lateDeletions++;
    if (!works) return;
    const entry = this.ledger.machines.get(host);
    if (entry?.destination === 'scale_in' && entry.shard === null) return;
    if (sender.isOld) this.counts.unrecordedByOld++;
    else {
      const state = entry ? `shard ${entry.shard}, destination ${entry.destination}` : 'in no record';
      throw new InvariantViolation(
        'unrecorded',
        `${host} is deleted in term ${sender.term} of ${this.term}: ${state}`,
      );
    }
  }

  private isOver({ term }: Sender): boolean {
    return term !== null && term !== this.term;
  }

  private checkGuard(key: string, guards: readonly WireFields[], write: WireFields): void {
    const revision = this.revisionOf(key);
    if (revision > 0 && guards.some((g) => g['Path'] === key && Number(g['Stamp']) === revision)) return;
    throw new InvariantViolation(
      'ownership',
      `${String(write['Set'] ?? write['Remove'])} landed without ${key}`,
    );
  }

  private checkShardGuard(guards: readonly WireFields[], write: WireFields): void {
    if (guards.some((g) => String(g['Path']).startsWith(SHARD_PREFIX))) return;
    throw new InvariantViolation('ownership', `${String(write['Set'])} was ended by no owner of a shard`);
  }

  private advanceToken(value: unknown): void {
    const fencingToken = isWireFields(value) ? Number(value['Token']) : NaN;
    if (!(fencingToken > this.token))
      throw new InvariantViolation('token', `${this.token} is followed by ${fencingToken}`);
    this.token = fencingToken;
  }

  private applyRecord(path: string, record: PlacementRecord): void {
    for (const [name] of record.scaleOuts ?? []) {
      if (this.recordedScaleOuts.has(name))
        throw new InvariantViolation('unrecorded', `rental ${name} is named twice`);
      this.recordedScaleOuts.add(name);
    }
    this.ledger.apply(logIdOfKey(path), record);
  }
}
