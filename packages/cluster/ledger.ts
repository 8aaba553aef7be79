import { formatTaskName } from '#wire';
import { DoneSet } from './done-set.js';
import { isGangComplete, mayJoinGang } from './gang.js';
import type { LogId } from './keys.js';
import type {
  ResourceDemand,
  MachineEntry,
  Outcome,
  Placement,
  PlacementRecord,
  Positions,
  PendingScaleOut,
  ShapePrice,
  StartGroup,
} from './placement.js';
import { type CheckpointRow, readRows } from './stored/checkpoint-codec.js';

/** Attempts are unique over all logs: a record's number times this, plus its share. */
const ATTEMPT_STRIDE = 1024;

/** Number of the attempts that a record of a share's log makes. */
export function attemptNumber(shard: number, sequence: number): number {
  return sequence * ATTEMPT_STRIDE + shard;
}

/** The log and the record that an attempt was made by. */
export function attemptOrigin(attempt: number): { share: number; sequence: number } {
  return { share: attempt % ATTEMPT_STRIDE, sequence: Math.floor(attempt / ATTEMPT_STRIDE) };
}

const IMAGES_KEPT = 16;
/** From so many failures without a success between them a job, and not its machines, is held at fault. */
export const JOB_FAILURE_THRESHOLD = 3;

export class JobProgress {
  readonly done = new DoneSet();
  /** Tasks that failed since the last that was done, and the time of day of the last one. */
  consecutiveFailures = 0;
  lastFailureAtMs = 0;
  readonly placements = new Map<number, Placement>();
}

const FRESH = {
  ownershipCount: 0,
  lastHeartbeat: null,
  cachedImages: [],
  consecutiveFailures: 0,
  lastFailureAtMs: 0,
};

/**
 * The placement state: a pure reducer over a checkpoint and the records after it, in the order of their
 * commits. Every node keeps one and all agree; nothing else changes it. A step that its writer was not
 * entitled to at that point of the order (a start on a machine that has left the share) has no effect.
 */
export class Ledger {
  /** Numbers of the last records applied. */
  private readonly positions = new Map<LogId, number>();
  readonly jobs = new Map<string, JobProgress>();
  readonly placementsByHost = new Map<string, Map<string, Placement>>();
  readonly usage = new Map<string, ResourceDemand>();
  readonly machines = new Map<string, MachineEntry>();
  readonly pendingScaleOuts = new Map<string, PendingScaleOut>();
  /** Raised whenever a machine comes, goes or changes hands: whoever follows ownership looks only then. */
  ownershipChanges = 0;
  /** By share: the prices of its owner's last round. */
  readonly prices = new Map<number, Map<string, ShapePrice>>();

  position(log: LogId): number {
    return this.positions.get(log) ?? 0;
  }

  /** Sum of all positions: how much has been recorded since ever. */
  get totalRecords(): number {
    let sum = 0;
    for (const seq of this.positions.values()) sum += seq;
    return sum;
  }

  allPositions(): Positions {
    return Object.fromEntries([...this.positions].map(([log, seq]) => [String(log), seq]));
  }

  jobProgress(job: string): JobProgress {
    let entry = this.jobs.get(job);
    if (!entry) this.jobs.set(job, (entry = new JobProgress()));
    return entry;
  }

  placement(job: string, index: number): Placement | undefined {
    return this.jobs.get(job)?.placements.get(index);
  }

  /** Nothing of its gang is missing: see {@link isGangComplete}. */
  isGangComplete(placement: Placement): boolean {
    const entry = this.jobs.get(placement.job);
    return entry !== undefined && isGangComplete(entry, placement);
  }

  placementsOn(host: string): Iterable<Placement> {
    return this.placementsByHost.get(host)?.values() ?? [];
  }

  teamUsage(team: string): ResourceDemand {
    return this.usage.get(team) ?? { cpus: 0, gpus: 0, memGb: 0 };
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
    const entry = this.jobs.get(job);
    if (entry && entry.placements.size === 0) this.jobs.delete(job);
  }

  restore(positions: Positions, rows: readonly CheckpointRow[]): void {
    this.ownershipChanges++;
    for (const [log, seq] of Object.entries(positions)) {
      this.positions.set(log === 'lead' ? 'lead' : Number(log), seq);
    }
    readRows(rows, {
      host: (entry) => this.machines.set(entry.host, entry),
      id: (entry) => this.pendingScaleOuts.set(entry.id, entry),
      price: (shard, shape, row) => {
        this.setPrice(shard, shape, row);
      },
      done: (job, ranges) => {
        this.jobProgress(job).done.addRanges(ranges);
      },
      start: (group, attempt, at) => {
        for (const on of group.tasks) this.addPlacement(group, on, attempt, at);
      },
    });
  }

  private applyLeaderRecord(record: PlacementRecord): void {
    for (const host of record.removed ?? []) this.removeMachine(host);
    for (const [host, machineType, zone, spot, since, shard] of record.machines ?? []) {
      if (this.machines.has(host)) continue;
      const entry: MachineEntry = {
        host,
        machineType,
        zone,
        spot,
        acquiredAtMs: since,
        shard,
        destination: null,
        status: 'new',
        ...FRESH,
      };
      this.machines.set(host, entry);
    }
    for (const scaleOut of record.settledScaleOuts ?? []) this.pendingScaleOuts.delete(scaleOut);
    for (const [scaleOut, machineType, zone, spot, number, shard] of record.scaleOuts ?? []) {
      this.pendingScaleOuts.set(scaleOut, {
        id: scaleOut,
        machineType,
        zone,
        spot,
        count: number,
        shard,
        requestedAtMs: record.recordedAtMs,
      });
    }
    for (const [host, to] of record.transferTargets ?? []) {
      const entry = this.machines.get(host);
      if (entry && entry.destination !== 'return') entry.destination = entry.shard === to ? null : to;
    }
  }

  private applyShardRecord(shard: number, record: PlacementRecord): void {
    const owned = (host: string): MachineEntry | null => {
      const entry = this.machines.get(host);
      return entry?.shard === shard ? entry : null;
    };
    for (const [job, index, attempt, outcome] of record.completions ?? []) {
      const host = this.placement(job, index)?.host;
      const entry = host === undefined ? null : owned(host);
      if (entry && this.completeTask(job, index, attempt, outcome))
        this.attributeFailure(job, entry, outcome, record.recordedAtMs);
    }
    for (const [host, status] of record.statuses ?? []) {
      const entry = owned(host);
      if (entry) entry.status = status;
    }
    for (const host of record.acquisitions ?? []) {
      const entry = this.machines.get(host);
      if (!entry || entry.shard !== null || entry.destination !== shard) continue;
      entry.shard = shard;
      entry.destination = null;
      entry.ownershipCount++;
    }
    for (const group of record.starts ?? []) {
      if (group.gang && !mayJoinGang(this.jobProgress(group.job), group.gang)) continue;
      const attempt = group.gang?.attempt ?? attemptNumber(shard, record.sequence);
      for (const on of group.tasks) {
        const taken = this.placement(group.job, on[0]) ?? this.jobs.get(group.job)?.done.has(on[0]);
        const entry = owned(on[1]);
        if (!entry || taken) continue;
        entry.cachedImages = [...entry.cachedImages.filter((i) => i !== group.image), group.image].slice(
          -IMAGES_KEPT,
        );
        this.addPlacement(group, on, attempt, record.recordedAtMs);
      }
    }
    for (const [host, lastHeartbeat] of record.releases ?? []) {
      const entry = owned(host);
      if (!entry || entry.destination === null) continue;
      entry.shard = null;
      entry.lastHeartbeat = lastHeartbeat;
    }
    for (const [shape, row] of Object.entries(record.prices ?? {})) this.setPrice(shard, shape, row);
  }

  private setPrice(shard: number, shape: string, [cpu, gpu, mem]: [number, number, number]): void {
    let shapes = this.prices.get(shard);
    if (!shapes) this.prices.set(shard, (shapes = new Map()));
    shapes.set(shape, { cpu, gpu, mem });
  }

  private addPlacement(
    group: StartGroup,
    on: StartGroup['tasks'][number],
    attempt: number,
    at: number,
  ): void {
    const [cpus, gpus, memGb] = group.need;
    const [index, host, session] = on;
    const taskName = formatTaskName(group.job, index);
    const placement: Placement = {
      ...{
        job: group.job,
        index,
        taskName,
        team: group.team,
        attempt,
        host,
        workerIncarnation: session,
        startedAtMs: at,
      },
      ...{ cpus, gpus, memGb, gangSize: group.gang?.size ?? null },
    };
    this.jobProgress(group.job).placements.set(index, placement);
    let there = this.placementsByHost.get(host);
    if (!there) this.placementsByHost.set(host, (there = new Map()));
    there.set(taskName, placement);
    this.addUsage(placement, 1);
  }

  /** Who is to blame for a failed task: its machine, or a job that fails wherever it runs. */
  private attributeFailure(job: string, host: MachineEntry, outcome: Outcome, at: number): void {
    const entry = this.jobs.get(job);
    if (!entry) return;
    if (outcome === 'done') {
      entry.consecutiveFailures = 0;
      host.consecutiveFailures = 0;
    } else if (outcome === 'failed') {
      entry.consecutiveFailures++;
      entry.lastFailureAtMs = at;
      if (entry.consecutiveFailures >= JOB_FAILURE_THRESHOLD) return;
      host.consecutiveFailures++;
      host.lastFailureAtMs = at;
    }
  }

  private completeTask(job: string, index: number, attempt: number, outcome: Outcome): boolean {
    const entry = this.jobs.get(job);
    const placement = entry?.placements.get(index);
    // A record names the attempt it ends; one that is gone already is no news.
    if (!entry || placement?.attempt !== attempt) return false;
    entry.placements.delete(index);
    const there = this.placementsByHost.get(placement.host);
    there?.delete(placement.taskName);
    if (there?.size === 0) this.placementsByHost.delete(placement.host);
    this.addUsage(placement, -1);
    if (outcome !== 'done') return true;
    // A gang's tasks complete together: none of them is to run again, even where a machine was lost meanwhile.
    if (placement.gangSize !== null) entry.done.addAll(placement.gangSize);
    else entry.done.add(index);
    return true;
  }

  private removeMachine(host: string): void {
    for (const p of [...this.placementsOn(host)]) this.completeTask(p.job, p.index, p.attempt, 'lost');
    this.machines.delete(host);
  }

  private addUsage(p: Placement, sign: 1 | -1): void {
    const now = this.teamUsage(p.team);
    this.usage.set(p.team, {
      cpus: now.cpus + sign * p.cpus,
      gpus: now.gpus + sign * p.gpus,
      memGb: now.memGb + sign * p.memGb,
    });
  }
}
