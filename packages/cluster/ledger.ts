/** The placement state: machines, pending scale-outs, prices and placed tasks, from checkpoint and logs. */
import { attemptNumber } from './attempt-numbers.js';
import { isGangComplete, mayJoinGang } from './gang.js';
import { FailureEvidence } from './failure-evidence.js';
import { JobProgress } from './job-progress.js';
import type { LogId } from './keys.js';
import { type GroupStart, newMachine, newPendingScaleOut, newPlacement } from './ledger-entries.js';
import type {
  CompletionRow,
  MachineEntry,
  MachineRow,
  PendingScaleOut,
  Placement,
  PlacementRecord,
  Positions,
  PriceRow,
  ResourceDemand,
  ScaleOutRow,
  ShapePrice,
  TaskRow,
} from './placement.js';
import { PlacementIndex } from './placement-index.js';
import { decodeCheckpointRows } from './stored/checkpoint-codec.js';
import type { CheckpointRow } from './stored/checkpoint-row.js';

/** Number of images that a machine is assumed to have cached: those of its last starts. */
const MAX_CACHED_IMAGES = 16;

/**
 * The placement state: a pure reducer over a checkpoint and the records after it, in the order of their commits. Every
 * node has a ledger, and all ledgers agree, since nothing else changes them. A change has no effect if its writer was
 * not entitled to it at that point of the order, such as a start on a machine that has left the shard.
 */
export class Ledger {
  /** Keyed by log. Sequence of the last applied record. */
  private readonly positions = new Map<LogId, number>();
  private readonly index = new PlacementIndex();
  /** Keyed by job id. */
  readonly jobs = new Map<string, JobProgress>();
  /** Failures of jobs and machines since their last done task. */
  readonly failures = new FailureEvidence();
  /** Keyed by host. */
  readonly machines = new Map<string, MachineEntry>();
  /** Keyed by request id. */
  readonly pendingScaleOuts = new Map<string, PendingScaleOut>();
  /** Incremented when machines are added, removed or transferred, so that readers can skip unchanged ownerships. */
  ownershipChangeCount = 0;
  /** Keyed by shard, then by shape. Prices of the last scheduling round of the shard's owner. */
  readonly prices = new Map<number, Map<string, ShapePrice>>();

  /** Returns the sequence of the last applied record of this log; 0 before the first record. */
  position(log: LogId): number {
    return this.positions.get(log) ?? 0;
  }

  /** Sum of all positions: the number of records ever written to the logs. */
  get totalRecords(): number {
    let sum = 0;
    for (const sequence of this.positions.values()) sum += sequence;
    return sum;
  }

  /** Returns the position in every log. */
  allPositions(): Positions {
    return Object.fromEntries([...this.positions].map(([log, sequence]) => [String(log), sequence]));
  }

  /** Returns the progress of a job. Creates it if there is none yet. */
  jobProgress(job: string): JobProgress {
    let progress = this.jobs.get(job);
    if (!progress) this.jobs.set(job, (progress = new JobProgress()));
    return progress;
  }

  /** Returns the placement of a task that is, or may be, on a machine. */
  placement(job: string, index: number): Placement | undefined {
    return this.jobs.get(job)?.placements.get(index);
  }

  /** Returns true if all tasks of the placement's gang are placed; see {@link isGangComplete}. */
  isGangComplete(placement: Placement): boolean {
    const progress = this.jobs.get(placement.job);
    return progress !== undefined && isGangComplete(progress, placement);
  }

  /** Keyed by host, then by task name. Machines without placements have no entry. */
  get placementsByHost(): ReadonlyMap<string, ReadonlyMap<string, Placement>> {
    return this.index.byHost;
  }

  /** Returns the placements on a machine, in the order of their starts. */
  placementsOn(host: string): Iterable<Placement> {
    return this.index.onHost(host);
  }

  /** Returns the sum of the resources that a team's placements use. */
  teamUsage(team: string): ResourceDemand {
    return this.index.teamUsage(team);
  }

  /** Applies the record if it is the next of its log. Returns false if there is a gap before it. */
  apply(log: LogId, record: PlacementRecord): boolean {
    const last = this.position(log);
    if (record.sequence <= last) return true;
    if (record.sequence !== last + 1) return false;
    this.positions.set(log, record.sequence);
    if (record.removed ?? record.machines ?? record.acquisitions ?? record.releases)
      this.ownershipChangeCount++;
    if (log === 'lead') this.applyLeaderRecord(record);
    else this.applyShardRecord(log, record);
    return true;
  }

  /** Drops the progress of a job that is no longer live, unless it still has placements. */
  dropJob(job: string): void {
    if (this.jobs.get(job)?.placements.size !== 0) return;
    this.jobs.delete(job);
    this.failures.dropJob(job);
  }

  /** Loads a checkpoint into this ledger, which must be empty. */
  restore(positions: Positions, rows: readonly CheckpointRow[]): void {
    this.ownershipChangeCount++;
    for (const [log, sequence] of Object.entries(positions)) {
      this.positions.set(log === 'lead' ? 'lead' : Number(log), sequence);
    }
    decodeCheckpointRows(rows, {
      restoreMachine: (machine) => this.machines.set(machine.host, machine),
      restoreScaleOut: (scaleOut) => this.pendingScaleOuts.set(scaleOut.id, scaleOut),
      restorePrice: (shard, shape, row) => {
        this.setPrice(shard, shape, row);
      },
      restoreDoneTasks: (job, ranges) => {
        this.jobProgress(job).done.addRanges(ranges);
      },
      restoreStartGroup: (group, attempt, startedAtMs) => {
        for (const task of group.tasks) this.addPlacement(task, { group, attempt, startedAtMs });
      },
    });
  }

  private applyLeaderRecord(record: PlacementRecord): void {
    for (const host of record.removed ?? []) this.removeMachine(host);
    for (const row of record.machines ?? []) this.addMachine(row);
    for (const scaleOut of record.settledScaleOuts ?? []) this.pendingScaleOuts.delete(scaleOut);
    for (const row of record.scaleOuts ?? []) this.addScaleOut(row, record.recordedAtMs);
    for (const [host, destination] of record.transferTargets ?? []) {
      const machine = this.machines.get(host);
      if (!machine || machine.destination === 'scale_in') continue;
      machine.destination = machine.shard === destination ? null : destination;
    }
  }

  /** Applies completions before starts, since starts may use the resources that completions of the record free. */
  private applyShardRecord(shard: number, record: PlacementRecord): void {
    this.applyCompletions(shard, record);
    this.applyStatuses(shard, record);
    this.applyAcquisitions(shard, record);
    this.applyStarts(shard, record);
    this.applyReleases(shard, record);
    for (const [shape, row] of Object.entries(record.prices ?? {})) this.setPrice(shard, shape, row);
  }

  private applyCompletions(shard: number, record: PlacementRecord): void {
    for (const completion of record.completions ?? []) {
      const [job, index, , outcome] = completion;
      const placement = this.placement(job, index);
      const machine = placement && this.ownedMachine(shard, placement.host);
      if (!machine || !this.endAttempt(completion)) continue;
      const progress = this.jobProgress(job);
      if (outcome === 'done') this.failures.onDone(job, machine);
      else if (outcome === 'failed')
        this.failures.onFailed({ placement, machine, progress, failedAtMs: record.recordedAtMs });
    }
  }

  private applyStatuses(shard: number, record: PlacementRecord): void {
    for (const [host, status] of record.statuses ?? []) {
      const machine = this.ownedMachine(shard, host);
      if (machine) machine.status = status;
    }
  }

  private applyAcquisitions(shard: number, record: PlacementRecord): void {
    for (const host of record.acquisitions ?? []) {
      const machine = this.machines.get(host);
      if (machine?.shard !== null || machine.destination !== shard) continue;
      machine.shard = shard;
      machine.destination = null;
      machine.ownershipCount++;
    }
  }

  private applyStarts(shard: number, record: PlacementRecord): void {
    for (const group of record.starts ?? []) {
      if (group.gang && !mayJoinGang(this.jobProgress(group.job), group.gang)) continue;
      const attempt = group.gang?.attempt ?? attemptNumber(shard, record.sequence);
      const start: GroupStart = { group, attempt, startedAtMs: record.recordedAtMs };
      for (const task of group.tasks) this.startTask(shard, task, start);
    }
  }

  private startTask(shard: number, task: TaskRow, start: GroupStart): void {
    const { job, image } = start.group;
    const [index, host] = task;
    const isAlreadyStarted = this.placement(job, index) ?? this.jobs.get(job)?.done.has(index);
    const machine = this.ownedMachine(shard, host);
    if (!machine || isAlreadyStarted) return;
    const otherImages = machine.cachedImages.filter((cached) => cached !== image);
    machine.cachedImages = [...otherImages, image].slice(-MAX_CACHED_IMAGES);
    this.addPlacement(task, start);
  }

  private applyReleases(shard: number, record: PlacementRecord): void {
    for (const [host, lastHeartbeat] of record.releases ?? []) {
      const machine = this.ownedMachine(shard, host);
      if (!machine) continue;
      // The leader named no destination, so the machine stays in its shard.
      if (machine.destination === null) continue;
      machine.shard = null;
      machine.lastHeartbeat = lastHeartbeat;
    }
  }

  /** Returns the machine if it belongs to this shard, or else null. */
  private ownedMachine(shard: number, host: string): MachineEntry | null {
    const machine = this.machines.get(host);
    return machine?.shard === shard ? machine : null;
  }

  private addMachine(row: MachineRow): void {
    const [host] = row;
    if (!this.machines.has(host)) this.machines.set(host, newMachine(row));
  }

  private addScaleOut(row: ScaleOutRow, requestedAtMs: number): void {
    const scaleOut = newPendingScaleOut(row, requestedAtMs);
    this.pendingScaleOuts.set(scaleOut.id, scaleOut);
  }

  private setPrice(shard: number, shape: string, [cpu, gpu, mem]: PriceRow): void {
    let shapes = this.prices.get(shard);
    if (!shapes) {
      shapes = new Map<string, ShapePrice>();
      this.prices.set(shard, shapes);
    }
    shapes.set(shape, { cpu, gpu, mem });
  }

  private addPlacement(task: TaskRow, start: GroupStart): void {
    const placement = newPlacement(task, start);
    const progress = this.jobProgress(placement.job);
    progress.placements.set(placement.index, placement);
    progress.lastStartedAtMs = Math.max(progress.lastStartedAtMs, placement.startedAtMs);
    this.index.add(placement);
  }

  /** Removes the placement of a task. Returns false if the task is no longer placed under the named attempt. */
  private endAttempt([job, index, attempt, outcome]: CompletionRow): boolean {
    const progress = this.jobs.get(job);
    const placement = progress?.placements.get(index);
    if (!progress || placement?.attempt !== attempt) return false;
    progress.placements.delete(index);
    this.index.remove(placement);
    if (outcome !== 'done') return true;
    // The tasks of a gang complete together: none of them may run again, even if its machine was lost meanwhile.
    if (placement.gangSize !== null) progress.done.addAll(placement.gangSize);
    else progress.done.add(index);
    return true;
  }

  private removeMachine(host: string): void {
    for (const { job, index, attempt } of [...this.placementsOn(host)]) {
      this.endAttempt([job, index, attempt, 'lost']);
    }
    this.machines.delete(host);
    this.failures.dropMachine(host);
  }
}
