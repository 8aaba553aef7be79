/**
 * Adopts machines that are not in the ledger into the fleet: machines from a scale-out response, and machines that
 * appear in the cloud's list only.
 */
import type { TermProof } from '#roles';
import { type Micros, MS, SECOND } from '#wire';
import type { FleetContext } from './fleet-context.js';
import type { Offer } from './offers.js';

/** Time for which the cloud's list may still contain a deleted machine. */
const DELETED_MACHINE_RETENTION: Micros = 120 * SECOND;

/** A machine to adopt. */
export interface AdoptionCandidate extends Offer {
  readonly host: string;
  /** The shard that the machine will belong to. */
  readonly shard: number;
  /** Time since the cloud created the machine, in seconds. */
  readonly ageS: number;
}

/** Adopts each machine at most once, and no machine that was deleted recently. */
export class MachineAdoption {
  /** Time until which a deleted machine is not adopted. Keyed by host. */
  private readonly recentlyDeleted = new Map<string, Micros>();

  constructor(private readonly context: FleetContext) {}

  clear(): void {
    this.recentlyDeleted.clear();
  }

  /** Prevents the adoption of a deleted machine while the cloud's list may still contain it. */
  onDeleted(host: string): void {
    this.recentlyDeleted.set(host, this.context.clock.now() + DELETED_MACHINE_RETENTION);
  }

  /** Adds the machine to the pending changes unless it is in the ledger, pending already or recently deleted. */
  adopt({ host, machineType, zone, spot, shard, ageS }: AdoptionCandidate): void {
    if (!this.isUnknown(host)) return;
    const acquiredAtMs = Math.floor(this.context.clock.wall() / MS - ageS * 1000);
    this.context.changes.addMachine([host, machineType, zone, spot, acquiredAtMs, shard]);
  }

  /** Reads the cloud's list if a read is due, and adopts listed machines that are unknown and have not stopped. */
  async adoptListed(termProof: TermProof): Promise<void> {
    const { machineList, state, clock } = this.context;
    const listed = await machineList.refresh(termProof, state().ledger);
    if (!listed) return;
    const { shardForZone } = state();
    for (const { host, machineType, zone, spot, ageS } of listed) {
      if (machineList.stoppedMachines.has(host) || !this.isUnknown(host)) continue;
      this.adopt({ host, machineType, zone, spot, ageS, shard: shardForZone(zone) });
    }
    const now = clock.now();
    for (const [host, until] of this.recentlyDeleted) if (until < now) this.recentlyDeleted.delete(host);
  }

  private isUnknown(host: string): boolean {
    const { state, changes } = this.context;
    if (state().ledger.machines.has(host) || this.recentlyDeleted.has(host)) return false;
    return !changes.hasMachine(host);
  }
}
