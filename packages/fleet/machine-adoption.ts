/** Takes machines that no record knows into the fleet: those of an answered scale-out request, and those only listed. */
import type { TermProof } from '#roles';
import { type Micros, MS, SECOND } from '#wire';
import type { FleetContext } from './fleet-context.js';
import type { Offer } from './offers.js';

/** The cloud's list may show a deleted machine for so long. */
const DELETED_MACHINE_RETENTION: Micros = 120 * SECOND;

/** A machine that is to be adopted. */
export interface AdoptedMachine extends Offer {
  readonly host: string;
  /** The shard that it will belong to. */
  readonly shard: number;
  /** Since the cloud created it, in seconds. */
  readonly ageS: number;
}

/** Adopts each machine once, and none that was deleted of late. */
export class MachineAdoption {
  /** By host: until when a deleted machine is not adopted. */
  private readonly recentlyDeleted = new Map<string, Micros>();

  constructor(private readonly context: FleetContext) {}

  clear(): void {
    this.recentlyDeleted.clear();
  }

  onDeleted(host: string): void {
    this.recentlyDeleted.set(host, this.context.clock.now() + DELETED_MACHINE_RETENTION);
  }

  /** Adds the machine to the pending changes unless it is known. */
  adopt({ host, machineType, zone, spot, shard, ageS }: AdoptedMachine): void {
    if (!this.isUnknown(host)) return;
    const acquiredAtMs = Math.floor(this.context.clock.wall() / MS - ageS * 1000);
    this.context.changes.addMachine([host, machineType, zone, spot, acquiredAtMs, shard]);
  }

  /** Machines that the list shows and no record knows join a shard. */
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
