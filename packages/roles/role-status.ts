/** What a node knows of its cluster's roles, for operators. It proves nothing: see the role state machine. */
import { type Micros, SECOND } from '#wire';
import { type RoleName, formatRoleName } from './role.js';
import type { RoleStateName } from './role-state-machine.js';
import { type IntentLedger, openIntents, type OpenIntents } from './scale-intents.js';
import type { RoleRegistry } from './role-registry.js';

/** The last refused action of a role. */
export interface RefusedActionStatus {
  readonly action: string;
  readonly reason: string;
  readonly term: number;
  /** Seconds since the refusal. */
  readonly ageS: number;
}

/** What a node knows of one role. */
export interface RoleStatus {
  /** Name of the role, as {@link formatRoleName} writes it. */
  readonly roleName: string;
  readonly state: RoleStateName;
  /** Member that holds it, as far as this node knows. */
  readonly holder: string | null;
  readonly term: number | null;
  /** Seconds for which the role has been in this state, as far as this node knows. */
  readonly sinceS: number;
  /** Seconds until the lease expires by the holder's own clock; null on nodes that don't hold the role. */
  readonly leaseLeftS: number | null;
  /** Cloud requests that are recorded and not known to be carried out; of the leader only. */
  readonly openIntents: OpenIntents | null;
  readonly lastRefused: RefusedActionStatus | null;
}

/** Every role that this node has observed, at this steady time. */
export function roleStatuses(registry: RoleRegistry, ledger: IntentLedger, now: Micros): RoleStatus[] {
  registry.refresh();
  return registry.knownRoles().map((role) => ({
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

/** Seconds, rounded to one decimal. */
function inSeconds(duration: Micros): number {
  return Math.round((duration / SECOND) * 10) / 10;
}
