/**
 * A node's copy of all live state: a complete read first, then kept current by one watch. It changes only by what the
 * state service says, in the order of its revisions, on the node that wrote it as on every other.
 */
import { allSupport, type Capability } from './capabilities.js';
import { ChangeApplier } from './change-applier.js';
import { ClusterState } from './cluster-state.js';
import type { TerminalStatus } from './jobs.js';
import { LOG_PREFIX, logIdOfKey, ROOT_PREFIX, TERMINAL_PREFIX, terminalKey } from './keys.js';
import {
  byCommitOrder,
  compareRows,
  fencingTokenIn,
  findLostKeys,
  IncompleteStateError,
  type LiveRows,
} from './live-state.js';
import type { Logger } from './logger.js';
import { ReadBarrier } from './read-barrier.js';
import { type LoadedState, ReplicaLoader } from './replica-loader.js';
import type { ReplicaState } from './replica-state.js';
import { RevisionWaiters } from './revision-waiters.js';
import {
  type HighWaterMarks,
  NO_STATE_INTEGRITY_CHECK,
  type StateIntegrityCheck,
} from './state-integrity-check.js';
import { decodeTerminalStatus } from './stored/job-codec.js';
import { TerminalStatusCache } from './terminal-status-cache.js';
import { type Change, RateLimiter, RateMeter, type StoreClient, StoreError } from '#store';
import { type Clock, type Micros, MS, SECOND, sleep } from '#wire';

/** How long the state service may keep a watch open before it answers without changes. */
const WATCH_TIMEOUT: Micros = 10 * SECOND;
/** Parts of the requests that the state service allows which the watch and the read barrier may take. */
const WATCH_QUOTA_SHARE = 0.3;
const BARRIER_QUOTA_SHARE = 0.25;
/** Time before another attempt where the state service refused or did not answer. */
const RETRY_DELAY: Micros = 250 * MS;
/** Time between two complete reads while what they show is not accepted. */
const RELOAD_INTERVAL: Micros = SECOND;
/** Time between two looks at whether the integrity check is ready. */
const READY_POLL_INTERVAL: Micros = 50 * MS;

/** What a replica needs. */
export interface ReplicaOptions {
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly log: Logger;
  /** Requests a second that the state service allows all nodes together. */
  readonly stateRps: number;
  /** Judges what the state service shows; by default everything is accepted. */
  readonly check?: StateIntegrityCheck;
}

/** Follows the live state of the cluster. Every node has one; what it holds is a {@link ClusterState}. */
export class Replica extends ClusterState {
  state: ReplicaState = 'loading';
  /** Revision of the last page read: before it is applied, the copy may lack what other pages missed. */
  private catchUpRevision = 0;
  private listeners: (() => void)[] = [];
  private interruptWatch: () => void = () => undefined;
  private readonly store: StoreClient;
  private readonly clock: Clock;
  private readonly log: Logger;
  private readonly check: StateIntegrityCheck;
  private readonly terminalStatuses = new TerminalStatusCache();
  private readonly applier: ChangeApplier;
  private readonly loader: ReplicaLoader;
  private readonly waiters: RevisionWaiters;
  private readonly changeMeter: RateMeter;
  private readonly watchLimiter: RateLimiter;
  private readonly readBarrier: ReadBarrier;

  constructor({ store, clock, log, stateRps, check = NO_STATE_INTEGRITY_CHECK }: ReplicaOptions) {
    super();
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.check = check;
    check.onClose(() => {
      this.interruptWatch();
    });
    this.applier = new ChangeApplier({ state: this, terminalStatuses: this.terminalStatuses, log });
    this.loader = new ReplicaLoader(store, check);
    this.waiters = new RevisionWaiters(clock);
    this.changeMeter = new RateMeter(clock);
    this.watchLimiter = new RateLimiter(clock, () => this.perMemberQuota(stateRps * WATCH_QUOTA_SHARE));
    this.readBarrier = new ReadBarrier({
      store,
      clock,
      limiter: new RateLimiter(clock, () => this.perMemberQuota(stateRps * BARRIER_QUOTA_SHARE)),
      waitForRevision: (revision, timeout) => this.waitForRevision(revision, timeout),
      confirmCopy: (sentAt) => check.confirmCopy(sentAt, this.highWaterMarks()),
    });
  }

  /** This node's part of a quota that all nodes have together: each living member has the same. */
  perMemberQuota(total: number): number {
    return total / Math.max(1, this.members.size);
  }

  /** Every one of these members supports the capability, those that are down included. */
  allSupport(members: readonly string[], capability: Capability): boolean {
    return allSupport(members, { living: this.members, lasting: this.capabilities }, capability);
  }

  /** Changes a second by all nodes, as the watch has shown them lately. */
  get changeRate(): number {
    return this.changeMeter.rate();
  }

  /** Steady time at which the copy was last known to be complete, or -Infinity. */
  get verifiedAt(): Micros {
    return this.readBarrier.verifiedAt;
  }

  /** Calls the listener after each step of the watch while the copy is complete. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Ends {@link run} after its present step. */
  stop(): void {
    this.transitionTo('stopped');
  }

  /** Loads and follows the live state until {@link stop} is called; errors are logged and retried. */
  async run(): Promise<void> {
    while (!this.check.isReady()) await sleep(this.clock, READY_POLL_INTERVAL);
    while (!this.isStopped()) {
      try {
        if (this.state === 'loading' || !this.check.isOpen()) await this.load();
        else await this.watch();
      } catch (cause) {
        this.log.debug({ error: String(cause) }, 'state watch interrupted');
        if (cause instanceof IncompleteStateError) this.check.reportIncompleteRead(cause.message);
        const isRefusal = cause instanceof StoreError && this.check.isOpen();
        await sleep(this.clock, isRefusal ? RETRY_DELAY : RELOAD_INTERVAL);
      }
    }
  }

  /**
   * Resolves true once everything that the state service had committed when this was called is applied
   * here; false if that can't be had now. Callers that come close together share one read.
   */
  barrier(): Promise<boolean> {
    return this.readBarrier.wait();
  }

  /** Resolves true when the given revision is applied, or false after the timeout. */
  waitForRevision(revision: number, timeout: Micros): Promise<boolean> {
    if (this.appliedRevision >= revision && this.state === 'following') return Promise.resolve(true);
    return this.waiters.wait(revision, timeout);
  }

  /** Terminal status of a job that is not live, read from the state service if need be; null if there is none. */
  async terminalStatus(id: string): Promise<TerminalStatus | null> {
    const known = this.cachedTerminalStatus(id);
    if (known) return known;
    const { row } = await this.store.get(terminalKey(id));
    if (!row) return null;
    this.terminalStatuses.set(id, decodeTerminalStatus(row.value));
    return this.cachedTerminalStatus(id);
  }

  /** A page of the terminal statuses after this job, in the order of job names; fails while the state is not intact. */
  async terminalStatusesAfter(id: string): Promise<{ id: string; status: TerminalStatus }[]> {
    if (!this.check.isOpen()) throw new StoreError(0);
    const { rows } = await this.store.list(TERMINAL_PREFIX, id === '' ? '' : terminalKey(id));
    return rows.map(({ path, value }) => ({
      id: path.slice(TERMINAL_PREFIX.length),
      status: decodeTerminalStatus(value),
    }));
  }

  /** Terminal status of a job as far as this node knows it without a read. */
  cachedTerminalStatus(id: string): TerminalStatus | null {
    return this.terminalJobs.get(id)?.status ?? this.terminalStatuses.get(id);
  }

  private isStopped(): boolean {
    return this.state === 'stopped';
  }

  private transitionTo(state: ReplicaState): void {
    if (this.state === state || this.state === 'stopped') return;
    this.log.debug({ from: this.state, to: state }, 'replica state changed');
    this.state = state;
  }

  /** Reads all live state, and takes it for the copy unless it contradicts what is known. */
  private async load(): Promise<void> {
    const sentAt = this.clock.now();
    const known =
      this.appliedRevision > 0 ? { ...this.highWaterMarks(), revision: this.check.minimumRevision() } : null;
    const loaded = await this.loader.load();
    // Until it is accepted the copy stays: of what was lost, it may be the only one.
    if (!this.isAccepted(loaded, sentAt, known)) throw new StoreError(0);
    this.replaceCopy(loaded);
  }

  private isAccepted({ live, ledger }: LoadedState, sentAt: Micros, known: HighWaterMarks | null): boolean {
    const shown = {
      revision: live.from,
      fencingToken: fencingTokenIn(live),
      positions: ledger.allPositions(),
    };
    const differences = compareRows(live, this.knownRows());
    return this.check.judgeReading({ sentAt, shown, known, differences });
  }

  private replaceCopy({ live, ledger }: LoadedState): void {
    this.reset(ledger);
    this.applyLiveRows(live);
    this.appliedRevision = live.from;
    this.catchUpRevision = live.to;
    this.log.info(
      {
        jobs: this.jobs.size,
        records: this.ledger.totalRecords,
        revision: live.from,
        catchUpRevision: live.to,
      },
      'state loaded',
    );
    this.transitionTo('catching_up');
    this.notifyIfCurrent();
  }

  /** The records of the logs are in the ledger already: only their slots are noted. */
  private applyLiveRows({ rows }: LiveRows): void {
    for (const row of rows) {
      if (row.path.startsWith(LOG_PREFIX)) this.applier.trackLogSlot(row);
      else this.applier.apply(row);
    }
  }

  private async watch(): Promise<void> {
    // Changes that come close together are fetched together: every answer costs one request for the next.
    const delay = this.watchLimiter.delay();
    if (delay > 0) await sleep(this.clock, delay);
    this.watchLimiter.consume(1);
    const answer = await this.failOnIntegrityLoss(
      this.store.watch(ROOT_PREFIX, this.appliedRevision, WATCH_TIMEOUT),
    );
    if (this.isStopped()) return;
    if (!answer) {
      this.log.info({ revision: this.appliedRevision }, 'state watch expired');
      this.transitionTo('loading');
      return;
    }
    const changes = answer.changes.sort(byCommitOrder);
    this.rejectLosses(changes);
    this.changeMeter.add(changes.length);
    this.applyChanges(changes);
    this.appliedRevision = Math.max(this.appliedRevision, answer.revision);
    this.notifyIfCurrent();
  }

  private applyChanges(changes: readonly Change[]): void {
    for (const change of changes) {
      // A gap can only mean that this copy missed something: start over rather than guess.
      if (!this.applier.apply(change)) this.transitionTo('loading');
    }
  }

  /** The answer of a watch; fails as soon as the integrity check closes, since a watch may stay open for long. */
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
}
