/** Rows of the key-value store, and the guarded writes that change them. */
import type { Count, WireFields } from '#wire';

/** A key with its value. */
export interface Row {
  readonly path: string;
  readonly value: WireFields;
  /** The revision of the commit that wrote it. */
  readonly revision: number;
}

/** A row as a commit left it. */
export interface Change {
  readonly path: string;
  /** The revision of the commit. */
  readonly revision: number;
  /** Null: the row was removed. */
  readonly value: WireFields | null;
}

/** A condition of a compare-and-swap: the key still has this revision. */
export interface Guard {
  readonly path: string;
  /** 0: the key must not exist. */
  readonly revision: number;
}

/** The answer to a read of one key. */
export interface KeyRead {
  /** Null if the key does not exist. */
  readonly row: Row | null;
  /** A revision at which this was so: the store's present one, or for a row that of its commit. */
  readonly revision: number;
}

/** One page of the rows below a prefix, sorted by key. */
export interface RowPage {
  readonly rows: Row[];
  /** There are further pages. */
  readonly more: boolean;
  /** The store's revision when the page was read. */
  readonly revision: number;
}

/** The changes below a prefix since the revision that was asked for. */
export interface ChangeBatch {
  /** The revision up to which the changes are complete. */
  readonly revision: number;
  /** In the order of the answer. */
  readonly changes: Change[];
}

/** One operation of a commit. A row that is set under a lease is removed when the lease expires. */
export type Write =
  | { readonly set: string; readonly value: WireFields; readonly leaseId?: Count }
  | { readonly remove: string };

/**
 * The result of a commit. `unknown`: no answer, so it may have been applied or may yet be; its sender has to read the
 * keys before it goes on. `refused`: a guard did not hold; `failed` names its keys. `lease_expired`: the lease of a row
 * doesn't exist any more. `not_executed`: the store answered with an HTTP status of 400 or more.
 */
export type CommitResult =
  | { readonly kind: 'applied'; readonly revision: number }
  | { readonly kind: 'refused'; readonly failed: readonly string[]; readonly revision: number }
  | { readonly kind: 'lease_expired' }
  | { readonly kind: 'not_executed'; readonly status: number }
  | { readonly kind: 'unknown' };

const BAD_REQUEST = 400;
const TOO_MANY_REQUESTS = 429;

/** Whether a commit exceeds the store's limits, which may have been lowered since it was built. */
export function isTooLarge(result: CommitResult): boolean {
  return result.kind === 'not_executed' && result.status === BAD_REQUEST;
}

/** Whether a commit was refused because requests come faster than the store accepts them. */
export function isRateLimited(result: CommitResult): boolean {
  return result.kind === 'not_executed' && result.status === TOO_MANY_REQUESTS;
}
