/** Deletes machines that are recorded as leaving the fleet, and stopped machines that are not in the ledger. */
import { MAX_MACHINES_PER_DELETE } from '#cloud';
import { ScaleInIntent, type TermProof } from '#roles';
import type { FleetContext } from './fleet-context.js';
import type { MachineAdoption } from './machine-adoption.js';

/** Sends deletion requests to the cloud, one at a time. */
export class MachineDeletion {
  private isDeleting = false;

  constructor(
    private readonly context: FleetContext,
    private readonly adoption: MachineAdoption,
  ) {}

  /** Sends one request that deletes as many of the deletable machines as it can hold. */
  async deleteReleased(termProof: TermProof): Promise<void> {
    if (this.isDeleting) return;
    const intents = [...this.openIntents().values()].slice(0, MAX_MACHINES_PER_DELETE);
    if (intents.length === 0) return;
    this.isDeleting = true;
    const isDeleted = await this.context.cloud.deleteMachines(termProof, intents);
    this.isDeleting = false;
    if (!isDeleted) return;
    const hosts = Object.fromEntries(intents.map(({ host, reason }) => [host, reason] as const));
    this.context.log.info({ hosts }, 'scale-in completed');
    for (const { host } of intents) this.onDeleted(host);
    this.context.requestRound();
  }

  private openIntents(): Map<string, ScaleInIntent> {
    const { machineList, changes, state } = this.context;
    const intents = new Map(machineList.stoppedMachines);
    for (const machine of state().ledger.machines.values()) {
      if (changes.isRemoved(machine.host)) continue;
      const intent = ScaleInIntent.fromRecord(machine, machineList.missingReason(machine));
      if (intent) intents.set(machine.host, intent);
    }
    return intents;
  }

  private onDeleted(host: string): void {
    const { machineList, changes, state } = this.context;
    this.adoption.onDeleted(host);
    machineList.stoppedMachines.delete(host);
    if (state().ledger.machines.has(host)) changes.removeMachine(host);
  }
}
