/**
 * What one node believes of one duty: an explicit state machine with one function for every change. Belief proves
 * nothing: whether an action takes effect is decided by the guard on the duty's key, and by the record rule where
 * nothing can guard (see docs/duties.md).
 */
import type { Micros } from '#wire';
import type { RoleHolder } from './role.js';

export type RoleState =
  /** Nobody holds it. */
  | { name: 'vacant'; since: Micros }
  /** This node has asked for it and does not know the outcome yet. */
  | { name: 'acquiring'; since: Micros }
  /** The holder is entitled to act. */
  | { name: 'held'; since: Micros; holder: RoleHolder; isOurs: boolean }
  /** This node holds it, as far as it knows, but its lease was not confirmed for so long that it may be over. */
  | { name: 'suspected'; since: Micros; holder: RoleHolder }
  /** This node held it until it learnt that the term is over; nobody is known to hold it since. */
  | { name: 'lost'; since: Micros; term: number }
  /** This node hands it over on purpose: nothing new is begun, what is under way is waited for. */
  | { name: 'resigning'; since: Micros; holder: RoleHolder };

export type RoleStateName = RoleState['name'];

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

  /** The node's copy of the state names this holder, or none. */
  observe(holder: RoleHolder | null, isOurs: boolean, now: Micros): void {
    const { current } = this;
    if (!holder) this.observeVacancy(now);
    else if (!('holder' in current) || !isSameTerm(current, holder, isOurs)) {
      this.current = { name: 'held', since: now, holder, isOurs };
    }
  }

  /** This node asks for the duty. */
  acquire(now: Micros): void {
    if (this.current.name === 'vacant' || this.current.name === 'lost') {
      this.current = { name: 'acquiring', since: now };
    }
  }

  /** It did not get it, or can't know. */
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

  /** This node begins to hand the duty over; false if it does not hold it for certain. */
  resign(now: Micros): boolean {
    const { current } = this;
    if (current.name !== 'held' || !current.isOurs) return false;
    this.current = { name: 'resigning', since: now, holder: current.holder };
    return true;
  }

  /** The hand-over was called off: the term goes on. */
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
