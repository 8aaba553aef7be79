/** The leader's view of the fleet: scale-out, scale-in and the targets of machines. */
import type { Destination, Logger, RecordDraft } from '#cluster';
import type { FencedCloud, TermProof } from '#roles';
import type { Clock } from '#wire';
import type { FleetState, ShardDemand } from './fleet-context.js';
import { MachineAdoption } from './machine-adoption.js';
import { MachineDeletion } from './machine-deletion.js';
import { MachineList } from './machine-list.js';
import { PendingFleetChanges } from './pending-fleet-changes.js';
import { ScaleInSelection } from './scale-in-selection.js';
import { ScaleOutRequests } from './scale-out-requests.js';

/** What a {@link FleetManager} is made of. */
export interface FleetManagerOptions {
  readonly cloud: FencedCloud;
  readonly clock: Clock;
  /** What the leader knows of the cluster at this moment. */
  readonly state: () => FleetState;
  readonly log: Logger;
  /** Has the node's next scheduling round begin soon. */
  readonly requestRound: () => void;
}

/**
 * Scales the fleet for the leader. What is to be written into the leader's log is gathered as pending changes; what is
 * asked of the cloud is taken from the ledger, so that a request is always recorded before it is made. The cloud may
 * execute it minutes late, under a successor: so a machine is recorded as leaving first, which is final, and deleted
 * once its owner has released it or the cloud's list shows that it stopped or is gone.
 */
export class FleetManager {
  private readonly changes: PendingFleetChanges;
  private readonly machineList: MachineList;
  private readonly adoption: MachineAdoption;
  private readonly scaleOut: ScaleOutRequests;
  private readonly scaleIn: ScaleInSelection;
  private readonly deletion: MachineDeletion;
  /** The term of the leader under which everything is asked. */
  private termProof: TermProof | null = null;

  private readonly state: () => FleetState;
  private readonly requestRound: () => void;

  constructor({ cloud, clock, state, log, requestRound }: FleetManagerOptions) {
    this.state = state;
    this.requestRound = requestRound;
    this.changes = new PendingFleetChanges(() => state().ledger, log);
    this.machineList = new MachineList(cloud, clock, () => state().machineListLag);
    const { changes, machineList } = this;
    const context = { cloud, clock, state, log, requestRound, changes, machineList };
    this.adoption = new MachineAdoption(context);
    this.scaleOut = new ScaleOutRequests(context, this.adoption);
    this.scaleIn = new ScaleInSelection(context);
    this.deletion = new MachineDeletion(context, this.adoption);
  }

  /** A new term starts from what the log says. */
  beginTerm(termProof: TermProof): void {
    this.termProof = termProof;
    this.changes.clear();
    this.scaleOut.beginTerm();
    this.adoption.clear();
    this.machineList.beginTerm();
    this.scaleIn.beginTerm();
  }

  /** What is to go into the next record; it stays pending until {@link onRecordCommitted} is called with it. */
  draft(): RecordDraft {
    return this.changes.draft();
  }

  onRecordCommitted(draft: RecordDraft): void {
    this.changes.onRecordCommitted(draft);
  }

  /** Sets where a machine goes: to another shard, or back to the cloud, which is final. */
  setTransferTarget(host: string, target: Destination, reason: string): void {
    this.changes.setTransferTarget(host, target, reason);
  }

  /** One step: scales out for the demand, scales in what idles, and carries out what is recorded. */
  step(shards: readonly ShardDemand[]): void {
    const { termProof } = this;
    if (!termProof) return;
    this.machineList.trackMachines(this.state().ledger);
    for (const shard of shards) this.scaleOut.plan(shard, termProof);
    this.scaleOut.sendAll(termProof);
    void this.adoption.adoptListed(termProof);
    this.scaleIn.selectIdle(shards.some((shard) => shard.unmetDemand.length > 0));
    this.scaleIn.selectUnusable();
    void this.deletion.deleteReleased(termProof);
    if (!this.changes.isEmpty) this.requestRound();
  }

  /**
   * Deletes what the record just committed allows to delete, without waiting for the next step: on a large fleet that
   * is seconds away, and tasks on machines that are gone start elsewhere only once the deletion is answered.
   */
  deleteReleasedMachines(): void {
    if (this.termProof) void this.deletion.deleteReleased(this.termProof);
  }
}
