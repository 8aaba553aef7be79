/**
 * State machine of one role as one node observes it, with one method for every transition. The observed state proves
 * nothing. The guard on the role's key decides whether an action takes effect. Where the called service can't check a
 * guard, an intent that is recorded before the action takes the guard's place (see docs/duties.md).
 */
import type { Micros } from '#wire';
import type { RoleHolder } from './role.js';

/** State of a role as one node observes it. `since` is the monotonic time at which the role entered the state. */
export type RoleState =
  /** No member holds the role. */
  | { readonly name: 'vacant'; readonly since: Micros }
  /** This node has requested the role and doesn't know the outcome yet. */
  | { readonly name: 'acquiring'; readonly since: Micros }
  /** The holder may act. `isOurs` is true if the holder is this process. */
  | { readonly name: 'held'; readonly since: Micros; readonly holder: RoleHolder; readonly isOurs: boolean }
  /** This node holds the role as far as it knows, but its lease may have expired because it wasn't renewed in time. */
  | { readonly name: 'suspected'; readonly since: Micros; readonly holder: RoleHolder }
  /** This node held the role until it observed the end of the term. It has observed no other holder since. */
  | { readonly name: 'lost'; readonly since: Micros; readonly term: number }
  /** This node is resigning from the role. It starts no new action and waits for the pending actions. */
  | { readonly name: 'resigning'; readonly since: Micros; readonly holder: RoleHolder };

/** Names of the states. Operators see them. */
export type RoleStateName = RoleState['name'];

/**
 * Tracks the state of one role on one node. A transition that doesn't apply to the current state has no effect. All
 * times are monotonic times of the node's clock.
 */
export class RoleStateMachine {
  private current: RoleState;

  constructor(now: Micros) {
    this.current = { name: 'vacant', since: now };
  }

  get state(): RoleState {
    return this.current;
  }

  /** The term under which this node may act through the state service, which checks the term; null if there is none. */
  get actingTerm(): number | null {
    const { current } = this;
    if (current.name === 'suspected') return current.holder.term;
    return current.name === 'held' && current.isOurs ? current.holder.term : null;
  }

  /** Applies the holder that the node's replica shows, or null if the replica shows none. */
  observe(holder: RoleHolder | null, isOurs: boolean, now: Micros): void {
    const { current } = this;
    if (!holder) this.observeVacancy(now);
    else if (!('holder' in current) || !isSameTerm(current, holder, isOurs)) {
      this.current = { name: 'held', since: now, holder, isOurs };
    }
  }

  /** Records that this node requests the role. */
  acquire(now: Micros): void {
    if (this.current.name === 'vacant' || this.current.name === 'lost') {
      this.current = { name: 'acquiring', since: now };
    }
  }

  /** Records that the request for the role was refused or that its outcome is unknown. */
  acquisitionFailed(now: Micros): void {
    if (this.current.name === 'acquiring') this.current = { name: 'vacant', since: now };
  }

  /** Records that the lease may have expired, because it wasn't renewed in time. */
  suspect(now: Micros): void {
    const { current } = this;
    if (current.name !== 'held' || !current.isOurs) return;
    this.current = { name: 'suspected', since: now, holder: current.holder };
  }

  /** Records that the lease was renewed. A suspected term continues. */
  confirm(now: Micros): void {
    const { current } = this;
    if (current.name !== 'suspected') return;
    this.current = { name: 'held', since: now, holder: current.holder, isOurs: true };
  }

  /** Begins to resign from the role. Returns false if this node doesn't hold the role or suspects its lease. */
  resign(now: Micros): boolean {
    const { current } = this;
    if (current.name !== 'held' || !current.isOurs) return false;
    this.current = { name: 'resigning', since: now, holder: current.holder };
    return true;
  }

  /** Records that the resignation was aborted. The term continues. */
  resignationFailed(now: Micros): void {
    const { current } = this;
    if (current.name !== 'resigning') return;
    this.current = { name: 'held', since: now, holder: current.holder, isOurs: true };
  }

  private observeVacancy(now: Micros): void {
    const { current } = this;
    if (current.name === 'vacant' || current.name === 'lost' || current.name === 'acquiring') return;
    const wasOurs = current.name !== 'held' || current.isOurs;
    this.current = wasOurs
      ? { name: 'lost', since: now, term: current.holder.term }
      : { name: 'vacant', since: now };
  }
}

type HeldState = Extract<RoleState, { holder: RoleHolder }>;

function isSameTerm(state: HeldState, holder: RoleHolder, isOurs: boolean): boolean {
  const wasOurs = state.name !== 'held' || state.isOurs;
  return state.holder.term === holder.term && state.holder.nonce === holder.nonce && wasOurs === isOurs;
}
