import { OWN_CAPABILITIES } from './capabilities.js';
import { capabilityKey, LEADER_KEY, memberKey, ownershipKey } from './keys.js';
import type { Logger } from './logger.js';
import type { LeaseHolder, MemberStatus, ShardOwner } from './members.js';
import type { Replica } from './replica.js';
import { encodeHolder } from './stored/holder-codec.js';
import { encodeCapabilities, encodeMember } from './stored/member-codec.js';
import { type RoleHolder, type RoleName, RoleRegistry } from '#roles';
import { type StoreClient, StoreError } from '#store';
import { type Clock, type Count, type WireFields, type Micros, MS, SECOND, sleep } from '#wire';

export type MembershipState = 'outside' | 'joining' | 'member' | 'stopped';

/** How long a member outlives its last sign of life. */
const LIFE: Micros = 3 * SECOND;
const RENEW: Micros = 800 * MS;
const RETRY: Micros = 250 * MS;
/** How long a joining whose outcome is unknown is waited for. */
const PATIENCE: Micros = 2 * SECOND;

/**
 * A node's standing in the cluster. All it holds (its member key, the lead, its shares) hangs on one grant,
 * so all of it ends together when the node does.
 */
export class Membership {
  state: MembershipState = 'outside';
  /** The right to act for what this process holds. */
  readonly roles: RoleRegistry;
  private memberLease: { nonce: string; leaseId: Count; at: Micros } | null = null;
  private count = 0;
  private campaigning = false;
  /** Until then another member is to have the lead. */
  private candidacyWithdrawnUntil: Micros = -Infinity;
  private status: MemberStatus = { unreachable: [], workersUnreachable: false, resignedShards: [] };
  private publishing = false;

  constructor(
    private readonly member: string,
    private readonly zone: string,
    /** Tells this start of the process from every other, so an earlier one's keys aren't taken for ours. */
    private readonly incarnation: string,
    private readonly store: StoreClient,
    private readonly replica: Replica,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly log: Logger,
  ) {
    this.roles = new RoleRegistry({
      source: {
        holders: () => holdersIn(replica),
        isOurs: (nonce) => this.isOurs(nonce),
      },
      clock,
      keyOf: ownershipKey,
      leaseLife: LIFE,
    });
    replica.onChange(() => {
      this.observe();
    });
  }

  /** The lead if this very process holds it. */
  ownLeaderLease(): LeaseHolder | null {
    const { leader: lead } = this.replica;
    return lead && this.isOurs(lead.nonce) ? lead : null;
  }

  /** The shares that this very process owns. */
  ownedShards(): Map<number, ShardOwner> {
    return new Map([...this.replica.shardOwners].filter(([, owner]) => this.isOurs(owner.nonce)));
  }

  /** Tells the others what changed of this node, if its record doesn't say so yet. */
  async publishStatus(change: Partial<MemberStatus>): Promise<void> {
    this.status = { ...this.status, ...change };
    const memberRecord = this.replica.members.get(this.member);
    // Compared with the record as it stands: a commit that failed is made good the next time.
    if (this.publishing || !this.memberLease || !memberRecord || !this.isOurs(memberRecord.nonce)) return;
    if (isSameNotes(memberRecord, this.status)) return;
    this.publishing = true;
    this.log.info(this.status, 'member record changes');
    const { leaseId } = this.memberLease;
    const result = await this.store.compareAndSwap(
      [{ path: memberKey(this.member), revision: memberRecord.revision }],
      [{ set: memberKey(this.member), value: this.memberRecord(this.memberLease), leaseId }],
    );
    if (result.kind === 'applied') await this.replica.waitForRevision(result.epoch, SECOND);
    this.publishing = false;
  }

  /** Leaves the lead to others for a while, as after handing it over. */
  withdrawCandidacy(duration: Micros): void {
    this.candidacyWithdrawnUntil = this.clock.now() + duration;
  }

  /** The shares that this node is giving up. */
  get resignedShards(): readonly number[] {
    return this.status.resignedShards;
  }

  /** Gives up all that this process holds, at once and for good: its grant ends, and with it every key that hangs on it. */
  async retire(): Promise<void> {
    const leaseId = this.memberLease?.leaseId;
    this.memberLease = null;
    this.enter('stopped');
    this.roles.refresh();
    if (leaseId !== undefined) await this.store.revokeLease(leaseId).catch(() => undefined);
  }

  stop(): void {
    this.enter('stopped');
  }

  async run(): Promise<void> {
    while (!this.isStopped()) {
      try {
        if (this.memberLease) await this.keepLease(this.memberLease);
        else if (this.replica.state === 'following') await this.join();
      } catch (cause) {
        // In an outage grants don't run out; on a lone 503 a 404 later tells that ours has.
        if (!(cause instanceof StoreError)) throw cause;
      }
      await sleep(this.clock, this.state === 'member' ? RENEW : RETRY);
    }
  }

  private isStopped(): boolean {
    return this.state === 'stopped';
  }

  private isOurs(nonce: string): boolean {
    return this.state === 'member' && nonce === this.memberLease?.nonce;
  }

  private memberRecord({ nonce, leaseId }: { nonce: string; leaseId: Count }): WireFields {
    const { zone, status: notes } = this;
    return encodeMember({ nonce, zone, leaseId, notes, capabilities: OWN_CAPABILITIES });
  }

  private async join(): Promise<void> {
    const sentAt = this.clock.now();
    const leaseId = await this.store.createLease(LIFE);
    this.roles.onLeaseRenewed(sentAt);
    this.memberLease = { nonce: `${this.incarnation}.${++this.count}`, leaseId, at: this.clock.now() };
    this.enter('joining');
    // Only one process of a member runs at a time: an earlier one's record can be replaced, never disturbed.
    const old = this.replica.members.get(this.member);
    const result = await this.store.compareAndSwap(
      [{ path: memberKey(this.member), revision: old?.revision ?? 0 }],
      [{ set: memberKey(this.member), value: this.memberRecord(this.memberLease), leaseId }],
    );
    if (result.kind !== 'applied' && result.kind !== 'unknown') await this.leave();
  }

  private async keepLease(standing: { nonce: string; leaseId: Count; at: Micros }): Promise<void> {
    const sentAt = this.clock.now();
    if (!(await this.store.renewLease(standing.leaseId))) {
      this.memberLease = null;
      this.enter('outside');
      this.roles.refresh();
      return;
    }
    this.roles.onLeaseRenewed(sentAt);
    if (this.state === 'joining' && this.clock.now() > standing.at + PATIENCE) {
      // The commit's answer was lost. Once its grant is gone it can't be applied any more.
      await this.leave();
    } else if (this.state === 'member') {
      this.campaign();
      await this.announceCapabilities();
    }
  }

  /** Lays down what this version understands where it outlives the process, if it isn't there yet. */
  private async announceCapabilities(): Promise<void> {
    const memberRecord = this.replica.members.get(this.member);
    const announced = this.replica.capabilities.get(this.member);
    if (!memberRecord || !this.isOurs(memberRecord.nonce)) return;
    if (OWN_CAPABILITIES.every((capability) => announced?.has(capability))) return;
    // Guarded by this process's own record: a late commit can't speak for a later process.
    await this.store.compareAndSwap(
      [{ path: memberKey(this.member), revision: memberRecord.revision }],
      [{ set: capabilityKey(this.member), value: encodeCapabilities(OWN_CAPABILITIES) }],
    );
  }

  private async leave(): Promise<void> {
    const leaseId = this.memberLease?.leaseId;
    this.memberLease = null;
    this.enter('outside');
    if (leaseId !== undefined) await this.store.revokeLease(leaseId).catch(() => undefined);
  }

  private observe(): void {
    const memberRecord = this.replica.members.get(this.member);
    const owned = memberRecord !== undefined && memberRecord.nonce === this.memberLease?.nonce;
    if (this.state === 'joining' && owned) {
      this.enter('member');
    } else if (this.state === 'member' && !owned && this.replica.state === 'following') {
      void this.leave();
    }
    this.roles.refresh();
    if (this.state === 'member') this.campaign();
  }

  /** The lead is free, or held by an earlier start of this very member, which is gone for certain. */
  private isLeaderVacant(): boolean {
    const { leader: lead } = this.replica;
    return !lead || (lead.member === this.member && !this.isOurs(lead.nonce));
  }

  private campaign(): void {
    if (this.campaigning || !this.isLeaderVacant() || this.clock.now() < this.candidacyWithdrawnUntil) return;
    this.campaigning = true;
    void this.tryAcquireLeadership().finally(() => {
      this.campaigning = false;
    });
  }

  private async tryAcquireLeadership(): Promise<void> {
    await sleep(this.clock, Math.floor(this.random() * 100) * MS);
    const { memberLease: standing } = this;
    if (!standing || this.state !== 'member' || !this.isLeaderVacant()) return;
    this.roles.beginAcquisition('lead');
    const value = encodeHolder({ member: this.member, nonce: standing.nonce });
    const result = await this.store.compareAndSwap(
      [{ path: LEADER_KEY, revision: this.replica.leader?.revision ?? 0 }],
      [{ set: LEADER_KEY, value, leaseId: standing.leaseId }],
    );
    if (result.kind === 'applied') this.log.info({ nonce: standing.nonce }, 'leading');
    else {
      this.roles.acquisitionFailed('lead');
      await sleep(this.clock, RETRY);
    }
  }

  private enter(state: MembershipState): void {
    if (this.state === state || this.state === 'stopped') return;
    this.log.info({ from: this.state, to: state }, 'membership');
    this.state = state;
  }
}

function isSameNotes(a: MemberStatus, b: MemberStatus): boolean {
  return (
    a.unreachable.join() === b.unreachable.join() &&
    a.workersUnreachable === b.workersUnreachable &&
    a.resignedShards.join() === b.resignedShards.join()
  );
}

/** Who holds which duty, as this copy of the state says. */
function holdersIn({ leader: lead, shardOwners: owners }: Replica): Map<RoleName, RoleHolder> {
  const holders = new Map<RoleName, RoleHolder>();
  if (lead) holders.set('lead', holderOf(lead));
  for (const [shard, owner] of owners) holders.set(shard, holderOf(owner));
  return holders;
}

function holderOf({ member, nonce, revision }: LeaseHolder): RoleHolder {
  return { member, nonce, term: revision };
}
