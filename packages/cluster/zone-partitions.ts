/** Network partitions between zones, as far as the members' published reachability shows them. */

/** What a member publishes of its zone and of the members that it can't reach. */
export interface ZoneObserver {
  readonly member: string;
  readonly zone: string;
  readonly unreachable: readonly string[];
}

/** Pairs of zones that can't reach each other according to at least one member; each as {@link zonePair} names it. */
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

/** Name of an unordered pair of zones: `a|b` with a < b. */
export function zonePair(a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}
