/** Why a file can't be used as a snapshot. */

/** `foreign`: no snapshot. `newer`: of a later version. `truncated`: cut off. `damaged`: changed after it was written. */
export type SnapshotFault = 'foreign' | 'newer' | 'truncated' | 'damaged';

/** A file that can't be used as a snapshot; the message begins with the fault. */
export class SnapshotError extends Error {
  override readonly name = 'SnapshotError';

  constructor(
    readonly fault: SnapshotFault,
    detail: string,
    options?: ErrorOptions,
  ) {
    super(`${fault}: ${detail}`, options);
  }
}

/** The fault of a file that an error of its decompression shows; the error itself if it shows none. */
export function faultOfDecompression(cause: unknown): unknown {
  switch ((cause as { code?: unknown }).code) {
    case 'Z_BUF_ERROR':
      return new SnapshotError('truncated', 'it ends within its compressed data', { cause });
    case 'Z_DATA_ERROR':
      return String(cause).includes('incorrect header check')
        ? new SnapshotError('foreign', 'it is not compressed as a snapshot is', { cause })
        : new SnapshotError('damaged', 'its compressed data is damaged', { cause });
    default:
      return cause;
  }
}
