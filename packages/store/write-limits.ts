/** Limits of the size of values and commits. */

/** The limits are not lowered below these minimums: a write this small is rejected for another reason. */
const MIN_VALUE_BYTES = 512;
const MIN_TXN_OPS = 2;

/**
 * The size limits that writes to the store must meet. The store may lower its limits without notice. Each rejection
 * therefore halves these limits, so that no write is repeated unchanged.
 */
export class WriteLimits {
  constructor(
    private maxValueBytes: number,
    private maxTxnOps: number,
  ) {}

  /** The maximum size of a value in bytes. */
  get valueBytes(): number {
    return this.maxValueBytes;
  }

  /** The maximum number of operations in a commit. */
  get txnOps(): number {
    return this.maxTxnOps;
  }

  /** Halves the limits after the store rejected, as too large, a write that met them. */
  shrink(): void {
    this.maxValueBytes = Math.max(
      Math.min(this.maxValueBytes, MIN_VALUE_BYTES),
      Math.floor(this.maxValueBytes / 2),
    );
    this.maxTxnOps = Math.max(Math.min(this.maxTxnOps, MIN_TXN_OPS), Math.floor(this.maxTxnOps / 2));
  }
}
