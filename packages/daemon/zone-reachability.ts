/** Which controllers can reach the workers of which zones, by the network partitions that the members have published. */
import { partitionedZonePairs, type Replica, zonePair } from '#cluster';

/** The network partitions between zones at the time of construction. */
export class ZoneReachability {
  private readonly partitionedPairs: ReadonlySet<string>;

  constructor(private readonly replica: Replica) {
    this.partitionedPairs = partitionedZonePairs([...replica.members.values()]);
  }

  /** At least one pair of zones is partitioned. */
  get hasPartition(): boolean {
    return this.partitionedPairs.size > 0;
  }

  /** The zone is partitioned from at least one other zone. */
  isPartitioned(zone: string): boolean {
    return [...this.partitionedPairs].some((pair) => pair.split('|').includes(zone));
  }

  /** The member can reach workers in the zone. A member whose zone is unknown counts as able to. */
  canReach(member: string, zone: string): boolean {
    const memberZone = this.replica.members.get(member)?.zone;
    return (
      memberZone === undefined ||
      memberZone === zone ||
      !this.partitionedPairs.has(zonePair(memberZone, zone))
    );
  }
}
