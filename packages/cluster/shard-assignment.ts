/** The assignment of shards to members, as pure functions of the leader's replica. */

/** The process that owns a shard, identified by its member and the nonce of its membership. */
export interface ShardHolder {
  readonly member: string;
  readonly nonce: string;
}

/** A member as a candidate for shards. */
export interface AssignableMember extends ShardHolder {
  readonly zone: string;
  /** Shards that the member has resigned, which are assigned to other members. */
  readonly resignedShards?: readonly number[];
}

/** A shard's new owner. */
export interface ShardAssignment {
  readonly shard: number;
  readonly member: string;
}

/** Input of {@link planShardAssignments}. */
export interface ShardAssignmentInput {
  readonly shardCount: number;
  /** Keyed by shard. */
  readonly owners: ReadonlyMap<number, ShardHolder>;
  readonly members: readonly AssignableMember[];
  /** Keyed by member. A member gets shards in proportion to its weight; the default weight is 1. */
  readonly weights: ReadonlyMap<string, number>;
}

/**
 * Returns the number of shards that each member should own: in proportion to its weight, rounded by the largest
 * remainder method. Ties are broken by name, so that every leader computes the same result.
 */
export function targetShardCounts(
  members: readonly AssignableMember[],
  weights: ReadonlyMap<string, number>,
  shardCount: number,
): Map<string, number> {
  const weightOf = ({ member }: AssignableMember): number => weights.get(member) ?? 1;
  const totalWeight = members.reduce((sum, member) => sum + weightOf(member), 0) || 1;
  const quotas = members
    .map((member) => ({ member: member.member, exact: (shardCount * weightOf(member)) / totalWeight }))
    .sort(
      (a, b) =>
        b.exact - Math.floor(b.exact) - (a.exact - Math.floor(a.exact)) || (a.member < b.member ? -1 : 1),
    );
  let remaining = shardCount - quotas.reduce((sum, quota) => sum + Math.floor(quota.exact), 0);
  return new Map(quotas.map(({ member, exact }) => [member, Math.floor(exact) + (remaining-- > 0 ? 1 : 0)]));
}

/** Returns the members that may own shards: those that workers reach, or all members if workers reach none. */
export function eligibleOwners<M extends { workersUnreachable: boolean }>(
  members: readonly M[],
): readonly M[] {
  const reached = members.filter((member) => !member.workersUnreachable);
  return reached.length > 0 ? reached : members;
}

/**
 * Returns the shards that get a new owner. These are all shards without a living owner or with an owner that resigned
 * them. If there are none, at most one shard is transferred from a member above its target to a member below it.
 */
export function planShardAssignments(input: ShardAssignmentInput): ShardAssignment[] {
  if (input.members.length === 0) return [];
  const plan = new ShardPlan(input);
  const assignments = plan.assignOrphans();
  if (assignments.length > 0) return assignments;
  const transfer = plan.rebalance();
  return transfer ? [transfer] : [];
}

/** The shards that each member owns or is planned to own, as one planning pass changes them. */
class ShardPlan {
  private readonly members: readonly AssignableMember[];
  private readonly targets: ReadonlyMap<string, number>;
  private readonly ownedShards: Map<string, number[]>;
  /** Shards whose owner is no longer a member or has resigned them. */
  private readonly orphans: number[] = [];

  constructor({ shardCount, owners, members, weights }: ShardAssignmentInput) {
    this.members = members;
    this.targets = targetShardCounts(members, weights, shardCount);
    this.ownedShards = new Map(members.map(({ member }) => [member, []]));
    for (let shard = 0; shard < shardCount; shard++) {
      const owner = owners.get(shard);
      if (owner && this.keepsShard(owner, shard)) this.ownedShards.get(owner.member)?.push(shard);
      else this.orphans.push(shard);
    }
  }

  /** Assigns each orphaned shard to the candidate with the largest deficit. */
  assignOrphans(): ShardAssignment[] {
    const assignments: ShardAssignment[] = [];
    for (const shard of this.orphans) {
      const [member] = this.byDeficit(this.candidatesFor(shard));
      if (member === undefined) continue;
      this.ownedShards.get(member)?.push(shard);
      assignments.push({ shard, member });
    }
    return assignments;
  }

  /**
   * Returns the transfer of one shard from the member furthest above its target to the member furthest below its own.
   * Returns null unless both differ from their targets by at least one shard.
   */
  rebalance(): ShardAssignment | null {
    const names = [...this.ownedShards.keys()];
    const [receiver] = this.byDeficit(names);
    const [donor] = this.bySurplus(names);
    if (receiver === undefined || donor === undefined) return null;
    const shard = this.ownedShards.get(donor)?.at(-1);
    if (shard === undefined || !this.candidatesFor(shard).includes(receiver)) return null;
    return this.deficit(receiver) >= 1 && this.deficit(donor) <= -1 ? { shard, member: receiver } : null;
  }

  /** Returns true if the process that owns the shard is still a member and has not resigned the shard. */
  private keepsShard(owner: ShardHolder, shard: number): boolean {
    return this.members.some(
      (member) =>
        member.member === owner.member && member.nonce === owner.nonce && !hasResignedShard(member, shard),
    );
  }

  /** Returns the members that may get the shard: those that have not resigned it, or all if every member has. */
  private candidatesFor(shard: number): string[] {
    const candidates = this.members.filter((member) => !hasResignedShard(member, shard));
    return candidates.length > 0 ? candidates.map(({ member }) => member) : [...this.ownedShards.keys()];
  }

  /** Returns the number of shards by which the member is below its target; negative if it is above. */
  private deficit(member: string): number {
    return (this.targets.get(member) ?? 0) - (this.ownedShards.get(member)?.length ?? 0);
  }

  private byDeficit(names: readonly string[]): string[] {
    return [...names].sort((a, b) => this.deficit(b) - this.deficit(a) || (a < b ? -1 : 1));
  }

  private bySurplus(names: readonly string[]): string[] {
    return [...names].sort((a, b) => this.deficit(a) - this.deficit(b) || (a < b ? -1 : 1));
  }
}

function hasResignedShard({ resignedShards = [] }: AssignableMember, shard: number): boolean {
  return resignedShards.includes(shard);
}
