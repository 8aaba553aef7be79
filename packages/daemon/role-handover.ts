/** Hands duties over on purpose, as before a planned stop. */
import { LEADER_KEY, type Membership, type Replica } from '#cluster';
import { type RoleName, type FencedStore, formatRoleName, type TermProof } from '#roles';
import { type Clock, type Micros, MS, SECOND, sleep } from '#wire';
import type { StateFreshness } from './state-freshness.js';

export type HandoverResult = { kind: 'handed_over' } | { kind: 'refused'; reason: string };

/** How long requests that are under way are waited for, and the leader's dealing of a share. */
const PATIENCE: Micros = 6 * SECOND;
const STEP: Micros = 50 * MS;
/** For how long a member that gave up a share is not dealt it again. */
const SHARE_ABSTENTION: Micros = 30 * SECOND;
/** The same for the lead: short, since a lead that nobody else takes must not stay vacant. */
const LEAD_ABSTENTION: Micros = 3 * SECOND;

export interface RoleHandoverOptions {
  clock: Clock;
  replica: Replica;
  membership: Membership;
  store: FencedStore;
  freshness: StateFreshness;
  /** Every node of the cluster, whether it is up or not. */
  allNodes: readonly string[];
}

export class RoleHandover {
  constructor(private readonly parts: RoleHandoverOptions) {}

  /** Gives the duty up once nothing of it is under way; refused where nobody could take it, or it isn't held here. */
  async resign(role: RoleName): Promise<HandoverResult> {
    const reason = this.refusalReason(role);
    if (reason !== null) return refused(reason);
    const { roles } = this.parts.membership;
    const termProof = roles.proveHeld(role);
    if (!termProof || !roles.resign(role)) return refused(`${formatRoleName(role)} is not held for certain`);
    const isDone = role === 'lead' ? await this.releaseLeadership(termProof) : await this.releaseShard(role);
    if (isDone) return { kind: 'handed_over' };
    roles.resignationFailed(role);
    return refused('it could not be handed over in time; it is held as before');
  }

  /**
   * Gives everything up before a planned stop: the lead in an orderly way where another member can take it, then the
   * grant on which the rest hangs. What is refused or not answered ends with the grant by itself, seconds later.
   */
  async retire(): Promise<void> {
    const { membership } = this.parts;
    if (membership.roles.proveHeld('lead')) await this.resign('lead');
    await membership.retire();
  }

  private refusalReason(role: RoleName): string | null {
    const { membership, replica, freshness, allNodes } = this.parts;
    const name = formatRoleName(role);
    if (!freshness.isFresh()) return 'the state service does not serve this node';
    if (!membership.roles.proveHeld(role)) {
      const state = membership.roles.state(role);
      const holder = 'holder' in state ? `${state.holder.member} holds it` : 'nobody is known to hold it';
      return state.name === 'resigning'
        ? `${name} is being handed over`
        : `${name} is not held here: ${holder}`;
    }
    if (replica.members.size < 2) return 'no other member is alive to take it';
    if (role !== 'lead' && !replica.allSupport(allNodes, 'handover')) {
      return 'not every node has announced that it knows the hand-over of shares';
    }
    return null;
  }

  private async releaseLeadership(termProof: TermProof): Promise<boolean> {
    const { membership, store } = this.parts;
    if (!(await this.waitUntil(() => membership.roles.pendingActionCount('lead') === 0))) return false;
    membership.withdrawCandidacy(LEAD_ABSTENTION);
    const result = await store.compareAndSwap({
      proofs: [termProof],
      action: 'hand over the lead',
      guards: [],
      writes: [{ remove: LEADER_KEY }],
    });
    if (result.kind === 'applied') return true;
    // It may land all the same: then the lead is vacant, and the others take it.
    membership.withdrawCandidacy(0);
    return false;
  }

  /** The leader deals it to another member, which raises the token. */
  private async releaseShard(shard: number): Promise<boolean> {
    const { membership, replica, clock } = this.parts;
    const isOurs = (): boolean => membership.ownedShards().has(shard);
    this.publishResigned(shard, true);
    clock.after(SHARE_ABSTENTION, () => {
      this.publishResigned(shard, false);
    });
    const isDealt = await this.waitUntil(() => !isOurs() && replica.shardOwners.has(shard));
    if (!isDealt) this.publishResigned(shard, false);
    return isDealt;
  }

  private publishResigned(shard: number, isResigned: boolean): void {
    const { membership } = this.parts;
    const others = membership.resignedShards.filter((other) => other !== shard);
    void membership.publishStatus({ resignedShards: isResigned ? [...others, shard] : others });
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

function refused(reason: string): HandoverResult {
  return { kind: 'refused', reason };
}
