/** Monitors whether the workers of this node's machines reach this node. */
import { type Membership, REACHABILITY_CHECK_INTERVAL, type WorkerReachability } from '#cluster';
import { type Clock, sleep } from '#wire';
import type { ShardOwnership } from './shard-ownership.js';

/** Dependencies of {@link ReachabilityMonitor}. */
export interface ReachabilityMonitorOptions {
  readonly clock: Clock;
  readonly ownership: ShardOwnership;
  readonly workerReachability: WorkerReachability;
  readonly membership: Membership;
}

/** Publishes in the member status whether the workers of this node reach other nodes but not this one. */
export class ReachabilityMonitor {
  private isStopped = false;

  constructor(private readonly options: ReachabilityMonitorOptions) {}

  /** Checks reachability periodically until {@link stop} is called. */
  async run(): Promise<void> {
    const { clock, ownership, workerReachability, membership } = this.options;
    while (!this.isStopped) {
      await sleep(clock, REACHABILITY_CHECK_INTERVAL);
      workerReachability.check(ownership.ownedShards().size > 0, clock.now());
      void membership.publishStatus({ workersUnreachable: workerReachability.state === 'unreachable' });
    }
  }

  /** Ends {@link run} after the next check. */
  stop(): void {
    this.isStopped = true;
  }
}
