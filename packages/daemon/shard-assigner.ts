/** Assigns shards to the members of the cluster: the part of the leader that writes the owner records. */
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

/** Least time between two assignments while every shard has a living owner. */
const REBALANCE_INTERVAL: Micros = 3 * SECOND;

/** What a shard assigner works with. */
export interface ShardAssignerOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly store: FencedStore;
  readonly replica: Replica;
  readonly writeLimits: WriteLimits;
  readonly log: Logger;
}

/**
 * Gives shards without a living owner a new one, and evens out how many shards the members own. Every assignment
 * raises the fencing token in the same transaction, so that an earlier owner of the shard is fenced off.
 */
export class ShardAssigner {
  private assignedAt: Micros = -Infinity;
  private isAssigning = false;

  constructor(private readonly options: ShardAssignerOptions) {}

  /** Forgets the time of the last assignment, which another leader may have followed up since. */
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
    // Operators see the name of the action in the reason of a refusal.
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

  /** What to assign now, as much as one transaction holds; null if nothing has to change yet. */
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
    const isResting = clock.now() - this.assignedAt < REBALANCE_INTERVAL;
    if (plan.length === 0 || (!isUrgent && isResting)) return null;
    // The fencing token takes one operation of the transaction.
    return plan.slice(0, writeLimits.txnOps - 1);
  }

  /** Nobody serves the shard: its owner is gone, was restarted, or has resigned from it. */
  private isOrphaned(shard: number, members: readonly Member[]): boolean {
    const owner = this.options.replica.shardOwners.get(shard);
    const holder = members.find((m) => m.member === owner?.member && m.nonce === owner.nonce);
    return !holder || holder.resignedShards.includes(shard);
  }

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
   * Weight of each member during a network partition: the CPUs of the machines that it can reach, each divided
   * among all members that reach it. Empty, for equal weights, while there is no partition.
   */
  private weights(): Map<string, number> {
    const { replica } = this.options;
    const weights = new Map<string, number>();
    const reachability = new ZoneReachability(replica);
    if (!reachability.hasPartition) return weights;
    const members = [...replica.members.keys()];
    for (const { machineType, zone } of replica.ledger.machines.values()) {
      const cpus = replica.machineTypes.get(machineType)?.cpus ?? 1;
      const reaching = members.filter((member) => reachability.canReach(member, zone));
      for (const member of reaching) {
        weights.set(member, (weights.get(member) ?? 0) + cpus / reaching.length);
      }
    }
    return weights;
  }
}
