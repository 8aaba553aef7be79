/**
 * Gangs in a round: one candidate each, placed as a whole or not at all. Room that is not enough yet is kept for the
 * next rounds, where the rest of it is about to come free.
 */
import { countFitting, subtractResources } from './amounts.js';
import { packTasks, type BinPackingOptions } from './fill.js';
import type { ShapePool } from './pools.js';
import { MAX_RESERVATION_TIME } from './reserve.js';
import type { CandidateMachine, PendingJob } from './types.js';
import { ZoneConstraint } from './zone-rule.js';

export type GangPlacement =
  | { kind: 'placed'; machines: CandidateMachine[] }
  /** `missing`: tasks for which there is no room in the zone that serves it best (null: in any zones). */
  | { kind: 'released'; missing: number; zone: string | null; kept: string[] };

/** A zone that may take a gang (null: its tasks may lie in different zones), with the machines open to it there. */
interface Site {
  zone: string | null;
  machines: CandidateMachine[];
  free: number;
}

/** Places all tasks of a gang, or none: whatever was taken is put back. */
export function placeGang(
  job: PendingJob,
  pools: readonly ShapePool[],
  options: BinPackingOptions,
): GangPlacement {
  const sites = sitesOf(job, pools);
  for (const site of sites) {
    if (site.free < job.pendingTasks) break;
    const rule = new ZoneConstraint(inZone(job, site.zone), []);
    const machines = packTasks(job, soonestTold(job, pools, rule), rule, job.pendingTasks, options);
    if (machines.length === job.pendingTasks) return { kind: 'placed', machines };
    for (const machine of machines) subtractResources(machine.free, job.need, -1);
  }
  return gather(job, sites);
}

/** So many times the tasks' room is chosen from among the machines that are told soonest. */
const CHOICE = 1.5;

/**
 * The shapes that a gang needs, best first; of the last one only the machines that have the image and are told soonest.
 * A gang starts with its last task, so that the slowest of its machines to hear of it holds up all others.
 */
function soonestTold(job: PendingJob, pools: readonly ShapePool[], rule: ZoneConstraint): ShapePool[] {
  const chosen: ShapePool[] = [];
  let left = job.pendingTasks;
  for (const pool of pools) {
    const open = pool.machines.filter((m) => rule.allows(m.zone) && countFitting(job.need, m.free) > 0);
    const free = open.reduce((sum, m) => sum + countFitting(job.need, m.free), 0);
    if (free >= left) {
      const isCold = (m: CandidateMachine): number => (m.cachedImages.includes(job.image) ? 0 : 1);
      open.sort((a, b) => isCold(a) - isCold(b) || a.nextHeartbeatIn - b.nextHeartbeatIn);
      return [...chosen, { ...pool, machines: firstWithRoom(job, open, Math.ceil(left * CHOICE)) }];
    }
    left -= free;
    chosen.push(pool);
  }
  return chosen;
}

function firstWithRoom(
  job: PendingJob,
  machines: readonly CandidateMachine[],
  count: number,
): CandidateMachine[] {
  let room = 0;
  const end = machines.findIndex((m) => (room += countFitting(job.need, m.free)) >= count);
  return end < 0 ? [...machines] : machines.slice(0, end + 1);
}

/** The sites of a gang, the one with most room first; of several that have enough, the one that has its image. */
function sitesOf(job: PendingJob, pools: readonly ShapePool[]): Site[] {
  const sites = new Map<string | null, Site>();
  for (const pool of pools) {
    for (const machine of pool.machines) {
      if (job.zone !== null && machine.zone !== job.zone) continue;
      const zone = job.singleZone ? machine.zone : null;
      let site = sites.get(zone);
      if (!site) sites.set(zone, (site = { zone, machines: [], free: 0 }));
      site.machines.push(machine);
      site.free += countFitting(job.need, machine.free);
    }
  }
  const warmth = (site: Site): number => {
    if (site.free < job.pendingTasks) return 0;
    const warm = site.machines.filter((m) => m.cachedImages.includes(job.image));
    return Math.min(
      job.pendingTasks,
      warm.reduce((sum, m) => sum + countFitting(job.need, m.free), 0),
    );
  };
  const ranked = [...sites.values()].map((site) => ({ site, warmth: warmth(site) }));
  ranked.sort((a, b) => b.warmth - a.warmth || b.site.free - a.site.free);
  return ranked.map(({ site }) => site);
}

/**
 * Keeps what room there is for a gang where the rest comes free soon. Nothing is allotted by it: each round decides
 * anew, the gang of highest rank first, so that two gangs never wait for each other's half.
 */
function gather(job: PendingJob, sites: readonly Site[]): GangPlacement {
  const best = sites[0];
  if (!best) return { kind: 'released', missing: job.pendingTasks, zone: null, kept: [] };
  const missing = Math.max(1, job.pendingTasks - best.free);
  const result: GangPlacement = { kind: 'released', missing, zone: best.zone, kept: [] };
  // For one that has to be spread, room in one zone says nothing of when the gang can start.
  if (job.spreadZones || !comesFree(job, best)) return result;
  let left = job.pendingTasks;
  for (const machine of best.machines) {
    const count = Math.min(left, countFitting(job.need, machine.free));
    if (count === 0) continue;
    subtractResources(machine.free, job.need, count);
    left -= count;
    result.kept.push(machine.host);
  }
  return result;
}

/** The running tasks of the site leave enough room within the time for which any is kept. */
function comesFree(job: PendingJob, site: Site): boolean {
  let room = site.free;
  for (const machine of site.machines) {
    if (room >= job.pendingTasks) return true;
    const later = countFitting(job.need, machine.total) - countFitting(job.need, machine.free);
    if (later > 0 && machine.busyFor() <= MAX_RESERVATION_TIME) room += later;
  }
  return room >= job.pendingTasks;
}

function inZone(job: PendingJob, zone: string | null): PendingJob {
  return zone === null ? job : { ...job, zone, singleZone: false };
}
