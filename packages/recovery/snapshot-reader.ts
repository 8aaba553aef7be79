/** Reads a snapshot line by line, and rejects an incomplete or damaged one by the name of its fault. */
import { Writable, type Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import { createGunzip } from 'node:zlib';
import type { CheckpointRow } from '#cluster';
import { faultOfDecompression, SnapshotError } from './snapshot-error.js';
import type { SnapshotHeader, SnapshotLine } from './snapshot-format.js';
import { SnapshotLineReader } from './snapshot-line-reader.js';

/** Counts of what the lines of a snapshot hold; `snapshot show --json` prints them under other names. */
export interface SnapshotCounts {
  readonly jobs: number;
  /** Terminal statuses. */
  readonly terminalStatuses: number;
  readonly machines: number;
  /** Open scale-out requests. */
  readonly scaleOutRequests: number;
  /** Running tasks. */
  readonly tasks: number;
  readonly machineTypes: number;
  /** All lines but the trailer. */
  readonly lines: number;
}

/** Header and counts of a snapshot. */
export interface SnapshotSummary extends SnapshotCounts {
  readonly header: SnapshotHeader;
  /** Every terminal status is included. */
  readonly hasAllTerminalStatuses: boolean;
  readonly positions: SnapshotHeader['positions'];
}

/**
 * Reads a compressed snapshot to its end, in bounded memory, and counts what it holds. `onLine` is called with each line but
 * the trailer as it is read, before the file is known to be complete. Fails with {@link SnapshotError}.
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
    await pipeline(source, createGunzip(), sinkInto(reader));
  } catch (cause) {
    throw faultOfDecompression(cause);
  }
  const { header, trailer } = reader.end();
  return {
    header,
    ...counter.counts,
    hasAllTerminalStatuses: trailer.hasAllFinals,
    positions: header.positions,
  };
}

/** A stream that passes its chunks to the reader, and fails with the reader's faults. */
function sinkInto(reader: SnapshotLineReader): Writable {
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

/** Counts what lines hold; lines of unknown kinds are faults. */
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
        throw new SnapshotError('damaged', `it has lines of the unknown kind ${kind}`);
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
