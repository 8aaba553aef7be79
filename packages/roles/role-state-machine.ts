/**
 * What one node believes of one role: an explicit state machine with one function for every change. A belief proves
 * nothing: whether an action takes effect is decided by the guard on the role's key, and by the intent recorded first
 * where nothing can guard (see docs/duties.md).
 */
import type { Micros } from '#wire';
import type { RoleHolder } from './role.js';

/** State of a role as one node believes it; `since` is steady time. */
export type RoleState =
  /** Nobody holds it. */
  | { readonly name: 'vacant'; readonly since: Micros }
  /** This node has requested it and does not know the outcome yet. */
  | { readonly name: 'acquiring'; readonly since: Micros }
  /** The holder is entitled to act. */
  | { readonly name: 'held'; readonly since: Micros; readonly holder: RoleHolder; readonly isOurs: boolean }
  /** This node holds it, as far as it knows, but its lease was not confirmed for so long that it may be over. */
  | { readonly name: 'suspected'; readonly since: Micros; readonly holder: RoleHolder }
  /** This node held it until it observed that the term is over; no other holder has been observed since. */
  | { readonly name: 'lost'; readonly since: Micros; readonly term: number }
  /** This node gives it up on purpose: no new action is begun, pending ones are waited for. */
  | { readonly name: 'resigning'; readonly since: Micros; readonly holder: RoleHolder };

/** Names of the states, as operators see them. */
export type RoleStateName = RoleState['name'];

/** The state of one role on one node. All times are steady times of the node's clock. */
export class RoleStateMachine {
  private current: RoleState;

  constructor(now: Micros) {
    this.current = { name: 'vacant', since: now };
  }

  get state(): RoleState {
    return this.current;
  }

  /** The term under which this node may act through the state service, which checks it; null if it has none. */
  get actingTerm(): number | null {
    const { current } = this;
    if (current.name === 'suspected') return current.holder.term;
    return current.name === 'held' && current.isOurs ? current.holder.term : null;
  }

  /** The node's replica names this holder, or none. */
  observe(holder: RoleHolder | null, isOurs: boolean, now: Micros): void {
    const { current } = this;
    if (!holder) this.observeVacancy(now);
    else if (!('holder' in current) || !isSameTerm(current, holder, isOurs)) {
      this.current = { name: 'held', since: now, holder, isOurs };
    }
  }

  /** This node requests the role. */
  acquire(now: Micros): void {
    if (this.current.name === 'vacant' || this.current.name === 'lost') {
      this.current = { name: 'acquiring', since: now };
    }
  }

  /** The request was refused, or its outcome is unknown. */
  acquisitionFailed(now: Micros): void {
    if (this.current.name === 'acquiring') this.current = { name: 'vacant', since: now };
  }

  /** The lease was not confirmed for longer than it lasts. */
  suspect(now: Micros): void {
    const { current } = this;
    if (current.name !== 'held' || !current.isOurs) return;
    this.current = { name: 'suspected', since: now, holder: current.holder };
  }

  /** The lease was confirmed again: the term that was in doubt goes on. */
  confirm(now: Micros): void {
    const { current } = this;
    if (current.name !== 'suspected') return;
    this.current = { name: 'held', since: now, holder: current.holder, isOurs: true };
  }

  /** This node begins to give the role up; false if it does not hold it for certain. */
  resign(now: Micros): boolean {
    const { current } = this;
    if (current.name !== 'held' || !current.isOurs) return false;
    this.current = { name: 'resigning', since: now, holder: current.holder };
    return true;
  }

  /** The resignation was called off: the term goes on. */
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
