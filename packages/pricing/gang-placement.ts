/**
 * Gang scheduling in a round: one candidate each, placed as a whole or not at all. Room that is not enough yet is kept
 * for the next rounds, where the rest of it is about to come free.
 */
import { countFitting, subtractResources } from './resources.js';
import { packTasks, type BinPackingOptions } from './bin-packing.js';
import type { ShapePool } from './shape-pools.js';
import { MAX_RESERVATION_TIME } from './reservation.js';
import type { CandidateMachine, PendingJob } from './types.js';
import { ZoneConstraint } from './zone-constraint.js';

/** What became of a gang in a round. */
export type GangPlacement =
  | { readonly kind: 'placed'; readonly machines: readonly CandidateMachine[] }
  | {
      readonly kind: 'released';
      /** Tasks for which there is no room in `zone`. */
      readonly missing: number;
      /** The zone that serves it best; null: its tasks may lie in any zones. */
      readonly zone: string | null;
      /** Hosts of the machines whose room is kept for it. */
      readonly kept: readonly string[];
    };

/** A zone that may take a gang (null: its tasks may lie in different zones), with the machines open to it there. */
interface Site {
  readonly zone: string | null;
  readonly machines: CandidateMachine[];
  /** Tasks of the gang that there is room for. */
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
    const openPools = soonestTold(job, pools, rule);
    const machines = packTasks({ job, pools: openPools, rule, count: job.pendingTasks }, options);
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
    const free = slotsOn(open, job);
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

/** How many of the job's tasks the machines have room for. */
function slotsOn(machines: readonly CandidateMachine[], job: PendingJob): number {
  return machines.reduce((sum, machine) => sum + countFitting(job.need, machine.free), 0);
}

/** The first machines that together have room for so many tasks; all of them if they have not. */
function firstWithRoom(
  job: PendingJob,
  machines: readonly CandidateMachine[],
  count: number,
): CandidateMachine[] {
  const chosen: CandidateMachine[] = [];
  let room = 0;
  for (const machine of machines) {
    chosen.push(machine);
    room += countFitting(job.need, machine.free);
    if (room >= count) break;
  }
  return chosen;
}

/** The sites of a gang, the one with most room first; of several that have enough, the one that has its image. */
function sitesOf(job: PendingJob, pools: readonly ShapePool[]): Site[] {
  const sites = new Map<string | null, Site>();
  for (const pool of pools) {
    for (const machine of pool.machines) addToSite(sites, machine, job);
  }
  const ranked = [...sites.values()].map((site) => ({ site, warmth: warmthOf(site, job) }));
  ranked.sort((a, b) => b.warmth - a.warmth || b.site.free - a.site.free);
  return ranked.map(({ site }) => site);
}

function addToSite(sites: Map<string | null, Site>, machine: CandidateMachine, job: PendingJob): void {
  if (job.zone !== null && machine.zone !== job.zone) return;
  const zone = job.singleZone ? machine.zone : null;
  let site = sites.get(zone);
  if (!site) {
    site = { zone, machines: [], free: 0 };
    sites.set(zone, site);
  }
  site.machines.push(machine);
  site.free += countFitting(job.need, machine.free);
}

/** How many tasks of the gang would start without loading their image; 0 where the site can't take the gang. */
function warmthOf(site: Site, job: PendingJob): number {
  if (site.free < job.pendingTasks) return 0;
  const warm = site.machines.filter((machine) => machine.cachedImages.includes(job.image));
  return Math.min(job.pendingTasks, slotsOn(warm, job));
}

/**
 * Keeps what room there is for a gang where the rest comes free soon. Nothing is allotted by it: each round decides
 * anew, the gang of highest rank first, so that two gangs never wait for each other's half.
 */
function gather(job: PendingJob, sites: readonly Site[]): GangPlacement {
  const best = sites[0];
  if (!best) return { kind: 'released', missing: job.pendingTasks, zone: null, kept: [] };
  const missing = Math.max(1, job.pendingTasks - best.free);
  // For one that has to be spread, room in one zone says nothing of when the gang can start.
  const kept = !job.spreadZones && comesFree(job, best) ? keepRoom(job, best.machines) : [];
  return { kind: 'released', missing, zone: best.zone, kept };
}

/** Takes room for as many of the gang's tasks as it can. Returns the hosts. */
function keepRoom(job: PendingJob, machines: readonly CandidateMachine[]): string[] {
  const kept: string[] = [];
  let left = job.pendingTasks;
  for (const machine of machines) {
    const count = Math.min(left, countFitting(job.need, machine.free));
    if (count === 0) continue;
    subtractResources(machine.free, job.need, count);
    left -= count;
    kept.push(machine.host);
  }
  return kept;
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
