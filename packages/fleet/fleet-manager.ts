/** Manages the fleet for the leader: scale-out, scale-in and the transfer targets of machines. */
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

/** Dependencies of {@link FleetManager}. */
export interface FleetManagerOptions {
  readonly cloud: FencedCloud;
  readonly clock: Clock;
  /** Returns the cluster state as the leader currently sees it. */
  readonly state: () => FleetState;
  readonly log: Logger;
  /** Requests that the node's next scheduling round begins soon. */
  readonly requestRound: () => void;
}

/**
 * Scales the fleet for the leader. Changes for the leader's log are collected as pending changes. Requests to the cloud
 * are derived from the ledger only, so every request is recorded before it is sent. The cloud may execute a request
 * minutes late, when another node is leader. Therefore a machine is first recorded as leaving, which is final. It is
 * deleted only after its owner has released it, or after the cloud's list shows that it stopped or no longer exists.
 */
export class FleetManager {
  private readonly changes: PendingFleetChanges;
  private readonly machineList: MachineList;
  private readonly adoption: MachineAdoption;
  private readonly scaleOut: ScaleOutRequests;
  private readonly scaleIn: ScaleInSelection;
  private readonly deletion: MachineDeletion;
  /** Proof of the leader's current term, which every request to the cloud requires; null before the first term. */
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

  /** Starts a new term. Everything collected in earlier terms is discarded; the log is the only source of state. */
  beginTerm(termProof: TermProof): void {
    this.termProof = termProof;
    this.changes.clear();
    this.scaleOut.beginTerm();
    this.adoption.clear();
    this.machineList.beginTerm();
    this.scaleIn.beginTerm();
  }

  /** Returns the changes for the next record. They stay pending until {@link onRecordCommitted} gets the draft. */
  draft(): RecordDraft {
    return this.changes.draft();
  }

  onRecordCommitted(draft: RecordDraft): void {
    this.changes.onRecordCommitted(draft);
  }

  /** Sets the target of a machine: another shard, or scale-in, which is final. */
  setTransferTarget(host: string, target: Destination, reason: string): void {
    this.changes.setTransferTarget(host, target, reason);
  }

  /** Runs one step: plans scale-out for unmet demand, selects machines to scale in, and sends the recorded requests. */
  step(demands: readonly ShardDemand[]): void {
    const { termProof } = this;
    if (!termProof) return;
    this.machineList.trackMachines(this.state().ledger);
    const blockedGangs = this.scaleOut.plan(demands, termProof);
    this.scaleOut.sendAll(termProof);
    void this.adoption.adoptListed(termProof);
    this.scaleIn.selectIdle(demands, blockedGangs);
    this.scaleIn.selectUnusable();
    void this.deletion.deleteReleased(termProof);
    if (!this.changes.isEmpty) this.requestRound();
  }

  /**
   * Deletes the machines that the last committed record allows to delete, without waiting for the next step. On a large
   * fleet the next step is seconds away, and tasks of machines that no longer exist start elsewhere only after the
   * cloud has confirmed the deletion.
   */
  deleteReleasedMachines(): void {
    if (this.termProof) void this.deletion.deleteReleased(this.termProof);
  }
}
