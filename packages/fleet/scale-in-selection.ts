/** Selects the machines that leave the fleet: idle machines and unusable ones. */
import type { MachineEntry } from '#cluster';
import { fits, hasZoneConstraint, ZoneConstraint } from '#pricing';
import { type Micros, SECOND } from '#wire';
import type { FleetContext, ShardDemand } from './fleet-context.js';
import { ageOf, isBooting } from './machine-age.js';
import { isFeasible, type Offer, resourcesOf, type UnmetDemand } from './offers.js';
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
   * Selects empty machines that were reclaimed or quarantined, and idle machines unless a shard has unmet demand for them or
   * is to use them. `blockedGangs`: ids of the gangs for which no machines can be requested at present.
   */
  selectIdle(demands: readonly ShardDemand[], blockedGangs: ReadonlySet<string>): void {
    const unmetDemand = demands
      .flatMap((demand) => demand.unmetDemand)
      .filter(({ job }) => !blockedGangs.has(job.id));
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
      if (!isInWarmPool(host) && !isPlanned(host) && !this.mayServe(machine, unmetDemand))
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

  /** True if an idle machine may be of use to one of the demands. */
  private mayServe(machine: MachineEntry, demands: readonly UnmetDemand[]): boolean {
    const type = this.context.state().machineTypes.get(machine.machineType);
    const capacity = type && resourcesOf(type);
    return demands.some((demand) => {
      const { job } = demand;
      // Without zone constraints the forecast does not tell which machines the tasks will use once others are free.
      if (!hasZoneConstraint(job)) return true;
      return capacity !== undefined && fits(job.taskResources, capacity) && isAllowed(demand, machine);
    });
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

/** True if the constraints of the demand's job allow its missing tasks on machines of the offer. */
function isAllowed({ job, canUseOtherZones }: UnmetDemand, offer: Offer): boolean {
  const constrained = canUseOtherZones === true ? { ...job, zone: null } : job;
  // Free capacity that a gang will use counts as used by it already, so its zones are not limited by that here.
  const isZoneAllowed = job.isGang || new ZoneConstraint(constrained).allows(offer.zone);
  return isZoneAllowed && isFeasible(constrained, offer);
}
