/** What the placement state is made of, and the records that change it. */
import type { Count } from '#wire';
import type { GangAttempt } from './gang.js';

/** Price of each resource on one shape. */
export interface ShapePrice {
  cpu: number;
  gpu: number;
  mem: number;
}

export interface ResourceDemand {
  cpus: number;
  gpus: number;
  memGb: number;
}

/** A task that is, or may be, on a machine. It is there until its end is recorded. */
export interface Placement extends ResourceDemand {
  job: string;
  index: number;
  taskName: string;
  team: string;
  attempt: number;
  /** How many tasks its gang has; null for an independent task. */
  gangSize: number | null;
  host: string;
  /** The session for which the start was decided; in any other the start has no force. */
  workerIncarnation: Count;
  /** Time of day of the record, in milliseconds. */
  startedAtMs: number;
}

/**
 * What its owner last said of a machine: not up yet, up, silent for a while, called back by the cloud, failing
 * its tasks, or silent beyond its lease.
 */
export type MachineStatus = 'new' | 'up' | 'silent' | 'recalled' | 'faulty' | 'lost';

/** Where a machine is to go: a share, or back to the cloud. */
export type Destination = number | 'return';

export interface MachineEntry {
  host: string;
  machineType: string;
  zone: string;
  spot: boolean;
  /** Time of day at which it was rented (or met), in milliseconds. */
  acquiredAtMs: number;
  /** The share it belongs to; null while it is between two. */
  shard: number | null;
  /** Named by the leader; the owner releases it, the new one takes it. */
  destination: Destination | null;
  status: MachineStatus;
  /** Tells one time of belonging to a share from another. */
  ownershipCount: number;
  /** Newest report its last owner had taken in when it let go: an older one tells a later owner nothing. */
  lastHeartbeat: [shift: Count, tally: Count] | null;
  /** Images fetched for tasks on it, the most recent last. */
  cachedImages: string[];
  /** Tasks that failed here since the last that did not, and the time of day of the last one. */
  consecutiveFailures: number;
  lastFailureAtMs: number;
}

export interface PendingScaleOut {
  id: string;
  machineType: string;
  zone: string;
  spot: boolean;
  count: number;
  /** The share that its machines will belong to. */
  shard: number;
  requestedAtMs: number;
}

export type Outcome = 'done' | 'stopped' | 'failed' | 'refused' | 'lost' | 'undelivered';

/** Starts of one job: `On` holds index, host and session for each. The record's number makes the attempt. */
export interface StartGroup {
  job: string;
  team: string;
  /** Name of its image, which the machines will have from then on. */
  image: string;
  need: [number, number, number];
  /** Absent for independent tasks. */
  gang?: GangAttempt;
  tasks: [number, string, Count][];
}

export type MachineRow = [
  host: string,
  machineType: string,
  zone: string,
  spot: boolean,
  since: number,
  share: number,
];

export type ScaleOutRow = [
  id: string,
  machineType: string,
  zone: string,
  spot: boolean,
  number: number,
  share: number,
];

/** One entry of a log. The first group of fields is the leader's, the second that of a share's owner. */
export interface PlacementRecord {
  sequence: number;
  recordedAtMs: number;
  /** Place within its commit: a later record may start what an earlier one of another log has ended. */
  commitIndex?: number;

  machines?: MachineRow[];
  removed?: string[];
  scaleOuts?: ScaleOutRow[];
  settledScaleOuts?: string[];
  transferTargets?: [host: string, to: Destination][];

  completions?: [job: string, index: number, attempt: number, outcome: Outcome][];
  statuses?: [host: string, status: MachineStatus][];
  releases?: [host: string, lastReport: [session: Count, sequence: Count] | null][];
  acquisitions?: string[];
  starts?: StartGroup[];
  prices?: Record<string, [number, number, number]>;
  unmetCpus?: Record<string, number>;
}

/** A position in every log. */
export type Positions = Record<string, number>;

/** What a writer decides of a record; the log gives it its position. */
export type RecordDraft = Omit<PlacementRecord, 'sequence' | 'recordedAtMs' | 'commitIndex'>;

/** Where a record stands in its log and its commit. */
export type RecordPosition = Pick<PlacementRecord, 'sequence' | 'recordedAtMs' | 'commitIndex'>;
