/**
 * Maps the state to the lines of a snapshot, field by field, and lines to text and back. The types of the lines name every
 * value that a file may hold, so that renaming one in the code only doesn't compile.
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

/** Who writes a snapshot, and when. */
export interface SnapshotOrigin {
  /** The node whose copy of the state is written. */
  readonly member: string;
  /** Every node of its cluster. */
  readonly nodes: readonly string[];
  /** Time of day, in milliseconds. */
  readonly takenAt: number;
  /** State of the node's data-loss detector; null where it is switched off. */
  readonly loss: DataLossState | null;
}

/** The first line of a snapshot of a copy that has reached these marks. */
export function encodeHeader(origin: SnapshotOrigin, marks: HighWaterMarks): SnapshotHeader {
  return {
    kind: 'header',
    format: SNAPSHOT_FORMAT,
    version: SNAPSHOT_VERSION,
    member: origin.member,
    nodes: origin.nodes,
    takenAt: origin.takenAt,
    loss: origin.loss,
    epoch: marks.revision,
    token: marks.fencingToken,
    positions: marks.positions,
  };
}

/** The line of a machine type. */
export function encodeMachineType(type: MachineType): MachineTypeLine {
  return { kind: 'type', type: machineTypeFields(type) };
}

/** The line of a live job. */
export function encodeJob(id: string, job: LiveJob): JobLine {
  return { kind: 'job', id, at: job.acceptedAtMs, spec: jobSpecFields(job.spec) };
}

/** The line of a job that has ended. */
export function encodeTerminalStatus(id: string, status: TerminalStatus): TerminalStatusLine {
  return { kind: 'final', id, status };
}

/** The line of a checkpoint row. Its cells are those of the stored row. */
export function encodeCheckpointRow(row: CheckpointRow): CheckpointRowLine {
  return { kind: 'ledger', row };
}

/** A line as it stands in the file, with its end. */
export function formatLine(line: SnapshotLine): string {
  return `${JSON.stringify(line)}\n`;
}

/** The line that these bytes hold, of whatever kind it says it is; null if they are no such line. */
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
