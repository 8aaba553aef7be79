/** Members of the cluster, and who of them holds which role, as every node's copy of the state has it. */
import type { Count } from '#wire';

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

/** Whom a node can't reach. */
export interface MemberContacts {
  /** Members, by its peer links. */
  unreachable: string[];
  /** Its workers ask the other nodes, and none of them arrives here. */
  workersUnreachable: boolean;
}

/** What a node tells the others in its member record. */
export interface MemberNotes extends MemberContacts {
  /** Shares that it gives up on purpose. */
  resigned: number[];
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
