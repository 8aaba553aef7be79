/** The shards that this node owns, and the workers of their machines. */
import type { Membership, Replica, ShardOwner } from '#cluster';
import type { Clock } from '#wire';
import type { WorkerRegistry } from '#workers';

/** Dependencies of {@link ShardOwnership}. */
export interface ShardOwnershipOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly replica: Replica;
  readonly workers: WorkerRegistry;
}

/** Synchronizes the registry of workers with the shards that this node owns. */
export class ShardOwnership {
  constructor(private readonly options: ShardOwnershipOptions) {}

  /** Returns the shards that this node may act for now, with their owner records. */
  ownedShards(): Map<number, ShardOwner> {
    return this.options.membership.ownedShards();
  }

  /** Makes the registry track exactly the workers whose machines belong to owned shards. */
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
