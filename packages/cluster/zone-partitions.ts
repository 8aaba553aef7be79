/** Network partitions between zones, derived from the reachability that members publish. */

/** The zone of a member, and the members that it publishes as unreachable. */
export interface ZoneObserver {
  readonly member: string;
  readonly zone: string;
  readonly unreachable: readonly string[];
}

/** Returns the pairs of zones, named by {@link zonePair}, between which at least one member reports a partition. */
export function partitionedZonePairs(members: readonly ZoneObserver[]): Set<string> {
  const partitioned = new Set<string>();
  for (const { zone, unreachable } of members) {
    for (const name of unreachable) {
      const peer = members.find((candidate) => candidate.member === name);
      if (peer && peer.zone !== zone) partitioned.add(zonePair(zone, peer.zone));
    }
  }
  return partitioned;
}

/** Returns the name of an unordered pair of zones: `a|b` with a < b. */
export function zonePair(a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}
