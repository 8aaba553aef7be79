/** Members of the cluster, and who of them holds which role, as every node's copy of the state has it. */
import type { Count } from '#wire';

/** Who holds the lead. */
export interface LeaseHolder {
  member: string;
  nonce: string;
  revision: number;
}

/** Who owns a share, and the token that was raised for it. */
export interface ShardOwner extends LeaseHolder {
  fencingToken: number;
}

/** Whom a node can't reach. */
export interface MemberReachability {
  /** Members, by its peer links. */
  unreachable: string[];
  /** Its workers ask the other nodes, and none of them arrives here. */
  workersUnreachable: boolean;
}

/** What a node tells the others in its member record. */
export interface MemberStatus extends MemberReachability {
  /** Shares that it gives up on purpose. */
  resignedShards: number[];
}

export interface Member extends MemberStatus {
  member: string;
  nonce: string;
  zone: string;
  leaseId: Count;
  /** What its process announces to understand; nothing in the records of older versions. */
  capabilities: ReadonlySet<string>;
  revision: number;
}
