/** Pings between nodes: the reachability of peers, and the status that peers publish. */
import type { Logger } from './logger.js';
import { type Clock, type Micros, MS, sleep } from '#wire';

/** Outcome of a ping. `refused` suggests a dead process, `silent` a network partition; neither is a proof. */
export type PingResult = 'ok' | 'refused' | 'silent';

/** The status that a node publishes to its peers with every ping. */
export interface PeerStatus {
  /** The highest fencing token that the node has seen. */
  fencingToken: number;
  /** True if the node reaches the state service. */
  isStoreReachable: boolean;
  /** Keyed by owner. Number of machines whose workers the node has recently redirected to that owner. */
  redirectedWorkers: Record<string, number>;
  /** High-water mark of the state; null if the node does not publish it. */
  highWaterMark: PeerHighWaterMark | null;
}

/** A peer's high-water mark of the state, by which a node with lower marks detects data loss. */
export interface PeerHighWaterMark {
  /** The highest revision that the peer has received from the state service. */
  revision: number;
  /** True if the current answers of the state service contradict the state that the peer has seen. */
  isInconsistent: boolean;
}

/** Outcome of a ping, and the status that the peer published with its answer. */
export interface PingReply {
  result: PingResult;
  status: PeerStatus | null;
}

/** Pings the peer at this endpoint. Resolves to `silent` after the timeout. Never rejects. */
export type Ping = (endpoint: string, timeout: Micros) => Promise<PingReply>;

const PING_INTERVAL: Micros = 500 * MS;
const PING_TIMEOUT: Micros = 1200 * MS;
/** Time after the last answer of a peer from which the peer counts as unreachable if it does not answer. */
const SILENT_PEER_TIMEOUT: Micros = 1700 * MS;
/**
 * The same timeout for a peer whose host refuses the connection, as the host of a dead process does. It is longer than
 * the lease of the member key, so that a dead process has no member key any more and counts as dead, not partitioned.
 */
const REFUSING_PEER_TIMEOUT: Micros = 4500 * MS;

/** Another node of the cluster, and the endpoint that it is pinged at. */
export interface Peer {
  readonly member: string;
  readonly endpoint: string;
}

/** Dependencies of {@link PeerMonitor}. */
export interface PeerMonitorOptions {
  readonly peers: readonly Peer[];
  readonly ping: Ping;
  readonly clock: Clock;
  readonly log: Logger;
  /** Called after each ping with the members that count as unreachable, sorted. */
  readonly onUnreachablePeers: (unreachable: string[]) => void;
  /** Called with each status that a peer publishes with its answer. */
  readonly onStatus: (status: PeerStatus, member: string) => void;
}

/** A peer and the outcome of its latest pings. */
interface PeerState extends Peer {
  /** Monotonic time of the last answer to a ping; before the first answer, that at which the monitor was created. */
  lastAnswerAt: Micros;
  lastResult: PingResult;
}

/**
 * Monitors which peers can be reached. The result is only a hint by which the leader transfers machines sooner during a
 * network partition between zones. No invariant depends on it.
 */
export class PeerMonitor {
  private readonly peers: PeerState[];
  private isRunning = true;

  constructor(private readonly options: PeerMonitorOptions) {
    const { peers, clock } = options;
    this.peers = peers.map((peer) => ({ ...peer, lastAnswerAt: clock.now(), lastResult: 'ok' }));
  }

  /** Starts one ping loop for each peer. The loops run until {@link stop} is called. */
  start(): void {
    for (const peer of this.peers) void this.runPingLoop(peer);
  }

  /** Makes every ping loop end after its current ping. */
  stop(): void {
    this.isRunning = false;
  }

  /** Returns the members that count as unreachable, sorted. */
  unreachable(): string[] {
    const now = this.options.clock.now();
    return this.peers
      .filter(({ lastAnswerAt, lastResult }) => {
        return now - lastAnswerAt > (lastResult === 'refused' ? REFUSING_PEER_TIMEOUT : SILENT_PEER_TIMEOUT);
      })
      .map(({ member }) => member)
      .sort();
  }

  private async runPingLoop(peer: PeerState): Promise<void> {
    const { ping, clock, log, onUnreachablePeers, onStatus } = this.options;
    while (this.isRunning) {
      const { result, status } = await ping(peer.endpoint, PING_TIMEOUT);
      if (status) onStatus(status, peer.member);
      if (result !== peer.lastResult) log.debug({ peer: peer.member, result }, 'peer link changed');
      peer.lastResult = result;
      if (result === 'ok') peer.lastAnswerAt = clock.now();
      onUnreachablePeers(this.unreachable());
      await sleep(clock, PING_INTERVAL);
    }
  }
}
