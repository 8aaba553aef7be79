/** The tables of a node's replica of the live state, with queries about its logs and checkpoints. */
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

/** A job that has ended but is not archived yet: its row still has a live key. */
export interface TerminalJob {
  readonly status: TerminalStatus;
  readonly revision: number;
}

/** The cluster's fencing token and the revision of its row. */
export interface StoredFencingToken {
  readonly value: number;
  readonly revision: number;
}

/** The current checkpoint, as its head row describes it. */
export interface CurrentCheckpoint {
  readonly id: string;
  /** Keyed by log. Sequence of the last record that the checkpoint covers. */
  readonly positions: Positions;
  readonly chunkCount: number;
  /** Revision of the head's row; 0 while there is no checkpoint. */
  readonly revision: number;
}

const NO_CHECKPOINT: CurrentCheckpoint = { id: '', positions: {}, chunkCount: 0, revision: 0 };
const NO_FENCING_TOKEN: StoredFencingToken = { value: 0, revision: 0 };

/** The live state of the cluster up to one revision, by table. Only the replica that extends it changes it. */
export class ClusterState {
  ledger = new Ledger();
  /** Keyed by job id. Jobs that have not ended. */
  readonly jobs = new Map<string, LiveJob>();
  /** Keyed by job id. Jobs that have ended but are not archived yet. */
  readonly terminalJobs = new Map<string, TerminalJob>();
  /** Keyed by name. */
  readonly machineTypes = new Map<string, MachineType>();
  /** Number of machine types that there are to be at least, according to each row. Keyed by name. */
  readonly machineTypeRowCounts = new Map<string, number>();
  leader: LeaseHolder | null = null;
  /** Keyed by member. Members whose lease has not expired. */
  readonly members = new Map<string, Member>();
  /** Keyed by member. Announced capabilities of members, including those that are down. */
  readonly capabilities = new Map<string, ReadonlySet<string>>();
  /** Keyed by shard. */
  readonly shardOwners = new Map<number, ShardOwner>();
  fencingToken = NO_FENCING_TOKEN;
  checkpoint = NO_CHECKPOINT;
  readonly checkpointChunkKeys = new Set<string>();
  /** Keyed by the key of the slot. */
  readonly logSlots = new Map<string, LogSlot>();
  /** Revision up to which every commit is applied. */
  appliedRevision = 0;

  /** True if the machine types of the cloud are known, and none of a list that takes several commits is missing. */
  get areMachineTypesKnown(): boolean {
    const size = this.machineTypes.size;
    return size > 0 && [...this.machineTypeRowCounts.values()].every((count) => count <= size);
  }

  /** Empties all tables before the rows of a complete read are applied, and replaces the ledger by the given one. */
  reset(ledger: Ledger): void {
    this.ledger = ledger;
    this.jobs.clear();
    this.terminalJobs.clear();
    this.machineTypes.clear();
    this.machineTypeRowCounts.clear();
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
   * Returns the keys of the chunks that belong to checkpoints before the current one. Chunks of later checkpoints are
   * not stale: the commit of their head may be in flight, or may be applied without this replica having seen it.
   */
  staleCheckpointChunks(): string[] {
    return [...this.checkpointChunkKeys].filter((key) => checkpointIdOfKey(key) < this.checkpoint.id);
  }

  /**
   * Returns the revision of the slot that a record is written to, or 0 if the slot is empty. Returns null while the
   * slot holds a record that no checkpoint covers.
   */
  slotRevision(log: LogId, sequence: number): number | null {
    const slot = this.logSlots.get(logKey(log, sequence));
    if (!slot) return 0;
    return slot.sequence <= (this.checkpoint.positions[String(log)] ?? 0) ? slot.revision : null;
  }

  /** Revision of the current checkpoint's head; 0 while there is no checkpoint. */
  get checkpointRevision(): number {
    return this.checkpoint.revision;
  }

  /** Number of chunks of the current checkpoint. */
  get checkpointChunkCount(): number {
    return this.checkpoint.chunkCount;
  }

  /** Number of records, over all logs, that the current checkpoint does not cover. */
  get recordsSinceCheckpoint(): number {
    return this.ledger.totalRecords - Object.values(this.checkpoint.positions).reduce((a, b) => a + b, 0);
  }

  /** Number of records that the current checkpoint does not cover in the log with the most such records. */
  get fullestLogRecords(): number {
    const coveredPositions = this.checkpoint.positions;
    const counts = Object.entries(this.ledger.allPositions()).map(
      ([log, sequence]) => sequence - (coveredPositions[log] ?? 0),
    );
    return Math.max(0, ...counts);
  }

  /** Returns the values of this replica that never decrease unless data is lost. */
  highWaterMarks(): HighWaterMarks {
    return {
      revision: this.appliedRevision,
      fencingToken: this.fencingToken.value,
      positions: this.ledger.allPositions(),
    };
  }

  /**
   * Returns the rows that a later complete read must show again at the same or a higher revision. Only rows of jobs
   * may be absent then, since a job's row is removed when the job is archived.
   */
  replicaRows(): ReplicaRows {
    const revisions = new Map<string, number>();
    for (const [id, { acceptedRevision: revision }] of this.jobs) revisions.set(jobKey(id), revision);
    for (const [id, { revision }] of this.terminalJobs) revisions.set(jobKey(id), revision);
    if (this.fencingToken.revision > 0) revisions.set(FENCING_TOKEN_KEY, this.fencingToken.revision);
    if (this.checkpoint.revision > 0) revisions.set(CHECKPOINT_HEAD_KEY, this.checkpoint.revision);
    return { revisions, logSlots: this.logSlots };
  }
}
