/** The tables of a node's copy of the live state, and what they say of logs and checkpoints. */
import {
  CHECKPOINT_HEAD_KEY,
  checkpointIdOfKey,
  FENCING_TOKEN_KEY,
  jobKey,
  type LogId,
  logKey,
} from './keys.js';
import type { LiveJob, TerminalStatus } from './jobs.js';
import { Ledger } from './ledger.js';
import type { ReplicaRows, LogSlot } from './live-state.js';
import type { LeaseHolder, Member, ShardOwner } from './members.js';
import type { Positions } from './placement.js';
import type { HighWaterMarks } from './state-integrity-check.js';
import type { MachineType } from '#wire';

/** A job that is over, but whose row still lies among the live ones. */
export interface TerminalJob {
  readonly status: TerminalStatus;
  readonly revision: number;
}

/** The cluster's fencing token, and the revision of its row. */
export interface StoredFencingToken {
  readonly value: number;
  readonly revision: number;
}

/** The present checkpoint, as its head names it. */
export interface CurrentCheckpoint {
  readonly id: string;
  /** Position in each log up to which it covers the log. */
  readonly positions: Positions;
  readonly chunkCount: number;
  /** Revision of the head's row; 0 while there is no checkpoint. */
  readonly revision: number;
}

const NO_CHECKPOINT: CurrentCheckpoint = { id: '', positions: {}, chunkCount: 0, revision: 0 };
const NO_FENCING_TOKEN: StoredFencingToken = { value: 0, revision: 0 };

/** The live state of the cluster up to one revision, by table. Only its replica changes it. */
export class ClusterState {
  ledger = new Ledger();
  readonly jobs = new Map<string, LiveJob>();
  readonly terminalJobs = new Map<string, TerminalJob>();
  readonly machineTypes = new Map<string, MachineType>();
  leader: LeaseHolder | null = null;
  readonly members = new Map<string, Member>();
  /** By member: the capabilities that it has announced, also while it is down. */
  readonly capabilities = new Map<string, ReadonlySet<string>>();
  readonly shardOwners = new Map<number, ShardOwner>();
  fencingToken = NO_FENCING_TOKEN;
  checkpoint = NO_CHECKPOINT;
  readonly checkpointChunkKeys = new Set<string>();
  /** By key: the record that lies there. */
  readonly logSlots = new Map<string, LogSlot>();
  /** Every commit up to this revision is applied. */
  appliedRevision = 0;

  /** Empties all tables for a complete read; `ledger` takes the place of the present one. */
  reset(ledger: Ledger): void {
    this.ledger = ledger;
    this.jobs.clear();
    this.terminalJobs.clear();
    this.machineTypes.clear();
    this.logSlots.clear();
    this.checkpointChunkKeys.clear();
    this.leader = null;
    this.members.clear();
    this.capabilities.clear();
    this.shardOwners.clear();
    this.fencingToken = NO_FENCING_TOKEN;
    this.checkpoint = NO_CHECKPOINT;
  }

  /**
   * Chunks of checkpoints before the present one. Those after it stay: the commit that makes them the present
   * one may still be on its way, or may have landed unseen.
   */
  staleCheckpointChunks(): string[] {
    return [...this.checkpointChunkKeys].filter((key) => checkpointIdOfKey(key) < this.checkpoint.id);
  }

  /**
   * Revision of the slot that a record is to be written to (0: empty yet), or null while the record that lies
   * there is not covered by a checkpoint.
   */
  slotRevision(log: LogId, sequence: number): number | null {
    const slot = this.logSlots.get(logKey(log, sequence));
    if (!slot) return 0;
    return slot.sequence <= (this.checkpoint.positions[String(log)] ?? 0) ? slot.revision : null;
  }

  /** Revision of the present checkpoint's head; 0 while there is no checkpoint. */
  get checkpointRevision(): number {
    return this.checkpoint.revision;
  }

  /** How many chunks the present checkpoint has. */
  get checkpointChunkCount(): number {
    return this.checkpoint.chunkCount;
  }

  /** Records that have come since the last checkpoint. */
  get recordsSinceCheckpoint(): number {
    return this.ledger.totalRecords - Object.values(this.checkpoint.positions).reduce((a, b) => a + b, 0);
  }

  /** Records since the last checkpoint in the log that has most of them. */
  get fullestLogRecords(): number {
    const coveredPositions = this.checkpoint.positions;
    const counts = Object.entries(this.ledger.allPositions()).map(
      ([log, seq]) => seq - (coveredPositions[log] ?? 0),
    );
    return Math.max(0, ...counts);
  }

  /** The numbers of this copy that never fall. */
  highWaterMarks(): HighWaterMarks {
    return {
      revision: this.appliedRevision,
      fencingToken: this.fencingToken.value,
      positions: this.ledger.allPositions(),
    };
  }

  /** The revisions of those rows of this copy that are only ever replaced, but for those of jobs that end. */
  replicaRows(): ReplicaRows {
    const revisions = new Map<string, number>();
    for (const [id, { acceptedRevision: revision }] of this.jobs) revisions.set(jobKey(id), revision);
    for (const [id, { revision }] of this.terminalJobs) revisions.set(jobKey(id), revision);
    if (this.fencingToken.revision > 0) revisions.set(FENCING_TOKEN_KEY, this.fencingToken.revision);
    if (this.checkpoint.revision > 0) revisions.set(CHECKPOINT_HEAD_KEY, this.checkpoint.revision);
    return { revisions, logSlots: this.logSlots };
  }
}
