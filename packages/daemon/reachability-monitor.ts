/** Watches whether the workers of this node's machines reach it. */
import { type Membership, REACHABILITY_CHECK_INTERVAL, type WorkerReachability } from '#cluster';
import { type Clock, sleep } from '#wire';
import type { ShardOwnership } from './shard-ownership.js';

/** What a {@link ReachabilityMonitor} depends on. */
export interface ReachabilityMonitorOptions {
  readonly clock: Clock;
  readonly ownership: ShardOwnership;
  readonly workerReachability: WorkerReachability;
  readonly membership: Membership;
}

/** Publishes in the member status when the workers of this node reach every node but this one. */
export class ReachabilityMonitor {
  private isStopped = false;

  constructor(private readonly options: ReachabilityMonitorOptions) {}

  /** Checks periodically until stopped. */
  async run(): Promise<void> {
    const { clock, ownership, workerReachability, membership } = this.options;
    while (!this.isStopped) {
      await sleep(clock, REACHABILITY_CHECK_INTERVAL);
      workerReachability.check(ownership.ownedShards().size > 0, clock.now());
      void membership.publishStatus({ workersUnreachable: workerReachability.state === 'unreachable' });
    }
  }

  /** Ends {@link run} after the check that is due next. */
  stop(): void {
    this.isStopped = true;
  }
}
