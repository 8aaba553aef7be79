/** The shards that this node owns, and the workers that follow from them. */
import type { Membership, Replica, ShardOwner } from '#cluster';
import type { Clock } from '#wire';
import type { WorkerRegistry } from '#workers';

/** What a {@link ShardOwnership} depends on. */
export interface ShardOwnershipOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly replica: Replica;
  readonly workers: WorkerRegistry;
}

/** Keeps the registry of workers in step with the shards that this node owns. */
export class ShardOwnership {
  constructor(private readonly options: ShardOwnershipOptions) {}

  /** The shards that this node may act for now, with their owner records. */
  ownedShards(): Map<number, ShardOwner> {
    return this.options.membership.ownedShards();
  }

  /** Makes the registry track the workers of exactly the machines of owned shards. */
  syncWorkers(): void {
    const { workers, replica, clock } = this.options;
    workers.syncOwnership({
      ledger: replica.ledger,
      owners: this.ownedShards(),
      fencingToken: replica.fencingToken.value,
      now: clock.now(),
    });
  }
}
