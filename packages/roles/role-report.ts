/** What a node knows of its cluster's duties, for operators. It proves nothing: see {@link DutyMachine}. */
import { type Micros, SECOND } from '#wire';
import { type RoleName, formatRoleName } from './role.js';
import type { RoleStateName } from './role-state-machine.js';
import { type IntentLedger, openIntents, type OpenIntents } from './scale-intents.js';
import type { RoleRegistry } from './role-registry.js';

export interface RefusalReport {
  action: string;
  reason: string;
  term: number;
  /** Seconds since. */
  ageS: number;
}

export interface RoleReport {
  duty: string;
  state: RoleStateName;
  /** Member that holds it, as far as this node knows. */
  holder: string | null;
  term: number | null;
  /** Seconds since this node has known the duty to be in this state. */
  sinceS: number;
  /** Seconds that the lease has left by the holder's own clock; null on nodes that don't hold the duty. */
  leaseLeftS: number | null;
  /** What was asked of the cloud, or is to be, and is not known to be done; of the lead only. */
  openIntents: OpenIntents | null;
  lastRefused: RefusalReport | null;
}

/** Every duty that this node knows of, at this steady time. */
export function reportRoles(registry: RoleRegistry, ledger: IntentLedger, now: Micros): RoleReport[] {
  registry.refresh();
  return registry.knownRoles().map((role) => reportRole(registry, role, ledger, now));
}

function reportRole(registry: RoleRegistry, role: RoleName, ledger: IntentLedger, now: Micros): RoleReport {
  const state = registry.state(role);
  const holder = 'holder' in state ? state.holder : null;
  const isOurs = state.name === 'held' ? state.isOurs : holder !== null;
  return {
    duty: formatRoleName(role),
    state: state.name,
    holder: holder?.member ?? null,
    term: holder?.term ?? (state.name === 'lost' ? state.term : null),
    sinceS: inSeconds(now - state.since),
    leaseLeftS: isOurs ? inSeconds(registry.remainingLease()) : null,
    openIntents: role === 'lead' ? openIntents(ledger) : null,
    lastRefused: reportRefusal(registry, role, now),
  };
}

function reportRefusal(registry: RoleRegistry, role: RoleName, now: Micros): RefusalReport | null {
  const refusal = registry.lastRefusal(role);
  if (!refusal) return null;
  const { action, reason, term, at } = refusal;
  return { action, reason, term, ageS: inSeconds(now - at) };
}

/** Seconds with one digit after the point. */
function inSeconds(duration: Micros): number {
  return Math.round((duration / SECOND) * 10) / 10;
}
