/** The leader's decisions on shares: pure functions of what it sees. */

export interface ShareHolder {
  member: string;
  nonce: string;
}

export interface AssignableMember {
  member: string;
  nonce: string;
  zone: string;
  /** Shares that it gives up: they go to others. */
  resigned?: readonly number[];
}

export interface Assignment {
  share: number;
  member: string;
}

/**
 * How many shares each member should own: in proportion to its weight, rounded by largest remainder. Ties go
 * by name so that every leader comes to the same answer.
 */
export function targets(
  members: readonly AssignableMember[],
  weights: ReadonlyMap<string, number>,
  shares: number,
) {
  const total = members.reduce((sum, m) => sum + (weights.get(m.member) ?? 1), 0) || 1;
  const rows = members
    .map((m) => ({ member: m.member, exact: (shares * (weights.get(m.member) ?? 1)) / total }))
    .sort(
      (a, b) =>
        b.exact - Math.floor(b.exact) - (a.exact - Math.floor(a.exact)) || (a.member < b.member ? -1 : 1),
    );
  let left = shares - rows.reduce((sum, r) => sum + Math.floor(r.exact), 0);
  return new Map(rows.map((r) => [r.member, Math.floor(r.exact) + (left-- > 0 ? 1 : 0)]));
}

/** Members that can own shares: those that their workers reach, or all if there is none. */
export function eligible<M extends { workersUnreachable: boolean }>(members: readonly M[]): readonly M[] {
  const reached = members.filter((m) => !m.workersUnreachable);
  return reached.length > 0 ? reached : members;
}

/**
 * Which shares get a new owner: all that have none, and one from a member that has more than its part to one
 * that has less.
 */
export function planShares(
  count: number,
  owners: ReadonlyMap<number, ShareHolder>,
  members: readonly AssignableMember[],
  weights: ReadonlyMap<string, number>,
): Assignment[] {
  if (members.length === 0) return [];
  const want = targets(members, weights, count);
  const has = new Map<string, number[]>(members.map((m) => [m.member, []]));
  const orphans: number[] = [];
  for (let share = 0; share < count; share++) {
    const owner = owners.get(share);
    const alive = members.some(
      (m) => m.member === owner?.member && m.nonce === owner.nonce && !hasResigned(m, share),
    );
    if (owner && alive) has.get(owner.member)?.push(share);
    else orphans.push(share);
  }
  const lack = (member: string): number => (want.get(member) ?? 0) - (has.get(member)?.length ?? 0);
  const neediest = (candidates: readonly string[]): string | undefined =>
    [...candidates].sort((a, b) => lack(b) - lack(a) || (a < b ? -1 : 1))[0];
  /** Who may have it: all but those that give it up, unless that is everybody. */
  const takers = (share: number): string[] => {
    const names = members.filter((m) => !hasResigned(m, share)).map((m) => m.member);
    return names.length > 0 ? names : [...has.keys()];
  };
  const plan: Assignment[] = [];
  for (const share of orphans) {
    const member = neediest(takers(share));
    if (member === undefined) continue;
    has.get(member)?.push(share);
    plan.push({ share, member });
  }
  if (plan.length > 0) return plan;
  const poor = neediest([...has.keys()]);
  const rich = [...has.keys()].sort((a, b) => lack(a) - lack(b) || (a < b ? -1 : 1))[0] as string;
  const share = has.get(rich)?.at(-1);
  if (poor === undefined || share === undefined || !takers(share).includes(poor)) return plan;
  if (lack(poor) >= 1 && lack(rich) <= -1) plan.push({ share, member: poor });
  return plan;
}

function hasResigned({ resigned = [] }: AssignableMember, share: number): boolean {
  return resigned.includes(share);
}

/** Pairs of zones that can't reach each other, as the members tell: `a|b` with a < b. */
export function cutZones(
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
