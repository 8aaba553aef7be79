import { EpochWaiters } from './epoch-waiters.js';
import type { Logger } from './logger.js';
import {
  ALL,
  CAPABILITIES,
  TOKEN_KEY,
  CHECKPOINT_HEAD,
  CHUNKS,
  checkpointOfKey,
  jobKey,
  JOBS,
  LEAD,
  logKey,
  type LogId,
  LOGS,
  MEMBERS,
  NOW,
  OVER,
  overKey,
  logOfKey,
  SHARES,
  TYPES,
} from './keys.js';
import { allSupport, type Capability } from './capabilities.js';
import type { Final, LiveJob } from './jobs.js';
import {
  buildLedger,
  compareRows,
  type HeldRows,
  IncompleteState,
  inOrder,
  isOldChunk,
  type LiveRows,
  type LogPlace,
  lostKeys,
  successorOf,
  tokenIn,
} from './live-state.js';
import { Ledger } from './ledger.js';
import type { Lead, Member, ShareOwner } from './members.js';
import type { Positions } from './placement.js';
import { decodeCheckpointHead } from './stored/checkpoint-codec.js';
import {
  decodeHolder,
  decodeOwner,
  decodeToken,
  isReadable,
  UNREADABLE_TOKEN,
} from './stored/holder-codec.js';
import { decodeFinal, decodeJobRow, isTerminal } from './stored/job-codec.js';
import { decodeMachineTypeRow } from './stored/machine-type-codec.js';
import { decodeCapabilities, decodeMember } from './stored/member-codec.js';
import { decodeRecord, storedSequence } from './stored/record-codec.js';
import { type StateCheck, type StateSummary, TRUSTING_STATE_CHECK } from './state-check.js';
import { type Change, Meter, NEVER_WRITTEN, Pace, type Row, type StoreClient, StoreError } from '#store';
import { type Clock, type Fields, type MachineType, type Micros, MS, SECOND, sleep } from '#wire';

/**
 * `loading`: reads all live state, page by page. `catching_up`: applies what was committed while it read.
 * `following`: complete up to the epoch in `applied`, and kept so by the watch.
 */
export type ReplicaState = 'loading' | 'catching_up' | 'following' | 'stopped';

/** What a node's copy of the state holds at this moment, for tests and tools. */
export interface StateCopy {
  member: string;
  state: ReplicaState;
  /** Epoch up to which every commit is applied. */
  applied: number;
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
  readonly ended = new Map<string, { status: Final; revision: number }>();
  /** Machine types as last read from the cloud by a leader: known even while the cloud is down. */
  readonly types = new Map<string, MachineType>();
  lead: Lead | null = null;
  readonly members = new Map<string, Member>();
  /** By member: what it has announced to understand, also while it is down. */
  readonly capabilities = new Map<string, ReadonlySet<string>>();
  readonly owners = new Map<number, ShareOwner>();
  token = { value: 0, revision: 0 };
  private checkpoint: { id: string; positions: Positions; chunks: number; revision: number } = NO_CHECKPOINT;
  applied = 0;
  /** Epoch of the last page read: before it is applied, the copy may lack what other pages missed. */
  private catchUpTo = 0;
  /** Steady time at which the state was known to be complete, or -Infinity. */
  freshAt = -Infinity;
  state: ReplicaState = 'loading';

  private finals = new Map<string, Final>();
  private logRows = new Map<string, LogPlace>();
  private chunkRows = new Set<string>();
  private listeners: (() => void)[] = [];
  private readonly waiters: EpochWaiters;
  private nextBarrier: Promise<boolean> | null = null;
  private interruptWatch: () => void = () => undefined;
  private lastBarrier: Micros = -Infinity;
  private readonly changes: Meter;
  private readonly follows: Pace;
  private readonly barriers: Pace;

  constructor(
    private readonly store: StoreClient,
    private readonly clock: Clock,
    private readonly log: Logger,
    /** Requests a second that the state service allows all nodes. */
    stateRps: number,
    private readonly check: StateCheck = TRUSTING_STATE_CHECK,
  ) {
    check.onClose(() => {
      this.interruptWatch();
    });
    this.waiters = new EpochWaiters(clock);
    this.changes = new Meter(clock);
    this.follows = new Pace(clock, () => this.partOf(stateRps * FOLLOW_PART));
    this.barriers = new Pace(clock, () => this.partOf(stateRps * BARRIER_PART));
  }

  /** This node's part of what the state service allows all: each living member has the same. */
  partOf(total: number): number {
    return total / Math.max(1, this.members.size);
  }

  /** Every one of these members understands it, those that are down included. */
  allSupport(members: readonly string[], capability: Capability): boolean {
    return allSupport(members, { living: this.members, lasting: this.capabilities }, capability);
  }

  /** Changes a second by all nodes, as the watch has shown them lately. */
  get changeRate(): number {
    return this.changes.rate();
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  stop(): void {
    this.enter('stopped');
  }

  async run(): Promise<void> {
    while (!this.check.isReady()) await sleep(this.clock, READY_STEP);
    while (!this.stopped()) {
      try {
        if (this.state === 'loading' || !this.check.isOpen()) await this.load();
        else await this.follow();
      } catch (cause) {
        this.log.debug({ cause: String(cause) }, 'watch interrupted');
        if (cause instanceof IncompleteState) this.check.incomplete(cause.message);
        const isRefusal = cause instanceof StoreError && this.check.isOpen();
        await sleep(this.clock, isRefusal ? 250 * MS : JUDGE_GAP);
      }
    }
  }

  /**
   * Chunks of checkpoints before the present one. Those after it stay: the commit that makes them the present
   * one may still be on its way, or may have landed unseen.
   */
  litter(): string[] {
    return [...this.chunkRows].filter((key) => checkpointOfKey(key) < this.checkpoint.id);
  }

  /**
   * Stamp of the place that a record is to take (0: nothing there yet), or null while the record that lies
   * there is not covered by a checkpoint.
   */
  placeRevision(log: LogId, seq: number): number | null {
    const row = this.logRows.get(logKey(log, seq));
    if (!row) return 0;
    return row.seq <= (this.checkpoint.positions[String(log)] ?? 0) ? row.revision : null;
  }

  get checkpointRevision(): number {
    return this.checkpoint.revision;
  }

  get checkpointChunks(): number {
    return this.checkpoint.chunks;
  }

  /** Records that have come since the last checkpoint. */
  get sinceCheckpoint(): number {
    return this.ledger.size - Object.values(this.checkpoint.positions).reduce((a, b) => a + b, 0);
  }

  /** Records since the last checkpoint in the log that has most of them. */
  get fullestLog(): number {
    const covered = this.checkpoint.positions;
    const since = Object.entries(this.ledger.allPositions()).map(([log, seq]) => seq - (covered[log] ?? 0));
    return Math.max(0, ...since);
  }

  /**
   * Resolves true once everything that the state service had committed when this was called is applied
   * here; false if that can't be had now. Callers that come close together share one read.
   */
  barrier(): Promise<boolean> {
    this.nextBarrier ??= this.readEpoch();
    return this.nextBarrier;
  }

  /** Final state of a job that is not live. Only final states are kept, since those never change. */
  async final(id: string): Promise<Final | null> {
    const known = this.knownFinal(id);
    if (known) return known;
    const { row } = await this.store.get(overKey(id));
    if (!row) return null;
    this.keepFinal(id, row.value);
    return this.knownFinal(id);
  }

  /** A page of what became of jobs that are over, in the order of their names; nothing while the state is not believed. */
  async finalsAfter(id: string): Promise<{ id: string; status: Final }[]> {
    if (!this.check.isOpen()) throw new StoreError(0);
    const { rows } = await this.store.list(OVER, id === '' ? '' : overKey(id));
    return rows.map(({ path, value }) => ({ id: path.slice(OVER.length), status: decodeFinal(value) }));
  }

  knownFinal(id: string): Final | null {
    return this.ended.get(id)?.status ?? this.finals.get(id) ?? null;
  }

  /** Resolves when the given epoch is applied, or false after the timeout. */
  reach(epoch: number, timeout: Micros): Promise<boolean> {
    if (this.applied >= epoch && this.state === 'following') return Promise.resolve(true);
    return this.waiters.wait(epoch, timeout);
  }

  private stopped(): boolean {
    return this.state === 'stopped';
  }

  private enter(state: ReplicaState): void {
    if (this.state === state || this.state === 'stopped') return;
    this.log.debug({ from: this.state, to: state }, 'replica');
    this.state = state;
  }

  private async readEpoch(): Promise<boolean> {
    // Always yields first: the caller's assignment must come before the reset below, or every later barrier
    // would share this one read for ever.
    const gap = this.lastBarrier + BARRIER_GAP - this.clock.now();
    await sleep(this.clock, Math.max(0, gap, this.barriers.wait()));
    this.barriers.take(1);
    // From here on a caller needs the next read, since this one may be answered before it called.
    this.nextBarrier = null;
    const sent = this.clock.now();
    this.lastBarrier = sent;
    try {
      const { epoch } = await this.store.get(NEVER_WRITTEN);
      if (!(await this.reach(epoch, SECOND))) return false;
      if (!this.check.confirm(sent, this.summary())) return false;
      this.freshAt = Math.max(this.freshAt, sent);
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
      const page = await this.store.list(NOW, after);
      from ??= page.epoch;
      rows.push(...page.rows);
      const last = page.rows.at(-1);
      if (!page.more || !last) return { rows: rows.filter(committedBy(from)), from, to: page.epoch };
      after = last.path;
    }
  }

  /** The numbers of this copy that never fall. */
  summary(): StateSummary {
    return {
      epoch: this.applied,
      token: this.token.value,
      positions: this.ledger.allPositions(),
    };
  }

  /** The revisions of those rows of this copy that are only ever replaced, but for those of jobs that end. */
  private heldRows(): HeldRows {
    const revisions = new Map<string, number>();
    for (const [id, { revision }] of this.jobs) revisions.set(jobKey(id), revision);
    for (const [id, { revision }] of this.ended) revisions.set(jobKey(id), revision);
    if (this.token.revision > 0) revisions.set(TOKEN_KEY, this.token.revision);
    if (this.checkpoint.revision > 0) revisions.set(CHECKPOINT_HEAD, this.checkpoint.revision);
    return { revisions, places: this.logRows };
  }

  /** Reads all live state, and takes it for the copy unless it contradicts what is known. */
  private async load(): Promise<void> {
    const sentAt = this.clock.now();
    const known = this.applied > 0 ? { ...this.summary(), epoch: this.check.floor() } : null;
    const live = await this.readLiveState();
    const ledger = buildLedger(live);
    await this.seekMissingKeys(live);
    const shown = { epoch: live.from, token: tokenIn(live), positions: ledger.allPositions() };
    // Until then the copy stays: of what was lost, it may be the only one.
    const differences = compareRows(live, this.heldRows());
    if (!this.check.judge({ sentAt, shown, known, differences })) throw new StoreError(0);
    this.replaceCopy(ledger, live);
  }

  /** Looks for keys that had gone: there again, replaced by what follows them, or not needed any more. */
  private async seekMissingKeys(live: LiveRows): Promise<void> {
    const shown = new Set(live.rows.map(({ path }) => path));
    const missing = this.check.missingKeys();
    for (const key of missing) if (shown.has(key) || isOldChunk(key, live)) this.check.found(key);
    for (const key of this.check.missingKeys().slice(0, KEYS_SOUGHT)) {
      if (await this.isStored(successorOf(key) ?? key)) this.check.found(key);
    }
  }

  private async isStored(key: string): Promise<boolean> {
    const { rows } = await this.store.list(key, '');
    return rows.some((row) => row.path === key);
  }

  private replaceCopy(ledger: Ledger, { rows, from, to }: LiveRows): void {
    this.ledger = ledger;
    this.jobs.clear();
    this.ended.clear();
    this.types.clear();
    this.logRows.clear();
    this.chunkRows.clear();
    this.lead = null;
    this.members.clear();
    this.capabilities.clear();
    this.owners.clear();
    this.token = { value: 0, revision: 0 };
    this.checkpoint = NO_CHECKPOINT;
    for (const row of rows) {
      if (row.path.startsWith(LOGS)) this.noteLogRow(row);
      else this.take(row);
    }
    this.applied = from;
    this.catchUpTo = to;
    this.log.info({ jobs: this.jobs.size, records: this.ledger.size, epoch: from, to }, 'state loaded');
    this.enter('catching_up');
    this.announceIfCurrent();
  }

  private async follow(): Promise<void> {
    // Changes that come close together are fetched together: every answer costs one request for the next.
    const wait = this.follows.wait();
    if (wait > 0) await sleep(this.clock, wait);
    this.follows.take(1);
    const answer = await this.unlessClosed(this.store.follow(ALL, this.applied, BLOCK));
    if (this.stopped()) return;
    if (!answer) {
      this.log.info({ applied: this.applied }, 'watch too old, reading all live state again');
      this.enter('loading');
      return;
    }
    const changes = answer.news.sort(inOrder);
    this.refuseLosses(changes);
    this.changes.add(changes.length);
    for (const change of changes) this.take(change);
    this.applied = Math.max(this.applied, answer.epoch);
    this.announceIfCurrent();
  }

  /** The answer of a watch; fails as soon as the state is not to be believed, since a watch may stay open for long. */
  private unlessClosed<T>(watch: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      this.interruptWatch = () => {
        reject(new StoreError(0));
      };
      watch.then(resolve, reject);
    });
  }

  /** Throws, before anything of it is applied, if the changes take away what no node ever removes. */
  private refuseLosses(changes: readonly Change[]): void {
    const lost = lostKeys(changes, {
      checkpointId: this.checkpoint.id,
      isLive: (job) => this.jobs.has(job),
      position: (path) => this.ledger.seq(logOfKey(path)),
    });
    if (lost.length > 0 && this.check.refuses(lost)) throw new StoreError(0);
  }

  private announceIfCurrent(): void {
    if (this.state === 'catching_up' && this.applied >= this.catchUpTo) this.enter('following');
    if (this.state === 'following') this.announce();
  }

  private announce(): void {
    this.waiters.reached(this.applied);
    for (const listener of this.listeners) listener();
  }

  private take(change: Change): void {
    const { path, value, revision } = change;
    if (path === LEAD) {
      this.lead = value ? this.readHolder(path, value, revision) : null;
    } else if (path === TOKEN_KEY) {
      const token = decodeToken(value);
      if (token === null) this.noteUnreadable(path, revision);
      this.token = { value: token ?? UNREADABLE_TOKEN, revision };
    } else if (path.startsWith(SHARES)) {
      const share = Number(path.slice(SHARES.length));
      if (value) this.owners.set(share, this.readOwner(path, value, revision));
      else this.owners.delete(share);
    } else if (path.startsWith(MEMBERS)) {
      const member = path.slice(MEMBERS.length);
      if (value) this.members.set(member, decodeMember(member, value, revision));
      else this.members.delete(member);
    } else if (path.startsWith(CAPABILITIES)) {
      this.capabilities.set(path.slice(CAPABILITIES.length), decodeCapabilities(value));
    } else if (path.startsWith(JOBS)) {
      this.takeJob(path.slice(JOBS.length), change);
    } else if (path.startsWith(LOGS)) {
      // A gap can only mean that this copy missed something: start over rather than guess.
      if (!this.takeRecord(change)) this.enter('loading');
    } else if (path.startsWith(OVER)) {
      if (value) this.keepFinal(path.slice(OVER.length), value);
    } else if (path.startsWith(TYPES)) {
      if (value) this.types.set(path.slice(TYPES.length), decodeMachineTypeRow(value));
      else this.types.delete(path.slice(TYPES.length));
    } else if (path === CHECKPOINT_HEAD) {
      if (!value) return;
      const { id, positions, chunkCount } = decodeCheckpointHead(value);
      this.checkpoint = { id, positions, chunks: chunkCount, revision };
    } else if (path.startsWith(CHUNKS)) {
      if (value) this.chunkRows.add(path);
      else this.chunkRows.delete(path);
    }
  }

  /** False: there is a gap before this record. */
  private takeRecord({ path, value, revision }: Change): boolean {
    if (!value) {
      this.logRows.delete(path);
      return true;
    }
    const record = decodeRecord(value);
    this.noteLogRow({ path, value, revision });
    if (!this.ledger.apply(logOfKey(path), record)) return false;
    for (const [job] of record.ends ?? []) if (!this.jobs.has(job)) this.ledger.drop(job);
    return true;
  }

  private noteLogRow({ path, value, revision }: Row): void {
    this.logRows.set(path, { seq: storedSequence(value), revision });
  }

  private takeJob(id: string, { value, revision }: Change): void {
    this.ended.delete(id);
    if (value && !isTerminal(value)) {
      this.jobs.set(id, decodeJobRow(value, revision));
      return;
    }
    this.jobs.delete(id);
    this.ledger.drop(id);
    if (value) this.ended.set(id, { status: decodeFinal(value), revision });
  }

  /** Who holds a duty; a row that can't be read closes it, and is named. */
  private readHolder(path: string, value: Fields, revision: number): Lead {
    const holder = decodeHolder(value, revision);
    if (!isReadable(holder)) this.noteUnreadable(path, revision);
    return holder;
  }

  private readOwner(path: string, value: Fields, revision: number): ShareOwner {
    const owner = decodeOwner(value, revision);
    if (!isReadable(owner)) this.noteUnreadable(path, revision);
    return owner;
  }

  private noteUnreadable(path: string, revision: number): void {
    this.log.error({ path, revision }, 'the row of a duty can not be read: the duty is closed');
  }

  private keepFinal(id: string, value: Fields): void {
    this.finals.set(id, decodeFinal(value));
    if (this.finals.size > RECENT_FINALS) {
      const oldest = this.finals.keys().next().value;
      if (oldest !== undefined) this.finals.delete(oldest);
    }
  }
}

function committedBy(epoch: number): (row: Row) => boolean {
  return (row) => row.revision <= epoch;
}
