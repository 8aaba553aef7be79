/**
 * What the interfaces of the service carry, in plain terms. The codecs beside this module are the only place that
 * knows the protocol's own names for it.
 */
import type { Count } from './codec.js';

export const MAX_BODY_BYTES = 64 * 1024;
export const MAX_TASKS = 100_000;

export const RANKS = ['best_effort', 'normal', 'urgent', 'prod'] as const;
export type Rank = (typeof RANKS)[number];

/** `array`: independent tasks. `gang`: all tasks of the job run at the same time, or none does. */
export type JobShape = 'array' | 'gang';

/** A job as its user submitted it. */
export interface JobSpec {
  id: string;
  jobClass: string;
  team: string;
  shape: JobShape;
  rank: Rank;
  taskCount: number;
  cpus: number;
  gpus: number;
  memGb: number;
  image: string;
  imageGb: number;
  machineTypes: string[] | null;
  zone: string | null;
  singleZone: boolean;
  spreadZones: boolean;
  allowsSpot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
}

export type JobStatus = 'pending' | 'running' | 'done' | 'cancelled';

/** What a user is told of a job. */
export interface JobState {
  id: string;
  status: JobStatus;
  /** Tasks that are done, and that run, for display. */
  done?: number;
  running?: number;
}

/** `fetching`: waiting for its image. `gathering`: a gang's task that waits for the others of its attempt. */
export type TaskState = 'fetching' | 'gathering' | 'running' | 'saving' | 'exited';
/**
 * Why a task ended. `peer_gone`: another task of its gang is gone. `gang_incomplete`: its gang did not come
 * together in time. The last three: its start was refused.
 */
export type ExitCause =
  'done' | 'stopped' | 'failed' | 'peer_gone' | 'gang_incomplete' | 'no_room' | 'duplicate' | 'unknown_task';

/** One task on a machine, as its worker reports it. */
export interface TaskReport {
  task: string;
  attempt: Count;
  state: TaskState;
  cause?: ExitCause | null;
}

export interface WorkerReport {
  host: string;
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
  session: Count;
  sequence: Count;
  token: Count;
  spotNoticeS?: number | null;
  tasks: TaskReport[];
}

/** What a worker is told to do. `forget`: an exited task is left out of further reports. */
export type Command =
  | { kind: 'start'; task: string; attempt: Count }
  | { kind: 'stop'; task: string; attempt: Count; graceS: number }
  | { kind: 'forget'; task: string; attempt: Count };

/** The answer that renews a worker's lease. */
export interface ReportAnswer {
  token: Count;
  commands: Command[];
}

/** A machine type that the cloud offers. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

/** A request for machines; its id is never used twice. */
export interface RentalRequest {
  id: string;
  machineType: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** A machine as the cloud lists it. */
export interface ListedMachine {
  host: string;
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
  state: 'starting' | 'running' | 'failed';
  ageS: number;
}

/** Name of a task on the wire: `<job>/<index>`. */
export function formatTaskName(job: string, index: number): string {
  return `${job}/${index}`;
}

export function parseTaskName(piece: string): { job: string; index: number } | null {
  const cut = piece.lastIndexOf('/');
  const index = Number(piece.slice(cut + 1));
  return cut > 0 && Number.isInteger(index) && index >= 0 ? { job: piece.slice(0, cut), index } : null;
}

const JOB_ID = /^j-[0-9]{1,32}$/;

export function isJobId(id: unknown): id is string {
  return typeof id === 'string' && JOB_ID.test(id);
}
