/** All live state as the state service lists it, read into a ledger; and changes that no node ever makes. */
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
  /** The revision up to which the rows are complete. */
  from: number;
  /** The revision of the last page read. */
  to: number;
}

/** What was read lacks parts: something changed meanwhile, or is lost. */
export class IncompleteStateError extends Error {}

/** The ledger that checkpoint and logs make; throws {@link IncompleteStateError} where parts are missing. */
export function buildLedger({ rows }: LiveRows): Ledger {
  const ledger = new Ledger();
  const head = rows.find((r) => r.path === CHECKPOINT_HEAD_KEY)?.value;
  if (head) {
    const byPath = new Map(
      rows.filter((r) => r.path.startsWith(CHECKPOINT_CHUNK_PREFIX)).map((r) => [r.path, r]),
    );
    const parts: CheckpointRow[] = [];
    const { id, positions, chunkCount } = decodeCheckpointHead(head);
    for (let i = 0; i < chunkCount; i++) {
      const chunk = byPath.get(checkpointChunkKey(id, i));
      if (!chunk) throw new IncompleteStateError(`checkpoint lacks part ${i}`);
      parts.push(...decodeChunk(chunk.value));
    }
    ledger.restore(positions, parts);
  }
  // The order of commits is the order of their revisions, whichever logs they went to.
  const records = rows.filter((row) => row.path.startsWith(LOG_PREFIX)).sort(byCommitOrder);
  const live = liveJobs(rows);
  for (const { path, value } of records) {
    const record = decodeRecord(value);
    // A slot may have been overwritten since the checkpoint was read.
    if (!ledger.apply(logIdOfKey(path), record)) {
      throw new IncompleteStateError('log and checkpoint were read at different times');
    }
    for (const [job] of record.completions ?? []) if (!live.has(job)) ledger.dropJob(job);
  }
  for (const job of [...ledger.jobs.keys()]) if (!live.has(job)) ledger.dropJob(job);
  return ledger;
}

/** Jobs that have not ended. */
function liveJobs(rows: readonly Row[]): Set<string> {
  const live = rows.filter(({ path, value }) => path.startsWith(JOB_PREFIX) && !isTerminal(value));
  return new Set(live.map(({ path }) => path.slice(JOB_PREFIX.length)));
}

/** The cluster's fencing token as these rows have it. */
export function fencingTokenIn({ rows }: LiveRows): number {
  const value = rows.find((row) => row.path === FENCING_TOKEN_KEY)?.value ?? null;
  return decodeFencingToken(value) ?? UNREADABLE_FENCING_TOKEN;
}

/** The order of commits, and within one that of its records: the same on every node, however it reads them. */
export function byCommitOrder(x: Change, y: Change): number {
  return x.revision - y.revision || decodeCommitIndex(x.value) - decodeCommitIndex(y.value);
}

/** The record that lies in a slot of a log: its sequence, and the revision of the row. */
export interface LogSlot {
  sequence: number;
  revision: number;
}

/** The revisions of the rows that a copy holds, and the records in the slots of its logs. */
export interface KnownRows {
  revisions: ReadonlyMap<string, number>;
  logSlots: ReadonlyMap<string, LogSlot>;
}

/** Compares rows that were read with what a copy held before: in one history no row grows older. */
export function compareRows({ rows }: LiveRows, { revisions, logSlots }: KnownRows): RowDifferences {
  const shown = new Map(rows.map((row) => [row.path, row]));
  const forked: string[] = [];
  const regressed: string[] = [];
  const absent: string[] = [];
  for (const [path, { sequence, revision }] of logSlots) {
    const row = shown.get(path);
    if (!row) absent.push(path);
    else if (row.revision < revision) regressed.push(path);
    else if (decodeSequence(row.value) === sequence && row.revision !== revision) forked.push(path);
  }
  for (const [path, revision] of revisions) {
    const row = shown.get(path);
    if (!row) absent.push(path);
    else if (row.revision < revision) regressed.push(path);
  }
  return { forked, regressed, absent };
}

/** What a copy holds that changes are compared with. */
export interface KnownState {
  checkpointId: string;
  isLive(job: string): boolean;
  position(path: string): number;
}

/**
 * Keys that changes take away, or take back to an earlier record, though no node ever does so: records, the token, the
 * present checkpoint, jobs that have not ended, and what became of jobs. The changes come in the order of their commits.
 */
export function findLostKeys(changes: readonly Change[], copy: KnownState): string[] {
  const lost: string[] = [];
  const ended = new Set<string>();
  let { checkpointId } = copy;
  for (const { path, value } of changes) {
    if (path === CHECKPOINT_HEAD_KEY && value) checkpointId = decodeCheckpointHead(value).id;
    else if (path.startsWith(JOB_PREFIX)) {
      const job = path.slice(JOB_PREFIX.length);
      if (value && isTerminal(value)) ended.add(job);
      else if (!value && copy.isLive(job) && !ended.has(job)) lost.push(path);
    } else if (path.startsWith(LOG_PREFIX)) {
      const isOlder = value !== null && decodeSequence(value) <= copy.position(path);
      if (!value || isOlder) lost.push(path);
    } else if (!value && isKeptForever(path, checkpointId)) lost.push(path);
  }
  return lost;
}

/** A key whose presence explains a missing one: a job's terminal status replaces its row. Null if there is none. */
export function successorKeyOf(path: string): string | null {
  return path.startsWith(JOB_PREFIX) ? terminalKey(path.slice(JOB_PREFIX.length)) : null;
}

/** A chunk of a checkpoint other than the present one of these rows. */
export function isObsoleteChunk(path: string, { rows }: LiveRows): boolean {
  const head = rows.find((row) => row.path === CHECKPOINT_HEAD_KEY);
  return (
    path.startsWith(CHECKPOINT_CHUNK_PREFIX) &&
    head !== undefined &&
    checkpointIdOfKey(path) !== decodeCheckpointHead(head.value).id
  );
}

function isKeptForever(path: string, checkpointId: string): boolean {
  if (path.startsWith(CHECKPOINT_CHUNK_PREFIX)) return checkpointIdOfKey(path) === checkpointId;
  return path === FENCING_TOKEN_KEY || path === CHECKPOINT_HEAD_KEY || path.startsWith(TERMINAL_PREFIX);
}
