/** Measures how recent a node's replica is, from its own reads and from the statuses of peers. */
import type { PeerStatus, Replica } from '#cluster';
import { type Clock, type Micros, MS, SECOND, sleep } from '#wire';
import type { ShardOwnership } from './shard-ownership.js';

/** Maximum age of the replica at which it counts as fresh, so that tasks may be started. */
const MAX_FRESH_AGE: Micros = 3 * SECOND;
/** How long the watch may take to deliver a fencing token that a peer has announced. */
const PEER_TOKEN_GRACE: Micros = SECOND;
/** How long a peer's status counts as current. */
const PEER_STATUS_LIFETIME: Micros = 2 * SECOND;
/** Time between two read barriers on a node that owns shards. */
const OWNER_REFRESH_INTERVAL: Micros = 800 * MS;
/** Time between two read barriers on a node that owns no shards. */
const IDLE_REFRESH_INTERVAL: Micros = 2 * SECOND;

/** The highest fencing token that any peer has announced. */
interface PeerFencingToken {
  readonly token: number;
  /** When the token was first announced. */
  readonly since: Micros;
}

/** Dependencies of {@link StateFreshness}. */
export interface StateFreshnessOptions {
  readonly replica: Replica;
  readonly clock: Clock;
  readonly hasPeers: boolean;
  /** Returns true if this node knows of no data loss in the state service. */
  readonly isStateIntact: () => boolean;
}

/** Judges how recent this node's replica is. */
export class StateFreshness {
  private highestPeerFencingToken: PeerFencingToken = { token: 0, since: -Infinity };
  /** When a peer that reaches the state service last sent its status. */
  private peerReachedStoreAt: Micros = -Infinity;
  /** When any peer last sent its status. */
  private peerStatusAt: Micros = -Infinity;

  constructor(private readonly options: StateFreshnessOptions) {}

  /** Records the status that a peer has sent. */
  onPeerStatus({ fencingToken, isStoreReachable }: PeerStatus): void {
    const now = this.options.clock.now();
    this.peerStatusAt = now;
    if (isStoreReachable) this.peerReachedStoreAt = now;
    if (fencingToken > this.highestPeerFencingToken.token)
      this.highestPeerFencingToken = { token: fencingToken, since: now };
  }

  /**
   * True if a peer announced a higher fencing token that the watch has not delivered in time. The state service then
   * serves the peers while this node is partitioned from it, and they may own the shards that this node owned. If the
   * node refuses its workers at once, they find the new owners long before this node's lease expires.
   */
  isOutdated(): boolean {
    const { token, since } = this.highestPeerFencingToken;
    const { replica, clock } = this.options;
    return token > replica.fencingToken.value && clock.now() - since > PEER_TOKEN_GRACE;
  }

  /** True if the replica is known to be recent enough for new starts. */
  isFresh(): boolean {
    const { replica, isStateIntact } = this.options;
    return replica.state === 'following' && isStateIntact() && this.age() < MAX_FRESH_AGE;
  }

  /** Returns the time since the replica was last known to be complete; infinite if it never was. */
  age(): Micros {
    return this.options.clock.now() - this.options.replica.verifiedAt;
  }

  /**
   * True if a peer reached the state service well after this node did. In an outage of the service itself, all nodes
   * lose it at about the same time. A node that has lost both its peers and the state service counts as isolated, too:
   * each of its refusals would free the connection, which makes the load balancer choose this node again.
   */
  isIsolated(): boolean {
    const now = this.options.clock.now();
    const maxAge = MAX_FRESH_AGE + PEER_STATUS_LIFETIME;
    if (this.isFresh()) return false;
    if (this.options.hasPeers && now - this.peerStatusAt > maxAge) return this.age() > maxAge;
    const isStoreReachableFromPeer = now - this.peerReachedStoreAt <= PEER_STATUS_LIFETIME;
    return isStoreReachableFromPeer && this.peerReachedStoreAt - this.options.replica.verifiedAt > maxAge;
  }
}

/** Dependencies of {@link StateRefresher}. */
export interface StateRefresherOptions {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly ownership: ShardOwnership;
}

/** Keeps the replica's age small by periodic read barriers: leases may be renewed only while it is small enough. */
export class StateRefresher {
  private isStopped = false;

  constructor(private readonly options: StateRefresherOptions) {}

  /** Refreshes the replica periodically until {@link stop} is called. */
  async run(): Promise<void> {
    const { clock, replica, ownership } = this.options;
    while (!this.isStopped) {
      if (replica.state === 'following') await replica.barrier();
      const isOwner = ownership.ownedShards().size > 0;
      await sleep(clock, isOwner ? OWNER_REFRESH_INTERVAL : IDLE_REFRESH_INTERVAL);
    }
  }

  /** Ends {@link run} after the current refresh and the pause that follows. */
  stop(): void {
    this.isStopped = true;
  }
}
