/** Builds a ledger from all live rows of the state service, and detects rows and changes that indicate data loss. */
import type { Change, Row } from '#store';
import {
  CHECKPOINT_HEAD_KEY,
  checkpointIdOfKey,
  checkpointChunkKey,
  CHECKPOINT_CHUNK_PREFIX,
  JOB_PREFIX,
  logIdOfKey,
  LOG_PREFIX,
  TERMINAL_PREFIX,
  terminalKey,
  FENCING_TOKEN_KEY,
} from './keys.js';
import { Ledger } from './ledger.js';
import type { RowDifferences } from './state-integrity-check.js';
import { decodeCheckpointHead, decodeChunk } from './stored/checkpoint-codec.js';
import type { CheckpointRow } from './stored/checkpoint-row.js';
import { decodeFencingToken, UNREADABLE_FENCING_TOKEN } from './stored/holder-codec.js';
import { isTerminal } from './stored/job-codec.js';
import { decodeRecord, decodeCommitIndex, decodeSequence } from './stored/record-codec.js';

/** All live rows as of one revision. */
export interface LiveRows {
  rows: Row[];
  /** Revision up to which the rows are complete. */
  revision: number;
  /** Revision of the last page read. */
  lastPageRevision: number;
}

/** Thrown when a complete read lacks parts: rows changed during the read, or data is lost. */
export class IncompleteStateError extends Error {}

/** Builds the ledger from the checkpoint and the logs. Throws {@link IncompleteStateError} if parts are missing. */
export function buildLedger({ rows }: LiveRows): Ledger {
  const ledger = new Ledger();
  const head = rows.find((r) => r.path === CHECKPOINT_HEAD_KEY)?.value;
  if (head) {
    const chunksByKey = new Map(
      rows.filter((r) => r.path.startsWith(CHECKPOINT_CHUNK_PREFIX)).map((r) => [r.path, r]),
    );
    const encodeCheckpointRows: CheckpointRow[] = [];
    const { id, positions, chunkCount } = decodeCheckpointHead(head);
    for (let i = 0; i < chunkCount; i++) {
      const chunk = chunksByKey.get(checkpointChunkKey(id, i));
      if (!chunk) throw new IncompleteStateError(`checkpoint lacks part ${i}`);
      encodeCheckpointRows.push(...decodeChunk(chunk.value));
    }
    ledger.restore(positions, encodeCheckpointRows);
  }
  // Records of all logs are applied in the order of their commits, which is the order of their revisions.
  const records = rows.filter((row) => row.path.startsWith(LOG_PREFIX)).sort(byCommitOrder);
  const liveJobIds = findLiveJobs(rows);
  for (const { path, value } of records) {
    const record = decodeRecord(value);
    // A slot may have been overwritten since the checkpoint was read.
    if (!ledger.apply(logIdOfKey(path), record)) {
      throw new IncompleteStateError('log and checkpoint were read at different times');
    }
    for (const [job] of record.completions ?? []) if (!liveJobIds.has(job)) ledger.dropJob(job);
  }
  for (const job of [...ledger.jobs.keys()]) if (!liveJobIds.has(job)) ledger.dropJob(job);
  return ledger;
}

/** Returns the ids of the jobs that have not ended. */
function findLiveJobs(rows: readonly Row[]): Set<string> {
  const live = rows.filter(({ path, value }) => path.startsWith(JOB_PREFIX) && !isTerminal(value));
  return new Set(live.map(({ path }) => path.slice(JOB_PREFIX.length)));
}

/** Returns the cluster's fencing token in these rows. */
export function fencingTokenIn({ rows }: LiveRows): number {
  const value = rows.find((row) => row.path === FENCING_TOKEN_KEY)?.value ?? null;
  return decodeFencingToken(value) ?? UNREADABLE_FENCING_TOKEN;
}

/**
 * Compares changes by commit, and within one commit by the position of the record. The order is the same on every node,
 * whether it got the changes from a complete read or from a watch.
 */
export function byCommitOrder(x: Change, y: Change): number {
  return x.revision - y.revision || decodeCommitIndex(x.value) - decodeCommitIndex(y.value);
}

/** The record in a slot of a log: its sequence number and the revision of its row. */
export interface LogSlot {
  sequence: number;
  revision: number;
}

/** Rows of a replica that are compared with a later complete read. Both maps are keyed by the key of the row. */
export interface ReplicaRows {
  revisions: ReadonlyMap<string, number>;
  logSlots: ReadonlyMap<string, LogSlot>;
}

/** Compares rows of a complete read with those of the replica. Without data loss no row's revision decreases. */
export function compareRows({ rows }: LiveRows, { revisions, logSlots }: ReplicaRows): RowDifferences {
  const rowsByKey = new Map(rows.map((row) => [row.path, row]));
  const forked: string[] = [];
  const regressed: string[] = [];
  const absent: string[] = [];
  for (const [path, { sequence, revision }] of logSlots) {
    const row = rowsByKey.get(path);
    if (!row) absent.push(path);
    else if (row.revision < revision) regressed.push(path);
    else if (decodeSequence(row.value) === sequence && row.revision !== revision) forked.push(path);
  }
  for (const [path, revision] of revisions) {
    const row = rowsByKey.get(path);
    if (!row) absent.push(path);
    else if (row.revision < revision) regressed.push(path);
  }
  return { forked, regressed, absent };
}

/** The part of a replica's state that changes are compared with. */
export interface ReplicaView {
  /** Id of the current checkpoint. */
  checkpointId: string;
  isLive(job: string): boolean;
  /** Returns the position of the log that this slot key belongs to. */
  position(path: string): number;
}

/**
 * Returns keys that the changes remove, or reset to an earlier record, although no node ever does so. This concerns the
 * keys of records, the fencing token, the current checkpoint, jobs that have not ended, and terminal statuses. The
 * changes must be in the order of their commits.
 */
export function findLostKeys(changes: readonly Change[], replica: ReplicaView): string[] {
  const lost: string[] = [];
  const endedJobs = new Set<string>();
  let { checkpointId } = replica;
  for (const { path, value } of changes) {
    if (path === CHECKPOINT_HEAD_KEY && value) checkpointId = decodeCheckpointHead(value).id;
    else if (path.startsWith(JOB_PREFIX)) {
      const job = path.slice(JOB_PREFIX.length);
      if (value && isTerminal(value)) endedJobs.add(job);
      else if (!value && replica.isLive(job) && !endedJobs.has(job)) lost.push(path);
    } else if (path.startsWith(LOG_PREFIX)) {
      const isOlder = value !== null && decodeSequence(value) <= replica.position(path);
      if (!value || isOlder) lost.push(path);
    } else if (!value && isNeverRemoved(path, checkpointId)) lost.push(path);
  }
  return lost;
}

/**
 * Returns the key whose presence explains that the given key is missing, or null if there is none. The row of a job is
 * replaced by its archived terminal status.
 */
export function successorKeyOf(path: string): string | null {
  return path.startsWith(JOB_PREFIX) ? terminalKey(path.slice(JOB_PREFIX.length)) : null;
}

/** Returns true if the key is that of a chunk of a checkpoint other than the current one in these rows. */
export function isObsoleteChunk(path: string, { rows }: LiveRows): boolean {
  const head = rows.find((row) => row.path === CHECKPOINT_HEAD_KEY);
  return (
    path.startsWith(CHECKPOINT_CHUNK_PREFIX) &&
    head !== undefined &&
    checkpointIdOfKey(path) !== decodeCheckpointHead(head.value).id
  );
}

function isNeverRemoved(path: string, checkpointId: string): boolean {
  if (path.startsWith(CHECKPOINT_CHUNK_PREFIX)) return checkpointIdOfKey(path) === checkpointId;
  return path === FENCING_TOKEN_KEY || path === CHECKPOINT_HEAD_KEY || path.startsWith(TERMINAL_PREFIX);
}
