/** The status of a node, as reported to its peers, to health checks and to operators. */
import type { ServiceResponse } from '#api';
import type {
  Membership,
  PeerHighWaterMark,
  PeerStatus,
  Replica,
  ReplicaSnapshot,
  WorkerReachability,
} from '#cluster';
import type { NodeRoleStatus, NodeDataLossStatus } from '#operations';
import { type DataLossDetector, writeSnapshot } from '#recovery';
import { roleStatuses } from '#roles';
import { type Clock, type Micros, MS, sleep } from '#wire';
import { unavailable } from './service-responses.js';
import type { StateFreshness } from './state-freshness.js';

/** Pause between two pages of terminal statuses that a snapshot reads, so that rounds and users take precedence. */
const SNAPSHOT_PAGE_GAP: Micros = 250 * MS;
/** Resolution at which operators are shown the age of a node's knowledge. */
const AGE_UNIT: Micros = 100 * MS;
const AGE_UNITS_PER_SECOND = 10;

/** Dependencies of {@link NodeStatus}. */
export interface NodeStatusOptions {
  /** The name of this node's member. */
  readonly member: string;
  /** Names of all configured nodes of the cluster, whether they are up or not. */
  readonly allNodes: readonly string[];
  readonly clock: Clock;
  readonly replica: Replica;
  readonly membership: Membership;
  readonly freshness: StateFreshness;
  readonly workerReachability: WorkerReachability;
  /** Null if data loss is not detected. */
  readonly dataLossDetector: DataLossDetector | null;
}

/** Reports the status of one node. No method changes the node's state. */
export class NodeStatus {
  constructor(private readonly options: NodeStatusOptions) {}

  /** Returns this node's replica of the state, for tests and tools. */
  replicaSnapshot(): ReplicaSnapshot {
    const { state, appliedRevision, ledger } = this.options.replica;
    return { member: this.options.member, state, appliedRevision, ledger };
  }

  /** Returns what this node knows of the cluster's roles, and the age of that knowledge. */
  roleStatus(): NodeRoleStatus {
    const { replica, membership, freshness, member, clock } = this.options;
    const age = freshness.age();
    return {
      member,
      membership: membership.state,
      knowledgeAgeS: Number.isFinite(age) ? Math.round(age / AGE_UNIT) / AGE_UNITS_PER_SECOND : null,
      roles: roleStatuses(membership.roles, replica.ledger, clock.now()),
    };
  }

  /** Returns what this node knows of data loss in the state service. */
  dataLossStatus(): NodeDataLossStatus {
    const { member, dataLossDetector } = this.options;
    return { member, dataLoss: dataLossDetector?.status() ?? null };
  }

  /** Returns the lines of a snapshot of this node's replica; null while the replica has not been loaded. */
  snapshot(): AsyncIterable<string> | null {
    const { replica, allNodes, clock, member, dataLossDetector } = this.options;
    if (replica.appliedRevision === 0) return null;
    const takenAt = Math.floor(clock.wall() / MS);
    const dataLossState = dataLossDetector?.status().state ?? null;
    const readPage = async (after: string): ReturnType<Replica['terminalStatusesAfter']> => {
      if (after !== '') await sleep(clock, SNAPSHOT_PAGE_GAP);
      return replica.terminalStatusesAfter(after);
    };
    return writeSnapshot(replica, { member, nodes: [...allNodes], takenAt, dataLossState }, readPage);
  }

  /** Returns the term of this node's leadership; null if this node can't prove that it holds the leader role. */
  leaderTerm(): number | null {
    return this.options.membership.roles.proveHeld('lead')?.term ?? null;
  }

  /** Returns the status that this node sends to its peers. */
  peerStatus(): PeerStatus {
    const { workerReachability, clock, freshness, replica, dataLossDetector } = this.options;
    const redirectedWorkers = workerReachability.redirectCounts(clock.now());
    const isStoreReachable = freshness.isFresh();
    const { value } = replica.fencingToken;
    const fencingToken = dataLossDetector?.publishedFencingToken(value) ?? value;
    return { fencingToken, isStoreReachable, redirectedWorkers, highWaterMark: this.highWaterMark() };
  }

  /**
   * Returns 200 once this node can serve requests. An outage of the state service affects all nodes alike and does not
   * change the response. If a peer reaches the state service and this node does not, the response is 503, so that users
   * are served by another node.
   */
  health(): ServiceResponse {
    const { freshness, replica } = this.options;
    if (freshness.isIsolated()) return unavailable('cut off from the state service');
    const isReady = replica.appliedRevision > 0 && replica.machineTypes.size > 0;
    return isReady ? { status: 200, body: { Status: 'ok' } } : unavailable('not ready yet');
  }

  /** Returns the high-water mark for peers; null while a node of a version that can't decode it may receive it. */
  private highWaterMark(): PeerHighWaterMark | null {
    const { dataLossDetector, replica, allNodes } = this.options;
    if (!dataLossDetector || !replica.allSupport(allNodes, 'memory')) return null;
    return dataLossDetector.publishedHighWaterMark();
  }
}
