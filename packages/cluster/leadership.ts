import { BATON, LEAD } from './keys.js';
import type { Logger } from './logger.js';
import type { Lead, Replica } from './replica.js';
import { type StoreClient, StoreError } from '#store';
import { type Clock, type Count, type Micros, MS, SECOND, sleep } from '#wire';

export type LeadershipState = 'following' | 'campaigning' | 'leading' | 'stopped';

/** How long the lead outlives its holder. */
const LIFE: Micros = 3 * SECOND;
const RENEW: Micros = 800 * MS;
const RETRY: Micros = 250 * MS;
/** How long a campaign whose outcome is unknown is waited for. */
const PATIENCE: Micros = 2 * SECOND;

/**
 * Who leads is whoever's key stands in the state service, tied to a grant. Every taking of the lead raises
 * the cluster's token in the same commit, so no two leaderships ever share a token.
 */
export class Leadership {
  state: LeadershipState = 'following';
  /** Steady time since when this node has led, known to be no earlier than the commit. */
  since: Micros = 0;
  private attempt: { nonce: string; permit: Count; at: Micros } | null = null;
  private count = 0;

  constructor(
    private readonly member: string,
    /** Tells this start of the process from every other, so an earlier one's lead isn't taken for ours. */
    private readonly incarnation: string,
    private readonly store: StoreClient,
    private readonly replica: Replica,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly log: Logger,
    private readonly changed: (state: LeadershipState) => void,
  ) {
    replica.onChange(() => {
      this.observe();
    });
  }

  /** The lead as held by this very process, or null. */
  held(): Lead | null {
    const lead = this.replica.lead;
    return this.state === 'leading' && lead && lead.nonce === this.attempt?.nonce ? lead : null;
  }

  stop(): void {
    this.enter('stopped');
  }

  async run(): Promise<void> {
    while (!this.isStopped()) {
      if (this.attempt) await this.keep();
      else if (this.replica.state === 'following' && this.vacant()) await this.campaign();
      await sleep(this.clock, this.state === 'leading' ? RENEW : RETRY);
    }
  }

  private isStopped(): boolean {
    return this.state === 'stopped';
  }

  /** An earlier start of this member can't hold anything any more: only one process runs at a time. */
  private vacant(): boolean {
    const lead = this.replica.lead;
    return !lead || (lead.member === this.member && !lead.nonce.startsWith(this.incarnation));
  }

  private async campaign(): Promise<void> {
    await sleep(this.clock, Math.floor(this.random() * 150) * MS);
    try {
      const permit = await this.store.grant(LIFE);
      if (!this.vacant()) {
        await this.store.revoke(permit);
        return;
      }
      const nonce = `${this.incarnation}.${++this.count}`;
      this.attempt = { nonce, permit, at: this.clock.now() };
      this.enter('campaigning');
      const { lead, baton } = this.replica;
      const next = baton.value + 1;
      const result = await this.store.commit(
        [
          { path: LEAD, stamp: lead?.stamp ?? 0 },
          { path: BATON, stamp: baton.stamp },
        ],
        [
          { set: LEAD, value: { Member: this.member, Nonce: nonce, Baton: next }, permit },
          { set: BATON, value: { Baton: next } },
        ],
      );
      if (result.kind !== 'applied' && result.kind !== 'unknown') await this.abandon();
    } catch (cause) {
      this.log.debug({ cause: String(cause) }, 'could not campaign');
    }
  }

  private async keep(): Promise<void> {
    const attempt = this.attempt;
    if (!attempt) return;
    try {
      if (!(await this.store.renew(attempt.permit))) {
        this.attempt = null;
        this.enter('following');
      } else if (this.state === 'campaigning' && !this.ours() && this.clock.now() > attempt.at + PATIENCE) {
        // The commit's answer was lost. Once its grant is gone it can't be applied any more.
        await this.abandon();
      }
    } catch (cause) {
      // In an outage grants don't run out; on a lone 503 the watch or a 404 tells when it is over.
      if (!(cause instanceof StoreError)) throw cause;
    }
  }

  private async abandon(): Promise<void> {
    const permit = this.attempt?.permit;
    this.attempt = null;
    this.enter('following');
    if (permit !== undefined) await this.store.revoke(permit).catch(() => undefined);
  }

  private ours(): boolean {
    return this.attempt !== null && this.replica.lead?.nonce === this.attempt.nonce;
  }

  private observe(): void {
    if (this.state === 'campaigning' && this.ours()) {
      this.since = this.clock.now();
      this.enter('leading');
    } else if (this.state === 'leading' && !this.ours()) {
      void this.abandon();
    }
  }

  private enter(state: LeadershipState): void {
    if (this.state === state || this.state === 'stopped') return;
    this.log.info({ from: this.state, to: state, baton: this.replica.baton.value }, 'leadership');
    this.state = state;
    this.changed(state);
  }
}
