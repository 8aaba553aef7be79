/** Changes of the fleet that are decided and not recorded in the leader's log yet. */
import type { Destination, Ledger, Logger, MachineRow, RecordDraft, ScaleOutRow } from '#cluster';

type Changes = Required<
  Pick<RecordDraft, 'machines' | 'removed' | 'scaleOuts' | 'settledScaleOuts' | 'transferTargets'>
>;

function noChanges(): Changes {
  return { machines: [], removed: [], scaleOuts: [], settledScaleOuts: [], transferTargets: [] };
}

/** Gathers the changes of a term until a record with them is committed. */
export class PendingFleetChanges {
  private changes = noChanges();

  constructor(
    private readonly ledger: () => Ledger,
    private readonly log: Logger,
  ) {}

  get isEmpty(): boolean {
    return Object.values(this.changes).every((rows) => rows.length === 0);
  }

  /** Drops all changes: a new term starts from what the log says. */
  clear(): void {
    this.changes = noChanges();
  }

  /** What is to go into the next record; it stays pending until {@link onRecordCommitted} is called with it. */
  draft(): RecordDraft {
    this.dropRecorded();
    const { machines, removed, scaleOuts, settledScaleOuts, transferTargets } = this.changes;
    return {
      machines: [...machines],
      removed: [...removed],
      scaleOuts: [...scaleOuts],
      settledScaleOuts: [...settledScaleOuts],
      transferTargets: [...transferTargets],
    };
  }

  /** Drops what the committed record holds. */
  onRecordCommitted(draft: RecordDraft): void {
    const { changes } = this;
    changes.machines = changes.machines.filter((row) => !draft.machines?.includes(row));
    changes.removed = changes.removed.filter((host) => !draft.removed?.includes(host));
    changes.scaleOuts = changes.scaleOuts.filter((row) => !draft.scaleOuts?.includes(row));
    changes.settledScaleOuts = changes.settledScaleOuts.filter((id) => !draft.settledScaleOuts?.includes(id));
    changes.transferTargets = changes.transferTargets.filter((row) => !draft.transferTargets?.includes(row));
  }

  /** A machine joins the fleet. */
  addMachine(row: MachineRow): void {
    this.changes.machines.push(row);
  }

  hasMachine(host: string): boolean {
    return this.changes.machines.some(([other]) => other === host);
  }

  /** A machine is gone for good. */
  removeMachine(host: string): void {
    this.changes.removed.push(host);
  }

  isRemoved(host: string): boolean {
    return this.changes.removed.includes(host);
  }

  /** Scale-out requests that are to be recorded, and sent only then. */
  get scaleOuts(): readonly ScaleOutRow[] {
    return this.changes.scaleOuts;
  }

  addScaleOut(row: ScaleOutRow): void {
    this.changes.scaleOuts.push(row);
  }

  /** The scale-out request is answered and not sent again. */
  settleScaleOut(requestId: string): void {
    this.changes.settledScaleOuts.push(requestId);
  }

  isScaleOutSettled(requestId: string): boolean {
    return this.changes.settledScaleOuts.includes(requestId);
  }

  /** Sets where a machine goes. A machine that is to be deleted stays so: that is final. */
  setTransferTarget(host: string, target: Destination, reason: string): void {
    const machine = this.ledger().machines.get(host);
    if (!machine || machine.destination === target || machine.destination === 'scale_in') return;
    if (this.changes.transferTargets.some(([other]) => other === host)) return;
    this.changes.transferTargets.push([host, target]);
    this.log.debug({ host, fromShard: machine.shard, target, reason }, 'machine target set');
  }

  /**
   * A record whose answer was lost may have been committed all the same, while its rows are still pending here. Written
   * again, the ID of a scale-out request that is settled in between would be used twice.
   */
  private dropRecorded(): void {
    const ledger = this.ledger();
    const { changes } = this;
    changes.scaleOuts = changes.scaleOuts.filter(([id]) => !ledger.pendingScaleOuts.has(id));
    changes.settledScaleOuts = changes.settledScaleOuts.filter((id) => ledger.pendingScaleOuts.has(id));
    changes.machines = changes.machines.filter(([host]) => !ledger.machines.has(host));
    changes.removed = changes.removed.filter((host) => ledger.machines.has(host));
  }
}
