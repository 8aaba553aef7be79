/**
 * Status of the cluster's roles for operators, as one node observes it. It proves nothing; see the role state
 * machine.
 */
import { type Micros, SECOND } from '#wire';
import { type RoleName, formatRoleName } from './role.js';
import type { RoleStateName } from './role-state-machine.js';
import { type IntentLedger, openIntents, type OpenIntents } from './scale-intents.js';
import type { RoleRegistry } from './role-registry.js';

/** The last refused action of a role, as operators see it. */
export interface RefusedActionStatus {
  readonly action: string;
  readonly reason: string;
  readonly term: number;
  /** Seconds since the refusal. */
  readonly ageS: number;
}

/** The status of one role, as one node observes it. */
export interface RoleStatus {
  /** Name of the role in the form of {@link formatRoleName}. */
  readonly roleName: string;
  readonly state: RoleStateName;
  /** Name of the member that holds the role; null if this node knows of no holder. */
  readonly holder: string | null;
  /** Current term of the role, or the term that this node lost; null if neither is known. */
  readonly term: number | null;
  /** Seconds since the role entered this state, as far as this node knows. */
  readonly sinceS: number;
  /** Seconds until the lease expires by the holder's own clock; null on a node that doesn't hold the role. */
  readonly leaseLeftS: number | null;
  /** Cloud requests that are recorded and not known to be completed; null for a role other than the leader. */
  readonly openIntents: OpenIntents | null;
  readonly lastRefused: RefusedActionStatus | null;
}

/** Returns the status of every role that this node has observed, at the monotonic time `now`. */
export function roleStatuses(registry: RoleRegistry, ledger: IntentLedger, now: Micros): RoleStatus[] {
  registry.refresh();
  return registry.observedRoles().map((role) => ({
    ...observedRoleState(registry, role, now),
    openIntents: role === 'lead' ? openIntents(ledger) : null,
    lastRefused: refusedActionStatus(registry, role, now),
  }));
}

type ObservedRoleState = Omit<RoleStatus, 'openIntents' | 'lastRefused'>;

function observedRoleState(registry: RoleRegistry, role: RoleName, now: Micros): ObservedRoleState {
  const state = registry.state(role);
  const holder = 'holder' in state ? state.holder : null;
  const isOurs = state.name === 'held' ? state.isOurs : holder !== null;
  return {
    roleName: formatRoleName(role),
    state: state.name,
    holder: holder?.member ?? null,
    term: holder?.term ?? (state.name === 'lost' ? state.term : null),
    sinceS: inSeconds(now - state.since),
    leaseLeftS: isOurs ? inSeconds(registry.remainingLease()) : null,
  };
}

function refusedActionStatus(
  registry: RoleRegistry,
  role: RoleName,
  now: Micros,
): RefusedActionStatus | null {
  const refusal = registry.lastRefusal(role);
  if (!refusal) return null;
  const { action, reason, term, at } = refusal;
  return { action, reason, term, ageS: inSeconds(now - at) };
}

/** Converts a duration to seconds, rounded to one decimal. */
function inSeconds(duration: Micros): number {
  return Math.round((duration / SECOND) * 10) / 10;
}
