/**
 * Detects whether workers still reach this node. A node that only its workers cannot reach still serves users and
 * peers and reaches the state service, so its lease never expires. Its workers contact the other nodes, which redirect
 * them to it until the workers' leases expire. The result is only a hint by which the leader assigns the shards to
 * other members before that.
 */
import { type Micros, MS, SECOND } from '#wire';

/** Interval at which {@link WorkerReachability.check} must be called. */
export const REACHABILITY_CHECK_INTERVAL: Micros = 500 * MS;

/**
 * The state `unreachable` ends after a pause: without shards a node gets no heartbeats, so only a new assignment of
 * shards shows whether workers reach it again.
 */
export type WorkerReachabilityState = 'reached' | 'unreachable';

/** Time for which a redirected worker counts as on its way to the owner of its machine. */
const REDIRECT_LIFETIME: Micros = 3 * SECOND;
/** Fewest redirected machines that count: a single machine may be broken, but one of several would have arrived. */
const MIN_REDIRECTED_MACHINES = 2;
/**
 * Consecutive checks with redirects after which the node may count as unreachable. A redirected worker arrives within
 * half a second, and peers publish their redirects every half second.
 */
const MIN_CONSECUTIVE_REDIRECT_CHECKS = 3;
/** Pause before an unreachable node may get shards again, in worker leases. It doubles with each immediate failure. */
const MIN_PAUSE_LEASES = 3;
/** Upper bound of the pause, in worker leases. */
const MAX_PAUSE_LEASES = 24;

/** Settings of the workers' heartbeats. */
export interface HeartbeatLimits {
  readonly heartbeatInterval: Micros;
  readonly workerLease: Micros;
}

/** Determines whether workers reach this node, by the heartbeats that it gets and the redirects that peers publish. */
export class WorkerReachability {
  state: WorkerReachabilityState = 'reached';
  /**
   * Consecutive checks without a heartbeat. The unit is checks, not time: a suspended process makes no checks, and its
   * missed heartbeats prove nothing.
   */
  private checksWithoutHeartbeat = 0;
  private consecutiveRedirectChecks = 0;
  /** Largest number of machines whose workers a single peer has redirected here since the last check. */
  private redirectedMachines = 0;
  private pause: Micros = 0;
  private unreachableUntil: Micros = -Infinity;
  /** Keyed by owner, then by host. Monotonic time of the last redirect of the host's worker to that owner. */
  private readonly redirectedHosts = new Map<string, Map<string, Micros>>();

  constructor(private readonly limits: HeartbeatLimits) {}

  /** Records that a worker's heartbeat has arrived here, whichever member owns its machine. */
  onHeartbeat(): void {
    this.checksWithoutHeartbeat = 0;
    this.pause = 0;
    this.consecutiveRedirectChecks = 0;
    this.state = 'reached';
  }

  /** Records that this node has redirected a worker to the owner of its machine. */
  onRedirect(owner: string, host: string, now: Micros): void {
    let hosts = this.redirectedHosts.get(owner);
    if (!hosts) this.redirectedHosts.set(owner, (hosts = new Map<string, Micros>()));
    hosts.set(host, now);
  }

  /** Returns, keyed by owner, the number of machines whose workers this node has recently redirected there. */
  redirectCounts(now: Micros): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const [owner, hosts] of this.redirectedHosts) {
      for (const [host, at] of hosts) if (now - at > REDIRECT_LIFETIME) hosts.delete(host);
      if (hosts.size === 0) this.redirectedHosts.delete(owner);
      else counts[owner] = hosts.size;
    }
    return counts;
  }

  /** Records that a peer has recently redirected the workers of this number of machines to this node. */
  onPeerRedirects(machines: number): void {
    this.redirectedMachines = Math.max(this.redirectedMachines, machines);
  }

  /**
   * Updates the state; must be called every {@link REACHABILITY_CHECK_INTERVAL}. `ownsShards`: true if this node owns
   * shards, so that it should get heartbeats.
   */
  check(ownsShards: boolean, now: Micros): void {
    const hasRedirects = this.redirectedMachines >= MIN_REDIRECTED_MACHINES;
    this.redirectedMachines = 0;
    if (this.state === 'unreachable') {
      if (now >= this.unreachableUntil) this.retry();
    } else if (ownsShards) {
      this.checksWithoutHeartbeat++;
      this.consecutiveRedirectChecks = hasRedirects ? this.consecutiveRedirectChecks + 1 : 0;
      if (
        this.checksWithoutHeartbeat >= this.heartbeatDeadlineChecks() &&
        this.consecutiveRedirectChecks >= MIN_CONSECUTIVE_REDIRECT_CHECKS
      )
        this.markUnreachable(now);
    } else {
      this.resetCounters();
    }
  }

  /** Returns the number of checks within which every worker that reaches this node sends a heartbeat. */
  private heartbeatDeadlineChecks(): number {
    return Math.ceil((this.limits.heartbeatInterval * 1.25) / REACHABILITY_CHECK_INTERVAL) + 1;
  }

  private markUnreachable(now: Micros): void {
    const { workerLease: lease } = this.limits;
    this.pause = Math.min(MAX_PAUSE_LEASES * lease, Math.max(2 * this.pause, MIN_PAUSE_LEASES * lease));
    this.unreachableUntil = now + this.pause;
    this.state = 'unreachable';
  }

  private retry(): void {
    this.state = 'reached';
    this.resetCounters();
  }

  private resetCounters(): void {
    this.checksWithoutHeartbeat = 0;
    this.consecutiveRedirectChecks = 0;
  }
}
