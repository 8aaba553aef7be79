/** A node's duties: the one place that gives out the right to act. */
import { type Clock, type Micros, MS } from '#wire';
import type { DutyHolder, DutyName, RefusedAction } from './duty.js';
import { DutyMachine, type DutyState } from './duty-state.js';
import { TermProof } from './term-proof.js';

/** What the node's copy of the state says of the duties. */
export interface DutySource {
  /** Every duty that somebody holds. */
  holders(): ReadonlyMap<DutyName, DutyHolder>;
  /** This very process holds what is held under this nonce. */
  isOurs(nonce: string): boolean;
}

export interface RegistryParts {
  source: DutySource;
  clock: Clock;
  /** The key that names the holder of a duty in the state service. */
  keyOf: (duty: DutyName) => string;
  /** How long the grant on which all duties of a node hang outlives its last renewal. */
  leaseLife: Micros;
}

/** Taken off the life of a lease, so that it is in doubt on this node before it can be over elsewhere. */
const DOUBT_MARGIN: Micros = 300 * MS;

export class DutyRegistry {
  private readonly machines = new Map<DutyName, DutyMachine>();
  private readonly refusals = new Map<DutyName, RefusedAction>();
  /** Actions of a duty that have been sent and not been answered. */
  private readonly underWay = new Map<DutyName, number>();
  /** Steady time at which the last renewal that succeeded was sent. */
  private renewedAt: Micros = -Infinity;

  constructor(private readonly parts: RegistryParts) {}

  /** Follows what the node's copy of the state says. */
  refresh(): void {
    const { source, clock } = this.parts;
    const now = clock.now();
    const holders = source.holders();
    for (const [duty, holder] of holders) {
      this.machine(duty).observe(holder, source.isOurs(holder.nonce), now);
    }
    for (const [duty, machine] of this.machines) {
      if (!holders.has(duty)) machine.observe(null, false, now);
      if (this.isInDoubt(now)) machine.suspect(now);
      else machine.confirm(now);
    }
  }

  /** The grant was renewed by a request sent at this steady time. */
  renewed(sentAt: Micros): void {
    this.renewedAt = Math.max(this.renewedAt, sentAt);
    this.refresh();
  }

  /** The right to act through the state service, which checks the term of each action; null if there is none. */
  prove(duty: DutyName): TermProof | null {
    this.refresh();
    const machine = this.machine(duty);
    const term = machine.actingTerm;
    if (term === null) return null;
    return new TermProof(duty, term, this.parts.keyOf(duty), () => {
      this.refresh();
      return machine.actingTerm;
    });
  }

  /** Why nothing that can't check terms may be asked under this proof now; null if it may. */
  doubtAbout(proof: TermProof): string | null {
    if (!proof.isCurrent()) return 'the term is over';
    return this.state(proof.duty).name === 'suspected' ? 'the lease was not confirmed in time' : null;
  }

  state(duty: DutyName): DutyState {
    return this.machine(duty).state;
  }

  /** Every duty that this node knows of, in the order of their names. */
  known(): DutyName[] {
    const order = (duty: DutyName): number => (duty === 'lead' ? -1 : duty);
    return [...this.machines.keys()].sort((a, b) => order(a) - order(b));
  }

  acquiring(duty: DutyName): void {
    this.machine(duty).acquire(this.parts.clock.now());
  }

  acquisitionFailed(duty: DutyName): void {
    this.machine(duty).acquisitionFailed(this.parts.clock.now());
  }

  /** Begins to hand a duty over: from here on no right to act is given out. False if it isn't held here. */
  resign(duty: DutyName): boolean {
    this.refresh();
    return this.machine(duty).resign(this.parts.clock.now());
  }

  resignationFailed(duty: DutyName): void {
    this.machine(duty).resignationFailed(this.parts.clock.now());
  }

  /** Time that the lease has left, by this node's own steady clock. */
  leaseLeft(): Micros {
    return Math.max(0, this.renewedAt + this.parts.leaseLife - this.parts.clock.now());
  }

  lastRefusal(duty: DutyName): RefusedAction | null {
    return this.refusals.get(duty) ?? null;
  }

  /** An action was refused: by the state service, or here because its term is over or in doubt. */
  refused(proof: TermProof, action: string, reason: string): void {
    const { duty, term } = proof;
    this.refusals.set(duty, { action, reason, term, at: this.parts.clock.now() });
  }

  /** Follows an action of a duty until it is answered. */
  async track<T>(duty: DutyName, action: Promise<T>): Promise<T> {
    this.underWay.set(duty, this.actionsUnderWay(duty) + 1);
    try {
      return await action;
    } finally {
      this.underWay.set(duty, this.actionsUnderWay(duty) - 1);
    }
  }

  actionsUnderWay(duty: DutyName): number {
    return this.underWay.get(duty) ?? 0;
  }

  private isInDoubt(now: Micros): boolean {
    return now > this.renewedAt + this.parts.leaseLife - DOUBT_MARGIN;
  }

  private machine(duty: DutyName): DutyMachine {
    let machine = this.machines.get(duty);
    if (!machine) this.machines.set(duty, (machine = new DutyMachine(this.parts.clock.now())));
    return machine;
  }
}
