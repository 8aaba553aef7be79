/** How recent a node's copy of the state is, and what peers tell of theirs. */
import type { PeerStatus, Replica } from '#cluster';
import { type Clock, type Micros, SECOND } from '#wire';

/** New starts are sent only while the state is known to be no older than this. */
const START_FRESH: Micros = 3 * SECOND;
/** How long the watch may take to bring a token that a peer has told of. */
const WORD_PATIENCE: Micros = SECOND;
/** For how long what a peer told of itself holds. */
const PEER_NEWS: Micros = 2 * SECOND;

export class StateFreshness {
  /** The highest token that a peer told of, and when. */
  private highestPeerToken = { token: 0, since: -Infinity };
  /** When a peer last told that the state service serves it, and when any last told anything. */
  private peerServedAt: Micros = -Infinity;
  private peerHeardAt: Micros = -Infinity;

  constructor(
    private readonly replica: Replica,
    private readonly clock: Clock,
    private readonly hasPeers: boolean,
    /** What the state service shows is whole, as far as this node can tell. */
    private readonly isStateIntact: () => boolean,
  ) {}

  /** Takes in what a peer tells. */
  onPeerStatus({ fencingToken, isStoreReachable: served }: PeerStatus): void {
    this.peerHeardAt = this.clock.now();
    if (served) this.peerServedAt = this.peerHeardAt;
    if (fencingToken > this.highestPeerToken.token)
      this.highestPeerToken = { token: fencingToken, since: this.clock.now() };
  }

  /**
   * A peer tells of a higher token: the state service serves the others while this node is cut off from it, and
   * what it owned is theirs by now. Falling silent at once sends the workers there, long before its own bound.
   */
  isOutdated(): boolean {
    const { token: fencingToken, since } = this.highestPeerToken;
    return fencingToken > this.replica.fencingToken.value && this.clock.now() - since > WORD_PATIENCE;
  }

  /** The state is known to be recent enough for new starts. */
  isFresh(): boolean {
    return this.replica.state === 'following' && this.isStateIntact() && this.age() < START_FRESH;
  }

  /** Time since the state was last known to be complete. */
  age(): Micros {
    return this.clock.now() - this.replica.verifiedAt;
  }

  /**
   * A peer was served well after this node was: in an outage for all they lose the service about together. One that
   * has lost its peers as well as the state service is taken for cut off, too: each of its refusals would free the
   * connection that makes the load balancer choose it next.
   */
  isIsolated(): boolean {
    const now = this.clock.now();
    const unserved = START_FRESH + PEER_NEWS;
    if (this.isFresh()) return false;
    if (this.hasPeers && now - this.peerHeardAt > unserved) {
      return this.age() > unserved;
    }
    return now - this.peerServedAt <= PEER_NEWS && this.peerServedAt - this.replica.verifiedAt > unserved;
  }
}
