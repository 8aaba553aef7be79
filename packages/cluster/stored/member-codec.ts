/** Rows of members and of the capabilities that they announce. */
import type { Count, Fields } from '#wire';
import type { Capability } from '../capabilities.js';
import type { Member, MemberNotes } from '../members.js';
import { storedWords } from './words.js';

const CAPABILITY_WORDS = storedWords<Capability>({
  gangs: 'gangs',
  handover: 'handover',
  memory: 'memory',
});

/** What a member record is made of. */
export interface MemberDraft {
  nonce: string;
  zone: string;
  leaseId: Count;
  notes: MemberNotes;
  capabilities: readonly Capability[];
}

/** The row of a member. */
export function encodeMember({ nonce, zone, leaseId, notes, capabilities }: MemberDraft): Fields {
  const value: Fields = {
    Nonce: nonce,
    Zone: zone,
    Permit: leaseId,
    Unreachable: notes.unreachable,
    WorkersUnreachable: notes.workersUnreachable,
  };
  // Only once all nodes have announced to know it, and left out where there is nothing to say.
  if (notes.resigned.length > 0) value['Resigned'] = notes.resigned;
  return { ...value, ...encodeCapabilities(capabilities) };
}

/** Reads the row of a member; what older versions don't write counts as empty. */
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

/** An announcement, as it lies in a member record and, beyond the process's end, under a key of its own. */
export function encodeCapabilities(capabilities: readonly Capability[]): Fields {
  return { Capabilities: capabilities.map((capability) => CAPABILITY_WORDS.encode(capability)) };
}

/** Reads an announcement; a value without one, as older versions write it, announces nothing. */
export function decodeCapabilities(value: Fields | null): ReadonlySet<string> {
  const listed = value?.['Capabilities'];
  return new Set(Array.isArray(listed) ? listed.map((word) => CAPABILITY_WORDS.decode(String(word))) : []);
}
