/** How recent a node's copy of the state is, and what the statuses of peers say about it. */
import type { PeerStatus, Replica } from '#cluster';
import { type Clock, type Micros, MS, SECOND, sleep } from '#wire';
import type { ShardOwnership } from './shard-ownership.js';

/** The state is fresh, so that tasks may be started, while it is known to be younger than this. */
const MAX_FRESH_AGE: Micros = 3 * SECOND;
/** How long the watch may take to bring a fencing token that a peer has announced. */
const PEER_TOKEN_GRACE: Micros = SECOND;
/** For how long a peer's status is taken to hold. */
const PEER_STATUS_LIFETIME: Micros = 2 * SECOND;
/** Time between two read barriers of a node that owns shards. */
const OWNER_REFRESH_INTERVAL: Micros = 800 * MS;
/** The same of a node that owns none. */
const IDLE_REFRESH_INTERVAL: Micros = 2 * SECOND;

/** The highest fencing token that a peer has announced. */
interface PeerToken {
  readonly token: number;
  /** When a peer first announced it. */
  readonly since: Micros;
}

/** What a {@link StateFreshness} depends on. */
export interface StateFreshnessOptions {
  readonly replica: Replica;
  readonly clock: Clock;
  readonly hasPeers: boolean;
  /** Whether the state service has lost no data, as far as this node knows. */
  readonly isStateIntact: () => boolean;
}

/** Judges how recent this node's copy of the state is. */
export class StateFreshness {
  private highestPeerToken: PeerToken = { token: 0, since: -Infinity };
  /** When a peer that reaches the state service last sent its status. */
  private peerReachedStoreAt: Micros = -Infinity;
  /** When any peer last sent its status. */
  private peerStatusAt: Micros = -Infinity;

  constructor(private readonly options: StateFreshnessOptions) {}

  /** A peer has sent its status. */
  onPeerStatus({ fencingToken, isStoreReachable }: PeerStatus): void {
    const now = this.options.clock.now();
    this.peerStatusAt = now;
    if (isStoreReachable) this.peerReachedStoreAt = now;
    if (fencingToken > this.highestPeerToken.token)
      this.highestPeerToken = { token: fencingToken, since: now };
  }

  /**
   * A peer announced a higher fencing token that the watch has not brought: the state service serves the others while
   * this node is cut off from it, and they own by now what this node owned. A node that stops answering workers at
   * once sends them there long before its own lease ends.
   */
  isOutdated(): boolean {
    const { token, since } = this.highestPeerToken;
    const { replica, clock } = this.options;
    return token > replica.fencingToken.value && clock.now() - since > PEER_TOKEN_GRACE;
  }

  /** The state is known to be recent enough for new starts. */
  isFresh(): boolean {
    const { replica, isStateIntact } = this.options;
    return replica.state === 'following' && isStateIntact() && this.age() < MAX_FRESH_AGE;
  }

  /** Time since the state was last known to be complete; infinite if it never was. */
  age(): Micros {
    return this.options.clock.now() - this.options.replica.verifiedAt;
  }

  /**
   * A peer reached the state service well after this node did: in an outage for all, they lose it at about the same
   * time. A node that has lost its peers as well as the state service is taken to be isolated, too: each of its
   * refusals would free the connection that makes the load balancer choose it next.
   */
  isIsolated(): boolean {
    const now = this.options.clock.now();
    const limit = MAX_FRESH_AGE + PEER_STATUS_LIFETIME;
    if (this.isFresh()) return false;
    if (this.options.hasPeers && now - this.peerStatusAt > limit) return this.age() > limit;
    const hasReachingPeer = now - this.peerReachedStoreAt <= PEER_STATUS_LIFETIME;
    return hasReachingPeer && this.peerReachedStoreAt - this.options.replica.verifiedAt > limit;
  }
}

/** What a {@link StateRefresher} depends on. */
export interface StateRefresherOptions {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly ownership: ShardOwnership;
}

/** Keeps the age of the state small by read barriers: leases may be renewed only while it is small enough. */
export class StateRefresher {
  private isStopped = false;

  constructor(private readonly options: StateRefresherOptions) {}

  /** Refreshes periodically until stopped. */
  async run(): Promise<void> {
    const { clock, replica, ownership } = this.options;
    while (!this.isStopped) {
      if (replica.state === 'following') await replica.barrier();
      const isOwner = ownership.ownedShards().size > 0;
      await sleep(clock, isOwner ? OWNER_REFRESH_INTERVAL : IDLE_REFRESH_INTERVAL);
    }
  }

  /** Ends {@link run} after the refresh that is under way or due next. */
  stop(): void {
    this.isStopped = true;
  }
}
