/** Hands duties over on purpose, as before a planned stop. */
import { LEAD, type Membership, type Replica } from '#cluster';
import { type DutyName, type FencedStore, formatDutyName, type TermProof } from '#duties';
import { type Clock, type Micros, MS, SECOND, sleep } from '#wire';
import type { StateFreshness } from './freshness.js';

export type HandOverResult = { kind: 'handed_over' } | { kind: 'refused'; reason: string };

/** How long requests that are under way are waited for, and the leader's dealing of a share. */
const PATIENCE: Micros = 6 * SECOND;
const STEP: Micros = 50 * MS;
/** For how long a member that gave up a share is not dealt it again. */
const SHARE_ABSTENTION: Micros = 30 * SECOND;
/** The same for the lead: short, since a lead that nobody else takes must not stay vacant. */
const LEAD_ABSTENTION: Micros = 3 * SECOND;

export interface HandOverParts {
  clock: Clock;
  replica: Replica;
  membership: Membership;
  store: FencedStore;
  freshness: StateFreshness;
  /** Every node of the cluster, whether it is up or not. */
  allNodes: readonly string[];
}

export class HandOver {
  constructor(private readonly parts: HandOverParts) {}

  /** Gives the duty up once nothing of it is under way; refused where nobody could take it, or it isn't held here. */
  async resign(duty: DutyName): Promise<HandOverResult> {
    const reason = this.reasonAgainst(duty);
    if (reason !== null) return refused(reason);
    const { duties } = this.parts.membership;
    const proof = duties.prove(duty);
    if (!proof || !duties.resign(duty)) return refused(`${formatDutyName(duty)} is not held for certain`);
    const isDone = duty === 'lead' ? await this.giveUpLead(proof) : await this.giveUpShare(duty);
    if (isDone) return { kind: 'handed_over' };
    duties.resignationFailed(duty);
    return refused('it could not be handed over in time; it is held as before');
  }

  /**
   * Gives everything up before a planned stop: the lead in an orderly way where another member can take it, then the
   * grant on which the rest hangs. What is refused or not answered ends with the grant by itself, seconds later.
   */
  async retire(): Promise<void> {
    const { membership } = this.parts;
    if (membership.duties.prove('lead')) await this.resign('lead');
    await membership.retire();
  }

  private reasonAgainst(duty: DutyName): string | null {
    const { membership, replica, freshness, allNodes } = this.parts;
    const name = formatDutyName(duty);
    if (!freshness.isServed()) return 'the state service does not serve this node';
    if (!membership.duties.prove(duty)) {
      const state = membership.duties.state(duty);
      const holder = 'holder' in state ? `${state.holder.member} holds it` : 'nobody is known to hold it';
      return state.name === 'resigning'
        ? `${name} is being handed over`
        : `${name} is not held here: ${holder}`;
    }
    if (replica.members.size < 2) return 'no other member is alive to take it';
    if (duty !== 'lead' && !replica.allSupport(allNodes, 'handover')) {
      return 'not every node has announced that it knows the hand-over of shares';
    }
    return null;
  }

  private async giveUpLead(proof: TermProof): Promise<boolean> {
    const { membership, store } = this.parts;
    if (!(await this.waitUntil(() => membership.duties.actionsUnderWay('lead') === 0))) return false;
    membership.abstain(LEAD_ABSTENTION);
    const result = await store.commit([proof], 'hand over the lead', [], [{ remove: LEAD }]);
    if (result.kind === 'applied') return true;
    // It may land all the same: then the lead is vacant, and the others take it.
    membership.abstain(0);
    return false;
  }

  /** The leader deals it to another member, which raises the token. */
  private async giveUpShare(share: number): Promise<boolean> {
    const { membership, replica, clock } = this.parts;
    const isOurs = (): boolean => membership.shares().has(share);
    this.tellResigned(share, true);
    clock.after(SHARE_ABSTENTION, () => {
      this.tellResigned(share, false);
    });
    const isDealt = await this.waitUntil(() => !isOurs() && replica.owners.has(share));
    if (!isDealt) this.tellResigned(share, false);
    return isDealt;
  }

  private tellResigned(share: number, isResigned: boolean): void {
    const { membership } = this.parts;
    const others = membership.resignedShares.filter((other) => other !== share);
    void membership.tell({ resigned: isResigned ? [...others, share] : others });
  }

  private async waitUntil(isOver: () => boolean): Promise<boolean> {
    const { clock } = this.parts;
    for (const end = clock.now() + PATIENCE; clock.now() < end;) {
      if (isOver()) return true;
      await sleep(clock, STEP);
    }
    return isOver();
  }
}

function refused(reason: string): HandOverResult {
  return { kind: 'refused', reason };
}
