import type { ServiceResponse } from '#api';
import { CloudClient } from '#cloud';
import { type RoleName, FencedCloud, FencedStore, reportRoles } from '#roles';
import {
  REACHABILITY_CHECK_INTERVAL,
  LOG_RING_CAPACITY,
  type MachineEntry,
  type LogId,
  type Logger,
  LogWriter,
  Membership,
  type PeerHighWaterMark,
  type PeerStatus,
  PeerMonitor,
  type Ping,
  type RecordDraft,
  Replica,
  type ShardOwner,
  type ReplicaSnapshot,
  NO_STATE_INTEGRITY_CHECK,
  WorkerReachability,
} from '#cluster';
import type { NodeDutyReport, NodeLossReport } from '#operations';
import { DataLossDetector, writeSnapshot } from '#recovery';
import type { Settings, Tuning } from '#settings';
import { RateLimiter, StoreClient, NO_REVISION_CHECK, WriteLimits } from '#store';
import {
  type HttpClient,
  type Clock,
  type Command,
  encodeRedirect,
  encodeHeartbeatResponse,
  type Micros,
  MS,
  parseHeartbeat,
  SECOND,
  sleep,
  type Heartbeat,
} from '#wire';
import { type TaskCompletion, renewalBound, WorkerRegistry } from '#workers';
import { Leader } from './leader.js';
import { Forecaster } from '#scheduling';
import { StateFreshness } from './state-freshness.js';
import { RoleHandover, type HandoverResult } from './role-handover.js';
import { Preemption } from '#scheduling';
import { RoundInputBuilder } from '#scheduling';
import { RunTimeEstimator } from '#scheduling';
import { Scheduler } from '#scheduling';
import { unavailable, JobService } from './job-service.js';

export interface ControllerOptions {
  settings: Settings;
  tuning: Tuning;
  clock: Clock;
  /** Uniform in [0, 1). */
  random: () => number;
  /** Unique for this start of the process. */
  incarnation: string;
  httpClient: HttpClient;
  ping: Ping;
  log: Logger;
}

type RoundState = 'resting' | 'planning' | 'committing' | 'finishing' | 'leading' | 'stopped';

/**
 * How long the answer to a report with news, or to the first one of a machine, waits for the round that takes it
 * in, as a part of the time between reports and at the most. One that misses its round carries neither the next
 * start nor the `reap` that would make the worker report again at once, and the room stands idle until the next
 * report is due.
 */
const CHANGE_WAIT = { part: 0.45, most: 1500 * MS };
/** How long a report waits for the round that lets its machine go, or takes it. */
const TRANSFER_WAIT = { part: 0.2, most: 700 * MS };
/** What the logs may take of the changes that the state service allows; users' jobs need the rest. */
const LOG_WRITE_FRACTION = 0.5;
/** A node takes what others leave up to so many times its even part, and while so much of all is not in use. */
const MAX_LOG_WRITE_FACTOR = 2.5;
const BUSY_WRITE_FRACTION = 0.8;
/** What the leader's checkpoints may take of them. */
const CHECKPOINT_WRITE_FRACTION = 0.16;
/** The same, once a log is so full that its records may soon have to wait for a checkpoint. */
const URGENT_CHECKPOINT_WRITE_FRACTION = 0.35;
const URGENT_LOG_FILL = 0.6;
/** How long a worker or peer that has fallen silent is believed to have seen more than the state service shows. */
const OBSERVATION_LIFETIME: Micros = 60 * SECOND;
/** Time between two pages of final answers that a snapshot reads: rounds and users come first. */
const SNAPSHOT_PAGE_GAP: Micros = 250 * MS;
/** A round starts no sooner than so many times its planning after the one before. */
const PLANNING_REST_FACTOR = 4;

/** One node of the service, whole but for its sockets. */
export class Controller {
  readonly jobService: JobService;
  private readonly replica: Replica;
  private readonly membership: Membership;
  private readonly logWriter: LogWriter;
  private readonly workers: WorkerRegistry;
  private readonly scheduler: Scheduler;
  private readonly runTimeEstimator: RunTimeEstimator;
  private readonly leader: Leader;
  private readonly roleHandover: RoleHandover;
  /** Null unless the operators' settings switch it on. */
  private readonly dataLossDetector: DataLossDetector | null;
  /** Every node of the cluster, whether it is up or not. */
  private readonly allNodes: readonly string[];
  private readonly peers: PeerMonitor;
  private readonly workerReachability: WorkerReachability;
  private readonly freshness: StateFreshness;
  private readonly clock: Clock;
  private readonly log: Logger;
  private roundState: RoundState = 'resting';
  private roundRequested = false;
  private wakeRoundLoop: (() => void) | null = null;
  private roundWaiters: (() => void)[] = [];
  private lastRound: Micros = -Infinity;
  /** How long the last round's planning kept this node from all else. */
  private planningTime: Micros = 0;
  /**
   * Machines whose release was sent to the log and may yet land: their workers are not answered, so that
   * nothing this node says can come after the new owner's first word. By host: log and its position then.
   */
  private readonly pendingReleases = new Map<string, { log: number; seq: number }>();

  constructor(private readonly parts: ControllerOptions) {
    const { settings, clock, httpClient: call, log } = parts;
    this.clock = clock;
    this.log = log;
    const { tuning } = parts;
    const { member, domain, peers } = settings;
    this.allNodes = [member, ...peers.map((peer) => peer.member)];
    const watch = {
      clock,
      log,
      observationLifetime: OBSERVATION_LIFETIME,
      peerCount: peers.length,
      heartbeatInterval: settings.heartbeatInterval,
    };
    this.dataLossDetector = tuning.detectsDataLoss ? new DataLossDetector(watch) : null;
    const { dataLossDetector: lossWatch } = this;
    const store = new StoreClient(settings.state, call, lossWatch ?? NO_REVISION_CHECK);
    const replica = new Replica(
      ...([store, clock, log, settings.stateRps, lossWatch ?? NO_STATE_INTEGRITY_CHECK] as const),
    );
    this.replica = replica;
    this.workers = new WorkerRegistry(settings);
    this.workerReachability = new WorkerReachability(settings);
    this.freshness = new StateFreshness(replica, clock, settings.peers.length > 0, () =>
      this.isStateIntact(),
    );
    const { incarnation, random } = parts;
    this.membership = new Membership({
      member,
      zone: domain,
      incarnation,
      store,
      replica,
      clock,
      random,
      log,
    });
    const { membership, workers } = this;
    const pace = new RateLimiter(clock, (used) => this.logWriteRate(used));
    const upkeep = new RateLimiter(clock, () => settings.stateWriteRps * this.checkpointWriteFraction());
    const limits = new WriteLimits(settings.valueBytes, settings.txnOps);
    const { roles } = membership;
    const fencedStore = new FencedStore(store, roles);
    const cloud = new FencedCloud(new CloudClient(settings.cloud, call), roles);
    this.logWriter = new LogWriter({
      store: fencedStore,
      replica,
      roles,
      clock,
      limits,
      recordLimiter: pace,
      checkpointLimiter: upkeep,
      log,
    });
    this.jobService = new JobService(settings, store, replica, clock);
    const runTimes = new RunTimeEstimator(clock, replica, workers, log);
    this.runTimeEstimator = runTimes;
    const input = new RoundInputBuilder(settings, parts.tuning, clock, replica, workers, runTimes);
    const preemption = new Preemption(settings, clock, replica, workers, runTimes);
    this.scheduler = new Scheduler({
      ...{ settings, tuning, random, replica, workers, input, preemption, log },
    });
    const forecaster = new Forecaster(settings, replica, input, runTimes, this.scheduler);
    const { logWriter: writer } = this;
    const wake = (): void => {
      this.requestRound();
    };
    this.leader = new Leader({
      ...{
        settings,
        clock,
        store: fencedStore,
        cloud,
        replica,
        membership,
        logWriter: writer,
        writeLimits: limits,
        forecaster,
        runTimeEstimator: runTimes,
        log,
        requestRound: wake,
      },
    });
    this.roleHandover = new RoleHandover({
      ...{ clock, replica, membership, store: fencedStore, freshness: this.freshness },
      allNodes: this.allNodes,
    });
    this.peers = new PeerMonitor({
      peers: settings.peers,
      ping: parts.ping,
      clock,
      log,
      onReachabilityChange: (unreachable) => {
        // A peer without a member key is dead, not out of reach.
        void membership.publishStatus({
          unreachable: unreachable.filter((name) => replica.members.has(name)),
        });
      },
      onStatus: (status, peer) => {
        this.onPeerStatus(status, peer);
      },
    });
    replica.onChange(wake);
  }

  start(): void {
    void this.replica.run();
    void this.membership.run();
    void this.runRoundLoop();
    void this.keepStateFresh();
    void this.monitorWorkerReachability();
    this.peers.start();
  }

  stop(): void {
    this.roundState = 'stopped';
    this.replica.stop();
    this.membership.stop();
    this.peers.stop();
    this.requestRound();
  }

  /** This node's copy of the state, for tests and tools. */
  replicaSnapshot(): ReplicaSnapshot {
    const { state, appliedRevision: applied, ledger } = this.replica;
    return { member: this.parts.settings.member, state, appliedRevision: applied, ledger };
  }

  /** What this node knows of the cluster's duties, and how old that knowledge is. */
  roleReport(): NodeDutyReport {
    const { replica, membership } = this;
    const age = this.freshness.age();
    return {
      member: this.parts.settings.member,
      membership: membership.state,
      knowledgeAgeS: Number.isFinite(age) ? Math.round(age / (100 * MS)) / 10 : null,
      duties: reportRoles(membership.roles, replica.ledger, this.clock.now()),
    };
  }

  /** What this node knows of lost state. */
  dataLossReport(): NodeLossReport {
    const { member } = this.parts.settings;
    return { member, loss: this.dataLossDetector?.report() ?? null };
  }

  /** The state as this node's copy holds it now, for a file of the operators; null while there is no copy. */
  snapshot(): AsyncIterable<string> | null {
    const { replica, allNodes, clock } = this;
    if (replica.appliedRevision === 0) return null;
    const { member } = this.parts.settings;
    const takenAt = Math.floor(clock.wall() / MS);
    const loss = this.dataLossDetector?.report().state ?? null;
    const finals = async (after: string): ReturnType<Replica['terminalStatusesAfter']> => {
      if (after !== '') await sleep(clock, SNAPSHOT_PAGE_GAP);
      return replica.terminalStatusesAfter(after);
    };
    return writeSnapshot(replica, { member, nodes: [...allNodes], takenAt, loss }, finals);
  }

  /** Hands a duty over on purpose. */
  resignRole(role: RoleName): Promise<HandoverResult> {
    return this.roleHandover.resign(role);
  }

  /** Gives up all duties before a planned stop, so that they are vacant for no longer than it takes to elect anew. */
  async retire(): Promise<void> {
    await this.roleHandover.retire();
    this.stop();
  }

  /** The term under which this node believes to lead; null if it doesn't. */
  leaderTerm(): number | null {
    return this.membership.roles.proveHeld('lead')?.term ?? null;
  }

  /** What this node tells its peers. */
  peerStatus(): PeerStatus {
    const referred = this.workerReachability.redirectCounts(this.clock.now());
    const served = this.freshness.isFresh();
    const { value } = this.replica.fencingToken;
    const fencingToken = this.dataLossDetector?.publishedFencingToken(value) ?? value;
    return {
      fencingToken,
      isStoreReachable: served,
      redirectedWorkers: referred,
      highWaterMark: this.publishedHighWaterMark(),
    };
  }

  /** What peers are told of this node's memory; nothing while a node of an older version may hear it. */
  private publishedHighWaterMark(): PeerHighWaterMark | null {
    if (!this.dataLossDetector || !this.replica.allSupport(this.allNodes, 'memory')) return null;
    return this.dataLossDetector.publishedHighWaterMark();
  }

  /**
   * 200 once this node can take requests. An outage of the state service hits all alike and changes nothing; if
   * a peer is served and this node alone is not, users are better off elsewhere.
   */
  health(): ServiceResponse {
    if (this.freshness.isIsolated()) return unavailable('cut off from the state service');
    const ready = this.replica.appliedRevision > 0 && this.replica.machineTypes.size > 0;
    return ready ? { status: 200, body: { Status: 'ok' } } : unavailable('not ready yet');
  }

  async handleHeartbeat(body: unknown): Promise<ServiceResponse> {
    const heartbeat = parseHeartbeat(body);
    if (!heartbeat) return { status: 400, body: { error: 'not a report' } };
    this.workerReachability.onHeartbeat();
    this.dataLossDetector?.observeHeartbeat(heartbeat);
    // Refused in the middle of a move, a worker would look for its owner elsewhere, a second for each node.
    if (this.isInTransfer(heartbeat.host)) await this.waitForNextRound(TRANSFER_WAIT);
    const refusal = this.checkAuthority(heartbeat);
    if (refusal) return refusal;
    this.syncOwnership();
    const first = !this.workers.trackedWorkers.has(heartbeat.host);
    // An older report than the newest known: its worker has given this exchange up.
    if (!this.workers.onHeartbeat(heartbeat, this.clock.now())) return unavailable('stale report');
    if (first || this.scheduler.hasUnrecordedCompletion(heartbeat.host))
      await this.waitForNextRound(CHANGE_WAIT);
    const again = this.checkAuthority(heartbeat);
    if (again) return again;
    this.syncOwnership();
    // While the answer waited, the machine may have left and come back: then nothing is known of its worker.
    if (this.workers.trackedWorkers.get(heartbeat.host)?.heartbeat !== heartbeat)
      return unavailable('stale report');
    const now = this.clock.now();
    const commands = this.workers.commands(
      heartbeat.host,
      this.replica.ledger,
      this.replica.jobs,
      this.freshness.isFresh(),
    );
    this.workers.onResponseSent(heartbeat.host, now);
    const allowed = this.isStateIntact() ? commands : commands.filter(isStop);
    return {
      status: 200,
      body: encodeHeartbeatResponse({ fencingToken: this.replica.fencingToken.value, commands: allowed }),
    };
  }

  /** Nothing contradicts what this node, its workers and its peers have seen of the state. */
  private isStateIntact(): boolean {
    return this.dataLossDetector?.isOpen() ?? true;
  }

  /** The worker's tasks were started by records that this copy doesn't have: told to end them, it would lose them. */
  private isBehindWorker(heartbeat: Heartbeat): boolean {
    return this.dataLossDetector?.isWorkerAheadOf(this.replica.highWaterMarks(), heartbeat) ?? false;
  }

  /** A round of this node lets the machine go at present, or is to take it. */
  private isInTransfer(host: string): boolean {
    const machine = this.replica.ledger.machines.get(host);
    if (!machine || this.replica.state !== 'following') return false;
    if (machine.shard !== null && !this.hasPendingRelease(host)) return false;
    return this.ownedShards().has(shardOfMachine(machine) ?? -1);
  }

  /** Waits for the next round, which takes in what is known by now. */
  private waitForNextRound({ part, most }: typeof CHANGE_WAIT): Promise<void> {
    this.requestRound();
    return this.awaitRound(Math.min(most, this.parts.settings.heartbeatInterval * part));
  }

  /** The answer for a worker if this node may not act for the controllers towards it now. */
  private checkAuthority(heartbeat: Heartbeat): ServiceResponse | null {
    const { ledger, shardOwners: owners, fencingToken, state } = this.replica;
    const machine = ledger.machines.get(heartbeat.host);
    if (!machine || state !== 'following') return unavailable('machine not known');
    const at = shardOfMachine(machine);
    const owner = at === null ? undefined : owners.get(at);
    if (!owner) return unavailable('no owner known');
    if (!this.ownedShards().has(at ?? -1)) {
      if (owner.member === this.parts.settings.member) return unavailable('not ready yet');
      this.workerReachability.onRedirect(owner.member, heartbeat.host, this.clock.now());
      return { status: 421, body: encodeRedirect(owner.member) };
    }
    if (machine.shard === null || this.hasPendingRelease(heartbeat.host))
      return unavailable('machine on the move');
    // A higher token than the highest known here: somebody else may own this by now.
    if (heartbeat.fencingToken > fencingToken.value || this.freshness.isOutdated())
      return unavailable('superseded');
    if (this.isBehindWorker(heartbeat)) return unavailable('state behind the worker');
    return this.freshness.age() > renewalBound(this.parts.settings)
      ? unavailable('state not reachable')
      : null;
  }

  private onPeerStatus(status: PeerStatus, peer: string): void {
    this.dataLossDetector?.observePeer(peer, status);
    this.workerReachability.onPeerRedirects(status.redirectedWorkers[this.parts.settings.member] ?? 0);
    this.freshness.onPeerStatus(status);
  }

  /**
   * Changes a second for this node's logs: its even part of what they may take, or more while the other nodes leave
   * theirs unused, as where one team's share has hundreds of small jobs and the others' next to none. All that the
   * watch shows counts, users' jobs included, and only a state that is known to be recent tells of it.
   */
  private logWriteRate(own: number): number {
    const { replica } = this;
    const { stateWriteRps } = this.parts.settings;
    const even = replica.perMemberQuota(stateWriteRps * LOG_WRITE_FRACTION);
    if (!this.freshness.isFresh()) return even;
    const others = Math.max(0, replica.changeRate - own);
    return Math.max(
      even,
      Math.min(MAX_LOG_WRITE_FACTOR * even, stateWriteRps * BUSY_WRITE_FRACTION - others),
    );
  }

  /** The leader's checkpoints get a larger part of all changes while a log has little room left. */
  private checkpointWriteFraction(): number {
    const isUrgent = this.replica.fullestLogRecords > URGENT_LOG_FILL * LOG_RING_CAPACITY;
    return isUrgent ? URGENT_CHECKPOINT_WRITE_FRACTION : CHECKPOINT_WRITE_FRACTION;
  }

  private ownedShards(): Map<number, ShardOwner> {
    return this.membership.ownedShards();
  }

  private syncOwnership(): void {
    this.workers.syncOwnership(
      this.replica.ledger,
      this.ownedShards(),
      this.replica.fencingToken.value,
      this.clock.now(),
    );
  }

  private hasPendingRelease(host: string): boolean {
    const gone = this.pendingReleases.get(host);
    if (!gone) return false;
    // Another record took the number that the release was sent under: it can't land any more.
    if (this.replica.ledger.position(gone.log) > gone.seq) this.pendingReleases.delete(host);
    return this.pendingReleases.has(host);
  }

  private requestRound(): void {
    this.roundRequested = true;
    this.wakeRoundLoop?.();
  }

  private awaitRound(timeout: Micros): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.after(timeout, resolve);
      this.roundWaiters.push(() => {
        timer.cancel();
        resolve();
      });
    });
  }

  private enterRound(state: RoundState): void {
    if (this.roundState !== 'stopped') this.roundState = state;
  }

  private stopped(): boolean {
    return this.roundState === 'stopped';
  }

  private async runRoundLoop(): Promise<void> {
    while (!this.stopped()) {
      // Rounds get longer before anything is late: what planning took is left to workers and users thrice.
      const least = Math.max(this.parts.tuning.roundGap, this.planningTime * PLANNING_REST_FACTOR);
      const gap = Math.max(this.lastRound + least - this.clock.now(), this.logWriter.appendDelay());
      if (gap > 0) await sleep(this.clock, gap);
      if (!this.roundRequested) await this.awaitWork();
      this.roundRequested = false;
      this.lastRound = this.clock.now();
      const waiters = this.roundWaiters;
      this.roundWaiters = [];
      try {
        const fresh = this.freshness.isFresh();
        await this.runSchedulingRound(fresh);
        for (const done of waiters) done();
        this.enterRound('leading');
        this.leader.step(fresh);
      } catch (cause) {
        this.log.error({ cause: cause instanceof Error ? cause.stack : String(cause) }, 'round failed');
      }
      for (const done of waiters) done();
      this.enterRound('resting');
    }
  }

  private awaitWork(): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.after(this.parts.tuning.roundIdle, done);
      this.wakeRoundLoop = done;
      function done(): void {
        timer.cancel();
        resolve();
      }
    });
  }

  /** One round over all shares this node owns: one placement record for each share that has news. */
  private async runSchedulingRound(fresh: boolean): Promise<void> {
    const shards = new Set(this.ownedShards().keys());
    this.syncOwnership();
    if (shards.size === 0 || !fresh) return;
    this.enterRound('planning');
    const { replica, workers } = this;
    const now = this.clock.now();
    workers.updateLiveness(now, replica.ledger);
    const completions = workers.findCompletions(replica.ledger, replica.jobs, now);
    const drafts = this.draftShardRecords(shards, completions);
    const plan = this.scheduler.plan(completions, shards);
    this.planningTime = this.clock.now() - now;
    for (const [shard, starts] of plan.starts) {
      const draft = drafts.get(shard) ?? {};
      drafts.set(shard, { ...draft, starts, prices: plan.prices, unmetCpus: plan.unmetCpus });
    }
    for (const { placement, graceS } of plan.preemptions) {
      this.log.info({ taskName: placement.taskName, host: placement.host }, 'stopped to make room');
      workers.requestStop(placement, graceS);
    }
    if (drafts.size > 0) {
      this.enterRound('committing');
      // A team's limit is kept by all its starts being this node's: the plan relies on every share it covers.
      const landed = await this.logWriter.append(drafts, [...shards]);
      this.settlePendingReleases(drafts, landed);
      if (!landed) return;
      for (const completion of completions) this.recordCompletion(completion);
    }
    this.enterRound('finishing');
    const complete = [...replica.jobs].filter(([id, job]) => {
      const done = replica.ledger.jobs.get(id)?.done.count ?? 0;
      return done >= job.spec.taskCount && shards.has(this.scheduler.shardOfTeam(job.spec.team));
    });
    if (complete.length > 0) await this.logWriter.completeJobs(complete, [...shards]);
  }

  /** Ends, what is to be said of machines, and machines that come and go, by share. */
  private draftShardRecords(
    shards: ReadonlySet<number>,
    completions: readonly TaskCompletion[],
  ): Map<LogId, RecordDraft> {
    const { ledger } = this.replica;
    const now = this.clock.now();
    const drafts = new Map<LogId, RecordDraft>();
    const draft = (shard: number): RecordDraft => {
      let found = drafts.get(shard);
      if (!found) drafts.set(shard, (found = {}));
      return found;
    };
    for (const { placement: p, outcome } of completions) {
      const shard = ledger.machines.get(p.host)?.shard ?? null;
      if (shard !== null) (draft(shard).completions ??= []).push([p.job, p.index, p.attempt, outcome]);
    }
    for (const machine of ledger.machines.values()) {
      const { host, shard, destination } = machine;
      if (shard === null) {
        if (typeof destination === 'number' && shards.has(destination))
          (draft(destination).acquisitions ??= []).push(host);
        continue;
      }
      if (!shards.has(shard)) continue;
      const status = this.workers.machineStatus(machine, now);
      if (status !== machine.status) (draft(shard).statuses ??= []).push([host, status]);
      // One that goes back to the cloud is let go only when nothing can be on it any more.
      if (destination === null || (destination === 'return' && ledger.placementsByHost.has(host))) continue;
      const heartbeat = this.workers.trackedWorkers.get(host)?.heartbeat;
      (draft(shard).releases ??= []).push([
        host,
        heartbeat ? [heartbeat.incarnation, heartbeat.sequence] : null,
      ]);
      this.pendingReleases.set(host, { log: shard, seq: Infinity });
    }
    return drafts;
  }

  private settlePendingReleases(drafts: ReadonlyMap<LogId, RecordDraft>, landed: boolean): void {
    for (const [log, draft] of drafts) {
      for (const [host] of draft.releases ?? []) {
        if (landed || log === 'lead') this.pendingReleases.delete(host);
        else this.pendingReleases.set(host, { log, seq: this.replica.ledger.position(log) });
      }
    }
  }

  private recordCompletion(completion: TaskCompletion): void {
    this.runTimeEstimator.onCompletion(completion);
    if (completion.outcome === 'done') return;
    const { taskName, host } = completion.placement;
    this.log.info(
      { taskName, host, attempt: completion.placement.attempt, outcome: completion.outcome },
      'task ended',
    );
  }

  /** Tells the leader when the workers of this node reach every node but this one. */
  private async monitorWorkerReachability(): Promise<void> {
    while (!this.stopped()) {
      await sleep(this.clock, REACHABILITY_CHECK_INTERVAL);
      this.workerReachability.check(this.ownedShards().size > 0, this.clock.now());
      void this.membership.publishStatus({
        workersUnreachable: this.workerReachability.state === 'unreachable',
      });
    }
  }

  /** Keeps the age of the state known: leases may be renewed only while it is small enough. */
  private async keepStateFresh(): Promise<void> {
    while (!this.stopped()) {
      if (this.replica.state === 'following') await this.replica.barrier();
      await sleep(this.clock, this.ownedShards().size > 0 ? 800 * MS : 2 * SECOND);
    }
  }
}

function isStop(command: Command): boolean {
  return command.kind === 'stop';
}

/** The share that a machine belongs to or, between two, is on its way to. */
function shardOfMachine({ shard, destination }: MachineEntry): number | null {
  return shard ?? (typeof destination === 'number' ? destination : null);
}
