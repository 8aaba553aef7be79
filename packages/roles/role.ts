/**
 * Duties: tasks that exactly one controller may do at a time. There are as many as there are logs: the lead, under
 * which shares are dealt, machines rented, returned and moved, checkpoints written and old keys cleared; and one for
 * each share, under which its owner places tasks and answers the workers of its machines.
 */
import type { Micros } from '#wire';

/** `lead`, or the number of a share. */
export type RoleName = 'lead' | number;

/** Who holds a duty. Its term is the revision of the duty's key: a new one each time that it changes hands. */
export interface RoleHolder {
  member: string;
  /** Tells one process of a member from another. */
  nonce: string;
  term: number;
}

const SHARD_ROLE_PREFIX = 'share/';

/** The name that operators see: `lead` or `share/3`. */
export function formatRoleName(role: RoleName): string {
  return role === 'lead' ? 'lead' : `${SHARD_ROLE_PREFIX}${role}`;
}

/** The duty of this name, or null if there can be none. */
export function parseRoleName(text: string): RoleName | null {
  if (text === 'lead') return 'lead';
  const digits = text.startsWith(SHARD_ROLE_PREFIX) ? text.slice(SHARD_ROLE_PREFIX.length) : '';
  return /^\d{1,6}$/.test(digits) ? Number(digits) : null;
}

/** The last action that was refused because its term was over, or in doubt. */
export interface RefusedAction {
  action: string;
  reason: string;
  term: number;
  at: Micros;
}
