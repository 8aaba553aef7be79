/**
 * Checkpoints as they are stored: rows that are packed into chunks, and the head that names the present one. A fleet of
 * a thousand machines is written every minute or so into values of a few KiB, so rows are bare lists: names and
 * machines are given once and then go by their number, times count from the first row's, and trailing cells with their
 * usual values are left out.
 */
import type {
  MachineEntry,
  PendingScaleOut,
  Placement,
  Positions,
  PriceRow,
  ShapePrice,
  StartGroup,
  TaskRow,
} from '../placement.js';
import type { CheckpointRow, StoredPlacedTask, StoredRental } from './checkpoint-row.js';
import { decodeMachine, encodeMachine } from './machine-cells.js';
import { NameTable } from './name-table.js';
import type { StoredResources } from './record-codec.js';
import { jsonBytes, type WireFields } from '#wire';

/** What the head of a checkpoint says. */
export interface CheckpointHead {
  id: string;
  /** Position in each log up to which the checkpoint covers it. */
  positions: Positions;
  chunkCount: number;
}

/** What is written to a checkpoint: the placement state, as a ledger holds it. */
export interface CheckpointSource {
  readonly machines: ReadonlyMap<string, MachineEntry>;
  readonly pendingScaleOuts: ReadonlyMap<string, PendingScaleOut>;
  readonly prices: ReadonlyMap<number, ReadonlyMap<string, ShapePrice>>;
  readonly jobs: ReadonlyMap<string, CheckpointJob>;
}

interface CheckpointJob {
  readonly placements: ReadonlyMap<number, Placement>;
  readonly done: { ranges(): string[] };
}

/** What a checkpoint is read back into. */
export interface CheckpointSink {
  machine(entry: MachineEntry): void;
  scaleOut(entry: PendingScaleOut): void;
  price(shard: number, shape: string, row: PriceRow): void;
  done(job: string, ranges: string): void;
  start(group: StartGroup, attempt: number, startedAtMs: number): void;
}

/** Tasks in one row, so that a row fits into any value. */
const ROW_TASKS = 40;
const ROW_RANGES = 60;
/** What the frame of a chunk takes, and the comma after a row. */
const CHUNK_FRAME_BYTES = 12;
const SEPARATOR_BYTES = 1;

/** The row that names the present checkpoint. */
export function encodeCheckpointHead({ id, positions, chunkCount }: CheckpointHead): WireFields {
  return { Id: id, Positions: { ...positions }, Chunks: chunkCount };
}

/** Reads the row that names the present checkpoint. */
export function decodeCheckpointHead(value: WireFields): CheckpointHead {
  return {
    id: String(value['Id']),
    positions: value['Positions'] as Positions,
    chunkCount: Number(value['Chunks']),
  };
}

/** The row of one part of a checkpoint. */
export function encodeChunk(rows: readonly CheckpointRow[]): WireFields {
  return { Rows: rows };
}

/** Reads one part of a checkpoint. */
export function decodeChunk(value: WireFields): readonly CheckpointRow[] {
  return value['Rows'] as CheckpointRow[];
}

/** Packs rows into as few chunks of this many bytes as their order allows. */
export function packRows(rows: readonly CheckpointRow[], limit: number): CheckpointRow[][] {
  const chunks: CheckpointRow[][] = [[]];
  let size = CHUNK_FRAME_BYTES;
  for (const row of rows) {
    const bytes = jsonBytes(row) + SEPARATOR_BYTES;
    if (size + bytes > limit) {
      chunks.push([]);
      size = CHUNK_FRAME_BYTES;
    }
    size += bytes;
    chunks[chunks.length - 1]?.push(row);
  }
  return chunks;
}

/** All rows of a checkpoint, in their order. Done tasks are written only of jobs that are live. */
export function checkpointRows(source: CheckpointSource, isLive: (job: string) => boolean): CheckpointRow[] {
  const names = new NameTable();
  const rows: CheckpointRow[] = [];
  let base = 0;
  for (const host of source.machines.values()) base = Math.max(base, host.acquiredAtMs);
  const machines = new Map<string, number>();
  for (const host of source.machines.values()) {
    machines.set(host.host, machines.size);
    rows.push(['h', ...encodeMachine(host, base, names)]);
  }
  for (const scaleOut of source.pendingScaleOuts.values()) rows.push(['q', encodeRental(scaleOut)]);
  for (const [shard, shapes] of source.prices) {
    for (const [shape, price] of shapes) rows.push(['p', shard, shape, price.cpu, price.gpu, price.mem]);
  }
  for (const [job, entry] of source.jobs) {
    rows.push(...placementRows(entry, { base, names, machines }));
    if (isLive(job)) rows.push(...doneRows(job, entry));
  }
  return [['t', base], ...names.rows(), ...rows];
}

/** What rows of placements refer to. */
interface RowContext {
  base: number;
  names: NameTable;
  /** Numbers of the machines. */
  machines: ReadonlyMap<string, number>;
}

function placementRows({ placements }: CheckpointJob, context: RowContext): CheckpointRow[] {
  const rows: CheckpointRow[] = [];
  const openRows = new Map<number, StoredPlacedTask[]>();
  for (const placement of placements.values()) {
    let tasks = openRows.get(placement.attempt);
    if (!tasks || tasks.length === ROW_TASKS) {
      tasks = [];
      openRows.set(placement.attempt, tasks);
      rows.push(placementRow(placement, tasks, context));
    }
    tasks.push([placement.index, context.machines.get(placement.host) ?? -1, placement.workerIncarnation]);
  }
  return rows;
}

function placementRow(
  placement: Placement,
  tasks: StoredPlacedTask[],
  { base, names }: RowContext,
): CheckpointRow {
  const { job, team, startedAtMs, attempt, gangSize } = placement;
  const need: StoredResources = [placement.cpus, placement.gpus, placement.memGb];
  const row: CheckpointRow = ['s', job, names.numberOf(team), startedAtMs - base, attempt, need, tasks];
  if (gangSize !== null) row.push(gangSize);
  return row;
}

function doneRows(job: string, { done }: CheckpointJob): CheckpointRow[] {
  const rows: CheckpointRow[] = [];
  const ranges = done.ranges();
  for (let i = 0; i < ranges.length; i += ROW_RANGES) {
    rows.push(['d', job, ranges.slice(i, i + ROW_RANGES).join(',')]);
  }
  return rows;
}

/** Reads all rows of a checkpoint, in their order, into the sink. */
export function readRows(rows: readonly CheckpointRow[], sink: CheckpointSink): void {
  let base = 0;
  const names: string[] = [];
  const machines: string[] = [];
  const name = (number: number): string => names[number] ?? '';
  for (const row of rows) {
    if (row[0] === 't') base = row[1];
    else if (row[0] === 'n') names.push(...row.slice(1));
    else if (row[0] === 'h') {
      const [, ...cells] = row;
      machines.push(cells[0]);
      sink.machine(decodeMachine(cells, base, name));
    } else if (row[0] === 'q') sink.scaleOut(decodeRental(row[1]));
    else if (row[0] === 'p') sink.price(row[1], row[2], [row[3], row[4], row[5]]);
    else if (row[0] === 'd') sink.done(row[1], row[2]);
    else {
      const [, job, team, at, attempt, need, placed, gangSize] = row;
      const tasks = placed.map(([index, machine, incarnation]): TaskRow => [
        index,
        machines[machine] ?? '',
        incarnation,
      ]);
      const group: StartGroup = { job, team: name(team), image: '', need, tasks };
      if (gangSize !== undefined) group.gang = { attempt, size: gangSize };
      sink.start(group, attempt, base + at);
    }
  }
}

function encodeRental(scaleOut: PendingScaleOut): StoredRental {
  return {
    id: scaleOut.id,
    machineType: scaleOut.machineType,
    zone: scaleOut.zone,
    spot: scaleOut.spot,
    number: scaleOut.count,
    share: scaleOut.shard,
    at: scaleOut.requestedAtMs,
  };
}

function decodeRental(stored: StoredRental): PendingScaleOut {
  return {
    id: stored.id,
    machineType: stored.machineType,
    zone: stored.zone,
    spot: stored.spot,
    count: stored.number,
    shard: stored.share,
    requestedAtMs: stored.at,
  };
}
