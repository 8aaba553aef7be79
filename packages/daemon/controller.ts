/**
 * One node of the cluster without its sockets. {@link Controller} builds the parts of the node, connects them, and
 * starts and stops them; what they do is in modules of their own.
 */
import type { ServiceResponse } from '#api';
import { CloudClient } from '#cloud';
import {
  Membership,
  NO_STATE_INTEGRITY_CHECK,
  PeerMonitor,
  type PeerStatus,
  Replica,
  type ReplicaSnapshot,
} from '#cluster';
import type { NodeRoleStatus, NodeDataLossStatus } from '#operations';
import type { DataLossDetector } from '#recovery';
import { FencedCloud, FencedStore, type RoleName } from '#roles';
import { NO_REVISION_CHECK, StoreClient } from '#store';
import { HeartbeatHandler } from './heartbeat-handler.js';
import { JobService } from './job-service.js';
import { Leader } from './leader.js';
import {
  buildDataLossDetector,
  buildSchedulingComponents,
  buildStateComponents,
  buildWriteComponents,
  type ControllerOptions,
  type CoreComponents,
  type SchedulingComponents,
  type StateComponents,
  type WriteComponents,
} from './node-components.js';
import { NodeStatus } from './node-status.js';
import { PendingReleases } from './pending-releases.js';
import { ReachabilityMonitor } from './reachability-monitor.js';
import { type HandoverResult, RoleHandover } from './role-handover.js';
import { RoundLoop } from './round-loop.js';
import { ShardRound } from './shard-round.js';
import { StateRefresher } from './state-freshness.js';

export type { ControllerOptions } from './node-components.js';

/** One node of the cluster, complete but for its sockets. */
export class Controller {
  /** Serves the requests of users. */
  readonly jobService: JobService;
  private readonly core: CoreComponents;
  private readonly state: StateComponents;
  private readonly writes: WriteComponents;
  private readonly scheduling: SchedulingComponents;
  private readonly pendingReleases: PendingReleases;
  private readonly rounds: RoundLoop;
  private readonly heartbeats: HeartbeatHandler;
  private readonly status: NodeStatus;
  private readonly roleHandover: RoleHandover;
  private readonly peers: PeerMonitor;
  private readonly stateRefresher: StateRefresher;
  private readonly reachabilityMonitor: ReachabilityMonitor;

  constructor(private readonly options: ControllerOptions) {
    const { settings, clock } = options;
    const dataLossDetector = buildDataLossDetector(options);
    const store = new StoreClient(settings.state, options.httpClient, dataLossDetector ?? NO_REVISION_CHECK);
    this.core = buildCore(options, store, dataLossDetector);
    const { replica, membership } = this.core;
    this.state = buildStateComponents(options, this.core);
    const { ownership, workerReachability } = this.state;
    this.writes = buildWriteComponents(options, this.core, this.state.freshness);
    this.jobService = new JobService({ settings, store, replica, clock });
    this.scheduling = buildSchedulingComponents(options, replica, this.state.workers);
    this.pendingReleases = new PendingReleases(replica);
    this.rounds = this.buildRoundLoop();
    this.heartbeats = this.buildHeartbeatHandler();
    const allNodes = [settings.member, ...settings.peers.map((peer) => peer.member)];
    this.status = this.buildNodeStatus(allNodes);
    this.roleHandover = this.buildRoleHandover(allNodes);
    this.peers = this.buildPeerMonitor();
    this.stateRefresher = new StateRefresher({ clock, replica, ownership });
    this.reachabilityMonitor = new ReachabilityMonitor({ clock, ownership, workerReachability, membership });
    replica.onChange(() => {
      this.rounds.request();
    });
  }

  /**
   * Starts the loops of the node, which run until {@link stop}. A loop that fails is an unhandled rejection: the
   * process logs it.
   */
  start(): void {
    void this.core.replica.run();
    void this.core.membership.run();
    void this.rounds.run();
    void this.stateRefresher.run();
    void this.reachabilityMonitor.run();
    this.peers.start();
  }

  /** Makes the loops of the node end. */
  stop(): void {
    this.reachabilityMonitor.stop();
    this.stateRefresher.stop();
    this.core.replica.stop();
    this.core.membership.stop();
    this.peers.stop();
    this.rounds.stop();
  }

  /** The response to a worker's heartbeat. */
  handleHeartbeat(body: unknown): Promise<ServiceResponse> {
    return this.heartbeats.handle(body);
  }

  /** Hands a role over on purpose. */
  resignRole(role: RoleName): Promise<HandoverResult> {
    return this.roleHandover.resign(role);
  }

  /** Gives up all roles before a planned stop, so that they are vacant for no longer than an election takes. */
  async retire(): Promise<void> {
    await this.roleHandover.retire();
    this.stop();
  }

  /** This node's copy of the state, for tests and tools. */
  replicaSnapshot(): ReplicaSnapshot {
    return this.status.replicaSnapshot();
  }

  /** What this node knows of the cluster's roles, and how old that knowledge is. */
  roleStatus(): NodeRoleStatus {
    return this.status.roleStatus();
  }

  /** What this node knows of data loss in the state service. */
  dataLossStatus(): NodeDataLossStatus {
    return this.status.dataLossStatus();
  }

  /** The lines of a snapshot of this node's copy of the state; null while there is no copy. */
  snapshot(): AsyncIterable<string> | null {
    return this.status.snapshot();
  }

  /** The term in which this node believes to lead; null if it doesn't. */
  leaderTerm(): number | null {
    return this.status.leaderTerm();
  }

  /** The status that this node sends its peers. */
  peerStatus(): PeerStatus {
    return this.status.peerStatus();
  }

  /** The response to a health check. */
  health(): ServiceResponse {
    return this.status.health();
  }

  private buildRoundLoop(): RoundLoop {
    const { clock, tuning, log } = this.options;
    const { replica } = this.core;
    const { workers, ownership, freshness } = this.state;
    const { scheduler, runTimeEstimator } = this.scheduling;
    const { logWriter } = this.writes;
    const shardRound = new ShardRound({
      clock,
      log,
      replica,
      workers,
      ownership,
      scheduler,
      runTimeEstimator,
      logWriter,
      pendingReleases: this.pendingReleases,
    });
    const leader = this.buildLeader();
    const stepLeader = (isFresh: boolean): void => {
      leader.step(isFresh);
    };
    return new RoundLoop({ clock, tuning, log, logWriter, freshness, shardRound, stepLeader });
  }

  private buildLeader(): Leader {
    const { settings, clock, log } = this.options;
    return new Leader({
      settings,
      clock,
      store: this.core.fencedStore,
      cloud: this.core.cloud,
      replica: this.core.replica,
      membership: this.core.membership,
      logWriter: this.writes.logWriter,
      writeLimits: this.writes.writeLimits,
      forecaster: this.scheduling.forecaster,
      runTimeEstimator: this.scheduling.runTimeEstimator,
      log,
      requestRound: () => {
        this.rounds.request();
      },
    });
  }

  private buildHeartbeatHandler(): HeartbeatHandler {
    return new HeartbeatHandler({
      settings: this.options.settings,
      clock: this.options.clock,
      replica: this.core.replica,
      workers: this.state.workers,
      ownership: this.state.ownership,
      scheduler: this.scheduling.scheduler,
      freshness: this.state.freshness,
      workerReachability: this.state.workerReachability,
      dataLossDetector: this.core.dataLossDetector,
      pendingReleases: this.pendingReleases,
      rounds: this.rounds,
    });
  }

  private buildNodeStatus(allNodes: readonly string[]): NodeStatus {
    return new NodeStatus({
      member: this.options.settings.member,
      allNodes,
      clock: this.options.clock,
      replica: this.core.replica,
      membership: this.core.membership,
      freshness: this.state.freshness,
      workerReachability: this.state.workerReachability,
      dataLossDetector: this.core.dataLossDetector,
    });
  }

  private buildRoleHandover(allNodes: readonly string[]): RoleHandover {
    return new RoleHandover({
      clock: this.options.clock,
      replica: this.core.replica,
      membership: this.core.membership,
      store: this.core.fencedStore,
      freshness: this.state.freshness,
      allNodes,
    });
  }

  private buildPeerMonitor(): PeerMonitor {
    const { settings, ping, clock, log } = this.options;
    const { membership, replica } = this.core;
    const onUnreachable = (unreachable: readonly string[]): void => {
      // A peer without a member row is down, not unreachable.
      const alive = unreachable.filter((name) => replica.members.has(name));
      void membership.publishStatus({ unreachable: alive });
    };
    const onStatus = (status: PeerStatus, peer: string): void => {
      this.onPeerStatus(status, peer);
    };
    return new PeerMonitor({
      peers: settings.peers,
      ping,
      clock,
      log,
      onReachabilityChange: onUnreachable,
      onStatus,
    });
  }

  private onPeerStatus(status: PeerStatus, peer: string): void {
    const { workerReachability, freshness } = this.state;
    this.core.dataLossDetector?.observePeer(peer, status);
    workerReachability.onPeerRedirects(status.redirectedWorkers[this.options.settings.member] ?? 0);
    freshness.onPeerStatus(status);
  }
}

/** Builds the copy of the state, the membership, and the clients that check the fencing token of a role. */
function buildCore(
  options: ControllerOptions,
  store: StoreClient,
  dataLossDetector: DataLossDetector | null,
): CoreComponents {
  const { settings, clock, log, httpClient, incarnation, random } = options;
  const integrityCheck = dataLossDetector ?? NO_STATE_INTEGRITY_CHECK;
  const replica = new Replica({ store, clock, log, stateRps: settings.stateRps, check: integrityCheck });
  const { member, domain } = settings;
  const membership = new Membership({
    member,
    zone: domain,
    incarnation,
    store,
    replica,
    clock,
    random,
    log,
  });
  const { roles } = membership;
  return {
    replica,
    membership,
    fencedStore: new FencedStore(store, roles),
    cloud: new FencedCloud(new CloudClient(settings.cloud, httpClient), roles),
    dataLossDetector,
  };
}
