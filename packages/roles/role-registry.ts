/** The roles of a node: the one place that issues the right to act. */
import { type Clock, type Micros, MS } from '#wire';
import type { RoleHolder, RoleName, RefusedAction } from './role.js';
import { RoleStateMachine, type RoleState } from './role-state-machine.js';
import { TermProof } from './term-proof.js';

/** What the node's replica shows of the roles. */
export interface RoleSource {
  /** Every role that somebody holds. */
  holders(): ReadonlyMap<RoleName, RoleHolder>;
  /** This very process holds what is held under this nonce. */
  isOurs(nonce: string): boolean;
}

/** What a {@link RoleRegistry} works with. */
export interface RoleRegistryOptions {
  readonly source: RoleSource;
  readonly clock: Clock;
  /** The key that names the holder of a role in the state service. */
  readonly keyOf: (role: RoleName) => string;
  /** How long the lease to which all roles of a node are bound outlives its last renewal. */
  readonly leaseLife: Micros;
}

/** Taken off the life of a lease, so that it is in doubt on this node before it can be over elsewhere. */
const DOUBT_MARGIN: Micros = 300 * MS;

/** What one node believes of all roles, and the proofs that it may act under those that it holds. */
export class RoleRegistry {
  private readonly stateMachines = new Map<RoleName, RoleStateMachine>();
  private readonly refusals = new Map<RoleName, RefusedAction>();
  /** By role: the number of actions that have been sent and not been answered. */
  private readonly pendingActions = new Map<RoleName, number>();
  /** Steady time at which the last renewal that succeeded was sent. */
  private renewedAt: Micros = -Infinity;

  constructor(private readonly options: RoleRegistryOptions) {}

  /** Brings the states in line with the node's replica and with the age of its lease. */
  refresh(): void {
    const { source, clock } = this.options;
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

  /** The lease was renewed by a request sent at this steady time. */
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
    const actingTerm = (): number | null => {
      this.refresh();
      return machine.actingTerm;
    };
    return new TermProof({ role, term, key: this.options.keyOf(role), actingTerm });
  }

  /** Why no service that can't check terms may be called under this proof now; null if it may. */
  doubtAbout(termProof: TermProof): string | null {
    if (!termProof.isCurrent()) return 'the term is over';
    return this.state(termProof.role).name === 'suspected' ? 'the lease was not confirmed in time' : null;
  }

  /** What this node believes of the role, as of the last refresh. */
  state(role: RoleName): RoleState {
    return this.stateMachine(role).state;
  }

  /** Every role that this node has observed: the leader's first, then the shards' by number. */
  knownRoles(): RoleName[] {
    const order = (role: RoleName): number => (role === 'lead' ? -1 : role);
    return [...this.stateMachines.keys()].sort((a, b) => order(a) - order(b));
  }

  /** This node requests the role. */
  beginAcquisition(role: RoleName): void {
    this.stateMachine(role).acquire(this.options.clock.now());
  }

  /** The request was refused, or its outcome is unknown. */
  acquisitionFailed(role: RoleName): void {
    this.stateMachine(role).acquisitionFailed(this.options.clock.now());
  }

  /** Begins to give a role up: from here on no right to act is issued. False if it isn't held here. */
  resign(role: RoleName): boolean {
    this.refresh();
    return this.stateMachine(role).resign(this.options.clock.now());
  }

  /** The resignation was called off: the term goes on. */
  resignationFailed(role: RoleName): void {
    this.stateMachine(role).resignationFailed(this.options.clock.now());
  }

  /** Time until the lease expires, by this node's own steady clock. */
  remainingLease(): Micros {
    return Math.max(0, this.renewedAt + this.options.leaseLife - this.options.clock.now());
  }

  /** The role's last action that was refused; null if none was. */
  lastRefusal(role: RoleName): RefusedAction | null {
    return this.refusals.get(role) ?? null;
  }

  /** An action was refused: by the state service, or here because its term is over or in doubt. */
  recordRefusal(termProof: TermProof, action: string, reason: string): void {
    const { role, term } = termProof;
    this.refusals.set(role, { action, reason, term, at: this.options.clock.now() });
  }

  /** Counts an action of a role as pending until it settles. */
  async track<T>(role: RoleName, action: Promise<T>): Promise<T> {
    this.pendingActions.set(role, this.pendingActionCount(role) + 1);
    try {
      return await action;
    } finally {
      this.pendingActions.set(role, this.pendingActionCount(role) - 1);
    }
  }

  /** Number of the role's actions that have been sent and not been answered. */
  pendingActionCount(role: RoleName): number {
    return this.pendingActions.get(role) ?? 0;
  }

  private isInDoubt(now: Micros): boolean {
    return now > this.renewedAt + this.options.leaseLife - DOUBT_MARGIN;
  }

  private stateMachine(role: RoleName): RoleStateMachine {
    let machine = this.stateMachines.get(role);
    if (!machine) this.stateMachines.set(role, (machine = new RoleStateMachine(this.options.clock.now())));
    return machine;
  }
}
