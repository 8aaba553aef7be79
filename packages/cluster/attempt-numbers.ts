/** Attempt numbers: each names one start of a task, uniquely over the logs of all shards. */

/** An attempt is the sequence of its record times this, plus the shard. */
const ATTEMPT_STRIDE = 1024;

/** The record that an attempt was made by. */
export interface AttemptOrigin {
  readonly shard: number;
  /** Sequence of the record in the shard's log. */
  readonly sequence: number;
}

/** Number of the attempts that a record of a shard's log makes. */
export function attemptNumber(shard: number, sequence: number): number {
  return sequence * ATTEMPT_STRIDE + shard;
}

/** The log and the record that an attempt was made by. */
export function attemptOrigin(attempt: number): AttemptOrigin {
  return { shard: attempt % ATTEMPT_STRIDE, sequence: Math.floor(attempt / ATTEMPT_STRIDE) };
}
