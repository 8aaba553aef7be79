/** Takes the decompressed bytes of a snapshot apart into lines, and checks that they are a whole snapshot. */
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

/** Lines of a snapshot in their order; holds one line at a time. Faults are thrown as {@link SnapshotError}. */
export class SnapshotLineReader {
  private readonly hash = createHash('sha256');
  /** Bytes of a line whose end has not come yet. */
  private rest: Buffer = Buffer.alloc(0);
  private count = 0;
  private header: SnapshotHeader | null = null;
  private trailer: SnapshotTrailer | null = null;

  /** `onLine` is given each line but the trailer. */
  constructor(private readonly onLine: (line: SnapshotLine) => void) {}

  /** Takes in the next bytes of the file. */
  push(chunk: Buffer): void {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    for (let end = this.rest.indexOf(LINE_END); end >= 0; end = this.rest.indexOf(LINE_END)) {
      this.readLine(this.rest.subarray(0, end + 1));
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

  /** Before its header was read, a file is none of ours. */
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
