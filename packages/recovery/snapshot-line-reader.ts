/** Splits the decompressed bytes of a snapshot into lines, and checks that they are a complete snapshot. */
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

/** Reads the lines of a snapshot in their order and holds one line at a time. Faults are thrown as {@link SnapshotError}. */
export class SnapshotLineReader {
  private readonly hash = createHash('sha256');
  /** Bytes of a line whose end has not been read yet. */
  private incompleteLine: Buffer = Buffer.alloc(0);
  private count = 0;
  private header: SnapshotHeader | null = null;
  private trailer: SnapshotTrailer | null = null;

  /** `onLine` is called with each line but the trailer. */
  constructor(private readonly onLine: (line: SnapshotLine) => void) {}

  /** Reads the next bytes of the file. */
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
    if (this.incompleteLine.length > MAX_LINE_BYTES) throw this.fault('a line is too long');
  }

  /** Header and trailer, once the whole file has been pushed. */
  end(): { header: SnapshotHeader; trailer: SnapshotTrailer } {
    if (!this.header) throw new SnapshotError('foreign', 'the file is empty, or no snapshot');
    if (!this.trailer) throw new SnapshotError('truncated', `it ends after ${this.count} lines`);
    return { header: this.header, trailer: this.trailer };
  }

  private readLine(bytes: Buffer): void {
    if (this.trailer) throw this.fault('there is something after its end');
    const line = parseLine(bytes);
    if (line === null) throw this.fault(`line ${this.count + 1} can not be read`);
    this.header ??= checkHeader(line);
    if (line.kind === 'trailer') {
      this.checkTrailer(line);
      return;
    }
    this.hash.update(bytes);
    this.count++;
    this.onLine(line);
  }

  private checkTrailer(trailer: SnapshotTrailer): void {
    if (trailer.lines !== this.count || trailer.sha256 !== this.hash.digest('hex')) {
      throw this.fault('its checksum is wrong');
    }
    this.trailer = trailer;
  }

  /** A fault before the header means that the file is no snapshot at all. */
  private fault(detail: string): SnapshotError {
    return new SnapshotError(this.header ? 'damaged' : 'foreign', detail);
  }
}

/** The line as a header that this version can read. */
function checkHeader(line: SnapshotLine): SnapshotHeader {
  const { format, version } = line as Partial<SnapshotHeader>;
  if (line.kind !== 'header' || format !== SNAPSHOT_FORMAT) {
    throw new SnapshotError('foreign', 'it is no snapshot');
  }
  if (!Number.isInteger(version) || Number(version) < 1) {
    throw new SnapshotError('foreign', 'it has no version that could be read');
  }
  if (Number(version) > SNAPSHOT_VERSION) {
    const detail = `it has version ${String(version)}, this program reads up to ${SNAPSHOT_VERSION}`;
    throw new SnapshotError('newer', detail);
  }
  return line;
}
