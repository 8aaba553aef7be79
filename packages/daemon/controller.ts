/**
 * One node of the cluster without its sockets. {@link Controller} builds the components of the node, connects them,
 * and starts and stops them. Each component is implemented in a module of its own.
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
  buildAuthorityComponents,
  buildWriteComponents,
  type ControllerOptions,
  type ClusterComponents,
  type SchedulingComponents,
  type AuthorityComponents,
  type WriteComponents,
} from './node-components.js';
import { NodeStatus } from './node-status.js';
import { PendingReleases } from './pending-releases.js';
import { ReachabilityMonitor } from './reachability-monitor.js';
import { type HandoffResult, RoleHandoff } from './role-handoff.js';
import { RoundLoop } from './round-loop.js';
import { ShardRound } from './shard-round.js';
import { StateRefresher } from './state-freshness.js';

export type { ControllerOptions } from './node-components.js';

/** Composes the components of one node. Sockets are opened by the caller, which passes requests to the methods. */
export class Controller {
  /** Serves the job requests of users. */
  readonly jobService: JobService;
  private readonly cluster: ClusterComponents;
  private readonly authority: AuthorityComponents;
  private readonly writes: WriteComponents;
  private readonly scheduling: SchedulingComponents;
  private readonly pendingReleases: PendingReleases;
  private readonly roundLoop: RoundLoop;
  private readonly heartbeatHandler: HeartbeatHandler;
  private readonly nodeStatus: NodeStatus;
  private readonly roleHandoff: RoleHandoff;
  private readonly peerMonitor: PeerMonitor;
  private readonly stateRefresher: StateRefresher;
  private readonly reachabilityMonitor: ReachabilityMonitor;

  constructor(private readonly options: ControllerOptions) {
    const { settings, clock } = options;
    const dataLossDetector = buildDataLossDetector(options);
    const store = new StoreClient(settings.state, options.httpClient, dataLossDetector ?? NO_REVISION_CHECK);
    this.cluster = buildClusterComponents(options, store, dataLossDetector);
    const { replica, membership } = this.cluster;
    this.authority = buildAuthorityComponents(options, this.cluster);
    const { ownership, workerReachability } = this.authority;
    this.writes = buildWriteComponents(options, this.cluster, this.authority.freshness);
    this.jobService = new JobService({ settings, store, replica, clock });
    this.scheduling = buildSchedulingComponents(options, replica, this.authority.workers);
    this.pendingReleases = new PendingReleases(replica);
    this.roundLoop = this.buildRoundLoop();
    this.heartbeatHandler = this.buildHeartbeatHandler();
    const allNodes = [settings.member, ...settings.peers.map((peer) => peer.member)];
    this.nodeStatus = this.buildNodeStatus(allNodes);
    this.roleHandoff = this.buildRoleHandoff(allNodes);
    this.peerMonitor = this.buildPeerMonitor();
    this.stateRefresher = new StateRefresher({ clock, replica, ownership });
    this.reachabilityMonitor = new ReachabilityMonitor({ clock, ownership, workerReachability, membership });
    replica.onChange(() => {
      this.roundLoop.request();
    });
  }

  /**
   * Starts the background loops of the node, which run until {@link stop}. The error of a loop that fails becomes an
   * unhandled rejection, which the process logs.
   */
  start(): void {
    void this.cluster.replica.run();
    void this.cluster.membership.run();
    void this.roundLoop.run();
    void this.stateRefresher.run();
    void this.reachabilityMonitor.run();
    this.peerMonitor.start();
  }

  /** Stops the background loops of the node. Does not wait for them to end. */
  stop(): void {
    this.reachabilityMonitor.stop();
    this.stateRefresher.stop();
    this.cluster.replica.stop();
    this.cluster.membership.stop();
    this.peerMonitor.stop();
    this.roundLoop.stop();
  }

  /** Returns the response to a worker's heartbeat. */
  handleHeartbeat(body: unknown): Promise<ServiceResponse> {
    return this.heartbeatHandler.handle(body);
  }

  /** Hands a role off to another member at an operator's request. */
  resignRole(role: RoleName): Promise<HandoffResult> {
    return this.roleHandoff.resign(role);
  }

  /** Resigns all roles before a planned stop, so that they are vacant for no longer than an election takes. */
  async retire(): Promise<void> {
    await this.roleHandoff.retire();
    this.stop();
  }

  /** Returns this node's replica of the state, for tests and tools. */
  replicaSnapshot(): ReplicaSnapshot {
    return this.nodeStatus.replicaSnapshot();
  }

  /** Returns what this node knows of the cluster's roles, and the age of that knowledge. */
  roleStatus(): NodeRoleStatus {
    return this.nodeStatus.roleStatus();
  }

  /** Returns what this node knows of data loss in the state service. */
  dataLossStatus(): NodeDataLossStatus {
    return this.nodeStatus.dataLossStatus();
  }

  /** Returns the lines of a snapshot of this node's replica; null while the replica has not been loaded. */
  snapshot(): AsyncIterable<string> | null {
    return this.nodeStatus.snapshot();
  }

  /** Returns the term of this node's leadership; null if this node can't prove that it holds the leader role. */
  leaderTerm(): number | null {
    return this.nodeStatus.leaderTerm();
  }

  /** Returns the status that this node sends to its peers. */
  peerStatus(): PeerStatus {
    return this.nodeStatus.peerStatus();
  }

  /** Returns the response to a health check. */
  health(): ServiceResponse {
    return this.nodeStatus.health();
  }

  private buildRoundLoop(): RoundLoop {
    const { clock, tuning, log } = this.options;
    const { replica } = this.cluster;
    const { workers, ownership, freshness } = this.authority;
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
      store: this.cluster.fencedStore,
      cloud: this.cluster.cloud,
      replica: this.cluster.replica,
      membership: this.cluster.membership,
      logWriter: this.writes.logWriter,
      writeLimits: this.writes.writeLimits,
      forecaster: this.scheduling.forecaster,
      runTimeEstimator: this.scheduling.runTimeEstimator,
      log,
      requestRound: () => {
        this.roundLoop.request();
      },
    });
  }

  private buildHeartbeatHandler(): HeartbeatHandler {
    return new HeartbeatHandler({
      settings: this.options.settings,
      clock: this.options.clock,
      replica: this.cluster.replica,
      workers: this.authority.workers,
      ownership: this.authority.ownership,
      scheduler: this.scheduling.scheduler,
      freshness: this.authority.freshness,
      workerReachability: this.authority.workerReachability,
      dataLossDetector: this.cluster.dataLossDetector,
      pendingReleases: this.pendingReleases,
      roundLoop: this.roundLoop,
    });
  }

  private buildNodeStatus(allNodes: readonly string[]): NodeStatus {
    return new NodeStatus({
      member: this.options.settings.member,
      allNodes,
      clock: this.options.clock,
      replica: this.cluster.replica,
      membership: this.cluster.membership,
      freshness: this.authority.freshness,
      workerReachability: this.authority.workerReachability,
      dataLossDetector: this.cluster.dataLossDetector,
    });
  }

  private buildRoleHandoff(allNodes: readonly string[]): RoleHandoff {
    return new RoleHandoff({
      clock: this.options.clock,
      replica: this.cluster.replica,
      membership: this.cluster.membership,
      store: this.cluster.fencedStore,
      freshness: this.authority.freshness,
      allNodes,
    });
  }

  private buildPeerMonitor(): PeerMonitor {
    const { settings, ping, clock, log } = this.options;
    const { membership, replica } = this.cluster;
    const onUnreachable = (unreachable: readonly string[]): void => {
      // A peer without a member row is down. Only a live peer that does not answer is unreachable.
      const unreachableMembers = unreachable.filter((name) => replica.members.has(name));
      void membership.publishStatus({ unreachable: unreachableMembers });
    };
    const onStatus = (status: PeerStatus, peer: string): void => {
      this.onPeerStatus(status, peer);
    };
    return new PeerMonitor({
      peers: settings.peers,
      ping,
      clock,
      log,
      onUnreachablePeers: onUnreachable,
      onStatus,
    });
  }

  private onPeerStatus(status: PeerStatus, peer: string): void {
    const { workerReachability, freshness } = this.authority;
    this.cluster.dataLossDetector?.observePeer(peer, status);
    workerReachability.onPeerRedirects(status.redirectedWorkers[this.options.settings.member] ?? 0);
    freshness.onPeerStatus(status);
  }
}

/** Builds the replica, the membership, and the fenced clients, which act only under a role that this node holds. */
function buildClusterComponents(
  options: ControllerOptions,
  store: StoreClient,
  dataLossDetector: DataLossDetector | null,
): ClusterComponents {
  const { settings, clock, log, httpClient, incarnation, random } = options;
  const integrityCheck = dataLossDetector ?? NO_STATE_INTEGRITY_CHECK;
  const replica = new Replica({ store, clock, log, stateRps: settings.stateRps, integrity: integrityCheck });
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
