import type { Logger } from './logger.js';
import { type Clock, type Micros, MS, sleep } from '#wire';

/** What came of a ping: `refused` hints at a dead process, `silent` at a cut. Neither proves anything. */
export type PingResult = 'ok' | 'refused' | 'silent';

/** What a node tells its peers. */
export interface PeerStatus {
  /** The highest token that it knows. */
  fencingToken: number;
  /** The state service serves it. */
  isStoreReachable: boolean;
  /** By owner: how many machines' workers it has sent there of late. */
  redirectedWorkers: Record<string, number>;
  /** What it remembers of the state; null if it doesn't tell. */
  highWaterMark: PeerHighWaterMark | null;
}

/** What a peer remembers of the state, for those that remember less. */
export interface PeerHighWaterMark {
  /** The highest epoch that the state service has shown it. */
  revision: number;
  /** What it remembers itself contradicts what the state service shows now. */
  isInconsistent: boolean;
}

export interface PingReply {
  result: PingResult;
  /** What the peer told with its answer. */
  status: PeerStatus | null;
}
export type Ping = (endpoint: string, timeout: Micros) => Promise<PingReply>;

const EVERY: Micros = 500 * MS;
const TIMEOUT: Micros = 1200 * MS;
const UNREACHABLE_SILENT: Micros = 1700 * MS;
/** A process that died is refused too; by then its member key is gone, and it counts as dead, not cut off. */
const UNREACHABLE_REFUSED: Micros = 4500 * MS;

/**
 * Watches which peers can be reached. Only a hint that hastens the leader's moves when zones are cut from
 * each other: no rule depends on it.
 */
export class PeerMonitor {
  private readonly states: { member: string; endpoint: string; okAt: Micros; last: PingResult }[];
  private running = true;

  constructor(
    peers: readonly { member: string; endpoint: string }[],
    private readonly ping: Ping,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly onReachabilityChange: (unreachable: string[]) => void,
    private readonly onStatus: (status: PeerStatus, member: string) => void,
  ) {
    this.states = peers.map((p) => ({ ...p, okAt: clock.now(), last: 'ok' }));
  }

  start(): void {
    for (const state of this.states) void this.watch(state);
  }

  stop(): void {
    this.running = false;
  }

  /** Members out of reach for long enough to act on it. */
  unreachable(): string[] {
    const now = this.clock.now();
    return this.states
      .filter((s) => now - s.okAt > (s.last === 'refused' ? UNREACHABLE_REFUSED : UNREACHABLE_SILENT))
      .map((s) => s.member)
      .sort();
  }

  private async watch(state: {
    member: string;
    endpoint: string;
    okAt: Micros;
    last: PingResult;
  }): Promise<void> {
    while (this.running) {
      const { result, status } = await this.ping(state.endpoint, TIMEOUT);
      if (status) this.onStatus(status, state.member);
      if (result !== state.last) this.log.debug({ peer: state.member, result }, 'peer link');
      state.last = result;
      if (result === 'ok') state.okAt = this.clock.now();
      this.onReachabilityChange(this.unreachable());
      await sleep(this.clock, EVERY);
    }
  }
}
