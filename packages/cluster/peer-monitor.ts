/** Pings between nodes: which peers can be reached, and what they publish of themselves. */
import type { Logger } from './logger.js';
import { type Clock, type Micros, MS, sleep } from '#wire';

/** Outcome of a ping: `refused` hints at a dead process, `silent` at a network partition. Neither proves anything. */
export type PingResult = 'ok' | 'refused' | 'silent';

/** What a node publishes to its peers with every ping. */
export interface PeerStatus {
  /** The highest fencing token that it has seen. */
  fencingToken: number;
  /** Whether it reaches the state service. */
  isStoreReachable: boolean;
  /** By owner: number of machines whose workers it has lately redirected there. */
  redirectedWorkers: Record<string, number>;
  /** What it has seen of the state; null if it does not publish that. */
  highWaterMark: PeerHighWaterMark | null;
}

/** What a peer has seen of the state, for nodes that have seen less. */
export interface PeerHighWaterMark {
  /** The highest revision that the state service has shown it. */
  revision: number;
  /** What it has seen contradicts what the state service shows now. */
  isInconsistent: boolean;
}

/** Outcome of a ping, and what the peer published with its answer. */
export interface PingReply {
  result: PingResult;
  status: PeerStatus | null;
}

/** Pings the peer at this endpoint; `silent` once the timeout has passed. Never rejects. */
export type Ping = (endpoint: string, timeout: Micros) => Promise<PingReply>;

const PING_INTERVAL: Micros = 500 * MS;
const PING_TIMEOUT: Micros = 1200 * MS;
/** A peer that does not answer counts as unreachable this long after its last answer. */
const SILENT_PEER_TIMEOUT: Micros = 1700 * MS;
/**
 * The same for a peer whose host refuses the connection. A dead process does, too; by then its member key is gone, and
 * it counts as dead rather than partitioned.
 */
const REFUSING_PEER_TIMEOUT: Micros = 4500 * MS;

/** A peer of this node. */
export interface Peer {
  readonly member: string;
  readonly endpoint: string;
}

/** What a {@link PeerMonitor} works with. */
export interface PeerMonitorOptions {
  readonly peers: readonly Peer[];
  readonly ping: Ping;
  readonly clock: Clock;
  readonly log: Logger;
  /** Called after each ping with the members out of reach, sorted. */
  readonly onReachabilityChange: (unreachable: string[]) => void;
  readonly onStatus: (status: PeerStatus, member: string) => void;
}

/** A peer, and the outcome of its pings. */
interface PeerState extends Peer {
  lastAnswerAt: Micros;
  lastResult: PingResult;
}

/**
 * Monitors which peers can be reached. Only a hint, by which the leader transfers machines sooner when zones are
 * partitioned from each other: no invariant depends on it.
 */
export class PeerMonitor {
  private readonly peers: PeerState[];
  private isRunning = true;

  constructor(private readonly options: PeerMonitorOptions) {
    const { peers, clock } = options;
    this.peers = peers.map((peer) => ({ ...peer, lastAnswerAt: clock.now(), lastResult: 'ok' }));
  }

  /** Starts one ping loop for each peer; they run until {@link stop}. */
  start(): void {
    for (const peer of this.peers) void this.monitor(peer);
  }

  /** Every loop ends after the ping that is under way. */
  stop(): void {
    this.isRunning = false;
  }

  /** Members out of reach for long enough to act on it, sorted. */
  unreachable(): string[] {
    const now = this.options.clock.now();
    return this.peers
      .filter(({ lastAnswerAt, lastResult }) => {
        return now - lastAnswerAt > (lastResult === 'refused' ? REFUSING_PEER_TIMEOUT : SILENT_PEER_TIMEOUT);
      })
      .map(({ member }) => member)
      .sort();
  }

  private async monitor(peer: PeerState): Promise<void> {
    const { ping, clock, log, onReachabilityChange, onStatus } = this.options;
    while (this.isRunning) {
      const { result, status } = await ping(peer.endpoint, PING_TIMEOUT);
      if (status) onStatus(status, peer.member);
      if (result !== peer.lastResult) log.debug({ peer: peer.member, result }, 'peer link changed');
      peer.lastResult = result;
      if (result === 'ok') peer.lastAnswerAt = clock.now();
      onReachabilityChange(this.unreachable());
      await sleep(clock, PING_INTERVAL);
    }
  }
}
