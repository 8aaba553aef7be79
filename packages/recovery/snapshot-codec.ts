/**
 * Maps the state to the lines of a snapshot, field by field, and converts lines to text and back. The types of the lines
 * list every enumerated value that a file may contain, so that renaming such a value only in the code is a compile error.
 */
import type { CheckpointRow, TerminalStatus, LiveJob, HighWaterMarks } from '#cluster';
import type { JobSpec, MachineType } from '#wire';
import type { DataLossState } from './data-loss-status.js';
import {
  type TerminalStatusLine,
  type JobLine,
  type CheckpointRowLine,
  SNAPSHOT_FORMAT,
  SNAPSHOT_VERSION,
  type SnapshotHeader,
  type SnapshotJobSpec,
  type SnapshotLine,
  type SnapshotMachineType,
  type MachineTypeLine,
} from './snapshot-format.js';

/** Describes which node writes a snapshot, and when. */
export interface SnapshotOrigin {
  /** The node whose replica of the state is written. */
  readonly member: string;
  /** Every node of the cluster. */
  readonly nodes: readonly string[];
  /** Wall-clock time, in milliseconds. */
  readonly takenAt: number;
  /** State of the node's data-loss detector; null if detection is off. */
  readonly dataLossState: DataLossState | null;
}

/** Returns the first line of a snapshot of a replica that has reached these marks. */
export function encodeHeader(origin: SnapshotOrigin, marks: HighWaterMarks): SnapshotHeader {
  return {
    kind: 'header',
    format: SNAPSHOT_FORMAT,
    version: SNAPSHOT_VERSION,
    member: origin.member,
    nodes: origin.nodes,
    takenAt: origin.takenAt,
    loss: origin.dataLossState,
    epoch: marks.revision,
    token: marks.fencingToken,
    positions: marks.positions,
  };
}

/** Returns the line for a machine type. */
export function encodeMachineType(type: MachineType): MachineTypeLine {
  return { kind: 'type', type: machineTypeFields(type) };
}

/** Returns the line for a live job. */
export function encodeJob(id: string, job: LiveJob): JobLine {
  return { kind: 'job', id, at: job.acceptedAtMs, spec: jobSpecFields(job.spec) };
}

/** Returns the line for a job that has ended. */
export function encodeTerminalStatus(id: string, status: TerminalStatus): TerminalStatusLine {
  return { kind: 'final', id, status };
}

/** Returns the line for a row of the ledger's checkpoint. The line contains the cells as they are stored. */
export function encodeCheckpointRow(row: CheckpointRow): CheckpointRowLine {
  return { kind: 'ledger', row };
}

/** Returns the text of a line in the file, with the line break. */
export function formatLine(line: SnapshotLine): string {
  return `${JSON.stringify(line)}\n`;
}

/**
 * Parses the bytes of one line. Returns null if they are not a JSON object with a `kind`. Does not validate the kind and
 * the other fields.
 */
export function parseLine(bytes: Buffer): SnapshotLine | null {
  try {
    const value: unknown = JSON.parse(bytes.toString('utf8'));
    const isLine = typeof value === 'object' && value !== null && 'kind' in value;
    return isLine ? (value as SnapshotLine) : null;
  } catch {
    return null;
  }
}

function machineTypeFields(type: MachineType): SnapshotMachineType {
  return {
    name: type.name,
    cpus: type.cpus,
    gpus: type.gpus,
    memGb: type.memGb,
    cacheGb: type.cacheGb,
    fetchGbPerS: type.fetchGbPerS,
    price: type.price,
    spotPrice: type.spotPrice,
    bootS: type.bootS,
    zones: type.zones,
  };
}

function jobSpecFields(spec: JobSpec): SnapshotJobSpec {
  return {
    id: spec.id,
    jobClass: spec.jobClass,
    team: spec.team,
    shape: spec.shape,
    rank: spec.rank,
    taskCount: spec.taskCount,
    cpus: spec.cpus,
    gpus: spec.gpus,
    memGb: spec.memGb,
    image: spec.image,
    imageGb: spec.imageGb,
    machineTypes: spec.machineTypes,
    zone: spec.zone,
    singleZone: spec.singleZone,
    spreadZones: spec.spreadZones,
    allowsSpot: spec.allowsSpot,
    estimateS: spec.estimateS,
    checkpointS: spec.checkpointS,
    saveS: spec.saveS,
    deadlineS: spec.deadlineS,
  };
}
