/**
 * A node's replica of all live state. The node loads the replica by one complete read and then keeps it current by one
 * watch. A replica changes only by commits that the state service reports, in the order of their revisions. This also
 * holds on the node that wrote the commit.
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

/** Time for which the state service may keep a watch open before it answers without changes. */
const WATCH_TIMEOUT: Micros = 10 * SECOND;
/** Fractions of the allowed request rate of the state service that the watches and the read barriers may use. */
const WATCH_QUOTA_FRACTION = 0.3;
const BARRIER_QUOTA_FRACTION = 0.25;
/** Delay before the next attempt after the state service refused a request or did not answer. */
const RETRY_DELAY: Micros = 250 * MS;
/** Delay between two complete reads while the integrity check does not accept their results. */
const RELOAD_INTERVAL: Micros = SECOND;
/** Interval at which a starting replica polls whether the integrity check is ready. */
const READY_POLL_INTERVAL: Micros = 50 * MS;

/** Dependencies of {@link Replica}. */
export interface ReplicaOptions {
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly log: Logger;
  /** Requests per second that the state service allows for all nodes together. */
  readonly stateRps: number;
  /** Verifies the data that the state service returns. The default accepts everything. */
  readonly integrity?: StateIntegrityCheck;
}

/** Loads and follows the live state of the cluster, which it holds as a {@link ClusterState}. Every node has one. */
export class Replica extends ClusterState {
  state: ReplicaState = 'loading';
  /** Revision of the last page read. Until it is applied, the replica may lack commits that earlier pages missed. */
  private catchUpRevision = 0;
  private listeners: (() => void)[] = [];
  private abortWatch: () => void = () => undefined;
  private readonly store: StoreClient;
  private readonly clock: Clock;
  private readonly log: Logger;
  private readonly integrity: StateIntegrityCheck;
  private readonly terminalStatuses = new TerminalStatusCache();
  private readonly applier: ChangeApplier;
  private readonly loader: ReplicaLoader;
  private readonly waiters: RevisionWaiters;
  private readonly changeMeter: RateMeter;
  private readonly watchLimiter: RateLimiter;
  private readonly readBarrier: ReadBarrier;

  constructor({ store, clock, log, stateRps, integrity = NO_STATE_INTEGRITY_CHECK }: ReplicaOptions) {
    super();
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.integrity = integrity;
    integrity.onClose(() => {
      this.abortWatch();
    });
    this.applier = new ChangeApplier({ state: this, terminalStatuses: this.terminalStatuses, log });
    this.loader = new ReplicaLoader(store, integrity);
    this.waiters = new RevisionWaiters(clock);
    this.changeMeter = new RateMeter(clock);
    this.watchLimiter = new RateLimiter(clock, () => this.perMemberQuota(stateRps * WATCH_QUOTA_FRACTION));
    this.readBarrier = new ReadBarrier({
      store,
      clock,
      limiter: new RateLimiter(clock, () => this.perMemberQuota(stateRps * BARRIER_QUOTA_FRACTION)),
      waitForRevision: (revision, timeout) => this.waitForRevision(revision, timeout),
      confirmReplica: (sentAt) => integrity.confirmReplica(sentAt, this.highWaterMarks()),
    });
  }

  /** Returns this node's part of a quota that all nodes share. Each member with a lease gets an equal part. */
  perMemberQuota(total: number): number {
    return total / Math.max(1, this.members.size);
  }

  /** Returns true if each of these members supports the capability, including members that are down. */
  allSupport(members: readonly string[], capability: Capability): boolean {
    return allSupport(members, { livingMembers: this.members, lastAnnounced: this.capabilities }, capability);
  }

  /** Recent rate of changes by all nodes, in changes per second, as the watch reported them. */
  get changeRate(): number {
    return this.changeMeter.rate();
  }

  /** Monotonic time at which the replica was last confirmed to be complete; -Infinity before the first time. */
  get verifiedAt(): Micros {
    return this.readBarrier.verifiedAt;
  }

  /** Registers a listener that is called after each update while the replica is in state `following`. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Makes {@link run} return after its current step. */
  stop(): void {
    this.transitionTo('stopped');
  }

  /** Loads and follows the live state until {@link stop} is called. Logs errors and retries. */
  async run(): Promise<void> {
    while (!this.integrity.isReady()) await sleep(this.clock, READY_POLL_INTERVAL);
    while (!this.isStopped()) {
      try {
        if (this.state === 'loading' || !this.integrity.isOpen()) await this.load();
        else await this.watch();
      } catch (cause) {
        this.log.debug({ error: String(cause) }, 'state watch interrupted');
        if (cause instanceof IncompleteStateError) this.integrity.reportIncompleteRead(cause.message);
        const isStoreFailure = cause instanceof StoreError && this.integrity.isOpen();
        await sleep(this.clock, isStoreFailure ? RETRY_DELAY : RELOAD_INTERVAL);
      }
    }
  }

  /**
   * Resolves to true once this replica has applied everything that the state service had committed at the time of the
   * call. Resolves to false if the replica cannot confirm that now. Calls in quick succession share one read.
   */
  barrier(): Promise<boolean> {
    return this.readBarrier.wait();
  }

  /** Resolves to true once the given revision is applied, or to false after the timeout. */
  waitForRevision(revision: number, timeout: Micros): Promise<boolean> {
    if (this.appliedRevision >= revision && this.state === 'following') return Promise.resolve(true);
    return this.waiters.wait(revision, timeout);
  }

  /** Returns the terminal status of a job, or null if it has none. Reads the state service if it is not cached. */
  async terminalStatus(id: string): Promise<TerminalStatus | null> {
    const cachedStatus = this.cachedTerminalStatus(id);
    if (cachedStatus) return cachedStatus;
    const { row } = await this.store.get(terminalKey(id));
    if (!row) return null;
    this.terminalStatuses.set(id, decodeTerminalStatus(row.value));
    return this.cachedTerminalStatus(id);
  }

  /**
   * Returns the page of terminal statuses that follows this job in the order of job ids.
   * Throws {@link StoreError} while the integrity check is closed.
   */
  async terminalStatusesAfter(id: string): Promise<{ id: string; status: TerminalStatus }[]> {
    if (!this.integrity.isOpen()) throw new StoreError(0);
    const { rows } = await this.store.list(TERMINAL_PREFIX, id === '' ? '' : terminalKey(id));
    return rows.map(({ path, value }) => ({
      id: path.slice(TERMINAL_PREFIX.length),
      status: decodeTerminalStatus(value),
    }));
  }

  /** Returns the terminal status of a job if this node has it in memory, or else null. */
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

  /** Reads all live state and replaces this replica by it, unless the integrity check rejects the result. */
  private async load(): Promise<void> {
    const sentAt = this.clock.now();
    const previous =
      this.appliedRevision > 0
        ? { ...this.highWaterMarks(), revision: this.integrity.minimumRevision() }
        : null;
    const loaded = await this.loader.load();
    // The old state stays until the new one is accepted: after a data loss it may be the only copy of the lost data.
    if (!this.isAccepted(loaded, sentAt, previous)) throw new StoreError(0);
    this.replaceState(loaded);
  }

  private isAccepted(
    { live, ledger }: LoadedState,
    sentAt: Micros,
    previous: HighWaterMarks | null,
  ): boolean {
    const current = {
      revision: live.revision,
      fencingToken: fencingTokenIn(live),
      positions: ledger.allPositions(),
    };
    const differences = compareRows(live, this.replicaRows());
    return this.integrity.verifyReading({ sentAt, current, previous, differences });
  }

  private replaceState({ live, ledger }: LoadedState): void {
    this.reset(ledger);
    this.applyLiveRows(live);
    this.appliedRevision = live.revision;
    this.catchUpRevision = live.lastPageRevision;
    this.log.info(
      {
        jobs: this.jobs.size,
        records: this.ledger.totalRecords,
        revision: live.revision,
        catchUpRevision: live.lastPageRevision,
      },
      'state loaded',
    );
    this.transitionTo('catching_up');
    this.notifyIfCurrent();
  }

  /** Applies the rows of a complete read. The new ledger contains the log records, so only their slots are tracked. */
  private applyLiveRows({ rows }: LiveRows): void {
    for (const row of rows) {
      if (row.path.startsWith(LOG_PREFIX)) this.applier.trackLogSlot(row);
      else this.applier.apply(row);
    }
  }

  private async watch(): Promise<void> {
    // Each answer costs one more request for the next watch. The delay lets one answer carry several changes.
    const delay = this.watchLimiter.delay();
    if (delay > 0) await sleep(this.clock, delay);
    this.watchLimiter.consume(1);
    const answer = await this.rejectOnCheckClose(
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
      // A sequence gap means that this replica missed a record, so it loads the complete state again.
      if (!this.applier.apply(change)) this.transitionTo('loading');
    }
  }

  /** Resolves to the answer of the watch. Rejects once the integrity check closes, since a watch may take seconds. */
  private rejectOnCheckClose<T>(watch: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      this.abortWatch = () => {
        reject(new StoreError(0));
      };
      watch.then(resolve, reject);
    });
  }

  /** Throws {@link StoreError} if the changes remove keys that no node ever removes. Called before they are applied. */
  private rejectLosses(changes: readonly Change[]): void {
    const lost = findLostKeys(changes, {
      checkpointId: this.checkpoint.id,
      isLive: (job) => this.jobs.has(job),
      position: (path) => this.ledger.position(logIdOfKey(path)),
    });
    if (lost.length > 0 && this.integrity.reportLostKeys(lost)) throw new StoreError(0);
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
