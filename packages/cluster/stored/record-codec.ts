/** Placement records as they are stored in the logs. */
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
import { storedWords } from './words.js';

/** What one task takes. */
export type StoredResources = [cpus: number, gpus: number, memGb: number];
/** The last heartbeat that an owner took in. */
export type StoredHeartbeatPosition = [incarnation: Count, sequence: Count];
/** The status of a machine. */
export type StoredMachineStatus = 'new' | 'up' | 'silent' | 'recalled' | 'faulty' | 'lost';
/** The number of a shard, or `return` for the cloud. */
export type StoredDestination = number | 'return';

/** A machine that joins the fleet; `since`: time of day in milliseconds. */
export type StoredMachineRow = [
  host: string,
  machineType: string,
  zone: string,
  spot: boolean,
  since: number,
  shard: number,
];

/** A request for machines. */
export type StoredRentalRow = [
  id: string,
  machineType: string,
  zone: string,
  spot: boolean,
  machineCount: number,
  shard: number,
];

/** How a task ended. */
export type StoredCompletionRow = [job: string, index: number, attempt: number, outcome: string];
/** A task, its machine, and the incarnation of the worker that may start it. */
export type StoredTaskRow = [index: number, host: string, incarnation: Count];
/** Prices of one shape. */
export type StoredPriceRow = [cpu: number, gpu: number, mem: number];

/** Starts of one job. */
export interface StoredStartGroup {
  job: string;
  team: string;
  image: string;
  need: StoredResources;
  /** Absent for independent tasks. */
  gang?: { attempt: number; size: number };
  tasks: StoredTaskRow[];
}

/** A record, but for its position. Its fields are stored in the order in which a split draft gets them. */
export interface StoredRecordDraft {
  machines?: StoredMachineRow[];
  removed?: string[];
  rentals?: StoredRentalRow[];
  settledRentals?: string[];
  moves?: [host: string, to: StoredDestination][];

  ends?: StoredCompletionRow[];
  statuses?: [host: string, status: string][];
  releases?: [host: string, lastReport: StoredHeartbeatPosition | null][];
  takes?: string[];
  starts?: StoredStartGroup[];
  prices?: Record<string, StoredPriceRow>;
  unmet?: Record<string, number>;
}

/** Where a record stands in its log and its commit. */
export interface StoredRecordPosition {
  sequence: number;
  /** Time of day, in milliseconds. */
  at: number;
  /** Absent for the first record of a commit. */
  order?: number;
}

/** A record as it lies in its log. */
export interface StoredPlacementRecord extends StoredRecordDraft, StoredRecordPosition {}

const MACHINE_STATUS_WORDS = storedWords<MachineStatus>({
  new: 'new',
  up: 'up',
  unresponsive: 'silent',
  reclaimed: 'recalled',
  quarantined: 'faulty',
  lost: 'lost',
} satisfies Record<MachineStatus, StoredMachineStatus>);

const OUTCOME_WORDS = storedWords<Outcome>({
  done: 'done',
  stopped: 'stopped',
  failed: 'failed',
  refused: 'refused',
  lost: 'lost',
  undelivered: 'undelivered',
});

/** The stored form of a draft, to be split before it is given its position. */
export function encodeRecordDraft(draft: RecordDraft): StoredRecordDraft {
  const stored: StoredRecordDraft = {};
  if (draft.removed) stored.removed = [...draft.removed];
  if (draft.machines) stored.machines = draft.machines.map(encodeMachineRow);
  if (draft.settledScaleOuts) stored.settledRentals = [...draft.settledScaleOuts];
  if (draft.scaleOuts) stored.rentals = draft.scaleOuts.map(encodeRentalRow);
  if (draft.transferTargets)
    stored.moves = draft.transferTargets.map(([host, to]) => [host, encodeDestination(to)]);
  if (draft.completions) stored.ends = draft.completions.map(encodeCompletion);
  if (draft.statuses) stored.statuses = draft.statuses.map(encodeStatus);
  if (draft.acquisitions) stored.takes = [...draft.acquisitions];
  if (draft.releases) stored.releases = draft.releases.map(encodeRelease);
  if (draft.prices) stored.prices = { ...draft.prices };
  if (draft.unmetCpus) stored.unmet = { ...draft.unmetCpus };
  if (draft.starts) stored.starts = draft.starts.map(encodeStartGroup);
  return stored;
}

/** The value that is stored: the draft's fields first, its position after them. */
export function encodeRecord(
  draft: StoredRecordDraft,
  { sequence, recordedAtMs: acceptedAtMs, commitIndex: order }: RecordPosition,
): WireFields {
  const value: WireFields = { ...draft, sequence, at: acceptedAtMs };
  if (order !== undefined) value['order'] = order;
  return value;
}

/** Reads a record; fields that this version does not know are left out. */
export function decodeRecord(value: WireFields): PlacementRecord {
  const stored = value as Partial<StoredPlacementRecord>;
  const record: PlacementRecord = { sequence: storedSequence(value), recordedAtMs: Number(stored.at) };
  if (stored.order !== undefined) record.commitIndex = stored.order;
  if (stored.machines) record.machines = stored.machines.map(decodeMachineRow);
  if (stored.removed) record.removed = stored.removed;
  if (stored.rentals) record.scaleOuts = stored.rentals.map(decodeRentalRow);
  if (stored.settledRentals) record.settledScaleOuts = stored.settledRentals;
  if (stored.moves) record.transferTargets = stored.moves.map(([host, to]) => [host, decodeDestination(to)]);
  if (stored.ends) record.completions = stored.ends.map(decodeCompletion);
  if (stored.statuses) record.statuses = stored.statuses.map(decodeStatus);
  if (stored.releases) record.releases = stored.releases.map(decodeRelease);
  if (stored.takes) record.acquisitions = stored.takes;
  if (stored.starts) record.starts = stored.starts.map(decodeStartGroup);
  if (stored.prices) record.prices = stored.prices;
  if (stored.unmet) record.unmetCpus = stored.unmet;
  return record;
}

/** The record's number in its log; NaN if the row names none. */
export function storedSequence(value: WireFields): number {
  return Number(value['sequence']);
}

/** The record's place in its commit; 0 for the first, and for rows of other kinds. */
export function storedCommitOrder(value: WireFields | null): number {
  return Number(value?.['order'] ?? 0);
}

/** Where a machine is to go, as it is stored. */
export function encodeDestination(to: Destination): StoredDestination {
  return to === 'scale_in' ? 'return' : to;
}

/** Reads where a machine is to go. */
export function decodeDestination(to: StoredDestination): Destination {
  return to === 'return' ? 'scale_in' : to;
}

function encodeMachineRow([host, machineType, zone, spot, since, shard]: MachineRow): StoredMachineRow {
  return [host, machineType, zone, spot, since, shard];
}

function decodeMachineRow([host, machineType, zone, spot, since, shard]: StoredMachineRow): MachineRow {
  return [host, machineType, zone, spot, since, shard];
}

function encodeRentalRow([id, machineType, zone, spot, machineCount, shard]: ScaleOutRow): StoredRentalRow {
  return [id, machineType, zone, spot, machineCount, shard];
}

function decodeRentalRow([id, machineType, zone, spot, machineCount, shard]: StoredRentalRow): ScaleOutRow {
  return [id, machineType, zone, spot, machineCount, shard];
}

function encodeCompletion([job, index, attempt, outcome]: CompletionRow): StoredCompletionRow {
  return [job, index, attempt, OUTCOME_WORDS.encode(outcome)];
}

function decodeCompletion([job, index, attempt, outcome]: StoredCompletionRow): CompletionRow {
  return [job, index, attempt, OUTCOME_WORDS.decode(outcome)];
}

function encodeStatus([host, status]: StatusRow): [string, string] {
  return [host, MACHINE_STATUS_WORDS.encode(status)];
}

function decodeStatus([host, status]: [string, string]): StatusRow {
  return [host, MACHINE_STATUS_WORDS.decode(status)];
}

function encodeRelease([host, last]: ReleaseRow): [string, StoredHeartbeatPosition | null] {
  return [host, last && [last[0], last[1]]];
}

function decodeRelease([host, last]: [string, StoredHeartbeatPosition | null]): ReleaseRow {
  return [host, last && [last[0], last[1]]];
}

function encodeStartGroup({ job, team, image, need, gang, tasks }: StartGroup): StoredStartGroup {
  const [cpus, gpus, memGb] = need;
  const head = { job, team, image, need: [cpus, gpus, memGb] satisfies StoredResources };
  const rows = tasks.map(([index, host, incarnation]): StoredTaskRow => [index, host, incarnation]);
  if (!gang) return { ...head, tasks: rows };
  return { ...head, gang: { attempt: gang.attempt, size: gang.size }, tasks: rows };
}

function decodeStartGroup({ job, team, image, need, gang, tasks }: StoredStartGroup): StartGroup {
  const group: StartGroup = { job, team, image, need, tasks };
  if (gang) group.gang = { attempt: gang.attempt, size: gang.size };
  return group;
}
