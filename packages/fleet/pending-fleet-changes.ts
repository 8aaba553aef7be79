/** Fleet changes that are decided but not recorded in the leader's log yet. */
import type { Destination, Ledger, Logger, MachineRow, RecordDraft, ScaleOutRow } from '#cluster';

/** Collects the fleet changes of a term until a record that contains them is committed. */
export class PendingFleetChanges {
  /** Machines that join the fleet. Keyed by host. */
  private readonly machines = new Map<string, MachineRow>();
  /** Hosts of machines that no longer exist. */
  private readonly removed = new Set<string>();
  /** Scale-out requests that are not recorded yet. Keyed by request id. */
  private readonly requests = new Map<string, ScaleOutRow>();
  /** Ids of requests that are not sent again. */
  private readonly settledRequests = new Set<string>();
  /** Keyed by host. */
  private readonly transferTargets = new Map<string, [host: string, target: Destination]>();

  constructor(
    private readonly ledger: () => Ledger,
    private readonly log: Logger,
  ) {}

  get isEmpty(): boolean {
    return this.collections().every(({ size }) => size === 0);
  }

  /** Drops all changes. A new term starts from the state in the log. */
  clear(): void {
    for (const collection of this.collections()) collection.clear();
  }

  /** Returns the changes for the next record. They stay pending until {@link onRecordCommitted} gets the draft. */
  draft(): RecordDraft {
    this.dropRecorded();
    return {
      machines: [...this.machines.values()],
      removed: [...this.removed],
      scaleOuts: [...this.requests.values()],
      settledScaleOuts: [...this.settledRequests],
      transferTargets: [...this.transferTargets.values()],
    };
  }

  /** Drops the changes that the committed record contains. */
  onRecordCommitted(draft: RecordDraft): void {
    deleteRows(this.machines, draft.machines);
    deleteRows(this.requests, draft.scaleOuts);
    deleteRows(this.transferTargets, draft.transferTargets);
    for (const host of draft.removed ?? []) this.removed.delete(host);
    for (const id of draft.settledScaleOuts ?? []) this.settledRequests.delete(id);
  }

  /** Adds a machine that joins the fleet. */
  addMachine(row: MachineRow): void {
    this.machines.set(row[0], row);
  }

  hasMachine(host: string): boolean {
    return this.machines.has(host);
  }

  /** Removes a machine that no longer exists from the fleet. */
  removeMachine(host: string): void {
    this.removed.add(host);
  }

  isRemoved(host: string): boolean {
    return this.removed.has(host);
  }

  /** Scale-out requests that are not recorded yet. They are sent only after they are recorded. */
  get scaleOuts(): Iterable<ScaleOutRow> {
    return this.requests.values();
  }

  get scaleOutCount(): number {
    return this.requests.size;
  }

  addScaleOut(row: ScaleOutRow): void {
    this.requests.set(row[0], row);
  }

  /** Marks a scale-out request as settled. It is not sent again. */
  settleScaleOut(requestId: string): void {
    this.settledRequests.add(requestId);
  }

  isScaleOutSettled(requestId: string): boolean {
    return this.settledRequests.has(requestId);
  }

  /** Sets the target of a machine. Has no effect on a machine whose target is scale-in, which is final. */
  setTransferTarget(host: string, target: Destination, reason: string): void {
    const machine = this.ledger().machines.get(host);
    if (!machine || machine.destination === target || machine.destination === 'scale_in') return;
    if (this.transferTargets.has(host)) return;
    this.transferTargets.set(host, [host, target]);
    this.log.debug({ host, fromShard: machine.shard, target, reason }, 'machine target set');
  }

  private collections(): readonly (Map<string, unknown> | Set<string>)[] {
    return [this.machines, this.removed, this.requests, this.settledRequests, this.transferTargets];
  }

  /**
   * Drops changes that the ledger already contains. A record whose commit response was lost may have been committed
   * although its rows are still pending here. If they were written again, the ID of a scale-out request that was
   * settled in the meantime would be used twice.
   */
  private dropRecorded(): void {
    const ledger = this.ledger();
    for (const id of this.requests.keys()) if (ledger.pendingScaleOuts.has(id)) this.requests.delete(id);
    for (const id of this.settledRequests)
      if (!ledger.pendingScaleOuts.has(id)) this.settledRequests.delete(id);
    for (const host of this.machines.keys()) if (ledger.machines.has(host)) this.machines.delete(host);
    for (const host of this.removed) if (!ledger.machines.has(host)) this.removed.delete(host);
  }
}

/** Deletes the rows that are still the same: a row of the same key may have been added after the draft was made. */
function deleteRows<Row extends readonly [key: string, ...cells: unknown[]]>(
  pending: Map<string, Row>,
  recorded: readonly Row[] | undefined,
): void {
  for (const row of recorded ?? []) if (pending.get(row[0]) === row) pending.delete(row[0]);
}
