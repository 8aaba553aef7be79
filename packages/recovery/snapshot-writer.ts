/** Writes the state as one node's copy holds it at one revision of the state service. */
import { createHash } from 'node:crypto';
import { checkpointRows, type TerminalStatus, type Replica } from '#cluster';
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

/** Final answers after the given job, in the order of their names; ends with an empty page. */
export type FinalPages = (after: string) => Promise<readonly { id: string; status: TerminalStatus }[]>;

/**
 * The lines of a snapshot as text. All that may change is taken at once, as references and short rows; it is written out
 * line by line as fast as the reader takes it. Final answers never change, so they may be read page by page meanwhile;
 * if a page can't be read, the trailer says that they are not all there.
 */
export function writeSnapshot(
  replica: Replica,
  origin: SnapshotOrigin,
  finalPages: FinalPages,
): AsyncGenerator<string> {
  return formatSnapshot(captureLines(replica, origin), finalPages);
}

/** What the copy holds at this moment, but for its final answers of long ago. */
function captureLines(replica: Replica, origin: SnapshotOrigin): SnapshotLine[] {
  const lines: SnapshotLine[] = [encodeHeader(origin, replica.highWaterMarks())];
  for (const type of replica.machineTypes.values()) lines.push(encodeMachineType(type));
  for (const [id, job] of replica.jobs) lines.push(encodeJob(id, job));
  for (const [id, { status }] of replica.terminalJobs) lines.push(encodeTerminalStatus(id, status));
  const rows = checkpointRows(replica.ledger, (job) => replica.jobs.has(job));
  for (const row of rows) lines.push(encodeCheckpointRow(row));
  return lines;
}

/** The lines and final answers as text, then the trailer over all of them. */
async function* formatSnapshot(
  captured: readonly SnapshotLine[],
  finalPages: FinalPages,
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
    for await (const { id, status } of readFinals(finalPages)) yield format(encodeTerminalStatus(id, status));
  } catch {
    // What the copy holds is worth having without them.
    hasAllFinals = false;
  }
  yield formatLine({ kind: 'trailer', lines, sha256: hash.digest('hex'), hasAllFinals });
}

/** Every final answer, page after page. */
async function* readFinals(finalPages: FinalPages): AsyncGenerator<{ id: string; status: TerminalStatus }> {
  let page = await finalPages('');
  for (let last = page.at(-1); last !== undefined; last = page.at(-1)) {
    yield* page;
    page = await finalPages(last.id);
  }
}
