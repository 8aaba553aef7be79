/** Members of the cluster, and which of them holds which role, as a replica shows them. */
import type { Count, Micros } from '#wire';

/** The process that holds a role: the leadership, or the ownership of a shard. */
export interface LeaseHolder {
  member: string;
  /** Names one stay of one process in the cluster. */
  nonce: string;
  /** Revision of the key that names the holder. */
  revision: number;
}

/** Who owns a shard, and the fencing token that was raised for it. */
export interface ShardOwner extends LeaseHolder {
  fencingToken: number;
}

/** The lease to which a process binds its member key and everything else that it holds. */
export interface MemberLease {
  /** Names this stay in the cluster; never used twice. */
  readonly nonce: string;
  readonly leaseId: Count;
  /** Steady time at which the lease was created. */
  readonly createdAt: Micros;
}

/** What a node fails to reach, and what fails to reach it. */
export interface MemberReachability {
  /** Members that do not answer its pings. */
  unreachable: string[];
  /** Its workers ask the other nodes for it, and none of them arrives here. */
  workersUnreachable: boolean;
}

/** What a node publishes of itself in its member record. */
export interface MemberStatus extends MemberReachability {
  /** Shards that it gives up on purpose. */
  resignedShards: number[];
}

/** A member record. */
export interface Member extends MemberStatus {
  member: string;
  /** Names the stay of the process that wrote the record. */
  nonce: string;
  zone: string;
  leaseId: Count;
  /** What its process announces to understand; empty in the records of older versions. */
  capabilities: ReadonlySet<string>;
  /** Revision of the record's key. */
  revision: number;
}
