/** A member's campaign for the leadership: one compare-and-swap on the leader key whenever nobody holds it. */
import type { Logger } from './logger.js';
import type { MemberLease } from './members.js';
import type { Replica } from './replica.js';
import type { RoleRegistry } from '#roles';
import type { CommitResult } from '#store';
import { type Clock, type Micros, MS, sleep } from '#wire';

/** Members wait a random time below this many milliseconds before they campaign, so that they rarely collide. */
const MAX_CAMPAIGN_DELAY_MS = 100;
/** Pause after a campaign that failed. */
const RETRY_DELAY: Micros = 250 * MS;

/** What a {@link LeaderElection} works with. */
export interface LeaderElectionOptions {
  readonly member: string;
  readonly replica: Replica;
  readonly roles: RoleRegistry;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
  /** The lease to campaign under; null unless this process is a member. */
  readonly activeLease: () => MemberLease | null;
  /** Writes the leader key under this lease, guarded by the revision at which it was vacant. */
  readonly writeLeader: (lease: MemberLease, revision: number) => Promise<CommitResult>;
}

/** Campaigns for the leadership on behalf of one member. */
export class LeaderElection {
  private isCampaigning = false;
  /** Steady time until which the leadership is left to other members. */
  private withdrawnUntil: Micros = -Infinity;

  constructor(private readonly options: LeaderElectionOptions) {}

  /** Leaves the leadership to other members for this long, as after resigning it. */
  withdraw(duration: Micros): void {
    this.withdrawnUntil = this.options.clock.now() + duration;
  }

  /** Begins a campaign if the leadership is vacant and none is under way. */
  campaign(): void {
    if (this.isCampaigning || !this.isVacant() || this.options.clock.now() < this.withdrawnUntil) return;
    this.isCampaigning = true;
    void this.tryAcquire().finally(() => {
      this.isCampaigning = false;
    });
  }

  /** Nobody leads, or an earlier process of this very member does, which is known to be gone. */
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
