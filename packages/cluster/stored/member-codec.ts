/** Rows of members and of the capabilities that they announce. */
import type { Count, WireFields } from '#wire';
import type { Capability } from '../capabilities.js';
import type { Member, MemberStatus } from '../members.js';
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
  notes: MemberStatus;
  capabilities: readonly Capability[];
}

/** The row of a member. */
export function encodeMember({ nonce, zone, leaseId, notes, capabilities }: MemberDraft): WireFields {
  const value: WireFields = {
    Nonce: nonce,
    Zone: zone,
    Permit: leaseId,
    Unreachable: notes.unreachable,
    WorkersUnreachable: notes.workersUnreachable,
  };
  // Only once all nodes have announced to know it, and left out where there is nothing to say.
  if (notes.resignedShards.length > 0) value['Resigned'] = notes.resignedShards;
  return { ...value, ...encodeCapabilities(capabilities) };
}

/** Reads the row of a member; what older versions don't write counts as empty. */
export function decodeMember(member: string, value: WireFields, revision: number): Member {
  const unreachable = value['Unreachable'];
  return {
    member,
    nonce: String(value['Nonce']),
    zone: String(value['Zone']),
    leaseId: value['Permit'] as Count,
    capabilities: decodeCapabilities(value),
    unreachable: Array.isArray(unreachable) ? unreachable.map(String) : [],
    workersUnreachable: value['WorkersUnreachable'] === true,
    resignedShards: Array.isArray(value['Resigned']) ? value['Resigned'].map(Number) : [],
    revision,
  };
}

/** An announcement, as it lies in a member record and, beyond the process's end, under a key of its own. */
export function encodeCapabilities(capabilities: readonly Capability[]): WireFields {
  return { Capabilities: capabilities.map((capability) => CAPABILITY_WORDS.encode(capability)) };
}

/** Reads an announcement; a value without one, as older versions write it, announces nothing. */
export function decodeCapabilities(value: WireFields | null): ReadonlySet<string> {
  const listed = value?.['Capabilities'];
  return new Set(Array.isArray(listed) ? listed.map((word) => CAPABILITY_WORDS.decode(String(word))) : []);
}
