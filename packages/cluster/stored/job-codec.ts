/** Codecs of the rows of live and terminal jobs. */
import { type WireFields, isWireFields, type JobShape, type JobSpec, type Rank } from '#wire';
import type { TerminalStatus, LiveJob } from '../jobs.js';
import { enumCodec } from './enum-codec.js';

/** The stored form of a job specification. */
export interface StoredJobSpec {
  id: string;
  jobClass: string;
  team: string;
  shape: string;
  rank: string;
  taskCount: number;
  cpus: number;
  gpus: number;
  memGb: number;
  image: string;
  imageGb: number;
  machineTypes: readonly string[] | null;
  zone: string | null;
  singleZone: boolean;
  spreadZones: boolean;
  allowsSpot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
}

const SHAPE_CODEC = enumCodec<JobShape>({ array: 'array', gang: 'gang' });

const RANK_CODEC = enumCodec<Rank>({
  best_effort: 'best_effort',
  normal: 'normal',
  urgent: 'urgent',
  prod: 'prod',
});

/** Encodes a job specification. The size limits of values apply to this form. */
export function encodeJobSpec(spec: JobSpec): StoredJobSpec {
  return {
    id: spec.id,
    jobClass: spec.jobClass,
    team: spec.team,
    shape: SHAPE_CODEC.encode(spec.shape),
    rank: RANK_CODEC.encode(spec.rank),
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

/** Reads a job specification. Missing fields are undefined. */
export function decodeJobSpec(stored: StoredJobSpec): JobSpec {
  return {
    id: stored.id,
    jobClass: stored.jobClass,
    team: stored.team,
    shape: SHAPE_CODEC.decode(stored.shape),
    rank: RANK_CODEC.decode(stored.rank),
    taskCount: stored.taskCount,
    cpus: stored.cpus,
    gpus: stored.gpus,
    memGb: stored.memGb,
    image: stored.image,
    imageGb: stored.imageGb,
    machineTypes: stored.machineTypes,
    zone: stored.zone,
    singleZone: stored.singleZone,
    spreadZones: stored.spreadZones,
    allowsSpot: stored.allowsSpot,
    estimateS: stored.estimateS,
    checkpointS: stored.checkpointS,
    saveS: stored.saveS,
    deadlineS: stored.deadlineS,
  };
}

/** Encodes the row of a live job. `acceptedAtMs` is the wall-clock time in milliseconds. */
export function encodeJobRow(spec: JobSpec, acceptedAtMs: number): WireFields {
  return { At: acceptedAtMs, Job: encodeJobSpec(spec) };
}

/** Reads the row of a live job. `revision` is the revision of the commit that wrote it. */
export function decodeJobRow(value: WireFields, revision: number): LiveJob {
  const stored: Partial<StoredJobSpec> = isWireFields(value['Job']) ? value['Job'] : {};
  return {
    spec: decodeJobSpec(stored as StoredJobSpec),
    acceptedAtMs: Number(value['At']),
    acceptedRevision: revision,
  };
}

/** True if a job's row holds a terminal status, which replaces the whole row when the job ends. */
export function isTerminal(value: WireFields): boolean {
  return value['Status'] !== undefined;
}

/** Encodes the row of a terminal job. The row is the same under the live key and under the terminal key. */
export function encodeTerminalStatus(status: TerminalStatus): WireFields {
  return { Status: status === 'done' ? 'done' : 'cancelled' };
}

/** Reads the row of a terminal job. */
export function decodeTerminalStatus(value: WireFields): TerminalStatus {
  return value['Status'] === 'done' ? 'done' : 'cancelled';
}
