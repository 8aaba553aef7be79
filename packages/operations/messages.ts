/** The interface between the operators' listener and its node. `answer-codec.ts` maps the results to JSON. */
import type { RoleName, RoleStatus } from '#roles';
import type { DataLossStatus } from '#recovery';

/** A node's view of the roles, which operators call duties. The view may be outdated and is no proof that a role is held. */
export interface NodeRoleStatus {
  readonly member: string;
  /** State of the node's membership of the cluster. */
  readonly membership: 'outside' | 'joining' | 'member' | 'stopped';
  /** Seconds since the node's replica of the state was last known to be complete; null if it never was. */
  readonly knowledgeAgeS: number | null;
  readonly roles: readonly RoleStatus[];
}

/** A node's data-loss status. */
export interface NodeDataLossStatus {
  readonly member: string;
  /** Null unless the operators' settings enable data-loss detection. */
  readonly dataLoss: DataLossStatus | null;
}

/** Result of a request to hand off a role. */
export type ResignResult =
  { readonly kind: 'handed_over' } | { readonly kind: 'refused'; readonly reason: string };

/** The operations of a node that the listener exposes to operators. */
export interface NodeOperations {
  /** Returns the node's view of the roles. */
  roleStatus(): NodeRoleStatus;
  /** Returns the state of the node's data-loss detector. */
  dataLossStatus(): NodeDataLossStatus;
  /** Returns the lines of a snapshot as text; null while the node has no replica of the state. */
  snapshot(): AsyncIterable<string> | null;
  /** Hands off a role that the node holds, or refuses with the reason. */
  resign(role: RoleName): Promise<ResignResult>;
}
