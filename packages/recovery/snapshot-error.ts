/** Errors for files that can't be used as a snapshot. */

/**
 * `foreign`: the file is not a snapshot. `newer`: the file has a later version of the format. `truncated`: the end of the file
 * is missing. `damaged`: the file was changed after it was written.
 */
export type SnapshotFault = 'foreign' | 'newer' | 'truncated' | 'damaged';

/** Thrown for a file that can't be used as a snapshot; the message begins with the fault. */
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

/** Converts an error of the decompression to a {@link SnapshotError}; returns other errors unchanged. */
export function toSnapshotError(cause: unknown): unknown {
  switch ((cause as { code?: unknown }).code) {
    case 'Z_BUF_ERROR':
      return new SnapshotError('truncated', 'the compressed data ends before the end of the gzip stream', {
        cause,
      });
    case 'Z_DATA_ERROR':
      return String(cause).includes('incorrect header check')
        ? new SnapshotError('foreign', 'the file is not compressed with gzip', { cause })
        : new SnapshotError('damaged', 'the compressed data is invalid', { cause });
    default:
      return cause;
  }
}
