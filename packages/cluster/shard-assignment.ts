/** The leader's decisions on shares: pure functions of what it sees. */

export interface ShardHolder {
  member: string;
  nonce: string;
}

export interface AssignableMember {
  member: string;
  nonce: string;
  zone: string;
  /** Shares that it gives up: they go to others. */
  resignedShards?: readonly number[];
}

export interface ShardAssignment {
  shard: number;
  member: string;
}

/**
 * How many shares each member should own: in proportion to its weight, rounded by largest remainder. Ties go
 * by name so that every leader comes to the same answer.
 */
export function targetShardCounts(
  members: readonly AssignableMember[],
  weights: ReadonlyMap<string, number>,
  shards: number,
) {
  const total = members.reduce((sum, m) => sum + (weights.get(m.member) ?? 1), 0) || 1;
  const rows = members
    .map((m) => ({ member: m.member, exact: (shards * (weights.get(m.member) ?? 1)) / total }))
    .sort(
      (a, b) =>
        b.exact - Math.floor(b.exact) - (a.exact - Math.floor(a.exact)) || (a.member < b.member ? -1 : 1),
    );
  let left = shards - rows.reduce((sum, r) => sum + Math.floor(r.exact), 0);
  return new Map(rows.map((r) => [r.member, Math.floor(r.exact) + (left-- > 0 ? 1 : 0)]));
}

/** Members that can own shares: those that their workers reach, or all if there is none. */
export function eligibleOwners<M extends { workersUnreachable: boolean }>(
  members: readonly M[],
): readonly M[] {
  const reached = members.filter((m) => !m.workersUnreachable);
  return reached.length > 0 ? reached : members;
}

/**
 * Which shares get a new owner: all that have none, and one from a member that has more than its part to one
 * that has less.
 */
export function planShardAssignments(
  count: number,
  owners: ReadonlyMap<number, ShardHolder>,
  members: readonly AssignableMember[],
  weights: ReadonlyMap<string, number>,
): ShardAssignment[] {
  if (members.length === 0) return [];
  const want = targetShardCounts(members, weights, count);
  const has = new Map<string, number[]>(members.map((m) => [m.member, []]));
  const orphans: number[] = [];
  for (let shard = 0; shard < count; shard++) {
    const owner = owners.get(shard);
    const alive = members.some(
      (m) => m.member === owner?.member && m.nonce === owner.nonce && !hasResignedShard(m, shard),
    );
    if (owner && alive) has.get(owner.member)?.push(shard);
    else orphans.push(shard);
  }
  const lack = (member: string): number => (want.get(member) ?? 0) - (has.get(member)?.length ?? 0);
  const neediest = (candidates: readonly string[]): string | undefined =>
    [...candidates].sort((a, b) => lack(b) - lack(a) || (a < b ? -1 : 1))[0];
  /** Who may have it: all but those that give it up, unless that is everybody. */
  const takers = (shard: number): string[] => {
    const names = members.filter((m) => !hasResignedShard(m, shard)).map((m) => m.member);
    return names.length > 0 ? names : [...has.keys()];
  };
  const plan: ShardAssignment[] = [];
  for (const shard of orphans) {
    const member = neediest(takers(shard));
    if (member === undefined) continue;
    has.get(member)?.push(shard);
    plan.push({ shard, member });
  }
  if (plan.length > 0) return plan;
  const poor = neediest([...has.keys()]);
  const rich = [...has.keys()].sort((a, b) => lack(a) - lack(b) || (a < b ? -1 : 1))[0] as string;
  const shard = has.get(rich)?.at(-1);
  if (poor === undefined || shard === undefined || !takers(shard).includes(poor)) return plan;
  if (lack(poor) >= 1 && lack(rich) <= -1) plan.push({ shard, member: poor });
  return plan;
}

function hasResignedShard({ resignedShards: resigned = [] }: AssignableMember, shard: number): boolean {
  return resigned.includes(shard);
}

/** Pairs of zones that can't reach each other, as the members tell: `a|b` with a < b. */
export function partitionedZonePairs(
  members: readonly (AssignableMember & { unreachable: readonly string[] })[],
): Set<string> {
  const cuts = new Set<string>();
  for (const m of members) {
    for (const name of m.unreachable) {
      const other = members.find((o) => o.member === name);
      if (other && other.zone !== m.zone) cuts.add(zonePair(m.zone, other.zone));
    }
  }
  return cuts;
}

export function zonePair(a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}
