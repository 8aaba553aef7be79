/** Assigns shards to the members of the cluster. Only the leader does so, by writing the owner records. */
import {
  eligibleOwners,
  encodeShardOwner,
  encodeFencingToken,
  FENCING_TOKEN_KEY,
  type Logger,
  type Member,
  planShardAssignments,
  type Replica,
  type ShardAssignment,
  shardKey,
  UNREADABLE_FENCING_TOKEN,
} from '#cluster';
import type { FencedStore, TermProof } from '#roles';
import type { Settings } from '#settings';
import { type Guard, isTooLarge, type Write, type WriteLimits } from '#store';
import { type Clock, type Micros, SECOND } from '#wire';
import { ZoneReachability } from './zone-reachability.js';

/** Minimum time between two assignments while every shard has a live owner. */
const REBALANCE_INTERVAL: Micros = 3 * SECOND;

/** Dependencies of {@link ShardAssigner}. */
export interface ShardAssignerOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly store: FencedStore;
  readonly replica: Replica;
  readonly writeLimits: WriteLimits;
  readonly log: Logger;
}

/**
 * Assigns new owners to shards without a live owner, and balances the number of shards among the members. Every
 * assignment raises the fencing token in the same transaction, so that an earlier owner of the shard is fenced.
 */
export class ShardAssigner {
  private assignedAt: Micros = -Infinity;
  private isAssigning = false;

  constructor(private readonly options: ShardAssignerOptions) {}

  /** Clears the time of the last assignment: another leader may have assigned shards since. */
  beginTerm(): void {
    this.assignedAt = -Infinity;
  }

  /** Writes the assignments that are due, if any. Does nothing while an earlier call is still writing. */
  async assign(termProof: TermProof): Promise<void> {
    const { replica, store, writeLimits, log, clock } = this.options;
    if (this.isAssigning || replica.fencingToken.value === UNREADABLE_FENCING_TOKEN) return;
    const assignments = this.dueAssignments();
    if (!assignments) return;
    this.isAssigning = true;
    this.assignedAt = clock.now();
    const fencingToken = replica.fencingToken.value + 1;
    const guards = this.guards(assignments);
    const writes = this.writes(assignments, fencingToken);
    // The name of the action is part of the refusals that operators are shown, so it must not change.
    const result = await store.compareAndSwap({
      proofs: [termProof],
      action: 'deal shares',
      guards,
      writes,
    });
    if (result.kind === 'applied') {
      await replica.waitForRevision(result.revision, SECOND);
      const owners = Object.fromEntries(assignments.map(({ shard, member }) => [shard, member]));
      log.info({ fencingToken, owners }, 'shards assigned');
    }
    if (isTooLarge(result)) writeLimits.shrink();
    this.isAssigning = false;
  }

  /** Returns the assignments to write now, as many as fit one transaction; null if none are due. */
  private dueAssignments(): readonly ShardAssignment[] | null {
    const { replica, settings, writeLimits, clock } = this.options;
    const members = eligibleOwners([...replica.members.values()]);
    const plan = planShardAssignments({
      shardCount: settings.initialSize,
      owners: replica.shardOwners,
      members,
      weights: this.weights(),
    });
    const isUrgent = plan.some(({ shard }) => this.isOrphaned(shard, members));
    const isInCooldown = clock.now() - this.assignedAt < REBALANCE_INTERVAL;
    if (plan.length === 0 || (!isUrgent && isInCooldown)) return null;
    // The fencing token takes one operation of the transaction.
    return plan.slice(0, writeLimits.txnOps - 1);
  }

  /** True if no member serves the shard: its owner is gone, was restarted, or has resigned the shard. */
  private isOrphaned(shard: number, members: readonly Member[]): boolean {
    const owner = this.options.replica.shardOwners.get(shard);
    const holder = members.find(
      (candidate) => candidate.member === owner?.member && candidate.nonce === owner.nonce,
    );
    return !holder || holder.resignedShards.includes(shard);
  }

  /** Returns the conditions of the transaction: the fencing token and the owner records are unchanged. */
  private guards(assignments: readonly ShardAssignment[]): Guard[] {
    const { fencingToken, shardOwners } = this.options.replica;
    return [
      { path: FENCING_TOKEN_KEY, revision: fencingToken.revision },
      ...assignments.map(({ shard }) => ({
        path: shardKey(shard),
        revision: shardOwners.get(shard)?.revision ?? 0,
      })),
    ];
  }

  /** Returns the writes of the new fencing token and of the owner records, each under its member's lease. */
  private writes(assignments: readonly ShardAssignment[], fencingToken: number): Write[] {
    const writes: Write[] = [{ set: FENCING_TOKEN_KEY, value: encodeFencingToken(fencingToken) }];
    for (const { shard, member } of assignments) {
      const memberRecord = this.options.replica.members.get(member);
      if (!memberRecord) continue;
      const value = encodeShardOwner({ member, nonce: memberRecord.nonce, token: fencingToken });
      writes.push({ set: shardKey(shard), value, leaseId: memberRecord.leaseId });
    }
    return writes;
  }

  /**
   * Returns the weight of each member during a network partition: the CPUs of the machines that it can reach, with
   * each machine divided among all members that reach it. Empty, which means equal weights, without a partition.
   */
  private weights(): Map<string, number> {
    const { replica } = this.options;
    const weights = new Map<string, number>();
    const reachability = new ZoneReachability(replica);
    if (!reachability.hasPartition) return weights;
    const members = [...replica.members.keys()];
    for (const { machineType, zone } of replica.ledger.machines.values()) {
      const cpus = replica.machineTypes.get(machineType)?.cpus ?? 1;
      const reachingMembers = members.filter((member) => reachability.canReach(member, zone));
      for (const member of reachingMembers) {
        weights.set(member, (weights.get(member) ?? 0) + cpus / reachingMembers.length);
      }
    }
    return weights;
  }
}
