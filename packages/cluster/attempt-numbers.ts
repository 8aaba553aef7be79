/** Attempt numbers. Each identifies one start of a task, uniquely across the logs of all shards. */

/** An attempt number is the sequence of its record times this stride, plus the shard number. */
const ATTEMPT_STRIDE = 1024;

/** The record that started an attempt. */
export interface AttemptOrigin {
  readonly shard: number;
  /** Sequence number of the record in the shard's log. */
  readonly sequence: number;
}

/** Returns the attempt number of the starts in a record of a shard's log. */
export function attemptNumber(shard: number, sequence: number): number {
  return sequence * ATTEMPT_STRIDE + shard;
}

/** Returns the shard and the sequence number of the record that started an attempt. */
export function attemptOrigin(attempt: number): AttemptOrigin {
  return { shard: attempt % ATTEMPT_STRIDE, sequence: Math.floor(attempt / ATTEMPT_STRIDE) };
}
