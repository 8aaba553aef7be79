/**
 * Detects whether workers still reach this node. A node that loses only its workers goes on serving users and peers and
 * reaches the state service, so its lease never expires; its workers ask the other nodes, which redirect them to it
 * until the workers' leases expire. Only a hint, by which the leader assigns the shards to other members in time.
 */
import { type Micros, MS, SECOND } from '#wire';

/** Time between two calls of {@link WorkerReachability.check}. */
export const REACHABILITY_CHECK_INTERVAL: Micros = 500 * MS;

/** `unreachable` ends by itself: without shards no worker arrives, so the node has to be tried again. */
export type WorkerReachabilityState = 'reached' | 'unreachable';

/** For how long a machine that was redirected to its owner counts as on its way there. */
const REDIRECT_LIFETIME: Micros = 3 * SECOND;
/** A single machine may be broken; of several one would have arrived. */
const MIN_REDIRECTED_MACHINES = 2;
/** Checks in a row: a redirected worker arrives within half a second, and peers publish every half second. */
const MIN_CONSECUTIVE_REDIRECT_CHECKS = 3;
/** Pause before a node is tried again, in workers' leases; doubled each time that it fails again at once. */
const MIN_PAUSE_LEASES = 3;
const MAX_PAUSE_LEASES = 24;

/** Settings of the workers' heartbeats. */
export interface HeartbeatLimits {
  readonly heartbeatInterval: Micros;
  readonly workerLease: Micros;
}

/** Whether workers reach this node, judged by its own heartbeats and by the redirects that peers publish. */
export class WorkerReachability {
  state: WorkerReachabilityState = 'reached';
  /**
   * Checks without a heartbeat. Counted in checks and not in time: a suspended process makes no checks, and what its
   * workers did meanwhile proves nothing.
   */
  private checksWithoutHeartbeat = 0;
  private consecutiveRedirectChecks = 0;
  /** Largest number of machines that a peer has redirected here since the last check. */
  private redirectedMachines = 0;
  private pause: Micros = 0;
  private unreachableUntil: Micros = -Infinity;
  /** By owner: the hosts whose workers this node has redirected there, and when. */
  private readonly redirectedHosts = new Map<string, Map<string, Micros>>();

  constructor(private readonly limits: HeartbeatLimits) {}

  /** A worker's heartbeat has arrived here, whichever member owns its machine. */
  onHeartbeat(): void {
    this.checksWithoutHeartbeat = 0;
    this.pause = 0;
    this.consecutiveRedirectChecks = 0;
    this.state = 'reached';
  }

  /** This node has redirected a worker to the owner of its machine. */
  onRedirect(owner: string, host: string, now: Micros): void {
    let hosts = this.redirectedHosts.get(owner);
    if (!hosts) this.redirectedHosts.set(owner, (hosts = new Map<string, Micros>()));
    hosts.set(host, now);
  }

  /** By owner: number of machines whose workers this node has lately redirected there. */
  redirectCounts(now: Micros): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const [owner, hosts] of this.redirectedHosts) {
      for (const [host, at] of hosts) if (now - at > REDIRECT_LIFETIME) hosts.delete(host);
      if (hosts.size === 0) this.redirectedHosts.delete(owner);
      else counts[owner] = hosts.size;
    }
    return counts;
  }

  /** A peer has lately redirected the workers of this number of machines to this node. */
  onPeerRedirects(machines: number): void {
    this.redirectedMachines = Math.max(this.redirectedMachines, machines);
  }

  /** To be called every {@link REACHABILITY_CHECK_INTERVAL}. `ownsShards`: workers should arrive here. */
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

  /** Number of checks within which every worker that reaches this node sends a heartbeat. */
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
