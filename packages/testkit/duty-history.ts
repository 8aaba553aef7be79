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
import { BrokenRule } from './rules.js';

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
  rentals: number;
  deletions: number;
  lateRentals: number;
  lateDeletions: number;
  /** Deletions by the version in production that no record had named: a known fault of that version. */
  unrecordedByOld: number;
}

/** What a transaction has to guard: the duties under which each of its writes may be made. */
function dutyKeysOf(write: WireFields): string[] {
  const path = String(write['Set'] ?? write['Remove']);
  if (path.startsWith(LOG_PREFIX)) return [ownershipKey(logIdOfKey(path))];
  const isLeaders = [SHARD_PREFIX, MACHINE_TYPE_PREFIX, CHECKPOINT_CHUNK_PREFIX, TERMINAL_PREFIX].some(
    (prefix) => path.startsWith(prefix),
  );
  if (isLeaders || path === FENCING_TOKEN_KEY || path === CHECKPOINT_HEAD_KEY) return [LEADER_KEY];
  // Ended jobs are put away by the leader.
  return path.startsWith(JOB_PREFIX) && write['Remove'] !== undefined ? [LEADER_KEY] : [];
}

export class DutyHistory {
  readonly counts: EffectCounts = {
    ...{
      launches: 0,
      lateLaunches: 0,
      commits: 0,
      rentals: 0,
      deletions: 0,
      lateRentals: 0,
      lateDeletions: 0,
      unrecordedByOld: 0,
    },
  };
  private readonly ledger = new Ledger();
  private readonly recordedRentals = new Set<string>();
  private term = 0;
  private token = 0;

  constructor(private readonly revisionOf: (path: string) => number) {}

  /** The state service is about to apply this transaction. */
  beforeCommit(guards: readonly WireFields[], writes: readonly WireFields[]): void {
    this.counts.commits++;
    for (const write of writes) {
      for (const key of dutyKeysOf(write)) this.checkGuard(key, guards, write);
      const isEnd = isWireFields(write['V']) && write['V']['Status'] === 'done';
      if (isEnd && String(write['Set']).startsWith(JOB_PREFIX)) this.checkShareGuard(guards, write);
    }
  }

  /** The state service has applied this transaction at the given epoch. */
  afterCommit(writes: readonly WireFields[], epoch: number): void {
    for (const write of writes) {
      const path = String(write['Set'] ?? '');
      if (path === LEADER_KEY) this.term = epoch;
      if (path === FENCING_TOKEN_KEY) this.takeToken(write['V']);
      if (path.startsWith(LOG_PREFIX)) this.takeRecord(path, decodeRecord(write['V'] as WireFields));
    }
  }

  /** A worker starts a task: its start must be in a record, and not have ended. */
  launched(taskName: string, attempt: number, host: string, fencingToken: number): void {
    this.counts.launches++;
    const at = parseTaskName(taskName);
    const placement = at ? this.ledger.placement(at.job, at.index) : undefined;
    if (fencingToken > this.token) {
      throw new BrokenRule(
        'unrecorded',
        `${taskName} starts under token ${fencingToken}, the highest is ${this.token}`,
      );
    }
    if (fencingToken < this.token) this.counts.lateLaunches++;
    if (placement?.attempt === attempt && placement.host === host) return;
    throw new BrokenRule(
      'unrecorded',
      `attempt ${attempt} of ${taskName} starts on ${host} without a record`,
    );
  }

  /** The cloud rents machines under this name for the first time. */
  rented(name: string, sender: Sender): void {
    this.counts.rentals++;
    if (this.isOver(sender)) this.counts.lateRentals++;
    if (!this.recordedRentals.has(name)) throw new BrokenRule('unrecorded', `rental ${name} is in no record`);
  }

  /** The cloud deletes a machine that was there; `works`: it had not stopped by itself. */
  deleted(host: string, works: boolean, sender: Sender): void {
    this.counts.deletions++;
    if (this.isOver(sender)) this.counts.lateDeletions++;
    if (!works) return;
    const entry = this.ledger.machines.get(host);
    if (entry?.destination === 'return' && entry.shard === null) return;
    if (sender.isOld) this.counts.unrecordedByOld++;
    else {
      const state = entry ? `share ${entry.shard}, destination ${entry.destination}` : 'in no record';
      throw new BrokenRule(
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
    throw new BrokenRule('ownership', `${String(write['Set'] ?? write['Remove'])} landed without ${key}`);
  }

  private checkShareGuard(guards: readonly WireFields[], write: WireFields): void {
    if (guards.some((g) => String(g['Path']).startsWith(SHARD_PREFIX))) return;
    throw new BrokenRule('ownership', `${String(write['Set'])} was ended by no owner of a share`);
  }

  private takeToken(value: unknown): void {
    const fencingToken = isWireFields(value) ? Number(value['Token']) : NaN;
    if (!(fencingToken > this.token))
      throw new BrokenRule('token', `${this.token} is followed by ${fencingToken}`);
    this.token = fencingToken;
  }

  private takeRecord(path: string, record: PlacementRecord): void {
    for (const [name] of record.scaleOuts ?? []) {
      if (this.recordedRentals.has(name)) throw new BrokenRule('unrecorded', `rental ${name} is named twice`);
      this.recordedRentals.add(name);
    }
    this.ledger.apply(logIdOfKey(path), record);
  }
}
