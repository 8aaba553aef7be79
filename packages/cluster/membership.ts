/**
 * A node's membership in the cluster: the lease that all its keys are bound to, its member record and its announced
 * capabilities. Joining, renewing and leaving form a state machine, see {@link MembershipState}.
 */
import { OWN_CAPABILITIES } from './capabilities.js';
import { capabilityKey, LEADER_KEY, memberKey, ownershipKey } from './keys.js';
import { LeaderElection } from './leader-election.js';
import type { Logger } from './logger.js';
import { MemberStatusPublisher, type OwnMemberRecord } from './member-status.js';
import type { LeaseHolder, MemberLease, MemberStatus, ShardOwner } from './members.js';
import type { Replica } from './replica.js';
import { encodeLeader } from './stored/holder-codec.js';
import { encodeCapabilities, encodeMember } from './stored/member-codec.js';
import { type RoleHolder, type RoleName, RoleRegistry } from '#roles';
import { type CommitResult, type StoreClient, StoreError } from '#store';
import { type Clock, type Micros, MS, SECOND, sleep } from '#wire';

/**
 * `outside`: without a lease. `joining`: the member record is written, and not seen yet. `member`: the replica shows
 * the record. `stopped`: for good.
 */
export type MembershipState = 'outside' | 'joining' | 'member' | 'stopped';

/** How long a lease outlives its last renewal. */
const LEASE_LIFE: Micros = 3 * SECOND;
const RENEW_INTERVAL: Micros = 800 * MS;
const RETRY_INTERVAL: Micros = 250 * MS;
/** How long a join whose outcome is unknown is waited for. */
const JOIN_TIMEOUT: Micros = 2 * SECOND;

/** What a {@link Membership} works with. */
export interface MembershipOptions {
  readonly member: string;
  readonly zone: string;
  /** Distinguishes this start of the process from every other, so that an earlier one's keys aren't taken for ours. */
  readonly incarnation: string;
  readonly store: StoreClient;
  readonly replica: Replica;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
}

/**
 * A node's membership. All that the node holds (its member key, the leadership, its shards) is bound to one lease, so
 * that all of it ends together when the node does.
 */
export class Membership {
  state: MembershipState = 'outside';
  /** The right to act for what this process holds. */
  readonly roles: RoleRegistry;
  private readonly election: LeaderElection;
  private readonly statusPublisher: MemberStatusPublisher;
  private lease: MemberLease | null = null;
  private joinCount = 0;

  constructor(private readonly options: MembershipOptions) {
    const { member, replica, clock, random, log } = options;
    this.roles = this.createRoleRegistry();
    this.election = new LeaderElection({
      member,
      replica,
      roles: this.roles,
      clock,
      random,
      log,
      activeLease: () => (this.state === 'member' ? this.lease : null),
      writeLeader: (lease, revision) => this.writeLeader(lease, revision),
    });
    this.statusPublisher = new MemberStatusPublisher({
      replica,
      log,
      ownRecord: () => this.ownRecord(),
      replaceRecord: ({ lease, record }) => this.writeRecord(lease, record.revision),
    });
    replica.onChange(() => {
      this.observe();
    });
  }

  /** The leader key if this very process holds it. */
  ownLeaderLease(): LeaseHolder | null {
    const { leader } = this.options.replica;
    return leader && this.isOurs(leader.nonce) ? leader : null;
  }

  /** The shards that this very process owns. */
  ownedShards(): Map<number, ShardOwner> {
    const owners = this.options.replica.shardOwners;
    return new Map([...owners].filter(([, owner]) => this.isOurs(owner.nonce)));
  }

  /** Changes the status that other nodes see of this one; see {@link MemberStatusPublisher.publish}. */
  publishStatus(change: Partial<MemberStatus>): Promise<void> {
    return this.statusPublisher.publish(change);
  }

  /** Leaves the leadership to other members for this long, as after resigning it. */
  withdrawCandidacy(duration: Micros): void {
    this.election.withdraw(duration);
  }

  /** The shards that this node is giving up. */
  get resignedShards(): readonly number[] {
    return this.statusPublisher.status.resignedShards;
  }

  /** Gives up all that this process holds, at once and for good: revoking its lease deletes every key bound to it. */
  async retire(): Promise<void> {
    const leaseId = this.lease?.leaseId;
    this.lease = null;
    this.enter('stopped');
    this.roles.refresh();
    if (leaseId !== undefined) await this.options.store.revokeLease(leaseId).catch(() => undefined);
  }

  /** Ends {@link run} without giving anything up: the lease runs out by itself. */
  stop(): void {
    this.enter('stopped');
  }

  /** Joins the cluster and stays in it until stopped. Rejects only on errors other than a {@link StoreError}. */
  async run(): Promise<void> {
    while (!this.isStopped()) {
      try {
        if (this.lease) await this.keepLease(this.lease);
        else if (this.options.replica.state === 'following') await this.join();
      } catch (cause) {
        // In an outage leases don't run out; after a lone 503 a later 404 shows that ours has.
        if (!(cause instanceof StoreError)) throw cause;
      }
      await sleep(this.options.clock, this.state === 'member' ? RENEW_INTERVAL : RETRY_INTERVAL);
    }
  }

  private createRoleRegistry(): RoleRegistry {
    const { replica, clock } = this.options;
    const source = {
      holders: () => roleHolders(replica),
      isOurs: (nonce: string) => this.isOurs(nonce),
    };
    return new RoleRegistry({ source, clock, keyOf: ownershipKey, leaseLife: LEASE_LIFE });
  }

  private isStopped(): boolean {
    return this.state === 'stopped';
  }

  private isOurs(nonce: string): boolean {
    return this.state === 'member' && nonce === this.lease?.nonce;
  }

  /** The member record of this very process, as the replica shows it; null while there is none. */
  private ownRecord(): OwnMemberRecord | null {
    const { lease } = this;
    const record = this.options.replica.members.get(this.options.member);
    return lease && record && this.isOurs(record.nonce) ? { lease, record } : null;
  }

  private async join(): Promise<void> {
    const { store, replica, clock, member, incarnation } = this.options;
    const sentAt = clock.now();
    const leaseId = await store.createLease(LEASE_LIFE);
    this.roles.onLeaseRenewed(sentAt);
    this.lease = { nonce: `${incarnation}.${++this.joinCount}`, leaseId, createdAt: clock.now() };
    this.enter('joining');
    // Only one process of a member runs at a time: the record of an earlier one may be replaced.
    const result = await this.writeRecord(this.lease, replica.members.get(member)?.revision ?? 0);
    if (result.kind !== 'applied' && result.kind !== 'unknown') await this.leave();
  }

  private async keepLease(lease: MemberLease): Promise<void> {
    const { store, clock } = this.options;
    const sentAt = clock.now();
    if (!(await store.renewLease(lease.leaseId))) {
      this.lease = null;
      this.enter('outside');
      this.roles.refresh();
      return;
    }
    this.roles.onLeaseRenewed(sentAt);
    if (this.state === 'joining' && clock.now() > lease.createdAt + JOIN_TIMEOUT) {
      // The commit's answer was lost. Once its lease is gone the commit can't be applied any more.
      await this.leave();
    } else if (this.state === 'member') {
      this.election.campaign();
      await this.announceCapabilities();
    }
  }

  /** Writes what this version understands to a key that outlives the process, if it isn't there yet. */
  private async announceCapabilities(): Promise<void> {
    const { store, replica, member } = this.options;
    const announced = replica.capabilities.get(member);
    const own = this.ownRecord();
    if (!own || OWN_CAPABILITIES.every((capability) => announced?.has(capability))) return;
    // Guarded by this process's own record: a late commit can't announce for a later process.
    await store.compareAndSwap(
      [{ path: memberKey(member), revision: own.record.revision }],
      [{ set: capabilityKey(member), value: encodeCapabilities(OWN_CAPABILITIES) }],
    );
  }

  private async leave(): Promise<void> {
    const leaseId = this.lease?.leaseId;
    this.lease = null;
    this.enter('outside');
    if (leaseId !== undefined) await this.options.store.revokeLease(leaseId).catch(() => undefined);
  }

  /** Follows a change of the replica. */
  private observe(): void {
    const { replica, member } = this.options;
    const record = replica.members.get(member);
    const isOwnRecord = record !== undefined && record.nonce === this.lease?.nonce;
    if (this.state === 'joining' && isOwnRecord) {
      this.enter('member');
    } else if (this.state === 'member' && !isOwnRecord && replica.state === 'following') {
      void this.leave();
    }
    this.roles.refresh();
    if (this.state === 'member') this.election.campaign();
  }

  /** Writes the member record of this process with its present status, over the record of this revision. */
  private writeRecord(
    { nonce, leaseId }: Pick<MemberLease, 'nonce' | 'leaseId'>,
    revision: number,
  ): Promise<CommitResult> {
    const { store, member, zone } = this.options;
    const notes = this.statusPublisher.status;
    const value = encodeMember({ nonce, zone, leaseId, notes, capabilities: OWN_CAPABILITIES });
    return store.compareAndSwap(
      [{ path: memberKey(member), revision }],
      [{ set: memberKey(member), value, leaseId }],
    );
  }

  private writeLeader({ nonce, leaseId }: MemberLease, revision: number): Promise<CommitResult> {
    const { store, member } = this.options;
    const value = encodeLeader({ member, nonce });
    return store.compareAndSwap([{ path: LEADER_KEY, revision }], [{ set: LEADER_KEY, value, leaseId }]);
  }

  private enter(state: MembershipState): void {
    if (this.state === state || this.state === 'stopped') return;
    this.options.log.info({ from: this.state, to: state }, 'membership changed');
    this.state = state;
  }
}

/** Who holds which role, according to this replica. */
function roleHolders({ leader, shardOwners }: Replica): Map<RoleName, RoleHolder> {
  const holders = new Map<RoleName, RoleHolder>();
  if (leader) holders.set('lead', roleHolder(leader));
  for (const [shard, owner] of shardOwners) holders.set(shard, roleHolder(owner));
  return holders;
}

function roleHolder({ member, nonce, revision }: LeaseHolder): RoleHolder {
  return { member, nonce, term: revision };
}
