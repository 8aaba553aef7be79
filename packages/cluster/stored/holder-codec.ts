/** Rows that name who leads and who owns a shard, and the row of the fencing token. */
import type { Fields } from '#wire';
import type { Lead, ShareOwner } from '../members.js';

/** Stands for a holder whose row can't be read; no member has this name, no process this nonce. */
const UNREADABLE = '';

/** One process of a member. */
interface Holder {
  member: string;
  nonce: string;
}

/** The row of the lead. */
export function encodeHolder({ member, nonce }: Holder): Fields {
  return { Member: member, Nonce: nonce };
}

/** The row of a shard's owner. `token`: the fencing token that was raised when the shard was assigned. */
export function encodeOwner({ member, nonce, token }: Holder & { token: number }): Fields {
  return { Member: member, Nonce: nonce, Token: token };
}

/**
 * Who holds a duty. A row that can't be read closes it: nobody is taken for its holder, and nobody may take it as if it
 * were vacant, until the row is written anew or its lease expires.
 */
export function decodeHolder({ Member: member, Nonce: nonce }: Fields, revision: number): Lead {
  const isNamed = typeof member === 'string' && typeof nonce === 'string' && member !== '' && nonce !== '';
  return isNamed ? { member, nonce, revision } : { member: UNREADABLE, nonce: UNREADABLE, revision };
}

/** The same for a shard, whose row holds the token that was raised for it. */
export function decodeOwner(value: Fields, revision: number): ShareOwner {
  const token = Number(value['Token']);
  if (Number.isSafeInteger(token)) return { ...decodeHolder(value, revision), token };
  return { ...decodeHolder({}, revision), token: 0 };
}

/** False where the row named no holder in a readable form. */
export function isReadable({ nonce }: Lead): boolean {
  return nonce !== UNREADABLE;
}

/** Lower than any that a worker shows: under it no worker is answered, and no shard is assigned. */
export const UNREADABLE_TOKEN = -1;

/** The row of the fencing token. */
export function encodeToken(token: number): Fields {
  return { Token: token };
}

/** The cluster's fencing token, 0 before the first; null if the row can't be read. */
export function decodeToken(value: Fields | null): number | null {
  const token = Number(value ? value['Token'] : 0);
  return Number.isSafeInteger(token) && token >= 0 ? token : null;
}
