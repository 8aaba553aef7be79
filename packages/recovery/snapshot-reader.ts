/** Reads a snapshot line by line. An incomplete or damaged snapshot is rejected with an error that names the fault. */
import { Writable, type Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import { createGunzip } from 'node:zlib';
import type { CheckpointRow } from '#cluster';
import { toSnapshotError, SnapshotError } from './snapshot-error.js';
import type { SnapshotHeader, SnapshotLine } from './snapshot-format.js';
import { SnapshotLineReader } from './snapshot-line-reader.js';

/** Numbers of the objects in a snapshot; `snapshot show --json` prints them under other names. */
export interface SnapshotCounts {
  readonly jobs: number;
  /** Terminal statuses of jobs. */
  readonly terminalStatuses: number;
  readonly machines: number;
  /** Scale-out requests that are still open. */
  readonly scaleOutRequests: number;
  /** Tasks that are placed on machines. */
  readonly tasks: number;
  readonly machineTypes: number;
  /** Lines before the trailer. */
  readonly lines: number;
}

/** Header and counts of a complete snapshot. */
export interface SnapshotSummary extends SnapshotCounts {
  readonly header: SnapshotHeader;
  /** True if the snapshot includes every terminal status. */
  readonly hasAllTerminalStatuses: boolean;
  readonly positions: SnapshotHeader['positions'];
}

/**
 * Reads a compressed snapshot to its end, in bounded memory, and counts its objects. `onLine` is called with each line
 * before the trailer as it is read, when the file is not yet known to be complete. Rejects with {@link SnapshotError} if the
 * file is not a complete snapshot.
 */
export async function readSnapshot(
  source: Readable,
  onLine: (line: SnapshotLine) => void = () => undefined,
): Promise<SnapshotSummary> {
  const counter = new LineCounter();
  const reader = new SnapshotLineReader((line) => {
    counter.count(line);
    onLine(line);
  });
  try {
    await pipeline(source, createGunzip(), createReaderSink(reader));
  } catch (cause) {
    throw toSnapshotError(cause);
  }
  const { header, trailer } = reader.end();
  return {
    header,
    ...counter.counts,
    hasAllTerminalStatuses: trailer.hasAllFinals,
    positions: header.positions,
  };
}

/** Returns a stream that passes its chunks to the reader and is destroyed with the errors that the reader throws. */
function createReaderSink(reader: SnapshotLineReader): Writable {
  return new Writable({
    write: (chunk: Buffer, _encoding, done) => {
      try {
        reader.push(chunk);
        done();
      } catch (cause) {
        done(cause as Error);
      }
    },
  });
}

/** Counts the objects in lines; throws {@link SnapshotError} for a line of an unknown kind. */
class LineCounter {
  readonly counts = {
    jobs: 0,
    terminalStatuses: 0,
    machines: 0,
    scaleOutRequests: 0,
    tasks: 0,
    machineTypes: 0,
    lines: 0,
  };

  count(line: SnapshotLine): void {
    const { counts } = this;
    counts.lines++;
    switch (line.kind) {
      case 'header':
        break;
      case 'job':
        counts.jobs++;
        break;
      case 'final':
        counts.terminalStatuses++;
        break;
      case 'type':
        counts.machineTypes++;
        break;
      case 'ledger':
        this.countRow(line.row);
        break;
      default: {
        const kind = String((line as { kind: unknown }).kind);
        throw new SnapshotError('damaged', `line ${counts.lines} has the unknown kind "${kind}"`);
      }
    }
  }

  private countRow(row: CheckpointRow): void {
    const { counts } = this;
    if (row[0] === 'h') counts.machines++;
    else if (row[0] === 'q') counts.scaleOutRequests++;
    else if (row[0] === 's') counts.tasks += row[6].length;
  }
}
