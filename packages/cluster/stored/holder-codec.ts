/** Rows that name who leads and who owns a shard, and the row of the fencing token. */
import type { WireFields } from '#wire';
import type { LeaseHolder, ShardOwner } from '../members.js';

/** Stands for a holder whose row can't be read; no member has this name, no process this nonce. */
const UNREADABLE = '';

/** One process of a member. */
interface Holder {
  member: string;
  nonce: string;
}

/** The row of the lead. */
export function encodeHolder({ member, nonce }: Holder): WireFields {
  return { Member: member, Nonce: nonce };
}

/** The row of a shard's owner. `token`: the fencing token that was raised when the shard was assigned. */
export function encodeOwner({ member, nonce, token: fencingToken }: Holder & { token: number }): WireFields {
  return { Member: member, Nonce: nonce, Token: fencingToken };
}

/**
 * Who holds a role. A row that can't be read closes it: nobody is taken for its holder, and nobody may take it as if it
 * were vacant, until the row is written anew or its lease expires.
 */
export function decodeHolder({ Member: member, Nonce: nonce }: WireFields, revision: number): LeaseHolder {
  const isNamed = typeof member === 'string' && typeof nonce === 'string' && member !== '' && nonce !== '';
  return isNamed ? { member, nonce, revision } : { member: UNREADABLE, nonce: UNREADABLE, revision };
}

/** The same for a shard, whose row holds the token that was raised for it. */
export function decodeShardOwner(value: WireFields, revision: number): ShardOwner {
  const fencingToken = Number(value['Token']);
  if (Number.isSafeInteger(fencingToken)) return { ...decodeHolder(value, revision), fencingToken };
  return { ...decodeHolder({}, revision), fencingToken: 0 };
}

/** False where the row named no holder in a readable form. */
export function isReadable({ nonce }: LeaseHolder): boolean {
  return nonce !== UNREADABLE;
}

/** Lower than any that a worker shows: under it no worker is answered, and no shard is assigned. */
export const UNREADABLE_FENCING_TOKEN = -1;

/** The row of the fencing token. */
export function encodeToken(fencingToken: number): WireFields {
  return { Token: fencingToken };
}

/** The cluster's fencing token, 0 before the first; null if the row can't be read. */
export function decodeFencingToken(value: WireFields | null): number | null {
  const fencingToken = Number(value ? value['Token'] : 0);
  return Number.isSafeInteger(fencingToken) && fencingToken >= 0 ? fencingToken : null;
}
