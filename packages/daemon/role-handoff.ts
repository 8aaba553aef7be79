/** Hands roles off to other members deliberately, for example before a planned stop. */
import { LEADER_KEY, type Membership, type Replica } from '#cluster';
import { type RoleName, type FencedStore, formatRoleName, type TermProof } from '#roles';
import { type Clock, type Micros, MS, SECOND, sleep } from '#wire';
import type { StateFreshness } from './state-freshness.js';

/** The result of a handoff. Operators are shown the `reason`. */
export type HandoffResult =
  { readonly kind: 'handed_over' } | { readonly kind: 'refused'; readonly reason: string };

/** Maximum wait for pending requests to finish, and for the leader to assign a shard to another member. */
const HANDOFF_TIMEOUT: Micros = 6 * SECOND;
/** Time between two checks of a condition that a handoff waits for. */
const POLL_INTERVAL: Micros = 50 * MS;
/** How long a member that resigned a shard is not assigned that shard again. */
const SHARD_REASSIGNMENT_COOLDOWN: Micros = 30 * SECOND;
/** How long a member that resigned leadership is no candidate. Short, in case no other member becomes the leader. */
const CANDIDACY_COOLDOWN: Micros = 3 * SECOND;
/** Minimum number of members, including this one, at which another member can take a role. */
const MIN_MEMBERS = 2;

/** Dependencies of {@link RoleHandoff}. */
export interface RoleHandoffOptions {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly membership: Membership;
  readonly store: FencedStore;
  readonly freshness: StateFreshness;
  /** Names of all configured nodes of the cluster, whether they are up or not. */
  readonly allNodes: readonly string[];
}

/** Hands off the roles that this node holds. */
export class RoleHandoff {
  constructor(private readonly options: RoleHandoffOptions) {}

  /**
   * Hands a role off to another member once no request under the role is pending. Refuses if no other member could take
   * the role, or if this node does not hold it.
   */
  async resign(role: RoleName): Promise<HandoffResult> {
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
   * Resigns all roles before a planned stop. Leadership is handed off if another member can take it. Then the
   * membership lease, on which the other roles depend, is released. If a release is refused or not answered, the role
   * ends when that lease expires, seconds later.
   */
  async retire(): Promise<void> {
    const { membership } = this.options;
    if (membership.roles.proveHeld('lead')) await this.resign('lead');
    await membership.retire();
  }

  /** Returns why the role can't be handed off, for operators; null if it can. */
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

  /** Removes the leader record once no request of the leader is pending. Resolves with true if that succeeded. */
  private async releaseLeadership(termProof: TermProof): Promise<boolean> {
    const { membership, store } = this.options;
    if (!(await this.waitUntil(() => membership.roles.pendingActionCount('lead') === 0))) return false;
    membership.withdrawCandidacy(CANDIDACY_COOLDOWN);
    const result = await store.compareAndSwap({
      proofs: [termProof],
      action: 'hand over the lead',
      guards: [],
      writes: [{ remove: LEADER_KEY }],
    });
    if (result.kind === 'applied') return true;
    // The removal may still be applied. Leadership is then vacant, and any member may become the leader.
    membership.withdrawCandidacy(0);
    return false;
  }

  /**
   * Publishes the resignation, by which the leader assigns the shard to another member and raises the fencing token.
   * Resolves with true once that happened; false after the timeout.
   */
  private async releaseShard(shard: number): Promise<boolean> {
    const { membership, replica, clock } = this.options;
    const isOwner = (): boolean => membership.ownedShards().has(shard);
    this.publishResigned(shard, true);
    clock.after(SHARD_REASSIGNMENT_COOLDOWN, () => {
      this.publishResigned(shard, false);
    });
    const isReassigned = await this.waitUntil(() => !isOwner() && replica.shardOwners.has(shard));
    if (!isReassigned) this.publishResigned(shard, false);
    return isReassigned;
  }

  /** Adds the shard to the resigned shards in the member status, or removes it from them. */
  private publishResigned(shard: number, isResigned: boolean): void {
    const { membership } = this.options;
    const others = membership.resignedShards.filter((other) => other !== shard);
    void membership.publishStatus({ resignedShards: isResigned ? [...others, shard] : others });
  }

  /** Resolves with true once the condition holds; false if it does not hold before the timeout. */
  private async waitUntil(condition: () => boolean): Promise<boolean> {
    const { clock } = this.options;
    const deadline = clock.now() + HANDOFF_TIMEOUT;
    while (clock.now() < deadline) {
      if (condition()) return true;
      await sleep(clock, POLL_INTERVAL);
    }
    return condition();
  }
}

function refused(reason: string): HandoffResult {
  return { kind: 'refused', reason };
}
