/** Hands roles over on purpose, as before a planned stop. */
import { LEADER_KEY, type Membership, type Replica } from '#cluster';
import { type RoleName, type FencedStore, formatRoleName, type TermProof } from '#roles';
import { type Clock, type Micros, MS, SECOND, sleep } from '#wire';
import type { StateFreshness } from './state-freshness.js';

/** How a hand-over ended. `reason` is shown to operators. */
export type HandoverResult =
  { readonly kind: 'handed_over' } | { readonly kind: 'refused'; readonly reason: string };

/** How long to wait for requests that are under way, and for the leader to assign a shard to another member. */
const HANDOVER_TIMEOUT: Micros = 6 * SECOND;
/** Time between two checks while waiting. */
const POLL_INTERVAL: Micros = 50 * MS;
/** How long a member that gave up a shard is not assigned that shard again. */
const SHARD_ABSTENTION: Micros = 30 * SECOND;
/** How long a member that gave up leadership is no candidate: short, in case that nobody else takes it. */
const LEADERSHIP_ABSTENTION: Micros = 3 * SECOND;
/** The least number of members, this one included, at which another one can take a role. */
const MIN_MEMBERS = 2;

/** What a {@link RoleHandover} depends on. */
export interface RoleHandoverOptions {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly membership: Membership;
  readonly store: FencedStore;
  readonly freshness: StateFreshness;
  /** Every node of the cluster, whether it is up or not. */
  readonly allNodes: readonly string[];
}

/** Hands over the roles that this node holds. */
export class RoleHandover {
  constructor(private readonly options: RoleHandoverOptions) {}

  /** Gives a role up once no request under it is under way; refused if nobody could take it, or it isn't held here. */
  async resign(role: RoleName): Promise<HandoverResult> {
    const reason = this.refusalReason(role);
    if (reason !== null) return refused(reason);
    const { roles } = this.options.membership;
    const termProof = roles.proveHeld(role);
    if (!termProof || !roles.resign(role)) return refused(`${formatRoleName(role)} is not held for certain`);
    const isReleased =
      role === 'lead' ? await this.releaseLeadership(termProof) : await this.releaseShard(role);
    if (isReleased) return { kind: 'handed_over' };
    roles.resignationFailed(role);
    return refused('it could not be handed over in time; it is held as before');
  }

  /**
   * Gives all roles up before a planned stop: leadership by a hand-over where another member can take it, then the
   * membership lease on which the others depend. What is refused or not answered ends with that lease, seconds later.
   */
  async retire(): Promise<void> {
    const { membership } = this.options;
    if (membership.roles.proveHeld('lead')) await this.resign('lead');
    await membership.retire();
  }

  private refusalReason(role: RoleName): string | null {
    const { membership, replica, freshness, allNodes } = this.options;
    const name = formatRoleName(role);
    if (!freshness.isFresh()) return 'the state service does not serve this node';
    if (!membership.roles.proveHeld(role)) {
      const state = membership.roles.state(role);
      const holder = 'holder' in state ? `${state.holder.member} holds it` : 'nobody is known to hold it';
      return state.name === 'resigning'
        ? `${name} is being handed over`
        : `${name} is not held here: ${holder}`;
    }
    if (replica.members.size < MIN_MEMBERS) return 'no other member is alive to take it';
    if (role !== 'lead' && !replica.allSupport(allNodes, 'handover')) {
      return 'not every node has announced that it knows the hand-over of shares';
    }
    return null;
  }

  private async releaseLeadership(termProof: TermProof): Promise<boolean> {
    const { membership, store } = this.options;
    if (!(await this.waitUntil(() => membership.roles.pendingActionCount('lead') === 0))) return false;
    membership.withdrawCandidacy(LEADERSHIP_ABSTENTION);
    const result = await store.compareAndSwap({
      proofs: [termProof],
      action: 'hand over the lead',
      guards: [],
      writes: [{ remove: LEADER_KEY }],
    });
    if (result.kind === 'applied') return true;
    // It may be applied all the same: then leadership is vacant, and another member takes it.
    membership.withdrawCandidacy(0);
    return false;
  }

  /** The leader assigns the shard to another member, which raises the fencing token. */
  private async releaseShard(shard: number): Promise<boolean> {
    const { membership, replica, clock } = this.options;
    const isOwner = (): boolean => membership.ownedShards().has(shard);
    this.publishResigned(shard, true);
    clock.after(SHARD_ABSTENTION, () => {
      this.publishResigned(shard, false);
    });
    const isReassigned = await this.waitUntil(() => !isOwner() && replica.shardOwners.has(shard));
    if (!isReassigned) this.publishResigned(shard, false);
    return isReassigned;
  }

  private publishResigned(shard: number, isResigned: boolean): void {
    const { membership } = this.options;
    const others = membership.resignedShards.filter((other) => other !== shard);
    void membership.publishStatus({ resignedShards: isResigned ? [...others, shard] : others });
  }

  /** Resolves with whether the condition came to hold in time. */
  private async waitUntil(condition: () => boolean): Promise<boolean> {
    const { clock } = this.options;
    const deadline = clock.now() + HANDOVER_TIMEOUT;
    while (clock.now() < deadline) {
      if (condition()) return true;
      await sleep(clock, POLL_INTERVAL);
    }
    return condition();
  }
}

function refused(reason: string): HandoverResult {
  return { kind: 'refused', reason };
}
