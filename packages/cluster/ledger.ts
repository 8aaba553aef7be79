import { formatTaskName } from '#wire';
import { DoneSet } from './done-set.js';
import { isWhole, mayJoin } from './gang.js';
import type { LogId } from './keys.js';
import type {
  Demand,
  MachineEntry,
  Outcome,
  Placement,
  PlacementRecord,
  Positions,
  RentalEntry,
  ShapePrice,
  StartGroup,
} from './placement.js';
import { type CheckpointRow, readRows } from './stored/checkpoint-codec.js';

/** Attempts are unique over all logs: a record's number times this, plus its share. */
const ATTEMPT_STRIDE = 1024;

/** Number of the attempts that a record of a share's log makes. */
export function attemptNumber(share: number, sequence: number): number {
  return sequence * ATTEMPT_STRIDE + share;
}

/** The log and the record that an attempt was made by. */
export function attemptOrigin(attempt: number): { share: number; sequence: number } {
  return { share: attempt % ATTEMPT_STRIDE, sequence: Math.floor(attempt / ATTEMPT_STRIDE) };
}

const IMAGES_KEPT = 16;
/** From so many failures without a success between them a job, and not its machines, is held at fault. */
export const JOB_AT_FAULT = 3;

export class JobEntry {
  readonly done = new DoneSet();
  /** Tasks that failed since the last that was done, and the time of day of the last one. */
  errors = 0;
  failedAt = 0;
  readonly placed = new Map<number, Placement>();
}

const FRESH = { ownershipCount: 0, lastReport: null, images: [], errors: 0, failedAt: 0 };

/**
 * The placement state: a pure reducer over a checkpoint and the records after it, in the order of their
 * commits. Every node keeps one and all agree; nothing else changes it. A step that its writer was not
 * entitled to at that point of the order (a start on a machine that has left the share) has no effect.
 */
export class Ledger {
  /** Numbers of the last records applied. */
  private readonly positions = new Map<LogId, number>();
  readonly jobEntries = new Map<string, JobEntry>();
  readonly onHost = new Map<string, Map<string, Placement>>();
  readonly usage = new Map<string, Demand>();
  readonly hosts = new Map<string, MachineEntry>();
  readonly rentals = new Map<string, RentalEntry>();
  /** Raised whenever a machine comes, goes or changes hands: whoever follows ownership looks only then. */
  ownershipChanges = 0;
  /** By share: the prices of its owner's last round. */
  readonly prices = new Map<number, Map<string, ShapePrice>>();

  seq(log: LogId): number {
    return this.positions.get(log) ?? 0;
  }

  /** Sum of all positions: how much has been recorded since ever. */
  get size(): number {
    let sum = 0;
    for (const seq of this.positions.values()) sum += seq;
    return sum;
  }

  allPositions(): Positions {
    return Object.fromEntries([...this.positions].map(([log, seq]) => [String(log), seq]));
  }

  jobEntry(job: string): JobEntry {
    let entry = this.jobEntries.get(job);
    if (!entry) this.jobEntries.set(job, (entry = new JobEntry()));
    return entry;
  }

  placement(job: string, index: number): Placement | undefined {
    return this.jobEntries.get(job)?.placed.get(index);
  }

  /** Nothing of its gang is missing: see {@link isWhole}. */
  isWhole(placement: Placement): boolean {
    const entry = this.jobEntries.get(placement.job);
    return entry !== undefined && isWhole(entry, placement);
  }

  placementsOn(host: string): Iterable<Placement> {
    return this.onHost.get(host)?.values() ?? [];
  }

  used(team: string): Demand {
    return this.usage.get(team) ?? { cpus: 0, gpus: 0, memGb: 0 };
  }

  /** Applies the record if it is the next of its log; false if there is a gap before it. */
  apply(log: LogId, record: PlacementRecord): boolean {
    const last = this.seq(log);
    if (record.sequence <= last) return true;
    if (record.sequence !== last + 1) return false;
    this.positions.set(log, record.sequence);
    if (record.removed ?? record.machines ?? record.takes ?? record.releases) this.ownershipChanges++;
    if (log === 'lead') this.applyLead(record);
    else this.applyShare(log, record);
    return true;
  }

  /** The job left the set of live jobs: what is done of it is of no more use. */
  drop(job: string): void {
    const entry = this.jobEntries.get(job);
    if (entry && entry.placed.size === 0) this.jobEntries.delete(job);
  }

  restore(positions: Positions, rows: readonly CheckpointRow[]): void {
    this.ownershipChanges++;
    for (const [log, seq] of Object.entries(positions)) {
      this.positions.set(log === 'lead' ? 'lead' : Number(log), seq);
    }
    readRows(rows, {
      host: (entry) => this.hosts.set(entry.host, entry),
      id: (entry) => this.rentals.set(entry.id, entry),
      price: (share, shape, row) => {
        this.price(share, shape, row);
      },
      done: (job, ranges) => {
        this.jobEntry(job).done.addRanges(ranges);
      },
      start: (group, attempt, at) => {
        for (const on of group.tasks) this.put(group, on, attempt, at);
      },
    });
  }

  private applyLead(record: PlacementRecord): void {
    for (const host of record.removed ?? []) this.forget(host);
    for (const [host, machineType, zone, spot, since, share] of record.machines ?? []) {
      if (this.hosts.has(host)) continue;
      const entry: MachineEntry = {
        host,
        machineType,
        zone,
        spot,
        since,
        share,
        destination: null,
        status: 'new',
        ...FRESH,
      };
      this.hosts.set(host, entry);
    }
    for (const rental of record.settledRentals ?? []) this.rentals.delete(rental);
    for (const [rental, machineType, zone, spot, number, share] of record.rentals ?? []) {
      this.rentals.set(rental, { id: rental, machineType, zone, spot, number, share, at: record.at });
    }
    for (const [host, to] of record.moves ?? []) {
      const entry = this.hosts.get(host);
      if (entry && entry.destination !== 'return') entry.destination = entry.share === to ? null : to;
    }
  }

  private applyShare(share: number, record: PlacementRecord): void {
    const ours = (host: string): MachineEntry | null => {
      const entry = this.hosts.get(host);
      return entry?.share === share ? entry : null;
    };
    for (const [job, index, attempt, outcome] of record.ends ?? []) {
      const host = this.placement(job, index)?.host;
      const entry = host === undefined ? null : ours(host);
      if (entry && this.end(job, index, attempt, outcome)) this.judge(job, entry, outcome, record.at);
    }
    for (const [host, status] of record.statuses ?? []) {
      const entry = ours(host);
      if (entry) entry.status = status;
    }
    for (const host of record.takes ?? []) {
      const entry = this.hosts.get(host);
      if (!entry || entry.share !== null || entry.destination !== share) continue;
      entry.share = share;
      entry.destination = null;
      entry.ownershipCount++;
    }
    for (const group of record.starts ?? []) {
      if (group.gang && !mayJoin(this.jobEntry(group.job), group.gang)) continue;
      const attempt = group.gang?.attempt ?? attemptNumber(share, record.sequence);
      for (const on of group.tasks) {
        const taken = this.placement(group.job, on[0]) ?? this.jobEntries.get(group.job)?.done.has(on[0]);
        const entry = ours(on[1]);
        if (!entry || taken) continue;
        entry.images = [...entry.images.filter((i) => i !== group.image), group.image].slice(-IMAGES_KEPT);
        this.put(group, on, attempt, record.at);
      }
    }
    for (const [host, lastReport] of record.releases ?? []) {
      const entry = ours(host);
      if (!entry || entry.destination === null) continue;
      entry.share = null;
      entry.lastReport = lastReport;
    }
    for (const [shape, row] of Object.entries(record.prices ?? {})) this.price(share, shape, row);
  }

  private price(share: number, shape: string, [cpu, gpu, mem]: [number, number, number]): void {
    let shapes = this.prices.get(share);
    if (!shapes) this.prices.set(share, (shapes = new Map()));
    shapes.set(shape, { cpu, gpu, mem });
  }

  private put(group: StartGroup, on: StartGroup['tasks'][number], attempt: number, at: number): void {
    const [cpus, gpus, memGb] = group.need;
    const [index, host, session] = on;
    const taskName = formatTaskName(group.job, index);
    const placement: Placement = {
      ...{ job: group.job, index, taskName, team: group.team, attempt, host, session, at },
      ...{ cpus, gpus, memGb, gangSize: group.gang?.size ?? null },
    };
    this.jobEntry(group.job).placed.set(index, placement);
    let there = this.onHost.get(host);
    if (!there) this.onHost.set(host, (there = new Map()));
    there.set(taskName, placement);
    this.charge(placement, 1);
  }

  /** Who is to blame for a failed task: its machine, or a job that fails wherever it runs. */
  private judge(job: string, host: MachineEntry, outcome: Outcome, at: number): void {
    const entry = this.jobEntries.get(job);
    if (!entry) return;
    if (outcome === 'done') {
      entry.errors = 0;
      host.errors = 0;
    } else if (outcome === 'failed') {
      entry.errors++;
      entry.failedAt = at;
      if (entry.errors >= JOB_AT_FAULT) return;
      host.errors++;
      host.failedAt = at;
    }
  }

  private end(job: string, index: number, attempt: number, outcome: Outcome): boolean {
    const entry = this.jobEntries.get(job);
    const placement = entry?.placed.get(index);
    // A record names the attempt it ends; one that is gone already is no news.
    if (!entry || placement?.attempt !== attempt) return false;
    entry.placed.delete(index);
    const there = this.onHost.get(placement.host);
    there?.delete(placement.taskName);
    if (there?.size === 0) this.onHost.delete(placement.host);
    this.charge(placement, -1);
    if (outcome !== 'done') return true;
    // A gang's tasks complete together: none of them is to run again, even where a machine was lost meanwhile.
    if (placement.gangSize !== null) entry.done.addAll(placement.gangSize);
    else entry.done.add(index);
    return true;
  }

  private forget(host: string): void {
    for (const p of [...this.placementsOn(host)]) this.end(p.job, p.index, p.attempt, 'lost');
    this.hosts.delete(host);
  }

  private charge(p: Placement, sign: 1 | -1): void {
    const now = this.used(p.team);
    this.usage.set(p.team, {
      cpus: now.cpus + sign * p.cpus,
      gpus: now.gpus + sign * p.gpus,
      memGb: now.memGb + sign * p.memGb,
    });
  }
}
