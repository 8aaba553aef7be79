/** What the operators' listener requests of its node, in the terms of the code; `answer-codec.ts` writes it as JSON. */
import type { RoleName, RoleStatus } from '#roles';
import type { DataLossStatus } from '#recovery';

/** A node's view of the roles, which operators call duties; it proves nothing. */
export interface NodeRoleStatus {
  readonly member: string;
  /** The node's membership of its cluster. */
  readonly membership: 'outside' | 'joining' | 'member' | 'stopped';
  /** Seconds since the node's copy of the state was last known to be complete; null if it never was. */
  readonly knowledgeAgeS: number | null;
  readonly roles: readonly RoleStatus[];
}

/** A node's data-loss report. */
export interface NodeDataLossStatus {
  readonly member: string;
  /** Null where the operators' settings don't switch detection on. */
  readonly dataLoss: DataLossStatus | null;
}

/** Result of the request to hand a role over. */
export type ResignResult =
  { readonly kind: 'handed_over' } | { readonly kind: 'refused'; readonly reason: string };

/** What the listener needs of its node. */
export interface OperatedNode {
  roleStatus(): NodeRoleStatus;
  dataLossStatus(): NodeDataLossStatus;
  /** The lines of a snapshot, as text; null while the node holds no copy of the state. */
  snapshot(): AsyncIterable<string> | null;
  resign(role: RoleName): Promise<ResignResult>;
}
