/** Codecs of the rows of the leader, of shard owners and of the fencing token. */
import type { WireFields } from '#wire';
import type { LeaseHolder, ShardOwner } from '../members.js';

/** Member name and nonce of a holder whose row is unreadable. No member has this name, and no process this nonce. */
const UNREADABLE = '';

/** A process of a member. The nonce distinguishes it from earlier processes of the same member. */
interface HolderProcess {
  member: string;
  nonce: string;
}

/** Encodes the row of the leader. */
export function encodeLeader({ member, nonce }: HolderProcess): WireFields {
  return { Member: member, Nonce: nonce };
}

/** Encodes the row of a shard's owner. `token` is the fencing token that was raised when the shard was assigned. */
export function encodeShardOwner({
  member,
  nonce,
  token: fencingToken,
}: HolderProcess & { token: number }): WireFields {
  return { Member: member, Nonce: nonce, Token: fencingToken };
}

/**
 * Reads the holder of a role. An unreadable row blocks the role: no member counts as its holder, and no member may
 * acquire it as vacant, until the row is rewritten or its lease expires.
 */
export function decodeLeaseHolder(
  { Member: member, Nonce: nonce }: WireFields,
  revision: number,
): LeaseHolder {
  const hasHolder = typeof member === 'string' && typeof nonce === 'string' && member !== '' && nonce !== '';
  return hasHolder ? { member, nonce, revision } : { member: UNREADABLE, nonce: UNREADABLE, revision };
}

/**
 * Reads the owner of a shard and the fencing token of its assignment. A row without a readable token blocks the shard
 * as {@link decodeLeaseHolder} describes.
 */
export function decodeShardOwner(value: WireFields, revision: number): ShardOwner {
  const fencingToken = Number(value['Token']);
  if (Number.isSafeInteger(fencingToken)) return { ...decodeLeaseHolder(value, revision), fencingToken };
  return { ...decodeLeaseHolder({}, revision), fencingToken: 0 };
}

/** True if the holder's row was readable. */
export function isHolderReadable({ nonce }: LeaseHolder): boolean {
  return nonce !== UNREADABLE;
}

/**
 * Stands for the fencing token while its row is unreadable. It is lower than any token that a worker sends, so no
 * heartbeat is answered and no shard is assigned.
 */
export const UNREADABLE_FENCING_TOKEN = -1;

/** Encodes the row of the fencing token. */
export function encodeFencingToken(fencingToken: number): WireFields {
  return { Token: fencingToken };
}

/** Reads the cluster's fencing token. Returns 0 if there is no row yet, and null if the row is unreadable. */
export function decodeFencingToken(value: WireFields | null): number | null {
  const fencingToken = Number(value ? value['Token'] : 0);
  return Number.isSafeInteger(fencingToken) && fencingToken >= 0 ? fencingToken : null;
}
