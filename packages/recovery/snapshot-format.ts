/**
 * The file format of a snapshot: one JSON object per line, compressed as one gzip stream. The first line identifies the
 * file. The last line holds the count and the checksum of all lines before it, so that a truncated file is recognized.
 *
 * These interfaces are the format itself. Their fields are those in the files and don't follow the names in the code;
 * `snapshot-codec.ts` maps between the two.
 */
import type { CheckpointRow } from '#cluster';

/** Identifies the format in the first line of a file. */
export const SNAPSHOT_FORMAT = 'micaworks-snapshot';

/** Incremented when the meaning of a line changes. Readers reject lines of unknown kinds and ignore unknown fields. */
export const SNAPSHOT_VERSION = 1;

/** Maximum length of a line, in bytes. It bounds the memory of a reader, which holds one line at a time. */
export const MAX_LINE_BYTES = 1024 * 1024;

/** The first line: the node whose replica of the state the file holds, and the time and revision of that replica. */
export interface SnapshotHeader {
  readonly kind: 'header';
  readonly format: typeof SNAPSHOT_FORMAT;
  readonly version: number;
  /** The node whose replica the file holds. */
  readonly member: string;
  /** All nodes of the cluster. */
  readonly nodes: readonly string[];
  /** Wall-clock time, in milliseconds. */
  readonly takenAt: number;
  /** The revision of the state service that the replica had reached. */
  readonly epoch: number;
  /** The cluster's fencing token. */
  readonly token: number;
  /** Sequence number of the last record of each log, keyed by log. */
  readonly positions: Readonly<Record<string, number>>;
  /** State of the node's data-loss detector when the snapshot was begun; null if detection is off. */
  readonly loss: 'serving' | 'noticed' | 'frozen' | null;
}

/** The specification of a job, as its user submitted it. */
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

/** A live job, or a job that ended so recently that its row is still among those of the live jobs. */
export interface JobLine {
  readonly kind: 'job';
  readonly id: string;
  /** Wall-clock time at which the job was accepted, in milliseconds. */
  readonly at: number;
  readonly spec: SnapshotJobSpec;
}

/** The terminal status of a job that has ended. */
export interface TerminalStatusLine {
  readonly kind: 'final';
  readonly id: string;
  readonly status: 'done' | 'cancelled';
}

/** A row of a checkpoint, as the state service stores it: machines, prices, tasks on machines, completed tasks. */
export interface CheckpointRowLine {
  readonly kind: 'ledger';
  readonly row: CheckpointRow;
}

/** The fields of a machine type. */
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

/** A machine type from the latest list of machine types that the cloud offers. */
export interface MachineTypeLine {
  readonly kind: 'type';
  readonly type: SnapshotMachineType;
}

/** The last line, which proves that the file is complete. */
export interface SnapshotTrailer {
  readonly kind: 'trailer';
  /** Number of lines before this one. */
  readonly lines: number;
  /** SHA-256 of the bytes of these lines, in hexadecimal. */
  readonly sha256: string;
  /** True if every terminal status is included; false if the state service did not return all of them. */
  readonly hasAllFinals: boolean;
}

/** Any line of a snapshot, discriminated by its kind. */
export type SnapshotLine =
  SnapshotHeader | JobLine | TerminalStatusLine | CheckpointRowLine | MachineTypeLine | SnapshotTrailer;
