import { RevisionWaiters } from './revision-waiters.js';
import type { Logger } from './logger.js';
import {
  ROOT_PREFIX,
  CAPABILITY_PREFIX,
  FENCING_TOKEN_KEY,
  CHECKPOINT_HEAD_KEY,
  CHECKPOINT_CHUNK_PREFIX,
  checkpointIdOfKey,
  jobKey,
  JOB_PREFIX,
  LEADER_KEY,
  logKey,
  type LogId,
  LOG_PREFIX,
  MEMBER_PREFIX,
  LIVE_PREFIX,
  TERMINAL_PREFIX,
  terminalKey,
  logIdOfKey,
  SHARD_PREFIX,
  MACHINE_TYPE_PREFIX,
} from './keys.js';
import { allSupport, type Capability } from './capabilities.js';
import type { TerminalStatus, LiveJob } from './jobs.js';
import {
  buildLedger,
  compareRows,
  type KnownRows,
  IncompleteStateError,
  byCommitOrder,
  isObsoleteChunk,
  type LiveRows,
  type LogSlot,
  findLostKeys,
  successorKeyOf,
  fencingTokenIn,
} from './live-state.js';
import { Ledger } from './ledger.js';
import type { LeaseHolder, Member, ShardOwner } from './members.js';
import type { Positions } from './placement.js';
import { decodeCheckpointHead } from './stored/checkpoint-codec.js';
import {
  decodeHolder,
  decodeShardOwner,
  decodeFencingToken,
  isReadable,
  UNREADABLE_FENCING_TOKEN,
} from './stored/holder-codec.js';
import { decodeTerminalStatus, decodeJobRow, isTerminal } from './stored/job-codec.js';
import { decodeMachineTypeRow } from './stored/machine-type-codec.js';
import { decodeCapabilities, decodeMember } from './stored/member-codec.js';
import { decodeRecord, storedSequence } from './stored/record-codec.js';
import {
  type StateIntegrityCheck,
  type HighWaterMarks,
  NO_STATE_INTEGRITY_CHECK,
} from './state-integrity-check.js';
import {
  type Change,
  RateMeter,
  UNUSED_KEY,
  RateLimiter,
  type Row,
  type StoreClient,
  StoreError,
} from '#store';
import { type Clock, type WireFields, type MachineType, type Micros, MS, SECOND, sleep } from '#wire';

/**
 * `loading`: reads all live state, page by page. `catching_up`: applies what was committed while it read.
 * `following`: complete up to the epoch in `applied`, and kept so by the watch.
 */
export type ReplicaState = 'loading' | 'catching_up' | 'following' | 'stopped';

/** What a node's copy of the state holds at this moment, for tests and tools. */
export interface ReplicaSnapshot {
  member: string;
  state: ReplicaState;
  /** Epoch up to which every commit is applied. */
  appliedRevision: number;
  ledger: Ledger;
}

const BLOCK: Micros = 10 * SECOND;
/** Least time between two reads of the epoch: polls in between wait for the same one. */
const BARRIER_GAP: Micros = 60 * MS;
/** What following and reading epochs may take of the requests that the state service allows. */
const FOLLOW_PART = 0.3;
const BARRIER_PART = 0.25;
const RECENT_FINALS = 2000;
/** Time between two readings of all live state while it is not believed, and how many lost keys each looks for. */
const JUDGE_GAP: Micros = SECOND;
const KEYS_SOUGHT = 20;
const READY_STEP: Micros = 50 * MS;
const NO_CHECKPOINT = { id: '', positions: {}, chunks: 0, revision: 0 };

/**
 * A node's copy of all live state, kept by one watch. It changes only by what the state service says, in the
 * order of its epochs, on the owner as on every other node.
 */
export class Replica {
  ledger = new Ledger();
  readonly jobs = new Map<string, LiveJob>();
  /** Jobs that are over and still lie among the live ones. */
  readonly terminalJobs = new Map<string, { status: TerminalStatus; revision: number }>();
  /** Machine types as last read from the cloud by a leader: known even while the cloud is down. */
  readonly machineTypes = new Map<string, MachineType>();
  leader: LeaseHolder | null = null;
  readonly members = new Map<string, Member>();
  /** By member: what it has announced to understand, also while it is down. */
  readonly capabilities = new Map<string, ReadonlySet<string>>();
  readonly shardOwners = new Map<number, ShardOwner>();
  fencingToken = { value: 0, revision: 0 };
  private checkpoint: { id: string; positions: Positions; chunks: number; revision: number } = NO_CHECKPOINT;
  appliedRevision = 0;
  /** Epoch of the last page read: before it is applied, the copy may lack what other pages missed. */
  private catchUpRevision = 0;
  /** Steady time at which the state was known to be complete, or -Infinity. */
  verifiedAt = -Infinity;
  state: ReplicaState = 'loading';

  private terminalStatuses = new Map<string, TerminalStatus>();
  private logSlots = new Map<string, LogSlot>();
  private checkpointChunkKeys = new Set<string>();
  private listeners: (() => void)[] = [];
  private readonly waiters: RevisionWaiters;
  private nextBarrier: Promise<boolean> | null = null;
  private interruptWatch: () => void = () => undefined;
  private lastBarrier: Micros = -Infinity;
  private readonly changeMeter: RateMeter;
  private readonly watchLimiter: RateLimiter;
  private readonly barrierLimiter: RateLimiter;

  constructor(
    private readonly store: StoreClient,
    private readonly clock: Clock,
    private readonly log: Logger,
    /** Requests a second that the state service allows all nodes. */
    stateRps: number,
    private readonly check: StateIntegrityCheck = NO_STATE_INTEGRITY_CHECK,
  ) {
    check.onClose(() => {
      this.interruptWatch();
    });
    this.waiters = new RevisionWaiters(clock);
    this.changeMeter = new RateMeter(clock);
    this.watchLimiter = new RateLimiter(clock, () => this.perMemberQuota(stateRps * FOLLOW_PART));
    this.barrierLimiter = new RateLimiter(clock, () => this.perMemberQuota(stateRps * BARRIER_PART));
  }

  /** This node's part of what the state service allows all: each living member has the same. */
  perMemberQuota(total: number): number {
    return total / Math.max(1, this.members.size);
  }

  /** Every one of these members understands it, those that are down included. */
  allSupport(members: readonly string[], capability: Capability): boolean {
    return allSupport(members, { living: this.members, lasting: this.capabilities }, capability);
  }

  /** Changes a second by all nodes, as the watch has shown them lately. */
  get changeRate(): number {
    return this.changeMeter.rate();
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  stop(): void {
    this.transitionTo('stopped');
  }

  async run(): Promise<void> {
    while (!this.check.isReady()) await sleep(this.clock, READY_STEP);
    while (!this.stopped()) {
      try {
        if (this.state === 'loading' || !this.check.isOpen()) await this.load();
        else await this.watch();
      } catch (cause) {
        this.log.debug({ cause: String(cause) }, 'watch interrupted');
        if (cause instanceof IncompleteStateError) this.check.reportIncompleteRead(cause.message);
        const isRefusal = cause instanceof StoreError && this.check.isOpen();
        await sleep(this.clock, isRefusal ? 250 * MS : JUDGE_GAP);
      }
    }
  }

  /**
   * Chunks of checkpoints before the present one. Those after it stay: the commit that makes them the present
   * one may still be on its way, or may have landed unseen.
   */
  staleCheckpointChunks(): string[] {
    return [...this.checkpointChunkKeys].filter((key) => checkpointIdOfKey(key) < this.checkpoint.id);
  }

  /**
   * Stamp of the place that a record is to take (0: nothing there yet), or null while the record that lies
   * there is not covered by a checkpoint.
   */
  slotRevision(log: LogId, seq: number): number | null {
    const row = this.logSlots.get(logKey(log, seq));
    if (!row) return 0;
    return row.sequence <= (this.checkpoint.positions[String(log)] ?? 0) ? row.revision : null;
  }

  get checkpointRevision(): number {
    return this.checkpoint.revision;
  }

  get checkpointChunkCount(): number {
    return this.checkpoint.chunks;
  }

  /** Records that have come since the last checkpoint. */
  get recordsSinceCheckpoint(): number {
    return this.ledger.totalRecords - Object.values(this.checkpoint.positions).reduce((a, b) => a + b, 0);
  }

  /** Records since the last checkpoint in the log that has most of them. */
  get fullestLogRecords(): number {
    const covered = this.checkpoint.positions;
    const since = Object.entries(this.ledger.allPositions()).map(([log, seq]) => seq - (covered[log] ?? 0));
    return Math.max(0, ...since);
  }

  /**
   * Resolves true once everything that the state service had committed when this was called is applied
   * here; false if that can't be had now. Callers that come close together share one read.
   */
  barrier(): Promise<boolean> {
    this.nextBarrier ??= this.readBarrierRevision();
    return this.nextBarrier;
  }

  /** Final state of a job that is not live. Only final states are kept, since those never change. */
  async terminalStatus(id: string): Promise<TerminalStatus | null> {
    const known = this.cachedTerminalStatus(id);
    if (known) return known;
    const { row } = await this.store.get(terminalKey(id));
    if (!row) return null;
    this.cacheTerminalStatus(id, row.value);
    return this.cachedTerminalStatus(id);
  }

  /** A page of what became of jobs that are over, in the order of their names; nothing while the state is not believed. */
  async terminalStatusesAfter(id: string): Promise<{ id: string; status: TerminalStatus }[]> {
    if (!this.check.isOpen()) throw new StoreError(0);
    const { rows } = await this.store.list(TERMINAL_PREFIX, id === '' ? '' : terminalKey(id));
    return rows.map(({ path, value }) => ({
      id: path.slice(TERMINAL_PREFIX.length),
      status: decodeTerminalStatus(value),
    }));
  }

  cachedTerminalStatus(id: string): TerminalStatus | null {
    return this.terminalJobs.get(id)?.status ?? this.terminalStatuses.get(id) ?? null;
  }

  /** Resolves when the given epoch is applied, or false after the timeout. */
  waitForRevision(epoch: number, timeout: Micros): Promise<boolean> {
    if (this.appliedRevision >= epoch && this.state === 'following') return Promise.resolve(true);
    return this.waiters.wait(epoch, timeout);
  }

  private stopped(): boolean {
    return this.state === 'stopped';
  }

  private transitionTo(state: ReplicaState): void {
    if (this.state === state || this.state === 'stopped') return;
    this.log.debug({ from: this.state, to: state }, 'replica');
    this.state = state;
  }

  private async readBarrierRevision(): Promise<boolean> {
    // Always yields first: the caller's assignment must come before the reset below, or every later barrier
    // would share this one read for ever.
    const gap = this.lastBarrier + BARRIER_GAP - this.clock.now();
    await sleep(this.clock, Math.max(0, gap, this.barrierLimiter.delay()));
    this.barrierLimiter.consume(1);
    // From here on a caller needs the next read, since this one may be answered before it called.
    this.nextBarrier = null;
    const sent = this.clock.now();
    this.lastBarrier = sent;
    try {
      const { epoch } = await this.store.get(UNUSED_KEY);
      if (!(await this.waitForRevision(epoch, SECOND))) return false;
      if (!this.check.confirmCopy(sent, this.highWaterMarks())) return false;
      this.verifiedAt = Math.max(this.verifiedAt, sent);
      return true;
    } catch {
      return false;
    }
  }

  /**
   * All live rows as of the epoch `from`. Pages are read one after the other, so a later page may hold what was
   * committed after an earlier one was read. Such rows are left to the watch, which brings them in their order
   * with all that the earlier pages missed: applied here, a start could come before the end that it relies on.
   */
  private async readLiveState(): Promise<LiveRows> {
    const rows: Row[] = [];
    let from: number | null = null;
    for (let after = ''; ;) {
      const page = await this.store.list(LIVE_PREFIX, after);
      from ??= page.epoch;
      rows.push(...page.rows);
      const last = page.rows.at(-1);
      if (!page.more || !last) return { rows: rows.filter(committedBy(from)), from, to: page.epoch };
      after = last.path;
    }
  }

  /** The numbers of this copy that never fall. */
  highWaterMarks(): HighWaterMarks {
    return {
      revision: this.appliedRevision,
      fencingToken: this.fencingToken.value,
      positions: this.ledger.allPositions(),
    };
  }

  /** The revisions of those rows of this copy that are only ever replaced, but for those of jobs that end. */
  private knownRows(): KnownRows {
    const revisions = new Map<string, number>();
    for (const [id, { acceptedRevision: revision }] of this.jobs) revisions.set(jobKey(id), revision);
    for (const [id, { revision }] of this.terminalJobs) revisions.set(jobKey(id), revision);
    if (this.fencingToken.revision > 0) revisions.set(FENCING_TOKEN_KEY, this.fencingToken.revision);
    if (this.checkpoint.revision > 0) revisions.set(CHECKPOINT_HEAD_KEY, this.checkpoint.revision);
    return { revisions, logSlots: this.logSlots };
  }

  /** Reads all live state, and takes it for the copy unless it contradicts what is known. */
  private async load(): Promise<void> {
    const sentAt = this.clock.now();
    const known =
      this.appliedRevision > 0 ? { ...this.highWaterMarks(), revision: this.check.minimumRevision() } : null;
    const live = await this.readLiveState();
    const ledger = buildLedger(live);
    await this.seekMissingKeys(live);
    const shown = {
      revision: live.from,
      fencingToken: fencingTokenIn(live),
      positions: ledger.allPositions(),
    };
    // Until then the copy stays: of what was lost, it may be the only one.
    const differences = compareRows(live, this.knownRows());
    if (!this.check.judgeReading({ sentAt, shown, known, differences })) throw new StoreError(0);
    this.replaceCopy(ledger, live);
  }

  /** Looks for keys that had gone: there again, replaced by what follows them, or not needed any more. */
  private async seekMissingKeys(live: LiveRows): Promise<void> {
    const shown = new Set(live.rows.map(({ path }) => path));
    const missing = this.check.missingKeys();
    for (const key of missing)
      if (shown.has(key) || isObsoleteChunk(key, live)) this.check.reportFoundKey(key);
    for (const key of this.check.missingKeys().slice(0, KEYS_SOUGHT)) {
      if (await this.isStored(successorKeyOf(key) ?? key)) this.check.reportFoundKey(key);
    }
  }

  private async isStored(key: string): Promise<boolean> {
    const { rows } = await this.store.list(key, '');
    return rows.some((row) => row.path === key);
  }

  private replaceCopy(ledger: Ledger, { rows, from, to }: LiveRows): void {
    this.ledger = ledger;
    this.jobs.clear();
    this.terminalJobs.clear();
    this.machineTypes.clear();
    this.logSlots.clear();
    this.checkpointChunkKeys.clear();
    this.leader = null;
    this.members.clear();
    this.capabilities.clear();
    this.shardOwners.clear();
    this.fencingToken = { value: 0, revision: 0 };
    this.checkpoint = NO_CHECKPOINT;
    for (const row of rows) {
      if (row.path.startsWith(LOG_PREFIX)) this.trackLogSlot(row);
      else this.applyChange(row);
    }
    this.appliedRevision = from;
    this.catchUpRevision = to;
    this.log.info(
      { jobs: this.jobs.size, records: this.ledger.totalRecords, revision: from, to },
      'state loaded',
    );
    this.transitionTo('catching_up');
    this.notifyIfCurrent();
  }

  private async watch(): Promise<void> {
    // Changes that come close together are fetched together: every answer costs one request for the next.
    const wait = this.watchLimiter.delay();
    if (wait > 0) await sleep(this.clock, wait);
    this.watchLimiter.consume(1);
    const answer = await this.failOnIntegrityLoss(this.store.watch(ROOT_PREFIX, this.appliedRevision, BLOCK));
    if (this.stopped()) return;
    if (!answer) {
      this.log.info({ applied: this.appliedRevision }, 'watch too old, reading all live state again');
      this.transitionTo('loading');
      return;
    }
    const changes = answer.news.sort(byCommitOrder);
    this.rejectLosses(changes);
    this.changeMeter.add(changes.length);
    for (const change of changes) this.applyChange(change);
    this.appliedRevision = Math.max(this.appliedRevision, answer.epoch);
    this.notifyIfCurrent();
  }

  /** The answer of a watch; fails as soon as the state is not to be believed, since a watch may stay open for long. */
  private failOnIntegrityLoss<T>(watch: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      this.interruptWatch = () => {
        reject(new StoreError(0));
      };
      watch.then(resolve, reject);
    });
  }

  /** Throws, before anything of it is applied, if the changes take away what no node ever removes. */
  private rejectLosses(changes: readonly Change[]): void {
    const lost = findLostKeys(changes, {
      checkpointId: this.checkpoint.id,
      isLive: (job) => this.jobs.has(job),
      position: (path) => this.ledger.position(logIdOfKey(path)),
    });
    if (lost.length > 0 && this.check.reportLostKeys(lost)) throw new StoreError(0);
  }

  private notifyIfCurrent(): void {
    if (this.state === 'catching_up' && this.appliedRevision >= this.catchUpRevision)
      this.transitionTo('following');
    if (this.state === 'following') this.notifyListeners();
  }

  private notifyListeners(): void {
    this.waiters.onRevision(this.appliedRevision);
    for (const listener of this.listeners) listener();
  }

  private applyChange(change: Change): void {
    const { path, value, revision } = change;
    if (path === LEADER_KEY) {
      this.leader = value ? this.readHolder(path, value, revision) : null;
    } else if (path === FENCING_TOKEN_KEY) {
      const fencingToken = decodeFencingToken(value);
      if (fencingToken === null) this.reportUnreadable(path, revision);
      this.fencingToken = { value: fencingToken ?? UNREADABLE_FENCING_TOKEN, revision };
    } else if (path.startsWith(SHARD_PREFIX)) {
      const shard = Number(path.slice(SHARD_PREFIX.length));
      if (value) this.shardOwners.set(shard, this.readOwner(path, value, revision));
      else this.shardOwners.delete(shard);
    } else if (path.startsWith(MEMBER_PREFIX)) {
      const member = path.slice(MEMBER_PREFIX.length);
      if (value) this.members.set(member, decodeMember(member, value, revision));
      else this.members.delete(member);
    } else if (path.startsWith(CAPABILITY_PREFIX)) {
      this.capabilities.set(path.slice(CAPABILITY_PREFIX.length), decodeCapabilities(value));
    } else if (path.startsWith(JOB_PREFIX)) {
      this.applyJob(path.slice(JOB_PREFIX.length), change);
    } else if (path.startsWith(LOG_PREFIX)) {
      // A gap can only mean that this copy missed something: start over rather than guess.
      if (!this.applyRecord(change)) this.transitionTo('loading');
    } else if (path.startsWith(TERMINAL_PREFIX)) {
      if (value) this.cacheTerminalStatus(path.slice(TERMINAL_PREFIX.length), value);
    } else if (path.startsWith(MACHINE_TYPE_PREFIX)) {
      if (value) this.machineTypes.set(path.slice(MACHINE_TYPE_PREFIX.length), decodeMachineTypeRow(value));
      else this.machineTypes.delete(path.slice(MACHINE_TYPE_PREFIX.length));
    } else if (path === CHECKPOINT_HEAD_KEY) {
      if (!value) return;
      const { id, positions, chunkCount } = decodeCheckpointHead(value);
      this.checkpoint = { id, positions, chunks: chunkCount, revision };
    } else if (path.startsWith(CHECKPOINT_CHUNK_PREFIX)) {
      if (value) this.checkpointChunkKeys.add(path);
      else this.checkpointChunkKeys.delete(path);
    }
  }

  /** False: there is a gap before this record. */
  private applyRecord({ path, value, revision }: Change): boolean {
    if (!value) {
      this.logSlots.delete(path);
      return true;
    }
    const record = decodeRecord(value);
    this.trackLogSlot({ path, value, revision });
    if (!this.ledger.apply(logIdOfKey(path), record)) return false;
    for (const [job] of record.completions ?? []) if (!this.jobs.has(job)) this.ledger.dropJob(job);
    return true;
  }

  private trackLogSlot({ path, value, revision }: Row): void {
    this.logSlots.set(path, { sequence: storedSequence(value), revision });
  }

  private applyJob(id: string, { value, revision }: Change): void {
    this.terminalJobs.delete(id);
    if (value && !isTerminal(value)) {
      this.jobs.set(id, decodeJobRow(value, revision));
      return;
    }
    this.jobs.delete(id);
    this.ledger.dropJob(id);
    if (value) this.terminalJobs.set(id, { status: decodeTerminalStatus(value), revision });
  }

  /** Who holds a duty; a row that can't be read closes it, and is named. */
  private readHolder(path: string, value: WireFields, revision: number): LeaseHolder {
    const holder = decodeHolder(value, revision);
    if (!isReadable(holder)) this.reportUnreadable(path, revision);
    return holder;
  }

  private readOwner(path: string, value: WireFields, revision: number): ShardOwner {
    const owner = decodeShardOwner(value, revision);
    if (!isReadable(owner)) this.reportUnreadable(path, revision);
    return owner;
  }

  private reportUnreadable(path: string, revision: number): void {
    this.log.error({ path, revision }, 'the row of a duty can not be read: the duty is closed');
  }

  private cacheTerminalStatus(id: string, value: WireFields): void {
    this.terminalStatuses.set(id, decodeTerminalStatus(value));
    if (this.terminalStatuses.size > RECENT_FINALS) {
      const oldest = this.terminalStatuses.keys().next().value;
      if (oldest !== undefined) this.terminalStatuses.delete(oldest);
    }
  }
}

function committedBy(epoch: number): (row: Row) => boolean {
  return (row) => row.revision <= epoch;
}
