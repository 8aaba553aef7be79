/** Fleet changes that are decided but not recorded in the leader's log yet. */
import type { Destination, Ledger, Logger, MachineRow, RecordDraft, ScaleOutRow } from '#cluster';

/** The fields of a record draft that hold fleet changes. */
type Changes = Required<
  Pick<RecordDraft, 'machines' | 'removed' | 'scaleOuts' | 'settledScaleOuts' | 'transferTargets'>
>;

function noChanges(): Changes {
  return { machines: [], removed: [], scaleOuts: [], settledScaleOuts: [], transferTargets: [] };
}

/** Collects the fleet changes of a term until a record that contains them is committed. */
export class PendingFleetChanges {
  private changes = noChanges();

  constructor(
    private readonly ledger: () => Ledger,
    private readonly log: Logger,
  ) {}

  get isEmpty(): boolean {
    return Object.values(this.changes).every((rows) => rows.length === 0);
  }

  /** Drops all changes. A new term starts from the state in the log. */
  clear(): void {
    this.changes = noChanges();
  }

  /** Returns the changes for the next record. They stay pending until {@link onRecordCommitted} gets the draft. */
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

  /** Drops the changes that the committed record contains. */
  onRecordCommitted(draft: RecordDraft): void {
    const { changes } = this;
    changes.machines = changes.machines.filter((row) => !draft.machines?.includes(row));
    changes.removed = changes.removed.filter((host) => !draft.removed?.includes(host));
    changes.scaleOuts = changes.scaleOuts.filter((row) => !draft.scaleOuts?.includes(row));
    changes.settledScaleOuts = changes.settledScaleOuts.filter((id) => !draft.settledScaleOuts?.includes(id));
    changes.transferTargets = changes.transferTargets.filter((row) => !draft.transferTargets?.includes(row));
  }

  /** Adds a machine that joins the fleet. */
  addMachine(row: MachineRow): void {
    this.changes.machines.push(row);
  }

  hasMachine(host: string): boolean {
    return this.changes.machines.some(([other]) => other === host);
  }

  /** Removes a machine that no longer exists from the fleet. */
  removeMachine(host: string): void {
    this.changes.removed.push(host);
  }

  isRemoved(host: string): boolean {
    return this.changes.removed.includes(host);
  }

  /** Scale-out requests that are not recorded yet. They are sent only after they are recorded. */
  get scaleOuts(): readonly ScaleOutRow[] {
    return this.changes.scaleOuts;
  }

  addScaleOut(row: ScaleOutRow): void {
    this.changes.scaleOuts.push(row);
  }

  /** Marks a scale-out request as settled. It is not sent again. */
  settleScaleOut(requestId: string): void {
    this.changes.settledScaleOuts.push(requestId);
  }

  isScaleOutSettled(requestId: string): boolean {
    return this.changes.settledScaleOuts.includes(requestId);
  }

  /** Sets the target of a machine. Has no effect on a machine whose target is scale-in, which is final. */
  setTransferTarget(host: string, target: Destination, reason: string): void {
    const machine = this.ledger().machines.get(host);
    if (!machine || machine.destination === target || machine.destination === 'scale_in') return;
    if (this.changes.transferTargets.some(([other]) => other === host)) return;
    this.changes.transferTargets.push([host, target]);
    this.log.debug({ host, fromShard: machine.shard, target, reason }, 'machine target set');
  }

  /**
   * Drops changes that the ledger already contains. A record whose commit response was lost may have been committed
   * although its rows are still pending here. If they were written again, the ID of a scale-out request that was
   * settled in the meantime would be used twice.
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
