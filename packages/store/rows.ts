/** Rows of the key-value store, and the guarded writes that change them. */
import type { Count, WireFields } from '#wire';

/** A key with its value. The state service's own page calls them `Path`, `V`, `Stamp`, `Permit`, `Epoch`. */
export interface Row {
  path: string;
  value: WireFields;
  /** The epoch of the commit that wrote it. */
  revision: number;
}

/** A row as a commit left it; without a value it was removed. */
export interface Change {
  path: string;
  revision: number;
  value: WireFields | null;
}

/** A condition of a compare-and-swap: the key has this revision still. */
export interface Guard {
  path: string;
  /** 0: the key must not exist. */
  revision: number;
}

/** One operation of a commit. A row that is set under a lease goes when the lease expires. */
export type Write = { set: string; value: WireFields; leaseId?: Count } | { remove: string };

/**
 * What became of a commit. `unknown`: no answer, so it may have been applied or may yet be; whoever sent it
 * reads back before going on. `refused`: a guard did not hold; `failed` names its keys. `no_permit`: the lease of a row
 * has expired. `not_executed`: the state service answered with an HTTP status of 400 or more.
 */
export type CommitResult =
  | { kind: 'applied'; epoch: number }
  | { kind: 'refused'; failed: string[]; epoch: number }
  | { kind: 'no_permit' }
  | { kind: 'not_executed'; status: number }
  | { kind: 'unknown' };

const BAD_REQUEST = 400;
const TOO_MANY_REQUESTS = 429;

/** The write is larger than the state service takes, now that its limits may have fallen. */
export function isTooLarge(result: CommitResult): boolean {
  return result.kind === 'not_executed' && result.status === BAD_REQUEST;
}

/** Changes come faster than the state service takes them. */
export function isRateLimited(result: CommitResult): boolean {
  return result.kind === 'not_executed' && result.status === TOO_MANY_REQUESTS;
}
