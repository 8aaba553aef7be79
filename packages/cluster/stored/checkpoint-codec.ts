/**
 * Checkpoints as they are stored: rows that are packed into chunks, and the head that names the present one. A fleet of
 * a thousand machines is written every minute or so into values of a few KiB, so rows are bare lists: names and
 * machines are given once and then go by their number, times count from the first row's, and trailing cells with their
 * usual values are left out.
 */
import { type Count, type WireFields, jsonBytes } from '#wire';
import type {
  MachineEntry,
  MachineStatus,
  Placement,
  Positions,
  PendingScaleOut,
  ShapePrice,
  StartGroup,
} from '../placement.js';
import {
  decodeDestination,
  encodeDestination,
  type StoredDestination,
  type StoredHeartbeatPosition,
  type StoredResources,
} from './record-codec.js';

/** Each is small enough to be packed into a value. */
export type CheckpointRow =
  | [k: 't', base: number]
  | [k: 'n', ...names: string[]]
  | [k: 'h', ...cells: StoredMachineCells]
  | [k: 'q', row: StoredRental]
  | [k: 'p', shard: number, shape: string, cpu: number, gpu: number, mem: number]
  | [
      k: 's',
      job: string,
      team: number,
      at: number,
      attempt: number,
      need: StoredResources,
      tasks: StoredPlacedTask[],
      gangSize?: number,
    ]
  | [k: 'd', job: string, ranges: string];

type StoredPlacedTask = [index: number, machine: number, incarnation: Count];

type StoredMachineCells = [
  host: string,
  machineType: number,
  zone: number,
  spot: 0 | 1,
  since: number,
  shard: number | null,
  status?: number,
  images?: number[],
  ownershipCount?: number,
  lastReport?: StoredHeartbeatPosition | null,
  to?: StoredDestination | null,
  errors?: number,
  failedAt?: number,
];

/** A request for machines that is not settled yet. */
export interface StoredRental {
  id: string;
  machineType: string;
  zone: string;
  spot: boolean;
  number: number;
  share: number;
  at: number;
}

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
  host(entry: MachineEntry): void;
  id(entry: PendingScaleOut): void;
  price(shard: number, shape: string, row: [number, number, number]): void;
  done(job: string, ranges: string): void;
  start(group: StartGroup, attempt: number, at: number): void;
}

/** Machine statuses by the number that stands for each. */
const STATUSES: readonly MachineStatus[] = ['up', 'new', 'silent', 'recalled', 'faulty', 'lost'];
/** Tasks in one row, so that a row fits into any value. */
const ROW_TASKS = 40;
const ROW_RANGES = 60;
/** Names in one row, and how long they may be together. */
const ROW_NAMES = 20;
const ROW_NAME_LENGTH = 300;
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

/** Names in the order in which they were first met: each stands for its number in the rows after the names. */
class NameTable {
  private readonly numbers = new Map<string, number>();

  numberOf(name: string): number {
    let number = this.numbers.get(name);
    if (number === undefined) this.numbers.set(name, (number = this.numbers.size));
    return number;
  }

  rows(): CheckpointRow[] {
    const rows: CheckpointRow[] = [];
    let names: string[] = [];
    let length = 0;
    for (const name of this.numbers.keys()) {
      if (names.length === ROW_NAMES || (names.length > 0 && length + name.length > ROW_NAME_LENGTH)) {
        rows.push(['n', ...names]);
        names = [];
        length = 0;
      }
      names.push(name);
      length += name.length;
    }
    if (names.length > 0) rows.push(['n', ...names]);
    return rows;
  }
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
    rows.push(...placementRows(job, entry, { base, names, machines }));
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

function placementRows(
  job: string,
  { placements: placed }: CheckpointJob,
  context: RowContext,
): CheckpointRow[] {
  const rows: CheckpointRow[] = [];
  const openRows = new Map<number, StoredPlacedTask[]>();
  for (const placement of placed.values()) {
    let tasks = openRows.get(placement.attempt);
    if (!tasks || tasks.length === ROW_TASKS) {
      tasks = [];
      openRows.set(placement.attempt, tasks);
      rows.push(placementRow(job, placement, tasks, context));
    }
    tasks.push([placement.index, context.machines.get(placement.host) ?? -1, placement.workerIncarnation]);
  }
  return rows;
}

function placementRow(
  job: string,
  placement: Placement,
  tasks: StoredPlacedTask[],
  { base, names }: RowContext,
): CheckpointRow {
  const { team, startedAtMs: at, attempt, gangSize } = placement;
  const need: StoredResources = [placement.cpus, placement.gpus, placement.memGb];
  const row: CheckpointRow = ['s', job, names.numberOf(team), at - base, attempt, need, tasks];
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
      sink.host(decodeMachine(cells, base, name));
    } else if (row[0] === 'q') sink.id(decodeRental(row[1]));
    else if (row[0] === 'p') sink.price(row[1], row[2], [row[3], row[4], row[5]]);
    else if (row[0] === 'd') sink.done(row[1], row[2]);
    else {
      const [, job, team, at, attempt, need, placed, gangSize] = row;
      const tasks = placed.map(([index, machine, incarnation]): StartGroup['tasks'][number] => [
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

/** Cells from this one on are left out at the end while they have their usual value. */
const FIRST_OPTIONAL_CELL = 6;
/** Usual values of the cells from that one on; for the images, an empty list. */
const USUAL_CELLS = [0, undefined, 0, null, null, 0, 0] as const;

function encodeMachine(machine: MachineEntry, base: number, names: NameTable): StoredMachineCells {
  const { lastHeartbeat, destination } = machine;
  // Images come before the type and the zone in the table of names.
  const images = machine.cachedImages.map((image) => names.numberOf(image));
  const cells: StoredMachineCells = [
    machine.host,
    names.numberOf(machine.machineType),
    names.numberOf(machine.zone),
    machine.spot ? 1 : 0,
    machine.acquiredAtMs - base,
    machine.shard,
    STATUSES.indexOf(machine.status),
    images,
    machine.ownershipCount,
    lastHeartbeat && [lastHeartbeat[0], lastHeartbeat[1]],
    destination === null ? null : encodeDestination(destination),
    machine.consecutiveFailures,
    machine.lastFailureAtMs,
  ];
  while (cells.length > FIRST_OPTIONAL_CELL && isUsual(cells.at(-1), cells.length - 1)) cells.pop();
  return cells;
}

function isUsual(cell: unknown, position: number): boolean {
  if (Array.isArray(cell)) return cell.length === 0;
  return cell === USUAL_CELLS[position - FIRST_OPTIONAL_CELL];
}

function decodeMachine(
  cells: StoredMachineCells,
  base: number,
  name: (number: number) => string,
): MachineEntry {
  const [host, machineType, zone, spot, since, shard, status, images, ...rest] = cells;
  const [ownershipCount, lastHeartbeat, destination, errors, failedAt] = rest;
  return {
    host,
    machineType: name(machineType),
    zone: name(zone),
    spot: spot === 1,
    acquiredAtMs: base + since,
    shard,
    destination: destination === undefined || destination === null ? null : decodeDestination(destination),
    status: STATUSES[status ?? 0] ?? 'up',
    ownershipCount: ownershipCount ?? 0,
    lastHeartbeat: lastHeartbeat ? [lastHeartbeat[0], lastHeartbeat[1]] : null,
    cachedImages: (images ?? []).map(name),
    consecutiveFailures: errors ?? 0,
    lastFailureAtMs: failedAt ?? 0,
  };
}
