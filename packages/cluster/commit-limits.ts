/** Sizes of commits to the state service, and the adjustment of sizes and rates after a refused commit. */
import type { Logger } from './logger.js';
import { type CommitResult, isRateLimited, isTooLarge, type RateLimiter, type WriteLimits } from '#store';

/** Target size of one transaction, in bytes. */
const TXN_BYTES = 60 * 1024;

/** Bytes of a value reserved for a record's sequence number and time, or for the frame of a checkpoint chunk. */
export const VALUE_FRAME_BYTES = 200;

/** Returns the number of values of the maximum size that one commit contains; at least one. */
export function valuesPerCommit(limits: WriteLimits): number {
  return Math.max(1, Math.min(limits.txnOps, Math.floor(TXN_BYTES / limits.valueBytes)));
}

/** The limits that {@link adaptLimits} adjusts. */
export interface AdaptableLimits {
  readonly limits: WriteLimits;
  readonly rateLimiter: RateLimiter;
  readonly log: Logger;
}

/** Makes later writes smaller or slower if this write was refused for its size or its rate. */
export function adaptLimits(result: CommitResult, { limits, rateLimiter, log }: AdaptableLimits): void {
  if (isRateLimited(result)) rateLimiter.onRejected();
  if (!isTooLarge(result)) return;
  limits.shrink();
  const { valueBytes, txnOps } = limits;
  log.info({ valueBytes, txnOps }, 'write limits reduced');
}
