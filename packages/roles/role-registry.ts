/** Registry of the roles of a node. Only the registry issues proofs that the node may act under a role. */
import { type Clock, type Micros, MS } from '#wire';
import type { RoleHolder, RoleName, RefusedAction } from './role.js';
import { RoleStateMachine, type RoleState } from './role-state-machine.js';
import { TermProof } from './term-proof.js';

/** The role holders as the node's replica shows them. */
export interface RoleSource {
  /** Returns every role that a member holds, with its holder. */
  holders(): ReadonlyMap<RoleName, RoleHolder>;
  /** Returns true if the nonce belongs to this process. */
  isOurs(nonce: string): boolean;
}

/** Dependencies of {@link RoleRegistry}. */
export interface RoleRegistryOptions {
  readonly source: RoleSource;
  readonly clock: Clock;
  /** Returns the key that holds a role's record in the state service. The record names the role's holder. */
  readonly keyOf: (role: RoleName) => string;
  /** Duration of the node's lease, counted from its last renewal. All roles of a node are bound to this lease. */
  readonly leaseDuration: Micros;
}

/**
 * Safety margin subtracted from the lease duration, so that this node suspects its lease before the lease can have
 * expired in the state service.
 */
const LEASE_SAFETY_MARGIN: Micros = 300 * MS;

/**
 * The state of every role as this node observes it. Issues proofs that the node may act under the roles that it
 * holds.
 */
export class RoleRegistry {
  private readonly stateMachines = new Map<RoleName, RoleStateMachine>();
  private readonly refusals = new Map<RoleName, RefusedAction>();
  /** Number of actions that have been sent and not yet been answered. Keyed by role. */
  private readonly pendingActions = new Map<RoleName, number>();
  /** Monotonic time at which the last successful lease renewal was sent. */
  private lastRenewalSentAt: Micros = -Infinity;

  constructor(private readonly options: RoleRegistryOptions) {}

  /** Updates the states from the node's replica and from the age of its lease. */
  refresh(): void {
    const { source, clock } = this.options;
    const now = clock.now();
    const holders = source.holders();
    for (const [role, holder] of holders) {
      this.stateMachine(role).observe(holder, source.isOurs(holder.nonce), now);
    }
    for (const [role, machine] of this.stateMachines) {
      if (!holders.has(role)) machine.observe(null, false, now);
      if (this.isLeaseSuspected(now)) machine.suspect(now);
      else machine.confirm(now);
    }
  }

  /** Records that the lease was renewed by a request sent at this monotonic time. */
  onLeaseRenewed(sentAt: Micros): void {
    this.lastRenewalSentAt = Math.max(this.lastRenewalSentAt, sentAt);
    this.refresh();
  }

  /**
   * Returns a proof that this node may act under the role through the state service, which checks the term of each
   * action. Returns null if the node may not act.
   */
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

  /**
   * Returns the reason why this proof doesn't permit a call to a service that can't check terms, or null if it permits
   * the call.
   */
  unfencedCallRefusal(termProof: TermProof): string | null {
    if (!termProof.isCurrent()) return 'the term is over';
    return this.state(termProof.role).name === 'suspected' ? 'the lease was not confirmed in time' : null;
  }

  /** Returns the state of the role as this node observed it at the last refresh. */
  state(role: RoleName): RoleState {
    return this.stateMachine(role).state;
  }

  /** Returns every role that this node has observed: first the leader, then the shard owners by shard number. */
  observedRoles(): RoleName[] {
    const order = (role: RoleName): number => (role === 'lead' ? -1 : role);
    return [...this.stateMachines.keys()].sort((a, b) => order(a) - order(b));
  }

  /** Records that this node requests the role. */
  beginAcquisition(role: RoleName): void {
    this.stateMachine(role).acquire(this.options.clock.now());
  }

  /** Records that the request for the role was refused or that its outcome is unknown. */
  acquisitionFailed(role: RoleName): void {
    this.stateMachine(role).acquisitionFailed(this.options.clock.now());
  }

  /**
   * Begins to resign from a role. The registry issues no proofs for the role from then on. Returns false if this node
   * doesn't hold the role, or suspects its lease.
   */
  resign(role: RoleName): boolean {
    this.refresh();
    return this.stateMachine(role).resign(this.options.clock.now());
  }

  /** Records that the resignation was aborted. The term continues. */
  resignationFailed(role: RoleName): void {
    this.stateMachine(role).resignationFailed(this.options.clock.now());
  }

  /** Returns the time until the lease expires by this node's monotonic clock. */
  remainingLease(): Micros {
    return Math.max(0, this.lastRenewalSentAt + this.options.leaseDuration - this.options.clock.now());
  }

  /** Returns the role's last refused action, or null if none was refused. */
  lastRefusal(role: RoleName): RefusedAction | null {
    return this.refusals.get(role) ?? null;
  }

  /**
   * Records that an action was refused, either by the state service or on this node because the term is over or the
   * lease is suspected.
   */
  recordRefusal(termProof: TermProof, action: string, reason: string): void {
    const { role, term } = termProof;
    this.refusals.set(role, { action, reason, term, at: this.options.clock.now() });
  }

  /** Counts an action of a role as pending until its promise settles. Returns the result of the action. */
  async track<T>(role: RoleName, action: Promise<T>): Promise<T> {
    this.pendingActions.set(role, this.pendingActionCount(role) + 1);
    try {
      return await action;
    } finally {
      this.pendingActions.set(role, this.pendingActionCount(role) - 1);
    }
  }

  /** Returns the number of the role's actions that have been sent and not yet been answered. */
  pendingActionCount(role: RoleName): number {
    return this.pendingActions.get(role) ?? 0;
  }

  private isLeaseSuspected(now: Micros): boolean {
    return now > this.lastRenewalSentAt + this.options.leaseDuration - LEASE_SAFETY_MARGIN;
  }

  private stateMachine(role: RoleName): RoleStateMachine {
    let machine = this.stateMachines.get(role);
    if (!machine) this.stateMachines.set(role, (machine = new RoleStateMachine(this.options.clock.now())));
    return machine;
  }
}
