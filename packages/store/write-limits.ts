/** How large values and transactions may be. */

/** Below this they are not cut further: a write that is refused even so is refused for another reason. */
const LEAST_VALUE_BYTES = 512;
const LEAST_TXN_OPS = 2;

/**
 * What the state service takes in one write. Its limits may fall without notice: the first refusal halves what later
 * writes are built to, so that none is repeated unchanged.
 */
export class WriteLimits {
  constructor(
    private value: number,
    private operations: number,
  ) {}

  /** Bytes of a value, at most. */
  get valueBytes(): number {
    return this.value;
  }

  /** Operations of a commit, at most. */
  get txnOps(): number {
    return this.operations;
  }

  /** A write built to the present limits was refused as malformed. */
  shrink(): void {
    this.value = Math.max(Math.min(this.value, LEAST_VALUE_BYTES), Math.floor(this.value / 2));
    this.operations = Math.max(Math.min(this.operations, LEAST_TXN_OPS), Math.floor(this.operations / 2));
  }
}
