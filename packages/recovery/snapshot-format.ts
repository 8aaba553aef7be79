/**
 * The file format of a snapshot: JSON, one object a line, compressed as one gzip stream. The first line identifies the
 * file, the last one holds the count and the checksum of all before it, so that a truncated file is recognized.
 *
 * These interfaces are the format itself. Their fields are those in the files and don't follow the names in the code;
 * `snapshot-codec.ts` maps between the two.
 */
import type { CheckpointRow } from '#cluster';

/** Names the format in the first line of a file. */
export const SNAPSHOT_FORMAT = 'micaworks-snapshot';

/** Incremented when a line changes its meaning; lines of unknown kinds make a file unreadable, unknown fields don't. */
export const SNAPSHOT_VERSION = 1;

/** No line is longer, in bytes: a reader holds one line at a time. */
export const MAX_LINE_BYTES = 1024 * 1024;

/** The first line: whose copy of the state the file holds, and as of when. */
export interface SnapshotHeader {
  readonly kind: 'header';
  readonly format: typeof SNAPSHOT_FORMAT;
  readonly version: number;
  /** The node whose copy it is, and all nodes of its cluster. */
  readonly member: string;
  readonly nodes: readonly string[];
  /** Time of day, in milliseconds. */
  readonly takenAt: number;
  /** The state service's revision that the copy had reached. */
  readonly epoch: number;
  /** The cluster's fencing token. */
  readonly token: number;
  /** The number of the last record of each log. */
  readonly positions: Readonly<Record<string, number>>;
  /** State of the node's data-loss detector when it wrote the snapshot; null where it is switched off. */
  readonly loss: 'serving' | 'noticed' | 'frozen' | null;
}

/** A job as its user submitted it. */
export interface SnapshotJobSpec {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  readonly shape: 'array' | 'gang';
  readonly rank: 'best_effort' | 'normal' | 'urgent' | 'prod';
  readonly taskCount: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memGb: number;
  readonly image: string;
  readonly imageGb: number;
  readonly machineTypes: readonly string[] | null;
  readonly zone: string | null;
  readonly singleZone: boolean;
  readonly spreadZones: boolean;
  readonly allowsSpot: boolean;
  readonly estimateS: number;
  readonly checkpointS: number;
  readonly saveS: number;
  readonly deadlineS: number | null;
}

/** A live job, or one that ended so recently that its row still lies among those of live jobs. */
export interface JobLine {
  readonly kind: 'job';
  readonly id: string;
  /** Time of day of its acceptance, in milliseconds. */
  readonly at: number;
  readonly spec: SnapshotJobSpec;
}

/** How a job ended. */
export interface TerminalStatusLine {
  readonly kind: 'final';
  readonly id: string;
  readonly status: 'done' | 'cancelled';
}

/** A row of a checkpoint, as the state service stores it: machines, prices, tasks on machines, tasks that are done. */
export interface CheckpointRowLine {
  readonly kind: 'ledger';
  readonly row: CheckpointRow;
}

/** A machine type that the cloud offers. */
export interface SnapshotMachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** A machine type that the cloud offered when it was last asked. */
export interface MachineTypeLine {
  readonly kind: 'type';
  readonly type: SnapshotMachineType;
}

/** The last line, by which a reader knows that the file is complete. */
export interface SnapshotTrailer {
  readonly kind: 'trailer';
  /** Lines before this one, and the SHA-256 of their bytes. */
  readonly lines: number;
  readonly sha256: string;
  /** Every terminal status is included; false if the state service didn't answer for all of them. */
  readonly hasAllFinals: boolean;
}

/** Any line, discriminated by its kind. */
export type SnapshotLine =
  SnapshotHeader | JobLine | TerminalStatusLine | CheckpointRowLine | MachineTypeLine | SnapshotTrailer;
