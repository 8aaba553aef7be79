import { fits, subtractResources } from './amounts.js';
import type { Resources, PendingJob } from './types.js';

/** A running task as one that may have to make room. */
export interface Victim extends Resources {
  taskName: string;
  host: string;
  rank: number;
  /** Its team runs more than its guarantee. */
  isAboveGuarantee: boolean;
  /** Its progress can be saved. */
  canCheckpoint: boolean;
}

export interface PreemptionRequest {
  job: PendingJob;
  count: number;
  rank: number;
  /** It lies within its team's guarantee. */
  guaranteed: boolean;
}

export interface PreemptionInput {
  /** Tasks that found no room and have waited long enough to stop others for, most urgent first. */
  requests: readonly PreemptionRequest[];
  machines: readonly { host: string; left: Resources; allowed: (job: PendingJob) => boolean }[];
  /** Tasks that may be stopped at all. */
  victims: readonly Victim[];
  maxPreemptions: number;
}

/**
 * Which tasks to stop: those of lower rank for one of higher rank, and what a team runs beyond its guarantee
 * for one within its own. Only work that can be saved gives way, and as little of it as will do.
 */
export function planPreemptions({
  requests,
  machines,
  victims,
  maxPreemptions: most,
}: PreemptionInput): Victim[] {
  const stops: Victim[] = [];
  const used = new Set<string>();
  // Found by machine once: machines times tasks would be looked at for every claim otherwise.
  const onHost = new Map<string, Victim[]>();
  for (const victim of victims) {
    if (!victim.canCheckpoint) continue;
    const there = onHost.get(victim.host);
    if (there) there.push(victim);
    else onHost.set(victim.host, [victim]);
  }
  for (const there of onHost.values()) there.sort((a, b) => a.rank - b.rank);
  const candidates = machines.flatMap((m) => {
    const open = onHost.get(m.host);
    return open ? [{ ...m, open }] : [];
  });
  for (const { job, count, rank, guaranteed } of requests) {
    const chosenBefore = stops.length;
    const hosts: string[] = [];
    let found = 0;
    for (; found < count; found++) {
      let best: { host: string; chosen: Victim[] } | null = null;
      for (const machine of candidates) {
        if (used.has(machine.host) || !machine.allowed(job)) continue;
        const room = { ...machine.left };
        const chosen: Victim[] = [];
        for (const v of machine.open) {
          if (fits(job.need, room)) break;
          if (v.rank >= rank && !(guaranteed && v.isAboveGuarantee)) continue;
          subtractResources(room, v, -1);
          chosen.push(v);
        }
        if (fits(job.need, room) && (!best || chosen.length < best.chosen.length))
          best = { host: machine.host, chosen };
      }
      if (!best || stops.length + best.chosen.length > most) break;
      used.add(best.host);
      hosts.push(best.host);
      stops.push(...best.chosen);
    }
    if (!job.isGang || found === count) continue;
    // Room for a part of a gang is of no use to it.
    stops.length = chosenBefore;
    for (const host of hosts) used.delete(host);
  }
  return stops;
}
