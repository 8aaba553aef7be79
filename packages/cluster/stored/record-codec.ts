/** Codec of the placement records that are stored in the logs. */
import type { Count, WireFields } from '#wire';
import type {
  CompletionRow,
  Destination,
  MachineRow,
  MachineStatus,
  Outcome,
  PlacementRecord,
  RecordDraft,
  RecordPosition,
  ReleaseRow,
  ScaleOutRow,
  StartGroup,
  StatusRow,
} from '../placement.js';
import { enumCodec } from './enum-codec.js';

/** The resources of one task. */
export type StoredResources = [cpus: number, gpus: number, memGb: number];
/** The last heartbeat of a worker that a shard owner processed. */
export type StoredHeartbeatPosition = [incarnation: Count, sequence: Count];
/** The stored strings of machine statuses. */
export type StoredMachineStatus = 'new' | 'up' | 'silent' | 'recalled' | 'faulty' | 'lost';
/** The number of the shard that a machine is transferred to, or `return` if it is to be scaled in. */
export type StoredDestination = number | 'return';

/** A machine that joins the fleet. `acquiredAtMs` is the wall-clock time in milliseconds. */
export type StoredMachineRow = [
  host: string,
  machineType: string,
  zone: string,
  spot: boolean,
  acquiredAtMs: number,
  shard: number,
];

/** A scale-out request. */
export type StoredScaleOutRow = [
  id: string,
  machineType: string,
  zone: string,
  spot: boolean,
  machineCount: number,
  shard: number,
];

/** The end of one attempt of a task, and its outcome. */
export type StoredCompletionRow = [job: string, index: number, attempt: number, outcome: string];
/** A task, its machine, and the incarnation of the worker that may start it. */
export type StoredTaskRow = [index: number, host: string, incarnation: Count];
/** Prices of one machine shape. */
export type StoredPriceRow = [cpu: number, gpu: number, mem: number];

/** Task starts of one job in one record. */
export interface StoredStartGroup {
  job: string;
  team: string;
  image: string;
  need: StoredResources;
  /** Absent for independent tasks. */
  gang?: { attempt: number; size: number };
  tasks: StoredTaskRow[];
}

/** A record without its position. The fields are stored in the order in which they are set on a split draft. */
export interface StoredRecordDraft {
  machines?: StoredMachineRow[];
  removed?: string[];
  rentals?: StoredScaleOutRow[];
  settledRentals?: string[];
  moves?: [host: string, destination: StoredDestination][];

  ends?: StoredCompletionRow[];
  statuses?: [host: string, status: string][];
  releases?: [host: string, lastHeartbeat: StoredHeartbeatPosition | null][];
  takes?: string[];
  starts?: StoredStartGroup[];
  prices?: Record<string, StoredPriceRow>;
  unmet?: Record<string, number>;
}

/** The position of a record in its log and its commit. */
export interface StoredRecordPosition {
  sequence: number;
  /** Wall-clock time, in milliseconds. */
  at: number;
  /** Position among the records of the same commit. Absent for the first. */
  order?: number;
}

/** A record as it is stored in its log. */
export interface StoredPlacementRecord extends StoredRecordDraft, StoredRecordPosition {}

const MACHINE_STATUS_CODEC = enumCodec<MachineStatus>({
  new: 'new',
  up: 'up',
  unresponsive: 'silent',
  reclaimed: 'recalled',
  quarantined: 'faulty',
  lost: 'lost',
} satisfies Record<MachineStatus, StoredMachineStatus>);

const OUTCOME_CODEC = enumCodec<Outcome>({
  done: 'done',
  stopped: 'stopped',
  failed: 'failed',
  refused: 'refused',
  lost: 'lost',
  undelivered: 'undelivered',
});

/** Encodes a draft, which may then be split before its parts get their positions. */
export function encodeRecordDraft(draft: RecordDraft): StoredRecordDraft {
  const stored: StoredRecordDraft = {};
  if (draft.removed) stored.removed = [...draft.removed];
  if (draft.machines) stored.machines = draft.machines.map(encodeMachineRow);
  if (draft.settledScaleOuts) stored.settledRentals = [...draft.settledScaleOuts];
  if (draft.scaleOuts) stored.rentals = draft.scaleOuts.map(encodeScaleOutRow);
  if (draft.transferTargets)
    stored.moves = draft.transferTargets.map(([host, destination]) => [host, encodeDestination(destination)]);
  if (draft.completions) stored.ends = draft.completions.map(encodeCompletionRow);
  if (draft.statuses) stored.statuses = draft.statuses.map(encodeStatusRow);
  if (draft.acquisitions) stored.takes = [...draft.acquisitions];
  if (draft.releases) stored.releases = draft.releases.map(encodeReleaseRow);
  if (draft.prices) stored.prices = { ...draft.prices };
  if (draft.unmetCpus) stored.unmet = { ...draft.unmetCpus };
  if (draft.starts) stored.starts = draft.starts.map(encodeStartGroup);
  return stored;
}

/** Returns the stored value of a record: the fields of the draft, followed by its position. */
export function encodeRecord(
  draft: StoredRecordDraft,
  { sequence, recordedAtMs: atMs, commitIndex: order }: RecordPosition,
): WireFields {
  const value: WireFields = { ...draft, sequence, at: atMs };
  if (order !== undefined) value['order'] = order;
  return value;
}

/** Reads a record. Fields that this version does not know are ignored. */
export function decodeRecord(value: WireFields): PlacementRecord {
  const stored = value as Partial<StoredPlacementRecord>;
  const record: PlacementRecord = { sequence: decodeSequence(value), recordedAtMs: Number(stored.at) };
  if (stored.order !== undefined) record.commitIndex = stored.order;
  if (stored.machines) record.machines = stored.machines.map(decodeMachineRow);
  if (stored.removed) record.removed = stored.removed;
  if (stored.rentals) record.scaleOuts = stored.rentals.map(decodeScaleOutRow);
  if (stored.settledRentals) record.settledScaleOuts = stored.settledRentals;
  if (stored.moves)
    record.transferTargets = stored.moves.map(([host, destination]) => [
      host,
      decodeDestination(destination),
    ]);
  if (stored.ends) record.completions = stored.ends.map(decodeCompletionRow);
  if (stored.statuses) record.statuses = stored.statuses.map(decodeStatusRow);
  if (stored.releases) record.releases = stored.releases.map(decodeReleaseRow);
  if (stored.takes) record.acquisitions = stored.takes;
  if (stored.starts) record.starts = stored.starts.map(decodeStartGroup);
  if (stored.prices) record.prices = stored.prices;
  if (stored.unmet) record.unmetCpus = stored.unmet;
  return record;
}

/** Reads the sequence number of a record in its log. Returns NaN if the row has none. */
export function decodeSequence(value: WireFields): number {
  return Number(value['sequence']);
}

/** Reads the index of a record in its commit. Returns 0 for the first record, and for rows that aren't records. */
export function decodeCommitIndex(value: WireFields | null): number {
  return Number(value?.['order'] ?? 0);
}

/** Encodes the destination of a machine. */
export function encodeDestination(destination: Destination): StoredDestination {
  return destination === 'scale_in' ? 'return' : destination;
}

/** Reads the destination of a machine. */
export function decodeDestination(destination: StoredDestination): Destination {
  return destination === 'return' ? 'scale_in' : destination;
}

function encodeMachineRow([
  host,
  machineType,
  zone,
  spot,
  acquiredAtMs,
  shard,
]: MachineRow): StoredMachineRow {
  return [host, machineType, zone, spot, acquiredAtMs, shard];
}

function decodeMachineRow([
  host,
  machineType,
  zone,
  spot,
  acquiredAtMs,
  shard,
]: StoredMachineRow): MachineRow {
  return [host, machineType, zone, spot, acquiredAtMs, shard];
}

function encodeScaleOutRow([
  id,
  machineType,
  zone,
  spot,
  machineCount,
  shard,
]: ScaleOutRow): StoredScaleOutRow {
  return [id, machineType, zone, spot, machineCount, shard];
}

function decodeScaleOutRow([
  id,
  machineType,
  zone,
  spot,
  machineCount,
  shard,
]: StoredScaleOutRow): ScaleOutRow {
  return [id, machineType, zone, spot, machineCount, shard];
}

function encodeCompletionRow([job, index, attempt, outcome]: CompletionRow): StoredCompletionRow {
  return [job, index, attempt, OUTCOME_CODEC.encode(outcome)];
}

function decodeCompletionRow([job, index, attempt, outcome]: StoredCompletionRow): CompletionRow {
  return [job, index, attempt, OUTCOME_CODEC.decode(outcome)];
}

function encodeStatusRow([host, status]: StatusRow): [string, string] {
  return [host, MACHINE_STATUS_CODEC.encode(status)];
}

function decodeStatusRow([host, status]: [string, string]): StatusRow {
  return [host, MACHINE_STATUS_CODEC.decode(status)];
}

function encodeReleaseRow([host, lastHeartbeat]: ReleaseRow): [string, StoredHeartbeatPosition | null] {
  return [host, lastHeartbeat && [lastHeartbeat[0], lastHeartbeat[1]]];
}

function decodeReleaseRow([host, lastHeartbeat]: [string, StoredHeartbeatPosition | null]): ReleaseRow {
  return [host, lastHeartbeat && [lastHeartbeat[0], lastHeartbeat[1]]];
}

function encodeStartGroup({ job, team, image, taskResources, gang, tasks }: StartGroup): StoredStartGroup {
  const [cpus, gpus, memGb] = taskResources;
  const header = { job, team, image, need: [cpus, gpus, memGb] satisfies StoredResources };
  const rows = tasks.map(([index, host, incarnation]): StoredTaskRow => [index, host, incarnation]);
  if (!gang) return { ...header, tasks: rows };
  return { ...header, gang: { attempt: gang.attempt, size: gang.size }, tasks: rows };
}

function decodeStartGroup({ job, team, image, need, gang, tasks }: StoredStartGroup): StartGroup {
  const group: StartGroup = { job, team, image, taskResources: need, tasks };
  if (gang) group.gang = { attempt: gang.attempt, size: gang.size };
  return group;
}
