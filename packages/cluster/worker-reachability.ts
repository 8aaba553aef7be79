/**
 * Tells whether the workers still reach this node. A node that loses only its workers goes on serving users, peers
 * and the state service, so its grant never ends; its workers ask the other nodes, which send them back to it until
 * their leases run out. Nothing is decided by this: it lets the leader deal the shares to somebody else in time.
 */
import { type Micros, MS, SECOND } from '#wire';

/** Time between two calls of {@link WorkerReachability.check}. */
export const REACHABILITY_CHECK_INTERVAL: Micros = 500 * MS;

/** `unreachable` ends by itself: without shares no worker comes, so the node has to be tried again. */
export type WorkerReachabilityState = 'reached' | 'unreachable';

/** For how long a machine that was sent to its owner counts as on its way there. */
const REFERRAL_KEPT: Micros = 3 * SECOND;
/** A single machine may be broken; of several one would have arrived. */
const LEAST_REFERRED = 2;
/** A worker that is sent here arrives within half a second, and peers tell of it every half second. */
const REFERRED_STEPS = 3;
/** A node is tried again after so many leases, and after twice as many each time that it failed at once. */
const PAUSE_LEASES = 3;
const MOST_PAUSE_LEASES = 24;

interface Limits {
  heartbeatInterval: Micros;
  workerLease: Micros;
}

export class WorkerReachability {
  state: WorkerReachabilityState = 'reached';
  /**
   * Counted in steps and not in time: while the process stands still no step is taken, and what its workers did
   * meanwhile says nothing.
   */
  private silentChecks = 0;
  private redirectedChecks = 0;
  private redirectedHere = 0;
  private pause: Micros = 0;
  private until: Micros = -Infinity;
  /** By owner: the machines whose workers this node has sent there, and when. */
  private readonly redirectedHosts = new Map<string, Map<string, Micros>>();

  constructor(private readonly limits: Limits) {}

  /** A worker's report has arrived here, whosever machine it is. */
  onHeartbeat(): void {
    this.silentChecks = 0;
    this.pause = 0;
    this.redirectedChecks = 0;
    this.state = 'reached';
  }

  /** This node has sent a worker to the owner of its machine. */
  onRedirect(owner: string, host: string, now: Micros): void {
    let hosts = this.redirectedHosts.get(owner);
    if (!hosts) this.redirectedHosts.set(owner, (hosts = new Map()));
    hosts.set(host, now);
  }

  /** By owner: how many machines' workers this node has sent there of late. */
  redirectCounts(now: Micros): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const [owner, hosts] of this.redirectedHosts) {
      for (const [host, at] of hosts) if (now - at > REFERRAL_KEPT) hosts.delete(host);
      if (hosts.size === 0) this.redirectedHosts.delete(owner);
      else counts[owner] = hosts.size;
    }
    return counts;
  }

  /** A peer has sent the workers of so many machines to this node of late. */
  onPeerRedirects(machines: number): void {
    this.redirectedHere = Math.max(this.redirectedHere, machines);
  }

  /** One step every {@link REACHABILITY_CHECK_INTERVAL}. `owns`: this node owns shares, so that workers should come. */
  check(owns: boolean, now: Micros): void {
    const isReferred = this.redirectedHere >= LEAST_REFERRED;
    this.redirectedHere = 0;
    if (this.state === 'unreachable') {
      if (now >= this.until) this.retry();
    } else if (owns) {
      this.silentChecks++;
      this.redirectedChecks = isReferred ? this.redirectedChecks + 1 : 0;
      if (this.silentChecks >= this.silentCheckLimit() && this.redirectedChecks >= REFERRED_STEPS)
        this.markUnreachable(now);
    } else {
      this.resetCounters();
    }
  }

  /** Every worker that could would have reported within so many steps. */
  private silentCheckLimit(): number {
    return Math.ceil((this.limits.heartbeatInterval * 1.25) / REACHABILITY_CHECK_INTERVAL) + 1;
  }

  private markUnreachable(now: Micros): void {
    const { workerLease: lease } = this.limits;
    this.pause = Math.min(MOST_PAUSE_LEASES * lease, Math.max(2 * this.pause, PAUSE_LEASES * lease));
    this.until = now + this.pause;
    this.state = 'unreachable';
  }

  private retry(): void {
    this.state = 'reached';
    this.resetCounters();
  }

  private resetCounters(): void {
    this.silentChecks = 0;
    this.redirectedChecks = 0;
  }
}
