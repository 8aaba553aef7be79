/** Determines which members can reach the workers of which zones, from the partitions that the members published. */
import { partitionedZonePairs, type Replica, zonePair } from '#cluster';

/** The network partitions between zones, as published when this object was constructed. */
export class ZoneReachability {
  private readonly partitionedPairs: ReadonlySet<string>;

  constructor(private readonly replica: Replica) {
    this.partitionedPairs = partitionedZonePairs([...replica.members.values()]);
  }

  /** True if at least one pair of zones is partitioned. */
  get hasPartition(): boolean {
    return this.partitionedPairs.size > 0;
  }

  /** True if the zone is partitioned from at least one other zone. */
  isPartitioned(zone: string): boolean {
    return [...this.partitionedPairs].some((pair) => pair.split('|').includes(zone));
  }

  /** True if the member can reach workers in the zone, or if the zone of the member is unknown. */
  canReach(member: string, zone: string): boolean {
    const memberZone = this.replica.members.get(member)?.zone;
    return (
      memberZone === undefined ||
      memberZone === zone ||
      !this.partitionedPairs.has(zonePair(memberZone, zone))
    );
  }
}
