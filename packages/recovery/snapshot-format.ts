/**
 * The lines of a snapshot: JSON, one object a line, compressed as one gzip stream. The first line tells what it is, the
 * last one counts and sums up all before it, so that a file that was cut off anywhere is known for it.
 */
import type { CheckpointRow, Positions } from '#cluster';
import type { JobSpec, MachineType } from '#wire';

export const SNAPSHOT_FORMAT = 'micaworks-snapshot';
/** Raised when a line changes its meaning; lines of unknown kinds make a file unreadable, unknown fields don't. */
export const SNAPSHOT_VERSION = 1;
/** No line is longer: a reader holds one line at a time. */
export const MAX_LINE_BYTES = 1024 * 1024;

export interface SnapshotHeader {
  kind: 'header';
  format: typeof SNAPSHOT_FORMAT;
  version: number;
  /** The node whose copy it is, and all nodes of its cluster. */
  member: string;
  nodes: string[];
  /** Time of day, in milliseconds. */
  takenAt: number;
  epoch: number;
  token: number;
  positions: Positions;
  /** What the node found of lost state when it wrote the snapshot; null where it doesn't watch. */
  loss: string | null;
}

/** A job that is not over, or ended so lately that it still lies among those. */
export interface JobLine {
  kind: 'job';
  id: string;
  at: number;
  spec: JobSpec;
}

/** How a job ended. */
export interface FinalLine {
  kind: 'final';
  id: string;
  status: 'done' | 'cancelled';
}

/** A row of a checkpoint: machines, rentals, prices, tasks on machines, tasks that are done. */
export interface LedgerLine {
  kind: 'ledger';
  row: CheckpointRow;
}

export interface TypeLine {
  kind: 'type';
  type: MachineType;
}

export interface SnapshotTrailer {
  kind: 'trailer';
  /** Lines before this one, and the SHA-256 of their bytes. */
  lines: number;
  sha256: string;
  /** Every final answer is there; false if the state service didn't give them all. */
  hasAllFinals: boolean;
}

export type SnapshotLine = SnapshotHeader | JobLine | FinalLine | LedgerLine | TypeLine | SnapshotTrailer;
