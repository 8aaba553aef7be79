/** Rows of the state service that name members and holders of duties, read back into what they mean. */
import type { Count, Fields } from '#wire';
import { decodeCapabilities } from './capabilities.js';
import type { MemberNotes } from './membership.js';

/** Who holds the lead. */
export interface Lead {
  member: string;
  nonce: string;
  revision: number;
}

/** Who owns a share, and the token that was raised for it. */
export interface ShareOwner extends Lead {
  token: number;
}

export interface Member extends MemberNotes {
  member: string;
  nonce: string;
  zone: string;
  leaseId: Count;
  /** What its process announces to understand; nothing in the records of older versions. */
  capabilities: ReadonlySet<string>;
  revision: number;
}

export type Final = 'done' | 'cancelled';

/** Stands for a holder whose row can't be read; no member has this name, no process this nonce. */
const UNREADABLE = '';

/**
 * Who holds a duty. A row that can't be read closes it: nobody is taken for its holder, and nobody may take it as if it
 * were vacant, until the row is written anew or its grant ends.
 */
export function decodeHolder({ Member: member, Nonce: nonce }: Fields, revision: number): Lead {
  const isNamed = typeof member === 'string' && typeof nonce === 'string' && member !== '' && nonce !== '';
  return isNamed ? { member, nonce, revision } : { member: UNREADABLE, nonce: UNREADABLE, revision };
}

/** The same for a share, whose row holds the token that was raised for it. */
export function decodeOwner(value: Fields, revision: number): ShareOwner {
  const token = Number(value['Token']);
  if (Number.isSafeInteger(token)) return { ...decodeHolder(value, revision), token };
  return { ...decodeHolder({}, revision), token: 0 };
}

/** False where the row named no holder in a readable form. */
export function isReadable({ nonce }: Lead): boolean {
  return nonce !== UNREADABLE;
}

/** Lower than any that a worker shows: under it no worker is answered, and no share is dealt. */
export const UNREADABLE_TOKEN = -1;

/** The cluster's fencing token, 0 before the first; null if the row can't be read. */
export function decodeToken(value: Fields | null): number | null {
  const token = Number(value ? value['Token'] : 0);
  return Number.isSafeInteger(token) && token >= 0 ? token : null;
}

/** How a job ended. */
export function decodeFinal(value: Fields): Final {
  return value['Status'] === 'done' ? 'done' : 'cancelled';
}

export function decodeMember(member: string, value: Fields, revision: number): Member {
  const unreachable = value['Unreachable'];
  return {
    member,
    nonce: String(value['Nonce']),
    zone: String(value['Zone']),
    leaseId: value['Permit'] as Count,
    capabilities: decodeCapabilities(value),
    unreachable: Array.isArray(unreachable) ? unreachable.map(String) : [],
    workersUnreachable: value['WorkersUnreachable'] === true,
    resigned: Array.isArray(value['Resigned']) ? value['Resigned'].map(Number) : [],
    revision,
  };
}
