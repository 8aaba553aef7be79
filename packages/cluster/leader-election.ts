/** A member's campaign for the leadership: one compare-and-swap on the leader key whenever no member holds it. */
import type { Logger } from './logger.js';
import type { MemberLease } from './members.js';
import type { Replica } from './replica.js';
import type { RoleRegistry } from '#roles';
import type { CommitResult } from '#store';
import { type Clock, type Micros, MS, sleep } from '#wire';

/** Upper bound of the random delay before a campaign, in milliseconds. The delay makes collisions rare. */
const MAX_CAMPAIGN_DELAY_MS = 100;
/** Delay after a failed campaign. */
const RETRY_DELAY: Micros = 250 * MS;

/** Dependencies of {@link LeaderElection}. */
export interface LeaderElectionOptions {
  readonly member: string;
  readonly replica: Replica;
  readonly roles: RoleRegistry;
  readonly clock: Clock;
  /** Returns a random number, uniform in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
  /** Returns the lease to campaign under, or null unless this process is a member. */
  readonly activeLease: () => MemberLease | null;
  /** Writes the leader key under this lease, guarded by the revision at which the key was found vacant. */
  readonly writeLeader: (lease: MemberLease, revision: number) => Promise<CommitResult>;
}

/** Campaigns for the leadership on behalf of one member. */
export class LeaderElection {
  private isCampaigning = false;
  /** Monotonic time until which this member does not campaign. */
  private withdrawnUntil: Micros = -Infinity;

  constructor(private readonly options: LeaderElectionOptions) {}

  /** Stops campaigning for this duration, for example after the leadership was resigned. */
  withdraw(duration: Micros): void {
    this.withdrawnUntil = this.options.clock.now() + duration;
  }

  /** Starts a campaign if the leadership is vacant and no campaign of this member is running. */
  campaign(): void {
    if (this.isCampaigning || !this.isVacant() || this.options.clock.now() < this.withdrawnUntil) return;
    this.isCampaigning = true;
    void this.tryAcquire().finally(() => {
      this.isCampaigning = false;
    });
  }

  /** Returns true if no member leads, or if the leader is an earlier process of this member, which has ended. */
  private isVacant(): boolean {
    const { replica, member, activeLease } = this.options;
    const { leader } = replica;
    return !leader || (leader.member === member && leader.nonce !== activeLease()?.nonce);
  }

  private async tryAcquire(): Promise<void> {
    const { clock, random, roles, replica, log, activeLease, writeLeader } = this.options;
    await sleep(clock, Math.floor(random() * MAX_CAMPAIGN_DELAY_MS) * MS);
    const lease = activeLease();
    if (!lease || !this.isVacant()) return;
    roles.beginAcquisition('lead');
    const result = await writeLeader(lease, replica.leader?.revision ?? 0);
    if (result.kind === 'applied') {
      log.info({ nonce: lease.nonce }, 'leadership acquired');
      return;
    }
    roles.acquisitionFailed('lead');
    await sleep(clock, RETRY_DELAY);
  }
}
