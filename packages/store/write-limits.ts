/** Limits of the size of values and transactions. */

/** Limits are not lowered below these: a write that is refused even so is refused for another reason. */
const MIN_VALUE_BYTES = 512;
const MIN_TXN_OPS = 2;

/**
 * How large a write to the store may be. The store's limits may be lowered without notice: each refusal halves the
 * limits that later writes are built to, so that none is repeated unchanged.
 */
export class WriteLimits {
  constructor(
    private maxValueBytes: number,
    private maxTxnOps: number,
  ) {}

  /** Maximum size of a value in bytes. */
  get valueBytes(): number {
    return this.maxValueBytes;
  }

  /** Maximum number of operations of a commit. */
  get txnOps(): number {
    return this.maxTxnOps;
  }

  /** To be called when a write built to the present limits was refused as too large. */
  shrink(): void {
    this.maxValueBytes = Math.max(
      Math.min(this.maxValueBytes, MIN_VALUE_BYTES),
      Math.floor(this.maxValueBytes / 2),
    );
    this.maxTxnOps = Math.max(Math.min(this.maxTxnOps, MIN_TXN_OPS), Math.floor(this.maxTxnOps / 2));
  }
}
