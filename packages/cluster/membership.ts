/**
 * A node's membership in the cluster: the lease that all its keys are bound to, its member record and its announced
 * capabilities. Joining, renewing and leaving form a state machine; see {@link MembershipState}.
 */
import { SUPPORTED_CAPABILITIES } from './capabilities.js';
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
 * `outside`: the node has no lease. `joining`: the node has a lease and writes its member record, which the replica
 * does not show yet. `member`: the replica shows the record. `stopped`: final.
 */
export type MembershipState = 'outside' | 'joining' | 'member' | 'stopped';

/** Time from the last renewal of a lease to its expiry. */
const LEASE_DURATION: Micros = 3 * SECOND;
const RENEW_INTERVAL: Micros = 800 * MS;
const RETRY_INTERVAL: Micros = 250 * MS;
/** Time after which a join whose outcome is unknown is abandoned. */
const JOIN_TIMEOUT: Micros = 2 * SECOND;

/** Dependencies of {@link Membership}. */
export interface MembershipOptions {
  readonly member: string;
  readonly zone: string;
  /** Unique to this run of the process, so that keys of an earlier run are not mistaken for its own. */
  readonly incarnation: string;
  readonly store: StoreClient;
  readonly replica: Replica;
  readonly clock: Clock;
  /** Returns a random number, uniform in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
}

/**
 * A node's membership. The member key, the leadership and the shards of the node are bound to one lease, so that all of
 * them end together when the node fails.
 */
export class Membership {
  state: MembershipState = 'outside';
  /** The roles of this process, and its right to act under them. */
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
      this.onReplicaChange();
    });
  }

  /** Returns the leader key's holder if it is this process, or else null. */
  ownLeaderLease(): LeaseHolder | null {
    const { leader } = this.options.replica;
    return leader && this.isOwnNonce(leader.nonce) ? leader : null;
  }

  /** Returns the shards that this process owns. An earlier process of the same member does not count. */
  ownedShards(): Map<number, ShardOwner> {
    const owners = this.options.replica.shardOwners;
    return new Map([...owners].filter(([, owner]) => this.isOwnNonce(owner.nonce)));
  }

  /** Changes the published status of this node; see {@link MemberStatusPublisher.publish}. */
  publishStatus(change: Partial<MemberStatus>): Promise<void> {
    return this.statusPublisher.publish(change);
  }

  /** Stops campaigning for the leadership for this duration, for example after resigning it. */
  withdrawCandidacy(duration: Micros): void {
    this.election.withdraw(duration);
  }

  /** The shards that this node has resigned. */
  get resignedShards(): readonly number[] {
    return this.statusPublisher.status.resignedShards;
  }

  /** Stops the membership and revokes the lease, which deletes all keys of this process at once. */
  async retire(): Promise<void> {
    const leaseId = this.lease?.leaseId;
    this.lease = null;
    this.transitionTo('stopped');
    this.roles.refresh();
    if (leaseId !== undefined) await this.options.store.revokeLease(leaseId).catch(() => undefined);
  }

  /** Makes {@link run} return without revoking the lease, which then expires by itself. */
  stop(): void {
    this.transitionTo('stopped');
  }

  /** Joins the cluster and stays a member until stopped. Rejects only on errors other than {@link StoreError}. */
  async run(): Promise<void> {
    while (!this.isStopped()) {
      try {
        if (this.lease) await this.renewLease(this.lease);
        else if (this.options.replica.state === 'following') await this.join();
      } catch (cause) {
        // Leases don't expire during an outage of the state service. If this lease expires after a single 503, a later
        // renewal is answered with 404.
        if (!(cause instanceof StoreError)) throw cause;
      }
      await sleep(this.options.clock, this.state === 'member' ? RENEW_INTERVAL : RETRY_INTERVAL);
    }
  }

  private createRoleRegistry(): RoleRegistry {
    const { replica, clock } = this.options;
    const source = {
      holders: () => roleHolders(replica),
      isOurs: (nonce: string) => this.isOwnNonce(nonce),
    };
    return new RoleRegistry({ source, clock, keyOf: ownershipKey, leaseDuration: LEASE_DURATION });
  }

  private isStopped(): boolean {
    return this.state === 'stopped';
  }

  private isOwnNonce(nonce: string): boolean {
    return this.state === 'member' && nonce === this.lease?.nonce;
  }

  /** Returns the member record of this process as the replica shows it, or null while there is none. */
  private ownRecord(): OwnMemberRecord | null {
    const { lease } = this;
    const record = this.options.replica.members.get(this.options.member);
    return lease && record && this.isOwnNonce(record.nonce) ? { lease, record } : null;
  }

  private async join(): Promise<void> {
    const { store, replica, clock, member, incarnation } = this.options;
    const sentAt = clock.now();
    const leaseId = await store.createLease(LEASE_DURATION);
    this.roles.onLeaseRenewed(sentAt);
    this.lease = { nonce: `${incarnation}.${++this.joinCount}`, leaseId, createdAt: clock.now() };
    this.transitionTo('joining');
    // Only one process of a member runs at a time, so the record of an earlier process may be replaced.
    const result = await this.writeRecord(this.lease, replica.members.get(member)?.revision ?? 0);
    if (result.kind !== 'applied' && result.kind !== 'unknown') await this.leave();
  }

  private async renewLease(lease: MemberLease): Promise<void> {
    const { store, clock } = this.options;
    const sentAt = clock.now();
    if (!(await store.renewLease(lease.leaseId))) {
      this.lease = null;
      this.transitionTo('outside');
      this.roles.refresh();
      return;
    }
    this.roles.onLeaseRenewed(sentAt);
    if (this.state === 'joining' && clock.now() > lease.createdAt + JOIN_TIMEOUT) {
      // The answer to the commit was lost. Once the lease is revoked, the commit can no longer be applied.
      await this.leave();
    } else if (this.state === 'member') {
      this.election.campaign();
      await this.announceCapabilities();
    }
  }

  /** Writes the capabilities of this version to a key that outlives the process, unless the key has them already. */
  private async announceCapabilities(): Promise<void> {
    const { store, replica, member } = this.options;
    const announcedCapabilities = replica.capabilities.get(member);
    const ownRecord = this.ownRecord();
    if (!ownRecord || SUPPORTED_CAPABILITIES.every((capability) => announcedCapabilities?.has(capability)))
      return;
    // The guard on this process's record prevents a delayed commit from announcing for a later process.
    await store.compareAndSwap(
      [{ path: memberKey(member), revision: ownRecord.record.revision }],
      [{ set: capabilityKey(member), value: encodeCapabilities(SUPPORTED_CAPABILITIES) }],
    );
  }

  private async leave(): Promise<void> {
    const leaseId = this.lease?.leaseId;
    this.lease = null;
    this.transitionTo('outside');
    if (leaseId !== undefined) await this.options.store.revokeLease(leaseId).catch(() => undefined);
  }

  /** Updates the membership state and the roles after a change of the replica. */
  private onReplicaChange(): void {
    const { replica, member } = this.options;
    const record = replica.members.get(member);
    const isOwnRecord = record !== undefined && record.nonce === this.lease?.nonce;
    if (this.state === 'joining' && isOwnRecord) {
      this.transitionTo('member');
    } else if (this.state === 'member' && !isOwnRecord && replica.state === 'following') {
      void this.leave();
    }
    this.roles.refresh();
    if (this.state === 'member') this.election.campaign();
  }

  /** Writes the member record of this process with its current status, replacing the record of this revision. */
  private writeRecord(
    { nonce, leaseId }: Pick<MemberLease, 'nonce' | 'leaseId'>,
    revision: number,
  ): Promise<CommitResult> {
    const { store, member, zone } = this.options;
    const status = this.statusPublisher.status;
    const value = encodeMember({ nonce, zone, leaseId, status, capabilities: SUPPORTED_CAPABILITIES });
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

  private transitionTo(state: MembershipState): void {
    if (this.state === state || this.state === 'stopped') return;
    this.options.log.info({ from: this.state, to: state }, 'membership changed');
    this.state = state;
  }
}

/** Returns the holder of each role that the replica shows as held. */
function roleHolders({ leader, shardOwners }: Replica): Map<RoleName, RoleHolder> {
  const holders = new Map<RoleName, RoleHolder>();
  if (leader) holders.set('lead', roleHolder(leader));
  for (const [shard, owner] of shardOwners) holders.set(shard, roleHolder(owner));
  return holders;
}

function roleHolder({ member, nonce, revision }: LeaseHolder): RoleHolder {
  return { member, nonce, term: revision };
}
