/** Codecs of the rows of members and of the capabilities that they announce. */
import type { Count, WireFields } from '#wire';
import type { Capability } from '../capabilities.js';
import type { Member, MemberStatus } from '../members.js';
import { enumCodec } from './enum-codec.js';

const CAPABILITY_CODEC = enumCodec<Capability>({
  gangs: 'gangs',
  handover: 'handover',
  memory: 'memory',
});

/** The data of a member's row. The member's name is in the key. */
export interface MemberRowSource {
  nonce: string;
  zone: string;
  leaseId: Count;
  /** The status that the member publishes. */
  status: MemberStatus;
  capabilities: readonly Capability[];
}

/** Encodes the row of a member. */
export function encodeMember({ nonce, zone, leaseId, status, capabilities }: MemberRowSource): WireFields {
  const value: WireFields = {
    Nonce: nonce,
    Zone: zone,
    Permit: leaseId,
    Unreachable: status.unreachable,
    WorkersUnreachable: status.workersUnreachable,
  };
  // Older nodes don't know this field: it is set only once all nodes have announced support, and omitted if empty.
  if (status.resignedShards.length > 0) value['Resigned'] = status.resignedShards;
  return { ...value, ...encodeCapabilities(capabilities) };
}

/** Reads the row of a member. Fields that older versions don't write are read as empty. */
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

/** Encodes a capability announcement, for the member's row and for a key of its own that outlives the process. */
export function encodeCapabilities(capabilities: readonly Capability[]): WireFields {
  return { Capabilities: capabilities.map((capability) => CAPABILITY_CODEC.encode(capability)) };
}

/** Reads a capability announcement. A row without one, written by an older version, announces no capabilities. */
export function decodeCapabilities(value: WireFields | null): ReadonlySet<string> {
  const storedCapabilities = value?.['Capabilities'];
  return new Set(
    Array.isArray(storedCapabilities)
      ? storedCapabilities.map((capability) => CAPABILITY_CODEC.decode(String(capability)))
      : [],
  );
}
