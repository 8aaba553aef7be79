/** Types of the placement state and of the records that change it. */
import type { GangAttempt } from './gang.js';
import type { Count } from '#wire';

/** Prices of one CPU, one GPU and one GB of memory on machines of one shape, in units of priority. */
export interface ShapePrice {
  cpu: number;
  gpu: number;
  mem: number;
}

/** Resources that one task needs, or the sum for several tasks. */
export interface ResourceDemand {
  cpus: number;
  gpus: number;
  memGb: number;
}

/** A task that is, or may be, on a machine. The placement ends when the completion of the attempt is recorded. */
export interface Placement extends ResourceDemand {
  job: string;
  /** Number of the task within its job, from 0. */
  index: number;
  taskName: string;
  team: string;
  attempt: number;
  /** Number of tasks of the gang; null for an independent task. */
  gangSize: number | null;
  host: string;
  /** The worker incarnation that may start the task. The start has no effect in any other incarnation. */
  workerIncarnation: Count;
  /** Wall-clock time of the record, in milliseconds. */
  startedAtMs: number;
}

/**
 * The status of a machine that its owner recorded last. `new`: not up yet. `unresponsive`: without heartbeats for a
 * while. `reclaimed`: the cloud takes it back. `quarantined`: its tasks fail. `lost`: without heartbeats beyond the
 * worker's lease.
 */
export type MachineStatus = 'new' | 'up' | 'unresponsive' | 'reclaimed' | 'quarantined' | 'lost';

/** The transfer target of a machine: a shard, or `scale_in` for its return to the cloud. */
export type Destination = number | 'scale_in';

/** Identifies a heartbeat by the worker incarnation and the sequence number within the incarnation. */
export type HeartbeatPosition = [incarnation: Count, sequence: Count];

/** A machine of the fleet. */
export interface MachineEntry {
  host: string;
  machineType: string;
  zone: string;
  spot: boolean;
  /** Wall-clock time at which the machine was acquired from the cloud, or first seen, in milliseconds. */
  acquiredAtMs: number;
  /** The shard that the machine belongs to; null between its release by one shard and its acquisition by the next. */
  shard: number | null;
  /** Transfer target that the leader named, or null. The current owner releases the machine, the next acquires it. */
  destination: Destination | null;
  status: MachineStatus;
  /** Incremented with each acquisition, to distinguish one ownership of the machine from the next. */
  ownershipCount: number;
  /**
   * Newest heartbeat that the last owner, or one before it, had processed at the release; [0, 0] if there was none. Later
   * owners ignore older heartbeats. Null before the first release, or if an older version recorded none.
   */
  lastHeartbeat: HeartbeatPosition | null;
  /** Images fetched for tasks on the machine, the most recent last. */
  cachedImages: string[];
  /** Number of tasks that failed on the machine in a row, since the last one that ended with the outcome `done`. */
  consecutiveFailures: number;
  /** Wall-clock time of the last failure, in milliseconds. */
  lastFailureAtMs: number;
}

/** A scale-out that was requested and whose outcome is not recorded yet. */
export interface PendingScaleOut {
  id: string;
  machineType: string;
  zone: string;
  spot: boolean;
  count: number;
  /** The shard that the machines will belong to. */
  shard: number;
  /** Wall-clock time of the request, in milliseconds. */
  requestedAtMs: number;
}

/**
 * How an attempt of a task ended. `stopped`: the task exited on request or with its gang. `refused`: the worker did not
 * start it. `lost`: the worker ended it without a report, or its machine was lost. `undelivered`: the start can no
 * longer reach the worker.
 */
export type Outcome = 'done' | 'stopped' | 'failed' | 'refused' | 'lost' | 'undelivered';

/** The start of one task: its index, its machine, and the worker incarnation that may start it. */
export type TaskRow = [index: number, host: string, incarnation: Count];

/** Starts of tasks of one job. The attempt number of independent tasks is derived from the record's sequence. */
export interface StartGroup {
  job: string;
  team: string;
  /** Name of the job's image, which the machines have cached from then on. */
  image: string;
  /** Resources of each task. */
  taskResources: [cpus: number, gpus: number, memGb: number];
  /** Absent for independent tasks. */
  gang?: GangAttempt;
  tasks: TaskRow[];
}

/** A machine that joins the fleet. `acquiredAtMs`: wall-clock time, in milliseconds. */
export type MachineRow = [
  host: string,
  machineType: string,
  zone: string,
  spot: boolean,
  acquiredAtMs: number,
  shard: number,
];

/** A scale-out request. */
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
/** A machine that its shard releases, and the position of `MachineEntry.lastHeartbeat`. */
export type ReleaseRow = [host: string, lastHeartbeat: HeartbeatPosition | null];
/** The cells of a {@link ShapePrice}. */
export type PriceRow = [cpu: number, gpu: number, mem: number];

/** One entry of a log. The leader writes the first group of optional fields, the owner of a shard the second. */
export interface PlacementRecord {
  /** Position in the log, from 1 on without gaps. */
  sequence: number;
  /** Wall-clock time at which the record was written, in milliseconds. */
  recordedAtMs: number;
  /**
   * Index of the record within its commit; absent for the first record. Records are applied in this order, since a
   * record may rely on a completion in an earlier record of another log.
   */
  commitIndex?: number;

  machines?: MachineRow[];
  /** Hosts of machines that have left the fleet. */
  removed?: string[];
  scaleOuts?: ScaleOutRow[];
  /** Ids of scale-outs that are no longer pending. */
  settledScaleOuts?: string[];
  /** Machines whose transfer target changes. */
  transferTargets?: [host: string, to: Destination][];

  completions?: CompletionRow[];
  statuses?: StatusRow[];
  releases?: ReleaseRow[];
  /** Hosts of machines that the shard acquires. */
  acquisitions?: string[];
  starts?: StartGroup[];
  /** Keyed by shape. Prices that the writer's last scheduling round computed. */
  prices?: Record<string, PriceRow>;
  /** Keyed by team. CPUs required by tasks for which the writer's last scheduling round found no capacity. */
  unmetCpus?: Record<string, number>;
}

/** Keyed by log. Sequence number of the last record that is written, applied or covered. */
export type Positions = Record<string, number>;

/** The content of a record without its position, which {@link RecordPosition} holds. */
export type RecordDraft = Omit<PlacementRecord, 'sequence' | 'recordedAtMs' | 'commitIndex'>;

/** The position of a record in its log and its commit, and its time. */
export type RecordPosition = Pick<PlacementRecord, 'sequence' | 'recordedAtMs' | 'commitIndex'>;
