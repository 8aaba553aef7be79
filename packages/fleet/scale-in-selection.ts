/** Selects the machines that leave the fleet: idle ones, and those that are of no more use. */
import type { MachineEntry } from '#cluster';
import { type Micros, SECOND } from '#wire';
import type { FleetContext } from './fleet-context.js';
import { ageOf, isBooting } from './machine-age.js';
import { type IdleMachine, planScaleIn, type ScaleInOptions } from './scale-in-planner.js';

const SCALE_IN_OPTIONS: ScaleInOptions = { ordinary: 15 * SECOND, spot: 40 * SECOND, least: 55 * SECOND };

/** Sets the target of the machines it selects; each is deleted once its owner has released it. */
export class ScaleInSelection {
  /** By host: since when it has been up and without tasks. */
  private readonly idleSince = new Map<string, Micros>();
  private termStartedAt: Micros = 0;

  constructor(private readonly context: FleetContext) {}

  beginTerm(): void {
    this.idleSince.clear();
    this.termStartedAt = this.context.clock.now();
  }

  /** Empty machines that were reclaimed or quarantined, and idle ones unless some shard has unmet demand. */
  selectIdle(hasUnmetDemand: boolean): void {
    const { state, changes, clock } = this.context;
    const { ledger, isInWarmPool } = state();
    const now = clock.now();
    const idle: IdleMachine[] = [];
    for (const machine of ledger.machines.values()) {
      const { host, status, spot } = machine;
      const isEmpty = !ledger.placementsByHost.has(host);
      if (!isEmpty || status !== 'up') this.idleSince.delete(host);
      if (!isEmpty) continue;
      if (status === 'reclaimed' || status === 'quarantined')
        changes.setTransferTarget(host, 'scale_in', status);
      if (status !== 'up') continue;
      const idleFor = this.idleTime(host, now);
      if (!hasUnmetDemand && !isInWarmPool(host))
        idle.push({ host, idleFor, age: ageOf(machine, clock), spot });
    }
    for (const host of planScaleIn(idle, SCALE_IN_OPTIONS))
      changes.setTransferTarget(host, 'scale_in', 'idle');
  }

  /** Machines that are of no more use: once selected, nobody can use them again. */
  selectUnusable(): void {
    const { state, changes } = this.context;
    for (const machine of state().ledger.machines.values()) {
      const reason = machine.destination === 'scale_in' ? null : this.unusableReason(machine);
      if (reason !== null) changes.setTransferTarget(machine.host, 'scale_in', reason);
    }
  }

  /** For how long the machine has been idle; the time starts with the first call. */
  private idleTime(host: string, now: Micros): Micros {
    const since = this.idleSince.get(host) ?? now;
    this.idleSince.set(host, since);
    return now - since;
  }

  private unusableReason(machine: MachineEntry): string | null {
    if (machine.status === 'lost') return 'lost';
    const missingReason = this.context.machineList.missingReason(machine);
    if (missingReason !== null) return missingReason;
    const { workerLease, isPartitioned } = this.context.state();
    // A worker may have come up while its owner could not be reached: a new leader gives it time.
    const isNewTerm = this.context.clock.now() - this.termStartedAt < workerLease;
    const mayBeUp = isNewTerm || isPartitioned(machine.zone);
    return machine.status === 'new' && !isBooting(machine, this.context) && !mayBeUp ? 'late' : null;
  }
}
