/** Writes a snapshot: the state as one node's copy holds it at one revision of the state service. */
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

/** How one job ended. */
export interface JobTerminalStatus {
  /** The job's id. */
  readonly id: string;
  readonly status: TerminalStatus;
}

/** The page of terminal statuses after the given job id, in the order of ids; an empty page is the end. */
export type TerminalStatusPages = (after: string) => Promise<readonly JobTerminalStatus[]>;

/**
 * The lines of a snapshot as text. All that may change is captured at once, as references and short rows, and formatted
 * line by line as fast as the consumer reads. Terminal statuses never change, so they are fetched page by page meanwhile;
 * if a page can't be fetched, the trailer says that they are incomplete.
 */
export function writeSnapshot(
  replica: Replica,
  origin: SnapshotOrigin,
  terminalStatusPages: TerminalStatusPages,
): AsyncGenerator<string> {
  return formatSnapshot(captureLines(replica, origin), terminalStatusPages);
}

/** All that the copy holds at this moment; older terminal statuses lie in the state service only. */
function captureLines(replica: Replica, origin: SnapshotOrigin): SnapshotLine[] {
  const lines: SnapshotLine[] = [encodeHeader(origin, replica.highWaterMarks())];
  for (const type of replica.machineTypes.values()) lines.push(encodeMachineType(type));
  for (const [id, job] of replica.jobs) lines.push(encodeJob(id, job));
  for (const [id, { status }] of replica.terminalJobs) lines.push(encodeTerminalStatus(id, status));
  const rows = encodeCheckpointRows(replica.ledger, (job) => replica.jobs.has(job));
  for (const row of rows) lines.push(encodeCheckpointRow(row));
  return lines;
}

/** The captured lines and the terminal statuses as text, then the trailer over all of them. */
async function* formatSnapshot(
  captured: readonly SnapshotLine[],
  terminalStatusPages: TerminalStatusPages,
): AsyncGenerator<string> {
  const hash = createHash('sha256');
  let lines = 0;
  const format = (line: SnapshotLine): string => {
    const text = formatLine(line);
    hash.update(text);
    lines++;
    return text;
  };
  for (const line of captured) yield format(line);
  let hasAllFinals = true;
  try {
    for await (const { id, status } of readTerminalStatuses(terminalStatusPages))
      yield format(encodeTerminalStatus(id, status));
  } catch {
    // A snapshot without them is still useful, and the trailer says so.
    hasAllFinals = false;
  }
  yield formatLine({ kind: 'trailer', lines, sha256: hash.digest('hex'), hasAllFinals });
}

/** Every terminal status, page after page. */
async function* readTerminalStatuses(
  terminalStatusPages: TerminalStatusPages,
): AsyncGenerator<JobTerminalStatus> {
  let page = await terminalStatusPages('');
  for (let last = page.at(-1); last !== undefined; last = page.at(-1)) {
    yield* page;
    page = await terminalStatusPages(last.id);
  }
}
