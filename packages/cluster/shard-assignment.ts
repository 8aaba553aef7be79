/** The assignment of shards to members: pure functions of what the leader sees. */

/** The process that owns a shard. */
export interface ShardHolder {
  readonly member: string;
  readonly nonce: string;
}

/** A member as a candidate for shards. */
export interface AssignableMember extends ShardHolder {
  readonly zone: string;
  /** Shards that it gives up: they go to other members. */
  readonly resignedShards?: readonly number[];
}

/** A shard's new owner. */
export interface ShardAssignment {
  readonly shard: number;
  readonly member: string;
}

/** What the assignment of shards is planned from. */
export interface ShardAssignmentInput {
  readonly shardCount: number;
  readonly owners: ReadonlyMap<number, ShardHolder>;
  readonly members: readonly AssignableMember[];
  /** By member; one that is missing has weight 1. */
  readonly weights: ReadonlyMap<string, number>;
}

/**
 * Number of shards that each member should own: in proportion to its weight, rounded by largest remainder. Ties go
 * by name, so that every leader comes to the same result.
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

/** Members that may own shards: those whose workers reach them, or all if there is none. */
export function eligibleOwners<M extends { workersUnreachable: boolean }>(
  members: readonly M[],
): readonly M[] {
  const reached = members.filter((member) => !member.workersUnreachable);
  return reached.length > 0 ? reached : members;
}

/**
 * Shards that get a new owner: all that have no living one; if there are none, at most one shard of a member above its
 * target goes to a member below its own.
 */
export function planShardAssignments(input: ShardAssignmentInput): ShardAssignment[] {
  if (input.members.length === 0) return [];
  const plan = new ShardPlan(input);
  const assignments = plan.assignOrphans();
  if (assignments.length > 0) return assignments;
  const transfer = plan.rebalance();
  return transfer ? [transfer] : [];
}

/** The shards of each member while an assignment is planned. */
class ShardPlan {
  private readonly members: readonly AssignableMember[];
  private readonly targets: ReadonlyMap<string, number>;
  private readonly ownedShards: Map<string, number[]>;
  /** Shards without a living owner that keeps them. */
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

  /** Moves one shard from the member furthest above its target to the one furthest below, if both are by one or more. */
  rebalance(): ShardAssignment | null {
    const names = [...this.ownedShards.keys()];
    const [receiver] = this.byDeficit(names);
    const [donor] = this.bySurplus(names);
    if (receiver === undefined || donor === undefined) return null;
    const shard = this.ownedShards.get(donor)?.at(-1);
    if (shard === undefined || !this.candidatesFor(shard).includes(receiver)) return null;
    return this.deficit(receiver) >= 1 && this.deficit(donor) <= -1 ? { shard, member: receiver } : null;
  }

  /** The very process that owns the shard is still a member, and does not give it up. */
  private keepsShard(owner: ShardHolder, shard: number): boolean {
    return this.members.some(
      (member) =>
        member.member === owner.member && member.nonce === owner.nonce && !hasResignedShard(member, shard),
    );
  }

  /** Members that may get the shard: all but those that give it up, unless that is everybody. */
  private candidatesFor(shard: number): string[] {
    const candidates = this.members.filter((member) => !hasResignedShard(member, shard));
    return candidates.length > 0 ? candidates.map(({ member }) => member) : [...this.ownedShards.keys()];
  }

  /** Number of shards that the member is below its target; negative above it. */
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
