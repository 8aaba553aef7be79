import { type Count, pieceName } from '#wire';
import { DoneSet } from './done-set.js';

/** Price of each resource on one shape. */
export interface ShapePrice {
  cpu: number;
  gpu: number;
  mem: number;
}

export interface Demand {
  cpus: number;
  gpus: number;
  memGb: number;
}

/** A task that is, or may be, on a machine. It is there until its end is recorded. */
export interface Placement extends Demand {
  job: string;
  index: number;
  piece: string;
  crew: string;
  try: number;
  host: string;
  /** The session for which the start was decided; in any other the start has no force. */
  shift: Count;
  /** Time of day of the record, in milliseconds. */
  at: number;
}

export interface HostBook {
  host: string;
  build: string;
  hall: string;
  loaners: boolean;
  /** Time of day at which it was rented (or met), in milliseconds. */
  since: number;
}

export interface HireBook {
  hire: string;
  build: string;
  hall: string;
  loaners: boolean;
  number: number;
  at: number;
}

export type Outcome = 'done' | 'halted' | 'error' | 'refused' | 'lost' | 'undelivered';

/** Starts of one job: `On` holds index, host and session for each. The attempt is the record's number. */
export interface StartGroup {
  Job: string;
  Crew: string;
  Need: [number, number, number];
  On: [number, string, Count][];
}

/** One entry of the placement log. */
export interface PlacementRecord {
  Seq: number;
  At: number;
  Starts?: StartGroup[];
  Ends?: [job: string, index: number, attempt: number, outcome: Outcome][];
  Hosts?: [host: string, build: string, hall: string, loaners: boolean, since: number][];
  Gone?: string[];
  Hires?: [hire: string, build: string, hall: string, loaners: boolean, number: number][];
  Settled?: string[];
  Prices?: Record<string, [number, number, number]>;
  Unmet?: Record<string, number>;
}

export class JobBook {
  readonly done = new DoneSet();
  readonly placed = new Map<number, Placement>();
}

/** What a checkpoint consists of: rows small enough to be packed into values. */
export type CheckpointRow =
  | { k: 'start'; at: number; try: number; group: StartGroup }
  | { k: 'done'; job: string; ranges: string }
  | { k: 'host'; row: NonNullable<PlacementRecord['Hosts']>[number] }
  | { k: 'hire'; row: NonNullable<PlacementRecord['Hires']>[number]; at: number }
  | { k: 'price'; shape: string; row: [number, number, number] };

/**
 * The placement state: a pure reducer over a checkpoint and the records after it. Every node keeps one and
 * all agree, since they apply the same records in the same order; nothing else changes it.
 */
export class Ledger {
  /** Number of the last record applied. */
  seq = 0;
  readonly books = new Map<string, JobBook>();
  readonly onHost = new Map<string, Map<string, Placement>>();
  readonly usage = new Map<string, Demand>();
  readonly hosts = new Map<string, HostBook>();
  readonly hires = new Map<string, HireBook>();
  readonly prices = new Map<string, ShapePrice>();

  book(job: string): JobBook {
    let book = this.books.get(job);
    if (!book) this.books.set(job, (book = new JobBook()));
    return book;
  }

  placement(job: string, index: number): Placement | undefined {
    return this.books.get(job)?.placed.get(index);
  }

  placementsOn(host: string): Iterable<Placement> {
    return this.onHost.get(host)?.values() ?? [];
  }

  used(crew: string): Demand {
    return this.usage.get(crew) ?? { cpus: 0, gpus: 0, memGb: 0 };
  }

  /** Applies the record if it is the next one; false if there is a gap before it. */
  apply(record: PlacementRecord): boolean {
    if (record.Seq <= this.seq) return true;
    if (record.Seq !== this.seq + 1) return false;
    this.seq = record.Seq;
    for (const [job, index, attempt, outcome] of record.Ends ?? []) this.end(job, index, attempt, outcome);
    for (const host of record.Gone ?? []) this.forget(host);
    for (const row of record.Hosts ?? []) this.meet(row);
    for (const hire of record.Settled ?? []) this.hires.delete(hire);
    for (const row of record.Hires ?? []) this.hireAsked(row, record.At);
    for (const group of record.Starts ?? []) this.start(group, record.Seq, record.At);
    for (const [shape, [cpu, gpu, mem]] of Object.entries(record.Prices ?? {})) {
      this.prices.set(shape, { cpu, gpu, mem });
    }
    return true;
  }

  /** The job left the set of live jobs: what is done of it is of no more use. */
  drop(job: string): void {
    const book = this.books.get(job);
    if (book && book.placed.size === 0) this.books.delete(job);
  }

  checkpoint(isLive: (job: string) => boolean): CheckpointRow[] {
    const rows: CheckpointRow[] = [];
    for (const [shape, p] of this.prices) rows.push({ k: 'price', shape, row: [p.cpu, p.gpu, p.mem] });
    for (const h of this.hosts.values()) {
      rows.push({ k: 'host', row: [h.host, h.build, h.hall, h.loaners, h.since] });
    }
    for (const h of this.hires.values()) {
      rows.push({ k: 'hire', row: [h.hire, h.build, h.hall, h.loaners, h.number], at: h.at });
    }
    for (const [job, book] of this.books) {
      for (const p of book.placed.values()) {
        const group: StartGroup = {
          Job: job,
          Crew: p.crew,
          Need: [p.cpus, p.gpus, p.memGb],
          On: [[p.index, p.host, p.shift]],
        };
        rows.push({ k: 'start', at: p.at, try: p.try, group });
      }
      if (!isLive(job)) continue;
      const ranges = book.done.ranges();
      for (let i = 0; i < ranges.length; i += 60) {
        rows.push({ k: 'done', job, ranges: ranges.slice(i, i + 60).join(',') });
      }
    }
    return rows;
  }

  restore(seq: number, rows: CheckpointRow[]): void {
    this.seq = seq;
    for (const row of rows) {
      if (row.k === 'start') this.start(row.group, row.try, row.at);
      else if (row.k === 'done') this.book(row.job).done.addRanges(row.ranges);
      else if (row.k === 'host') this.meet(row.row);
      else if (row.k === 'hire') this.hireAsked(row.row, row.at);
      else this.prices.set(row.shape, { cpu: row.row[0], gpu: row.row[1], mem: row.row[2] });
    }
  }

  private start(group: StartGroup, attempt: number, at: number): void {
    const [cpus, gpus, memGb] = group.Need;
    const book = this.book(group.Job);
    for (const [index, host, shift] of group.On) {
      const piece = pieceName(group.Job, index);
      const placement: Placement = {
        ...{ job: group.Job, index, piece, crew: group.Crew, try: attempt, host, shift, at },
        ...{ cpus, gpus, memGb },
      };
      book.placed.set(index, placement);
      let there = this.onHost.get(host);
      if (!there) this.onHost.set(host, (there = new Map()));
      there.set(piece, placement);
      this.charge(placement, 1);
    }
  }

  private end(job: string, index: number, attempt: number, outcome: Outcome): void {
    const book = this.books.get(job);
    const placement = book?.placed.get(index);
    // A record names the attempt it ends; one that is gone already is no news.
    if (!book || placement?.try !== attempt) return;
    book.placed.delete(index);
    const there = this.onHost.get(placement.host);
    there?.delete(placement.piece);
    if (there?.size === 0) this.onHost.delete(placement.host);
    this.charge(placement, -1);
    if (outcome === 'done') book.done.add(index);
  }

  private forget(host: string): void {
    for (const p of [...this.placementsOn(host)]) this.end(p.job, p.index, p.try, 'lost');
    this.hosts.delete(host);
  }

  private meet([host, build, hall, loaners, since]: NonNullable<PlacementRecord['Hosts']>[number]): void {
    this.hosts.set(host, { host, build, hall, loaners, since });
  }

  private hireAsked(row: NonNullable<PlacementRecord['Hires']>[number], at: number): void {
    const [hire, build, hall, loaners, number] = row;
    this.hires.set(hire, { hire, build, hall, loaners, number, at });
  }

  private charge(p: Placement, sign: 1 | -1): void {
    const now = this.used(p.crew);
    this.usage.set(p.crew, {
      cpus: now.cpus + sign * p.cpus,
      gpus: now.gpus + sign * p.gpus,
      memGb: now.memGb + sign * p.memGb,
    });
  }
}
