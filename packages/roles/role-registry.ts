/** A node's duties: the one place that gives out the right to act. */
import { type Clock, type Micros, MS } from '#wire';
import type { RoleHolder, RoleName, RefusedAction } from './role.js';
import { RoleStateMachine, type RoleState } from './role-state-machine.js';
import { TermProof } from './term-proof.js';

/** What the node's copy of the state says of the duties. */
export interface RoleSource {
  /** Every duty that somebody holds. */
  holders(): ReadonlyMap<RoleName, RoleHolder>;
  /** This very process holds what is held under this nonce. */
  isOurs(nonce: string): boolean;
}

export interface RegistryParts {
  source: RoleSource;
  clock: Clock;
  /** The key that names the holder of a duty in the state service. */
  keyOf: (role: RoleName) => string;
  /** How long the grant on which all duties of a node hang outlives its last renewal. */
  leaseLife: Micros;
}

/** Taken off the life of a lease, so that it is in doubt on this node before it can be over elsewhere. */
const DOUBT_MARGIN: Micros = 300 * MS;

export class RoleRegistry {
  private readonly stateMachines = new Map<RoleName, RoleStateMachine>();
  private readonly refusals = new Map<RoleName, RefusedAction>();
  /** Actions of a duty that have been sent and not been answered. */
  private readonly pendingActions = new Map<RoleName, number>();
  /** Steady time at which the last renewal that succeeded was sent. */
  private renewedAt: Micros = -Infinity;

  constructor(private readonly parts: RegistryParts) {}

  /** Follows what the node's copy of the state says. */
  refresh(): void {
    const { source, clock } = this.parts;
    const now = clock.now();
    const holders = source.holders();
    for (const [role, holder] of holders) {
      this.stateMachine(role).observe(holder, source.isOurs(holder.nonce), now);
    }
    for (const [role, machine] of this.stateMachines) {
      if (!holders.has(role)) machine.observe(null, false, now);
      if (this.isInDoubt(now)) machine.suspect(now);
      else machine.confirm(now);
    }
  }

  /** The grant was renewed by a request sent at this steady time. */
  onLeaseRenewed(sentAt: Micros): void {
    this.renewedAt = Math.max(this.renewedAt, sentAt);
    this.refresh();
  }

  /** The right to act through the state service, which checks the term of each action; null if there is none. */
  proveHeld(role: RoleName): TermProof | null {
    this.refresh();
    const machine = this.stateMachine(role);
    const term = machine.actingTerm;
    if (term === null) return null;
    return new TermProof(role, term, this.parts.keyOf(role), () => {
      this.refresh();
      return machine.actingTerm;
    });
  }

  /** Why nothing that can't check terms may be asked under this proof now; null if it may. */
  doubtAbout(termProof: TermProof): string | null {
    if (!termProof.isCurrent()) return 'the term is over';
    return this.state(termProof.role).name === 'suspected' ? 'the lease was not confirmed in time' : null;
  }

  state(role: RoleName): RoleState {
    return this.stateMachine(role).state;
  }

  /** Every duty that this node knows of, in the order of their names. */
  knownRoles(): RoleName[] {
    const order = (role: RoleName): number => (role === 'lead' ? -1 : role);
    return [...this.stateMachines.keys()].sort((a, b) => order(a) - order(b));
  }

  beginAcquisition(role: RoleName): void {
    this.stateMachine(role).acquire(this.parts.clock.now());
  }

  acquisitionFailed(role: RoleName): void {
    this.stateMachine(role).acquisitionFailed(this.parts.clock.now());
  }

  /** Begins to hand a duty over: from here on no right to act is given out. False if it isn't held here. */
  resign(role: RoleName): boolean {
    this.refresh();
    return this.stateMachine(role).resign(this.parts.clock.now());
  }

  resignationFailed(role: RoleName): void {
    this.stateMachine(role).resignationFailed(this.parts.clock.now());
  }

  /** Time that the lease has left, by this node's own steady clock. */
  remainingLease(): Micros {
    return Math.max(0, this.renewedAt + this.parts.leaseLife - this.parts.clock.now());
  }

  lastRefusal(role: RoleName): RefusedAction | null {
    return this.refusals.get(role) ?? null;
  }

  /** An action was refused: by the state service, or here because its term is over or in doubt. */
  recordRefusal(termProof: TermProof, action: string, reason: string): void {
    const { role, term } = termProof;
    this.refusals.set(role, { action, reason, term, at: this.parts.clock.now() });
  }

  /** Follows an action of a duty until it is answered. */
  async track<T>(role: RoleName, action: Promise<T>): Promise<T> {
    this.pendingActions.set(role, this.pendingActionCount(role) + 1);
    try {
      return await action;
    } finally {
      this.pendingActions.set(role, this.pendingActionCount(role) - 1);
    }
  }

  pendingActionCount(role: RoleName): number {
    return this.pendingActions.get(role) ?? 0;
  }

  private isInDoubt(now: Micros): boolean {
    return now > this.renewedAt + this.parts.leaseLife - DOUBT_MARGIN;
  }

  private stateMachine(role: RoleName): RoleStateMachine {
    let machine = this.stateMachines.get(role);
    if (!machine) this.stateMachines.set(role, (machine = new RoleStateMachine(this.parts.clock.now())));
    return machine;
  }
}
