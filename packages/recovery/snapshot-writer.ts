/** Writes the state as one node's copy holds it at one epoch. */
import { createHash } from 'node:crypto';
import { checkpointRows, type Final, type Replica } from '#cluster';
import {
  SNAPSHOT_FORMAT,
  SNAPSHOT_VERSION,
  type SnapshotHeader,
  type SnapshotLine,
  type SnapshotTrailer,
} from './snapshot-format.js';

/** Who writes a snapshot, and when. */
export interface SnapshotOrigin {
  member: string;
  nodes: string[];
  /** Time of day, in milliseconds. */
  takenAt: number;
  loss: string | null;
}

/** Final answers after the given job, in the order of their names; ends with an empty page. */
export type FinalPages = (after: string) => Promise<{ id: string; status: Final }[]>;

/**
 * The lines of a snapshot as text. All that may change is taken at once, as references and short rows; it is written out
 * line by line as fast as the reader takes it. Final answers never change, so they may be read page by page meanwhile.
 */
export function writeSnapshot(
  replica: Replica,
  origin: SnapshotOrigin,
  finalPages: FinalPages,
): AsyncGenerator<string> {
  return encodeLines(captureLines(replica, origin), finalPages);
}

/** What one epoch's copy holds, but for its final answers of long ago. */
function captureLines(replica: Replica, origin: SnapshotOrigin): SnapshotLine[] {
  const { epoch, token, positions } = replica.summary();
  const header: SnapshotHeader = {
    ...{ kind: 'header', format: SNAPSHOT_FORMAT, version: SNAPSHOT_VERSION, ...origin },
    ...{ epoch, token, positions },
  };
  const rows = checkpointRows(replica.ledger, (job) => replica.jobs.has(job));
  return [
    header,
    ...[...replica.types.values()].map((type): SnapshotLine => ({ kind: 'type', type })),
    ...[...replica.jobs].map(([id, { at, spec }]): SnapshotLine => ({ kind: 'job', id, at, spec })),
    ...[...replica.ended].map(([id, { status }]): SnapshotLine => ({ kind: 'final', id, status })),
    ...rows.map((row): SnapshotLine => ({ kind: 'ledger', row })),
  ];
}

async function* encodeLines(captured: SnapshotLine[], finalPages: FinalPages): AsyncGenerator<string> {
  const hash = createHash('sha256');
  let lines = 0;
  const encode = (line: SnapshotLine): string => {
    const text = `${JSON.stringify(line)}\n`;
    hash.update(text);
    lines++;
    return text;
  };
  for (const line of captured) yield encode(line);
  let hasAllFinals = true;
  try {
    for (let after = ''; ;) {
      const page = await finalPages(after);
      for (const { id, status } of page) yield encode({ kind: 'final', id, status });
      const last = page.at(-1);
      if (!last) break;
      after = last.id;
    }
  } catch {
    // What the copy holds is worth having without them.
    hasAllFinals = false;
  }
  const trailer: SnapshotTrailer = { kind: 'trailer', lines, sha256: hash.digest('hex'), hasAllFinals };
  yield `${JSON.stringify(trailer)}\n`;
}
