/** What a node knows of its cluster's duties, for operators. It proves nothing: see {@link DutyMachine}. */
import { type Micros, SECOND } from '#wire';
import { type DutyName, formatDutyName } from './duty.js';
import type { DutyStateName } from './duty-state.js';
import { type IntentLedger, openIntents, type OpenIntents } from './intents.js';
import type { DutyRegistry } from './registry.js';

export interface RefusalReport {
  action: string;
  reason: string;
  term: number;
  /** Seconds since. */
  ageS: number;
}

export interface DutyReport {
  duty: string;
  state: DutyStateName;
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
export function reportDuties(registry: DutyRegistry, ledger: IntentLedger, now: Micros): DutyReport[] {
  registry.refresh();
  return registry.known().map((duty) => reportDuty(registry, duty, ledger, now));
}

function reportDuty(registry: DutyRegistry, duty: DutyName, ledger: IntentLedger, now: Micros): DutyReport {
  const state = registry.state(duty);
  const holder = 'holder' in state ? state.holder : null;
  const isOurs = state.name === 'held' ? state.isOurs : holder !== null;
  return {
    duty: formatDutyName(duty),
    state: state.name,
    holder: holder?.member ?? null,
    term: holder?.term ?? (state.name === 'lost' ? state.term : null),
    sinceS: inSeconds(now - state.since),
    leaseLeftS: isOurs ? inSeconds(registry.leaseLeft()) : null,
    openIntents: duty === 'lead' ? openIntents(ledger) : null,
    lastRefused: reportRefusal(registry, duty, now),
  };
}

function reportRefusal(registry: DutyRegistry, duty: DutyName, now: Micros): RefusalReport | null {
  const refusal = registry.lastRefusal(duty);
  if (!refusal) return null;
  const { action, reason, term, at } = refusal;
  return { action, reason, term, ageS: inSeconds(now - at) };
}

/** Seconds with one digit after the point. */
function inSeconds(duration: Micros): number {
  return Math.round((duration / SECOND) * 10) / 10;
}
