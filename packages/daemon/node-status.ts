/** What a node says of itself to its peers, to health checks and to operators. */
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

/** Time between two pages of terminal statuses that a snapshot reads: rounds and users come first. */
const SNAPSHOT_PAGE_GAP: Micros = 250 * MS;
/** Unit in which the age of a node's knowledge is shown. */
const AGE_UNIT: Micros = 100 * MS;
const AGE_UNITS_PER_SECOND = 10;

/** What a {@link NodeStatus} depends on. */
export interface NodeStatusOptions {
  /** The name of this node's member. */
  readonly member: string;
  /** Every node of the cluster, whether it is up or not. */
  readonly allNodes: readonly string[];
  readonly clock: Clock;
  readonly replica: Replica;
  readonly membership: Membership;
  readonly freshness: StateFreshness;
  readonly workerReachability: WorkerReachability;
  /** Null if data loss is not detected. */
  readonly dataLossDetector: DataLossDetector | null;
}

/** Status answers of one node. Nothing here changes its state. */
export class NodeStatus {
  constructor(private readonly options: NodeStatusOptions) {}

  /** This node's copy of the state, for tests and tools. */
  replicaSnapshot(): ReplicaSnapshot {
    const { state, appliedRevision, ledger } = this.options.replica;
    return { member: this.options.member, state, appliedRevision, ledger };
  }

  /** What this node knows of the cluster's roles, and how old that knowledge is. */
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

  /** What this node knows of data loss in the state service. */
  dataLossStatus(): NodeDataLossStatus {
    const { member, dataLossDetector } = this.options;
    return { member, dataLoss: dataLossDetector?.report() ?? null };
  }

  /** The lines of a snapshot of this node's copy of the state; null while there is no copy. */
  snapshot(): AsyncIterable<string> | null {
    const { replica, allNodes, clock, member, dataLossDetector } = this.options;
    if (replica.appliedRevision === 0) return null;
    const takenAt = Math.floor(clock.wall() / MS);
    const loss = dataLossDetector?.report().state ?? null;
    const readPage = async (after: string): ReturnType<Replica['terminalStatusesAfter']> => {
      if (after !== '') await sleep(clock, SNAPSHOT_PAGE_GAP);
      return replica.terminalStatusesAfter(after);
    };
    return writeSnapshot(replica, { member, nodes: [...allNodes], takenAt, loss }, readPage);
  }

  /** The term in which this node believes to lead; null if it doesn't. */
  leaderTerm(): number | null {
    return this.options.membership.roles.proveHeld('lead')?.term ?? null;
  }

  /** The status that this node sends its peers. */
  peerStatus(): PeerStatus {
    const { workerReachability, clock, freshness, replica, dataLossDetector } = this.options;
    const redirectedWorkers = workerReachability.redirectCounts(clock.now());
    const isStoreReachable = freshness.isFresh();
    const { value } = replica.fencingToken;
    const fencingToken = dataLossDetector?.publishedFencingToken(value) ?? value;
    return { fencingToken, isStoreReachable, redirectedWorkers, highWaterMark: this.highWaterMark() };
  }

  /**
   * 200 once this node can serve requests. An outage of the state service hits all nodes alike and changes nothing;
   * if a peer reaches the state service and this node alone doesn't, users are better served elsewhere.
   */
  health(): ServiceResponse {
    const { freshness, replica } = this.options;
    if (freshness.isIsolated()) return unavailable('cut off from the state service');
    const isReady = replica.appliedRevision > 0 && replica.machineTypes.size > 0;
    return isReady ? { status: 200, body: { Status: 'ok' } } : unavailable('not ready yet');
  }

  /** The high-water mark for peers; null while a node of a version that can't read it may get it. */
  private highWaterMark(): PeerHighWaterMark | null {
    const { dataLossDetector, replica, allNodes } = this.options;
    if (!dataLossDetector || !replica.allSupport(allNodes, 'memory')) return null;
    return dataLossDetector.publishedHighWaterMark();
  }
}
