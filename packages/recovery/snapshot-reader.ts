/** Reads a snapshot line by line, and refuses what is not a whole one by the name of its fault. */
import { createHash } from 'node:crypto';
import { pipeline } from 'node:stream/promises';
import { Writable, type Readable } from 'node:stream';
import { createGunzip } from 'node:zlib';
import type { Positions } from '#cluster';
import {
  MAX_LINE_BYTES,
  SNAPSHOT_FORMAT,
  SNAPSHOT_VERSION,
  type SnapshotHeader,
  type SnapshotLine,
  type SnapshotTrailer,
} from './snapshot-format.js';

export type SnapshotFault = 'foreign' | 'newer' | 'truncated' | 'damaged';

/** A file that can't be used as a snapshot. */
export class SnapshotError extends Error {
  constructor(
    readonly fault: SnapshotFault,
    detail: string,
  ) {
    super(`${fault}: ${detail}`);
  }
}

/** What a snapshot holds, in numbers. */
export interface SnapshotSummary {
  header: SnapshotHeader;
  lines: number;
  jobs: number;
  finals: number;
  machines: number;
  rentals: number;
  tasks: number;
  machineTypes: number;
  hasAllFinals: boolean;
  positions: Positions;
}

/** Takes the lines of a snapshot in their order; its faults are thrown as {@link SnapshotError}. */
class LineReader {
  private readonly hash = createHash('sha256');
  private rest: Buffer = Buffer.alloc(0);
  private count = 0;
  private header: SnapshotHeader | null = null;
  private trailer: SnapshotTrailer | null = null;

  constructor(private readonly take: (line: SnapshotLine) => void) {}

  push(chunk: Buffer): void {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    for (let end = this.rest.indexOf(10); end >= 0; end = this.rest.indexOf(10)) {
      this.line(this.rest.subarray(0, end + 1));
      this.rest = this.rest.subarray(end + 1);
    }
    if (this.rest.length > MAX_LINE_BYTES) throw this.fault('a line is too long');
  }

  /** Header and trailer, once all has been read. */
  end(): { header: SnapshotHeader; trailer: SnapshotTrailer } {
    if (!this.header) throw new SnapshotError('foreign', 'the file is empty, or no snapshot');
    if (!this.trailer) throw new SnapshotError('truncated', `it ends after ${this.count} lines`);
    return { header: this.header, trailer: this.trailer };
  }

  private line(bytes: Buffer): void {
    if (this.trailer) throw this.fault('there is something after its end');
    const line = this.parse(bytes);
    if (!this.header) this.header = checkHeader(line);
    if (line.kind === 'trailer') this.close(line);
    else {
      this.hash.update(bytes);
      this.count++;
      this.take(line);
    }
  }

  private parse(bytes: Buffer): SnapshotLine {
    try {
      const value: unknown = JSON.parse(bytes.toString('utf8'));
      if (typeof value === 'object' && value !== null && 'kind' in value) return value as SnapshotLine;
    } catch {
      // Told below.
    }
    throw this.fault(`line ${this.count + 1} can not be read`);
  }

  private close(trailer: SnapshotTrailer): void {
    if (trailer.lines !== this.count || trailer.sha256 !== this.hash.digest('hex')) {
      throw this.fault('its checksum is wrong');
    }
    this.trailer = trailer;
  }

  /** Before its header was read, a file is none of ours. */
  private fault(detail: string): SnapshotError {
    return new SnapshotError(this.header ? 'damaged' : 'foreign', detail);
  }
}

function checkHeader(line: SnapshotLine): SnapshotHeader {
  const { format, version } = line as Partial<SnapshotHeader>;
  if (line.kind !== 'header' || format !== SNAPSHOT_FORMAT)
    throw new SnapshotError('foreign', 'it is no snapshot');
  if (!Number.isInteger(version) || Number(version) < 1) {
    throw new SnapshotError('foreign', `it has no version that could be read`);
  }
  if (Number(version) > SNAPSHOT_VERSION) {
    const text = `it has version ${String(version)}, this program reads up to ${SNAPSHOT_VERSION}`;
    throw new SnapshotError('newer', text);
  }
  return line;
}

/** Reads a compressed snapshot whole, in bounded memory; what it holds in numbers. */
export async function readSnapshot(
  source: Readable,
  take: (line: SnapshotLine) => void = () => undefined,
): Promise<SnapshotSummary> {
  const counts = { jobs: 0, finals: 0, machines: 0, rentals: 0, tasks: 0, machineTypes: 0, lines: 0 };
  const reader = new LineReader((line) => {
    counts.lines++;
    if (line.kind === 'job') counts.jobs++;
    else if (line.kind === 'final') counts.finals++;
    else if (line.kind === 'type') counts.machineTypes++;
    else if (line.kind === 'ledger') {
      if (line.row[0] === 'h') counts.machines++;
      else if (line.row[0] === 'q') counts.rentals++;
      else if (line.row[0] === 's') counts.tasks += line.row[6].length;
    } else if (line.kind !== 'header') {
      throw new SnapshotError(
        'damaged',
        `it has lines of the unknown kind ${String((line as { kind: unknown }).kind)}`,
      );
    }
    take(line);
  });
  const sink = new Writable({
    write: (chunk: Buffer, _encoding, done) => {
      try {
        reader.push(chunk);
        done();
      } catch (cause) {
        done(cause as Error);
      }
    },
  });
  try {
    await pipeline(source, createGunzip(), sink);
  } catch (cause) {
    throw faultOf(cause);
  }
  const { header, trailer } = reader.end();
  return { header, ...counts, hasAllFinals: trailer.hasAllFinals, positions: header.positions };
}

/** The fault that an error of the decompression tells. */
function faultOf(cause: unknown): unknown {
  const code = (cause as { code?: unknown }).code;
  if (code === 'Z_BUF_ERROR') return new SnapshotError('truncated', 'it ends within its compressed data');
  if (code === 'Z_DATA_ERROR') {
    const isHeader = String(cause).includes('incorrect header check');
    return isHeader
      ? new SnapshotError('foreign', 'it is not compressed as a snapshot is')
      : new SnapshotError('damaged', 'its compressed data is damaged');
  }
  return cause;
}
