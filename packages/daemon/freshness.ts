/** How recent a node's copy of the state is, and what peers tell of theirs. */
import type { PeerWord, Replica } from '#cluster';
import { type Clock, type Micros, SECOND } from '#wire';

/** New starts are sent only while the state is known to be no older than this. */
const START_FRESH: Micros = 3 * SECOND;
/** How long the watch may take to bring a token that a peer has told of. */
const WORD_PATIENCE: Micros = SECOND;
/** For how long what a peer told of itself holds. */
const PEER_NEWS: Micros = 2 * SECOND;

export class StateFreshness {
  /** The highest token that a peer told of, and when. */
  private heard = { token: 0, since: -Infinity };
  /** When a peer last told that the state service serves it, and when any last told anything. */
  private peerServedAt: Micros = -Infinity;
  private peerHeardAt: Micros = -Infinity;

  constructor(
    private readonly replica: Replica,
    private readonly clock: Clock,
    private readonly hasPeers: boolean,
    /** What the state service shows is whole, as far as this node can tell. */
    private readonly isWhole: () => boolean,
  ) {}

  /** Takes in what a peer tells. */
  hear({ token, served }: PeerWord): void {
    this.peerHeardAt = this.clock.now();
    if (served) this.peerServedAt = this.peerHeardAt;
    if (token > this.heard.token) this.heard = { token, since: this.clock.now() };
  }

  /**
   * A peer tells of a higher token: the state service serves the others while this node is cut off from it, and
   * what it owned is theirs by now. Falling silent at once sends the workers there, long before its own bound.
   */
  isOutdated(): boolean {
    const { token, since } = this.heard;
    return token > this.replica.token.value && this.clock.now() - since > WORD_PATIENCE;
  }

  /** The state is known to be recent enough for new starts. */
  isServed(): boolean {
    return this.replica.state === 'following' && this.isWhole() && this.age() < START_FRESH;
  }

  /** Time since the state was last known to be complete. */
  age(): Micros {
    return this.clock.now() - this.replica.freshAt;
  }

  /**
   * A peer was served well after this node was: in an outage for all they lose the service about together. One that
   * has lost its peers as well as the state service is taken for cut off, too: each of its refusals would free the
   * connection that makes the load balancer choose it next.
   */
  isAlone(): boolean {
    const now = this.clock.now();
    const unserved = START_FRESH + PEER_NEWS;
    if (this.isServed()) return false;
    if (this.hasPeers && now - this.peerHeardAt > unserved) {
      return this.age() > unserved;
    }
    return now - this.peerServedAt <= PEER_NEWS && this.peerServedAt - this.replica.freshAt > unserved;
  }
}
