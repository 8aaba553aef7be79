/**
 * Codec of checkpoints. A checkpoint is stored as rows packed into chunks, and a head row that names the current
 * checkpoint. A fleet of a thousand machines is written about once a minute into values of a few KiB, so the format is
 * compact: rows are arrays, names and machines are written once and then referred to by number, times are relative to
 * the time in the first row, and trailing cells with default values are omitted.
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
import type { CheckpointRow, StoredPlacedTask, StoredPendingScaleOut } from './checkpoint-row.js';
import { decodeMachine, encodeMachine } from './machine-cells.js';
import { NameTable } from './name-table.js';
import type { StoredResources } from './record-codec.js';
import { jsonBytes, type WireFields } from '#wire';

/** The head of a checkpoint, which makes it the current one. */
export interface CheckpointHead {
  id: string;
  /** Sequence number, in each log, of the last record that the checkpoint includes. */
  positions: Positions;
  chunkCount: number;
}

/** The placement state that is written to a checkpoint. Implemented by the ledger. */
export interface CheckpointSource {
  /** Keyed by host. */
  readonly machines: ReadonlyMap<string, MachineEntry>;
  /** Keyed by request id. */
  readonly pendingScaleOuts: ReadonlyMap<string, PendingScaleOut>;
  /** Keyed by shard, then by machine shape. */
  readonly prices: ReadonlyMap<number, ReadonlyMap<string, ShapePrice>>;
  /** Keyed by job id. */
  readonly jobs: ReadonlyMap<string, CheckpointJobEntry>;
}

interface CheckpointJobEntry {
  /** Keyed by task index. */
  readonly placements: ReadonlyMap<number, Placement>;
  /** The indexes of the done tasks. */
  readonly done: { ranges(): string[] };
}

/** Receives the content of a checkpoint that is read. */
export interface CheckpointSink {
  restoreMachine(entry: MachineEntry): void;
  restoreScaleOut(entry: PendingScaleOut): void;
  restorePrice(shard: number, shape: string, row: PriceRow): void;
  /** `ranges` is a comma-separated list of ranges of task indexes. */
  restoreDoneTasks(job: string, ranges: string): void;
  /** `startedAtMs` is the wall-clock time in milliseconds. */
  restoreStartGroup(group: StartGroup, attempt: number, startedAtMs: number): void;
}

/** Limits of one row, so that it fits into any value. */
const MAX_TASKS_PER_ROW = 40;
const MAX_RANGES_PER_ROW = 60;
/** Size of a chunk without rows, with a small margin. */
const EMPTY_CHUNK_BYTES = 12;
/** Size of the comma after a row. */
const SEPARATOR_BYTES = 1;

/** Encodes the head of the current checkpoint. */
export function encodeCheckpointHead({ id, positions, chunkCount }: CheckpointHead): WireFields {
  return { Id: id, Positions: { ...positions }, Chunks: chunkCount };
}

/** Reads the head of the current checkpoint. */
export function decodeCheckpointHead(value: WireFields): CheckpointHead {
  return {
    id: String(value['Id']),
    positions: value['Positions'] as Positions,
    chunkCount: Number(value['Chunks']),
  };
}

/** Encodes one chunk of a checkpoint. */
export function encodeChunk(rows: readonly CheckpointRow[]): WireFields {
  return { Rows: rows };
}

/** Reads one chunk of a checkpoint. */
export function decodeChunk(value: WireFields): readonly CheckpointRow[] {
  return value['Rows'] as CheckpointRow[];
}

/** Packs rows, in their order, into as few chunks as possible. A chunk exceeds `maxChunkBytes` only if one row does. */
export function packIntoChunks(rows: readonly CheckpointRow[], maxChunkBytes: number): CheckpointRow[][] {
  const chunks: CheckpointRow[][] = [[]];
  let chunkBytes = EMPTY_CHUNK_BYTES;
  for (const row of rows) {
    const rowBytes = jsonBytes(row) + SEPARATOR_BYTES;
    if (chunkBytes + rowBytes > maxChunkBytes) {
      chunks.push([]);
      chunkBytes = EMPTY_CHUNK_BYTES;
    }
    chunkBytes += rowBytes;
    chunks[chunks.length - 1]?.push(row);
  }
  return chunks;
}

/** Encodes all rows of a checkpoint, in the order in which they are read. Done tasks are written for live jobs only. */
export function encodeCheckpointRows(
  source: CheckpointSource,
  isLive: (job: string) => boolean,
): CheckpointRow[] {
  const names = new NameTable();
  const rows: CheckpointRow[] = [];
  let baseMs = 0;
  for (const machine of source.machines.values()) baseMs = Math.max(baseMs, machine.acquiredAtMs);
  const machineNumbers = new Map<string, number>();
  for (const machine of source.machines.values()) {
    machineNumbers.set(machine.host, machineNumbers.size);
    rows.push(['h', ...encodeMachine(machine, baseMs, names)]);
  }
  for (const scaleOut of source.pendingScaleOuts.values()) rows.push(['q', encodePendingScaleOut(scaleOut)]);
  for (const [shard, shapes] of source.prices) {
    for (const [shape, price] of shapes) rows.push(['p', shard, shape, price.cpu, price.gpu, price.mem]);
  }
  for (const [job, entry] of source.jobs) {
    rows.push(...placementRows(entry, { baseMs, names, machineNumbers }));
    if (isLive(job)) rows.push(...doneTaskRows(job, entry));
  }
  return [['t', baseMs], ...names.rows(), ...rows];
}

/** Tables by which the rows of placements refer to names and machines, and their base time. */
interface PlacementRowContext {
  baseMs: number;
  names: NameTable;
  /** Keyed by host. */
  machineNumbers: ReadonlyMap<string, number>;
}

function placementRows({ placements }: CheckpointJobEntry, context: PlacementRowContext): CheckpointRow[] {
  const rows: CheckpointRow[] = [];
  const openRows = new Map<number, StoredPlacedTask[]>();
  for (const placement of placements.values()) {
    let tasks = openRows.get(placement.attempt);
    if (!tasks || tasks.length === MAX_TASKS_PER_ROW) {
      tasks = [];
      openRows.set(placement.attempt, tasks);
      rows.push(placementRow(placement, tasks, context));
    }
    tasks.push([
      placement.index,
      context.machineNumbers.get(placement.host) ?? -1,
      placement.workerIncarnation,
    ]);
  }
  return rows;
}

function placementRow(
  placement: Placement,
  tasks: StoredPlacedTask[],
  { baseMs, names }: PlacementRowContext,
): CheckpointRow {
  const { job, team, startedAtMs, attempt, gangSize } = placement;
  const need: StoredResources = [placement.cpus, placement.gpus, placement.memGb];
  const row: CheckpointRow = ['s', job, names.numberOf(team), startedAtMs - baseMs, attempt, need, tasks];
  if (gangSize !== null) row.push(gangSize);
  return row;
}

function doneTaskRows(job: string, { done }: CheckpointJobEntry): CheckpointRow[] {
  const rows: CheckpointRow[] = [];
  const ranges = done.ranges();
  for (let i = 0; i < ranges.length; i += MAX_RANGES_PER_ROW) {
    rows.push(['d', job, ranges.slice(i, i + MAX_RANGES_PER_ROW).join(',')]);
  }
  return rows;
}

/** Reads all rows of a checkpoint, in their order, and passes their content to the sink. */
export function decodeCheckpointRows(rows: readonly CheckpointRow[], sink: CheckpointSink): void {
  let baseMs = 0;
  const names: string[] = [];
  const hosts: string[] = [];
  const nameByNumber = (number: number): string => names[number] ?? '';
  for (const row of rows) {
    if (row[0] === 't') baseMs = row[1];
    else if (row[0] === 'n') names.push(...row.slice(1));
    else if (row[0] === 'h') {
      const [, ...cells] = row;
      hosts.push(cells[0]);
      sink.restoreMachine(decodeMachine(cells, baseMs, nameByNumber));
    } else if (row[0] === 'q') sink.restoreScaleOut(decodePendingScaleOut(row[1]));
    else if (row[0] === 'p') sink.restorePrice(row[1], row[2], [row[3], row[4], row[5]]);
    else if (row[0] === 'd') sink.restoreDoneTasks(row[1], row[2]);
    else {
      const [, job, team, startedOffsetMs, attempt, need, placedTasks, gangSize] = row;
      const tasks = placedTasks.map(([index, machine, incarnation]): TaskRow => [
        index,
        hosts[machine] ?? '',
        incarnation,
      ]);
      const group: StartGroup = { job, team: nameByNumber(team), image: '', taskResources: need, tasks };
      if (gangSize !== undefined) group.gang = { attempt, size: gangSize };
      sink.restoreStartGroup(group, attempt, baseMs + startedOffsetMs);
    }
  }
}

function encodePendingScaleOut(scaleOut: PendingScaleOut): StoredPendingScaleOut {
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

function decodePendingScaleOut(stored: StoredPendingScaleOut): PendingScaleOut {
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
