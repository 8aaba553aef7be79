/** Writes a snapshot: the state that one node's replica holds at one revision of the state service. */
import { createHash } from 'node:crypto';
import { encodeCheckpointRows, type Replica, type TerminalStatus } from '#cluster';
import {
  encodeCheckpointRow,
  encodeHeader,
  encodeJob,
  encodeMachineType,
  encodeTerminalStatus,
  formatLine,
  type SnapshotOrigin,
} from './snapshot-codec.js';
import type { SnapshotLine } from './snapshot-format.js';

/** The terminal status of one job. */
export interface JobTerminalStatus {
  /** The job's id. */
  readonly id: string;
  readonly status: TerminalStatus;
}

/** Fetches the page of terminal statuses after the given job id, in the order of ids. An empty page marks the end. */
export type FetchTerminalStatusPage = (after: string) => Promise<readonly JobTerminalStatus[]>;

/**
 * Returns the lines of a snapshot as text. All mutable state is captured synchronously, as references and short rows, and
 * is formatted line by line as fast as the consumer reads. Terminal statuses never change, so they are fetched page by page
 * while the consumer reads. If a page can't be fetched, the trailer records that they are incomplete.
 */
export function writeSnapshot(
  replica: Replica,
  origin: SnapshotOrigin,
  fetchTerminalStatusPage: FetchTerminalStatusPage,
): AsyncGenerator<string> {
  return formatSnapshot(captureLines(replica, origin), fetchTerminalStatusPage);
}

/** Captures all that the replica holds now. Older terminal statuses are in the state service only. */
function captureLines(replica: Replica, origin: SnapshotOrigin): SnapshotLine[] {
  const lines: SnapshotLine[] = [encodeHeader(origin, replica.highWaterMarks())];
  for (const type of replica.machineTypes.values()) lines.push(encodeMachineType(type));
  for (const [id, job] of replica.jobs) lines.push(encodeJob(id, job));
  for (const [id, { status }] of replica.terminalJobs) lines.push(encodeTerminalStatus(id, status));
  const rows = encodeCheckpointRows(replica.ledger, (job) => replica.jobs.has(job));
  for (const row of rows) lines.push(encodeCheckpointRow(row));
  return lines;
}

/** Formats the captured lines and the terminal statuses, followed by the trailer with their count and checksum. */
async function* formatSnapshot(
  capturedLines: readonly SnapshotLine[],
  fetchTerminalStatusPage: FetchTerminalStatusPage,
): AsyncGenerator<string> {
  const hash = createHash('sha256');
  let lines = 0;
  const format = (line: SnapshotLine): string => {
    const text = formatLine(line);
    hash.update(text);
    lines++;
    return text;
  };
  for (const line of capturedLines) yield format(line);
  let hasAllFinals = true;
  try {
    for await (const { id, status } of readTerminalStatuses(fetchTerminalStatusPage))
      yield format(encodeTerminalStatus(id, status));
  } catch {
    // A snapshot without the remaining terminal statuses is still useful; the trailer records that they are missing.
    hasAllFinals = false;
  }
  yield formatLine({ kind: 'trailer', lines, sha256: hash.digest('hex'), hasAllFinals });
}

/** Fetches every terminal status, page after page. */
async function* readTerminalStatuses(
  fetchTerminalStatusPage: FetchTerminalStatusPage,
): AsyncGenerator<JobTerminalStatus> {
  let page = await fetchTerminalStatusPage('');
  for (let last = page.at(-1); last !== undefined; last = page.at(-1)) {
    yield* page;
    page = await fetchTerminalStatusPage(last.id);
  }
}
