/**
 * Roles: leased singletons, each held by at most one node at a time. There is one role for each log. The leader
 * assigns shards, scales out and in, transfers machines between shards, writes checkpoints and removes stale keys.
 * The owner of a shard places tasks and answers the heartbeats of the workers on the shard's machines.
 */
import type { Micros } from '#wire';

/** A role: `lead` for the leader, or the shard number for the owner of a shard. */
export type RoleName = 'lead' | number;

/** The holder of a role. */
export interface RoleHolder {
  /** Name of the member. */
  readonly member: string;
  /** Identifies the process, because a member may restart. */
  readonly nonce: string;
  /** Revision of the role's key in the state service. It changes each time the role is acquired. */
  readonly term: number;
}

const SHARD_ROLE_PREFIX = 'share/';

/** Returns the name of the role that operators see, such as `lead` or `share/3`. */
export function formatRoleName(role: RoleName): string {
  return role === 'lead' ? 'lead' : `${SHARD_ROLE_PREFIX}${role}`;
}

/** Parses a name in the form of {@link formatRoleName}. Returns null if the name is invalid. */
export function parseRoleName(text: string): RoleName | null {
  if (text === 'lead') return 'lead';
  const digits = text.startsWith(SHARD_ROLE_PREFIX) ? text.slice(SHARD_ROLE_PREFIX.length) : '';
  return /^\d{1,6}$/.test(digits) ? Number(digits) : null;
}

/** An action that was refused because its term had ended or its lease was suspected. */
export interface RefusedAction {
  readonly action: string;
  readonly reason: string;
  readonly term: number;
  /** Monotonic time of the refusal. */
  readonly at: Micros;
}
