/** Rows of jobs, while they are live and once they are terminal. */
import { type WireFields, isWireFields, type JobShape, type JobSpec, type Rank } from '#wire';
import type { TerminalStatus, LiveJob } from '../jobs.js';
import { storedWords } from './words.js';

/** A job as its user submitted it. */
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

const SHAPE_WORDS = storedWords<JobShape>({ array: 'array', gang: 'gang' });

const RANK_WORDS = storedWords<Rank>({
  best_effort: 'best_effort',
  normal: 'normal',
  urgent: 'urgent',
  prod: 'prod',
});

/** The stored form of a job; limits of values are counted in it. */
export function encodeJobSpec(spec: JobSpec): StoredJobSpec {
  return {
    id: spec.id,
    jobClass: spec.jobClass,
    team: spec.team,
    shape: SHAPE_WORDS.encode(spec.shape),
    rank: RANK_WORDS.encode(spec.rank),
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

/** Reads the stored form; fields that are missing stay undefined. */
export function decodeJobSpec(stored: StoredJobSpec): JobSpec {
  return {
    id: stored.id,
    jobClass: stored.jobClass,
    team: stored.team,
    shape: SHAPE_WORDS.decode(stored.shape),
    rank: RANK_WORDS.decode(stored.rank),
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

/** The row of a live job; `acceptedAtMs`: time of day. */
export function encodeJobRow(spec: JobSpec, acceptedAtMs: number): WireFields {
  return { At: acceptedAtMs, Job: encodeJobSpec(spec) };
}

/** Reads the row of a live job. */
export function decodeJobRow(value: WireFields, revision: number): LiveJob {
  const stored: Partial<StoredJobSpec> = isWireFields(value['Job']) ? value['Job'] : {};
  return {
    spec: decodeJobSpec(stored as StoredJobSpec),
    acceptedAtMs: Number(value['At']),
    acceptedRevision: revision,
  };
}

/** From the end of a job on its row says nothing but its terminal status. */
export function isTerminal(value: WireFields): boolean {
  return value['Status'] !== undefined;
}

/** The row of a job that ended, wherever it lies. */
export function encodeFinal(status: TerminalStatus): WireFields {
  return { Status: status === 'done' ? 'done' : 'cancelled' };
}

/** How a job ended. */
export function decodeTerminalStatus(value: WireFields): TerminalStatus {
  return value['Status'] === 'done' ? 'done' : 'cancelled';
}
