/**
 * Roles: leased singletons, each held by at most one node at a time. There are as many as there are logs: the leader,
 * which assigns shards, scales out and in, transfers machines between shards, writes checkpoints and removes stale
 * keys; and the owner of each shard, which places tasks and answers the heartbeats of the workers on its machines.
 */
import type { Micros } from '#wire';

/** `lead` for the leader, or the number of the shard that is owned. */
export type RoleName = 'lead' | number;

/** Who holds a role. */
export interface RoleHolder {
  readonly member: string;
  /** Distinguishes the processes of a member. */
  readonly nonce: string;
  /** Revision of the role's key: a new one each time that the role changes hands. */
  readonly term: number;
}

const SHARD_ROLE_PREFIX = 'share/';

/** The name of the role that operators see: `lead` or `share/3`. */
export function formatRoleName(role: RoleName): string {
  return role === 'lead' ? 'lead' : `${SHARD_ROLE_PREFIX}${role}`;
}

/** Parses a name as {@link formatRoleName} writes it; null if no role can have it. */
export function parseRoleName(text: string): RoleName | null {
  if (text === 'lead') return 'lead';
  const digits = text.startsWith(SHARD_ROLE_PREFIX) ? text.slice(SHARD_ROLE_PREFIX.length) : '';
  return /^\d{1,6}$/.test(digits) ? Number(digits) : null;
}

/** The last action that was refused because its term was over, or in doubt. */
export interface RefusedAction {
  readonly action: string;
  readonly reason: string;
  readonly term: number;
  /** Steady time of the refusal. */
  readonly at: Micros;
}
