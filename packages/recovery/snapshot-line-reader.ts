/** Splits the decompressed bytes of a snapshot into lines, and verifies that the snapshot is complete. */
import { createHash } from 'node:crypto';
import { parseLine } from './snapshot-codec.js';
import { SnapshotError } from './snapshot-error.js';
import {
  MAX_LINE_BYTES,
  SNAPSHOT_FORMAT,
  SNAPSHOT_VERSION,
  type SnapshotHeader,
  type SnapshotLine,
  type SnapshotTrailer,
} from './snapshot-format.js';

const LINE_END = '\n'.charCodeAt(0);

/** Reads the lines of a snapshot in order and holds one line at a time. Its methods throw {@link SnapshotError}. */
export class SnapshotLineReader {
  private readonly hash = createHash('sha256');
  /** Bytes of a line whose line break has not been read yet. */
  private incompleteLine: Buffer = Buffer.alloc(0);
  private lineCount = 0;
  private header: SnapshotHeader | null = null;
  private trailer: SnapshotTrailer | null = null;

  /** Calls `onLine` with each line before the trailer. */
  constructor(private readonly onLine: (line: SnapshotLine) => void) {}

  /** Reads the next decompressed bytes; throws {@link SnapshotError} if a line is invalid. */
  push(chunk: Buffer): void {
    this.incompleteLine =
      this.incompleteLine.length === 0 ? chunk : Buffer.concat([this.incompleteLine, chunk]);
    for (
      let end = this.incompleteLine.indexOf(LINE_END);
      end >= 0;
      end = this.incompleteLine.indexOf(LINE_END)
    ) {
      this.readLine(this.incompleteLine.subarray(0, end + 1));
      this.incompleteLine = this.incompleteLine.subarray(end + 1);
    }
    if (this.incompleteLine.length > MAX_LINE_BYTES)
      throw this.createError(`line ${this.lineCount + 1} is longer than ${MAX_LINE_BYTES} bytes`);
  }

  /** Returns header and trailer after the whole file was pushed; throws {@link SnapshotError} if one of them is missing. */
  end(): { header: SnapshotHeader; trailer: SnapshotTrailer } {
    if (!this.header)
      throw new SnapshotError('foreign', 'the file is empty, or its first line is incomplete');
    if (!this.trailer)
      throw new SnapshotError('truncated', `the file ends after ${this.lineCount} lines, without a trailer`);
    return { header: this.header, trailer: this.trailer };
  }

  private readLine(bytes: Buffer): void {
    if (this.trailer) throw this.createError('the file continues after its trailer');
    const line = parseLine(bytes);
    if (line === null) throw this.createError(`line ${this.lineCount + 1} is not a JSON object with a kind`);
    this.header ??= requireHeader(line);
    if (line.kind === 'trailer') {
      this.verifyTrailer(line);
      return;
    }
    this.hash.update(bytes);
    this.lineCount++;
    this.onLine(line);
  }

  private verifyTrailer(trailer: SnapshotTrailer): void {
    if (trailer.lines !== this.lineCount || trailer.sha256 !== this.hash.digest('hex')) {
      throw this.createError('the line count or the checksum in the trailer does not match the lines');
    }
    this.trailer = trailer;
  }

  /** Creates the error for a fault. A fault before the header means that the file is not a snapshot at all. */
  private createError(detail: string): SnapshotError {
    return new SnapshotError(this.header ? 'damaged' : 'foreign', detail);
  }
}

/** Returns the line if it is a header that this version can read; throws {@link SnapshotError} otherwise. */
function requireHeader(line: SnapshotLine): SnapshotHeader {
  const { format, version } = line as Partial<SnapshotHeader>;
  if (line.kind !== 'header' || format !== SNAPSHOT_FORMAT) {
    throw new SnapshotError('foreign', `the first line is not a header of the format ${SNAPSHOT_FORMAT}`);
  }
  if (!Number.isInteger(version) || Number(version) < 1) {
    throw new SnapshotError('foreign', `the header has the invalid version ${String(version)}`);
  }
  if (Number(version) > SNAPSHOT_VERSION) {
    const detail = `the file has version ${String(version)}, but this program supports only up to ${SNAPSHOT_VERSION}`;
    throw new SnapshotError('newer', detail);
  }
  return line;
}
