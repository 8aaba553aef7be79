/** Types of the placement state, and of the records that change it. */
import type { GangAttempt } from './gang.js';
import type { Count } from '#wire';

/** Price of each resource on one shape. */
export interface ShapePrice {
  cpu: number;
  gpu: number;
  mem: number;
}

/** Resources that a task needs, or that several use together. */
export interface ResourceDemand {
  cpus: number;
  gpus: number;
  memGb: number;
}

/** A task that is, or may be, on a machine. It is there until its completion is recorded. */
export interface Placement extends ResourceDemand {
  job: string;
  index: number;
  taskName: string;
  team: string;
  attempt: number;
  /** How many tasks its gang has; null for an independent task. */
  gangSize: number | null;
  host: string;
  /** The worker incarnation for which the start was decided; in any other the start has no effect. */
  workerIncarnation: Count;
  /** Time of day of the record, in milliseconds. */
  startedAtMs: number;
}

/**
 * What its owner last recorded of a machine: not up yet, up, silent for a while, recalled by the cloud, failing
 * its tasks, or silent beyond its lease.
 */
export type MachineStatus = 'new' | 'up' | 'unresponsive' | 'reclaimed' | 'quarantined' | 'lost';

/** Where a machine is to go: a shard, or back to the cloud. */
export type Destination = number | 'scale_in';

/** A heartbeat of a worker: its incarnation, and the sequence within that. */
export type HeartbeatPosition = [incarnation: Count, sequence: Count];

/** A machine of the fleet. */
export interface MachineEntry {
  host: string;
  machineType: string;
  zone: string;
  spot: boolean;
  /** Time of day at which it was acquired (or first seen), in milliseconds. */
  acquiredAtMs: number;
  /** The shard it belongs to; null while it is between two. */
  shard: number | null;
  /** Named by the leader; the present owner releases the machine, the new one acquires it. */
  destination: Destination | null;
  status: MachineStatus;
  /** Raised with each acquisition: distinguishes one ownership of the machine from the next. */
  ownershipCount: number;
  /** Newest heartbeat that its last owner had processed when it released it: older ones tell a later owner nothing. */
  lastHeartbeat: HeartbeatPosition | null;
  /** Images fetched for tasks on it, the most recent last. */
  cachedImages: string[];
  /** Tasks that failed here since the last that did not, and the time of day of the last one. */
  consecutiveFailures: number;
  lastFailureAtMs: number;
}

/** A scale-out that was requested and is not settled yet. */
export interface PendingScaleOut {
  id: string;
  machineType: string;
  zone: string;
  spot: boolean;
  count: number;
  /** The shard that its machines will belong to. */
  shard: number;
  /** Time of day of the request, in milliseconds. */
  requestedAtMs: number;
}

/** How an attempt of a task ended. */
export type Outcome = 'done' | 'stopped' | 'failed' | 'refused' | 'lost' | 'undelivered';

/** A task, its machine, and the worker incarnation that may start it. */
export type TaskRow = [index: number, host: string, incarnation: Count];

/** Starts of one job. For independent tasks the record's sequence makes the attempt. */
export interface StartGroup {
  job: string;
  team: string;
  /** Name of its image, which the machines will have from then on. */
  image: string;
  need: [cpus: number, gpus: number, memGb: number];
  /** Absent for independent tasks. */
  gang?: GangAttempt;
  tasks: TaskRow[];
}

/** A machine that joins the fleet; `since`: time of day in milliseconds. */
export type MachineRow = [
  host: string,
  machineType: string,
  zone: string,
  spot: boolean,
  since: number,
  shard: number,
];

/** A request for machines. */
export type ScaleOutRow = [
  id: string,
  machineType: string,
  zone: string,
  spot: boolean,
  count: number,
  shard: number,
];

/** The end of an attempt. */
export type CompletionRow = [job: string, index: number, attempt: number, outcome: Outcome];
/** A machine's new status. */
export type StatusRow = [host: string, status: MachineStatus];
/** A machine that its shard gives up, and the last heartbeat that its owner processed. */
export type ReleaseRow = [host: string, lastHeartbeat: HeartbeatPosition | null];
/** Prices of each resource on one shape. */
export type PriceRow = [cpu: number, gpu: number, mem: number];

/** One entry of a log. The first group of fields is the leader's, the second that of a shard's owner. */
export interface PlacementRecord {
  sequence: number;
  recordedAtMs: number;
  /** Place within its commit: a later record may start what an earlier one of another log has completed. */
  commitIndex?: number;

  machines?: MachineRow[];
  removed?: string[];
  scaleOuts?: ScaleOutRow[];
  settledScaleOuts?: string[];
  transferTargets?: [host: string, to: Destination][];

  completions?: CompletionRow[];
  statuses?: StatusRow[];
  releases?: ReleaseRow[];
  acquisitions?: string[];
  starts?: StartGroup[];
  prices?: Record<string, PriceRow>;
  unmetCpus?: Record<string, number>;
}

/** A position in every log. */
export type Positions = Record<string, number>;

/** What a writer decides of a record; the log gives it its position. */
export type RecordDraft = Omit<PlacementRecord, 'sequence' | 'recordedAtMs' | 'commitIndex'>;

/** Where a record stands in its log and its commit. */
export type RecordPosition = Pick<PlacementRecord, 'sequence' | 'recordedAtMs' | 'commitIndex'>;
