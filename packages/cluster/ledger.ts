/** The placement state: what checkpoint and logs say of machines, pending scale-outs, prices and placed tasks. */
import { attemptNumber } from './attempt-numbers.js';
import { isGangComplete, mayJoinGang } from './gang.js';
import { JOB_FAILURE_THRESHOLD, JobProgress } from './job-progress.js';
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

/** Images that a machine is taken to have: those of its last starts. */
const MAX_CACHED_IMAGES = 16;

/**
 * The placement state: a pure reducer over a checkpoint and the records after it, in the order of their
 * commits. Every node keeps one and all agree; nothing else changes it. A step that its writer was not
 * entitled to at that point of the order (a start on a machine that has left the shard) has no effect.
 */
export class Ledger {
  /** By log: sequence of the last record applied. */
  private readonly positions = new Map<LogId, number>();
  private readonly index = new PlacementIndex();
  readonly jobs = new Map<string, JobProgress>();
  readonly machines = new Map<string, MachineEntry>();
  readonly pendingScaleOuts = new Map<string, PendingScaleOut>();
  /** Raised whenever a machine comes, goes or changes hands: whoever follows ownership looks only then. */
  ownershipChanges = 0;
  /** By shard: the prices of its owner's last scheduling round. */
  readonly prices = new Map<number, Map<string, ShapePrice>>();

  /** Sequence of the last record applied of this log; 0 before the first. */
  position(log: LogId): number {
    return this.positions.get(log) ?? 0;
  }

  /** Sum of all positions: how much has been recorded since ever. */
  get totalRecords(): number {
    let sum = 0;
    for (const seq of this.positions.values()) sum += seq;
    return sum;
  }

  /** The position in every log. */
  allPositions(): Positions {
    return Object.fromEntries([...this.positions].map(([log, seq]) => [String(log), seq]));
  }

  /** The progress of a job; begun if there is none yet. */
  jobProgress(job: string): JobProgress {
    let progress = this.jobs.get(job);
    if (!progress) this.jobs.set(job, (progress = new JobProgress()));
    return progress;
  }

  /** Where a task is, or may be, running. */
  placement(job: string, index: number): Placement | undefined {
    return this.jobs.get(job)?.placements.get(index);
  }

  /** Nothing of its gang is missing: see {@link isGangComplete}. */
  isGangComplete(placement: Placement): boolean {
    const progress = this.jobs.get(placement.job);
    return progress !== undefined && isGangComplete(progress, placement);
  }

  /** Placements by host and task name; machines without any have no entry. */
  get placementsByHost(): ReadonlyMap<string, ReadonlyMap<string, Placement>> {
    return this.index.byHost;
  }

  /** The placements on a machine. */
  placementsOn(host: string): Iterable<Placement> {
    return this.index.onHost(host);
  }

  /** The resources that a team's placements use together. */
  teamUsage(team: string): ResourceDemand {
    return this.index.teamUsage(team);
  }

  /** Applies the record if it is the next of its log; false if there is a gap before it. */
  apply(log: LogId, record: PlacementRecord): boolean {
    const last = this.position(log);
    if (record.sequence <= last) return true;
    if (record.sequence !== last + 1) return false;
    this.positions.set(log, record.sequence);
    if (record.removed ?? record.machines ?? record.acquisitions ?? record.releases) this.ownershipChanges++;
    if (log === 'lead') this.applyLeaderRecord(record);
    else this.applyShardRecord(log, record);
    return true;
  }

  /** The job left the set of live jobs: what is done of it is of no more use. */
  dropJob(job: string): void {
    if (this.jobs.get(job)?.placements.size === 0) this.jobs.delete(job);
  }

  /** Reads a checkpoint into this ledger, which must be empty. */
  restore(positions: Positions, rows: readonly CheckpointRow[]): void {
    this.ownershipChanges++;
    for (const [log, seq] of Object.entries(positions)) {
      this.positions.set(log === 'lead' ? 'lead' : Number(log), seq);
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

  /** Applies in this order: completions free what later starts of the same record use. */
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
      const host = this.placement(job, index)?.host;
      const machine = host === undefined ? null : this.machineOf(shard, host);
      if (!machine || !this.completeTask(completion)) continue;
      if (outcome === 'done') this.clearFailures(job, machine);
      else if (outcome === 'failed') this.countFailure(job, machine, record.recordedAtMs);
    }
  }

  private applyStatuses(shard: number, record: PlacementRecord): void {
    for (const [host, status] of record.statuses ?? []) {
      const machine = this.machineOf(shard, host);
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
    const isTaken = this.placement(job, index) ?? this.jobs.get(job)?.done.has(index);
    const machine = this.machineOf(shard, host);
    if (!machine || isTaken) return;
    const otherImages = machine.cachedImages.filter((cached) => cached !== image);
    machine.cachedImages = [...otherImages, image].slice(-MAX_CACHED_IMAGES);
    this.addPlacement(task, start);
  }

  private applyReleases(shard: number, record: PlacementRecord): void {
    for (const [host, lastHeartbeat] of record.releases ?? []) {
      const machine = this.machineOf(shard, host);
      if (!machine) continue;
      // The leader named no destination: the machine stays.
      if (machine.destination === null) continue;
      machine.shard = null;
      machine.lastHeartbeat = lastHeartbeat;
    }
  }

  /** The machine, if it belongs to this shard. */
  private machineOf(shard: number, host: string): MachineEntry | null {
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
    this.jobProgress(placement.job).placements.set(placement.index, placement);
    this.index.add(placement);
  }

  private clearFailures(job: string, machine: MachineEntry): void {
    const progress = this.jobs.get(job);
    if (!progress) return;
    progress.consecutiveFailures = 0;
    machine.consecutiveFailures = 0;
  }

  /** Counts a failure against the machine too, unless the job fails wherever it runs. */
  private countFailure(job: string, machine: MachineEntry, failedAtMs: number): void {
    const progress = this.jobs.get(job);
    if (!progress) return;
    progress.consecutiveFailures++;
    progress.lastFailureAtMs = failedAtMs;
    if (progress.consecutiveFailures >= JOB_FAILURE_THRESHOLD) return;
    machine.consecutiveFailures++;
    machine.lastFailureAtMs = failedAtMs;
  }

  /** Takes a task off its machine; false if the attempt that the completion names is not there any more. */
  private completeTask([job, index, attempt, outcome]: CompletionRow): boolean {
    const progress = this.jobs.get(job);
    const placement = progress?.placements.get(index);
    if (!progress || placement?.attempt !== attempt) return false;
    progress.placements.delete(index);
    this.index.remove(placement);
    if (outcome !== 'done') return true;
    // A gang's tasks complete together: none of them is to run again, even where a machine was lost meanwhile.
    if (placement.gangSize !== null) progress.done.addAll(placement.gangSize);
    else progress.done.add(index);
    return true;
  }

  private removeMachine(host: string): void {
    for (const { job, index, attempt } of [...this.placementsOn(host)]) {
      this.completeTask([job, index, attempt, 'lost']);
    }
    this.machines.delete(host);
  }
}
