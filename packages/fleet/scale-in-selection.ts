/** Selects the machines that leave the fleet: idle machines and unusable ones. */
import type { MachineEntry } from '#cluster';
import { type Micros, SECOND } from '#wire';
import type { FleetContext, ShardDemand } from './fleet-context.js';
import { ageOf, isBooting } from './machine-age.js';
import { type IdleMachine, planScaleIn, type ScaleInOptions } from './scale-in-planner.js';

const SCALE_IN_OPTIONS: ScaleInOptions = {
  onDemandIdleTime: 15 * SECOND,
  spotIdleTime: 40 * SECOND,
  minBilledTime: 55 * SECOND,
};

/** Sets the target of the selected machines to scale-in. Each is deleted after its owner has released it. */
export class ScaleInSelection {
  /** Monotonic time from which a machine has been up without tasks. Keyed by host. */
  private readonly idleSince = new Map<string, Micros>();
  private termStartedAt: Micros = 0;

  constructor(private readonly context: FleetContext) {}

  beginTerm(): void {
    this.idleSince.clear();
    this.termStartedAt = this.context.clock.now();
  }

  /**
   * Selects empty machines that were reclaimed or quarantined, and idle machines unless a shard has unmet demand or is to
   * use them.
   */
  selectIdle(demands: readonly ShardDemand[]): void {
    const hasUnmetDemand = demands.some(({ unmetDemand }) => unmetDemand.length > 0);
    const isPlanned = (host: string): boolean => demands.some(({ plannedHosts }) => plannedHosts.has(host));
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
      if (!hasUnmetDemand && !isInWarmPool(host) && !isPlanned(host))
        idle.push({ host, idleFor, age: ageOf(machine, clock), spot });
    }
    for (const host of planScaleIn(idle, SCALE_IN_OPTIONS))
      changes.setTransferTarget(host, 'scale_in', 'idle');
  }

  /** Selects machines that are lost, stopped, gone or late to boot. The selection is final. */
  selectUnusable(): void {
    const { state, changes } = this.context;
    for (const machine of state().ledger.machines.values()) {
      const reason = machine.destination === 'scale_in' ? null : this.unusableReason(machine);
      if (reason !== null) changes.setTransferTarget(machine.host, 'scale_in', reason);
    }
  }

  /** Returns how long the machine has been idle. The time starts with the first call for the machine. */
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
    // A worker may have come up while its owner was unreachable, so a new leader gives it time to send a heartbeat.
    const isNewTerm = this.context.clock.now() - this.termStartedAt < workerLease;
    const mayBeUp = isNewTerm || isPartitioned(machine.zone);
    return machine.status === 'new' && !isBooting(machine, this.context) && !mayBeUp ? 'late' : null;
  }
}
