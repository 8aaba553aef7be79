/** Members of the cluster and holders of roles, as a replica shows them. */
import type { Count, Micros } from '#wire';

/** The process that holds a role: the leadership, or the ownership of a shard. */
export interface LeaseHolder {
  member: string;
  /** Identifies one membership of one process. */
  nonce: string;
  /** Revision of the key that names the holder. */
  revision: number;
}

/** The owner of a shard, and the fencing token that was raised when the shard was assigned. */
export interface ShardOwner extends LeaseHolder {
  fencingToken: number;
}

/** The lease to which a process binds its member key and the keys of its roles. */
export interface MemberLease {
  /** Identifies this membership; never used twice. */
  readonly nonce: string;
  readonly leaseId: Count;
  /** Monotonic time at which the lease was created. */
  readonly createdAt: Micros;
}

/** Reachability problems that a node observes. */
export interface MemberReachability {
  /** Members that do not answer the node's pings. */
  unreachable: string[];
  /** True if the node's workers contact other nodes, which redirect them, but no worker reaches the node itself. */
  workersUnreachable: boolean;
}

/** The status that a node publishes in its member record. */
export interface MemberStatus extends MemberReachability {
  /** Shards that the node has resigned, for assignment to other members. */
  resignedShards: number[];
}

/** A member record. */
export interface Member extends MemberStatus {
  member: string;
  /** Identifies the membership of the process that wrote the record. */
  nonce: string;
  zone: string;
  leaseId: Count;
  /** Capabilities that the process announces; empty in the records of older versions. */
  capabilities: ReadonlySet<string>;
  /** Revision of the record's key. */
  revision: number;
}
