/** Rows of the key-value store, and the guarded writes that change them. */
import type { Count, WireFields } from '#wire';

/** A key with its value. */
export interface Row {
  readonly path: string;
  readonly value: WireFields;
  /** The revision of the commit that wrote it. */
  readonly revision: number;
}

/** A change of one row by a commit. */
export interface Change {
  readonly path: string;
  /** The revision of the commit. */
  readonly revision: number;
  /** Null if the row was removed. */
  readonly value: WireFields | null;
}

/** A condition of a compare-and-swap: the row's revision is unchanged. */
export interface Guard {
  readonly path: string;
  /** The expected revision of the row; 0 if the key must not exist. */
  readonly revision: number;
}

/** The answer to a read of one key. */
export interface KeyRead {
  /** Null if the key does not exist. */
  readonly row: Row | null;
  /** The revision of the row, or the store's current revision if the key does not exist. */
  readonly revision: number;
}

/** One page of the rows below a prefix, sorted by key. */
export interface RowPage {
  readonly rows: Row[];
  /** True if there are further pages. */
  readonly more: boolean;
  /** The store's revision when the page was read. */
  readonly revision: number;
}

/** The changes below a prefix since the requested revision. */
export interface ChangeBatch {
  /** The revision up to which the changes are complete. */
  readonly revision: number;
  /** In the order in which the answer lists them. */
  readonly changes: Change[];
}

/** One operation of a commit. A row that is set under a lease is removed when the lease expires. */
export type Write =
  | { readonly set: string; readonly value: WireFields; readonly leaseId?: Count }
  | { readonly remove: string };

/**
 * The result of a commit. `refused`: some guards did not hold, and `failed` lists their keys. `lease_expired`: the
 * lease of a row no longer exists. `not_executed`: the store answered with another HTTP status of 400 or more.
 * `unknown`: there is no usable answer. The commit may have been applied or may still be, so the sender has to read the
 * keys before it continues.
 */
export type CommitResult =
  | { readonly kind: 'applied'; readonly revision: number }
  | { readonly kind: 'refused'; readonly failed: readonly string[]; readonly revision: number }
  | { readonly kind: 'lease_expired' }
  | { readonly kind: 'not_executed'; readonly status: number }
  | { readonly kind: 'unknown' };

const BAD_REQUEST = 400;
const TOO_MANY_REQUESTS = 429;

/** True if a commit exceeds the store's size limits, which may have been lowered since the commit was built. */
export function isTooLarge(result: CommitResult): boolean {
  return result.kind === 'not_executed' && result.status === BAD_REQUEST;
}

/** True if a commit was rejected by the store's rate limit. */
export function isRateLimited(result: CommitResult): boolean {
  return result.kind === 'not_executed' && result.status === TOO_MANY_REQUESTS;
}
