/**
 * Gang scheduling in a round: one candidate each, placed as a whole or not at all. Room that is not enough yet is kept
 * for the next rounds, where the rest of it is about to come free.
 */
import { slots, take } from './amounts.js';
import { fill, type FillOptions } from './fill.js';
import type { Pool } from './pools.js';
import { KEPT_FOR } from './reserve.js';
import type { RoomyMachine, WaitingJob } from './types.js';
import { ZoneRule } from './zone-rule.js';

/** What became of a gang in a round. */
export type GangPlacement =
  | { readonly kind: 'placed'; readonly machines: readonly RoomyMachine[] }
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
  readonly machines: RoomyMachine[];
  /** Tasks of the gang that there is room for. */
  free: number;
}

/** Places all tasks of a gang, or none: whatever was taken is put back. */
export function placeGang(job: WaitingJob, pools: readonly Pool[], options: FillOptions): GangPlacement {
  const sites = sitesOf(job, pools);
  for (const site of sites) {
    if (site.free < job.waiting) break;
    const rule = new ZoneRule(inZone(job, site.zone), []);
    const openPools = soonestTold(job, pools, rule);
    const machines = fill({ job, pools: openPools, rule, count: job.waiting }, options);
    if (machines.length === job.waiting) return { kind: 'placed', machines };
    for (const machine of machines) take(machine.room, job.need, -1);
  }
  return gather(job, sites);
}

/** So many times the tasks' room is chosen from among the machines that are told soonest. */
const CHOICE = 1.5;

/**
 * The shapes that a gang needs, best first; of the last one only the machines that have the image and are told soonest.
 * A gang starts with its last task, so that the slowest of its machines to hear of it holds up all others.
 */
function soonestTold(job: WaitingJob, pools: readonly Pool[], rule: ZoneRule): Pool[] {
  const chosen: Pool[] = [];
  let left = job.waiting;
  for (const pool of pools) {
    const open = pool.machines.filter((m) => rule.open(m.zone) && slots(job.need, m.room) > 0);
    const free = slotsOn(open, job);
    if (free >= left) {
      const isCold = (m: RoomyMachine): number => (m.warm.includes(job.image) ? 0 : 1);
      open.sort((a, b) => isCold(a) - isCold(b) || a.toldIn - b.toldIn);
      return [...chosen, { ...pool, machines: firstWithRoom(job, open, Math.ceil(left * CHOICE)) }];
    }
    left -= free;
    chosen.push(pool);
  }
  return chosen;
}

/** How many of the job's tasks the machines have room for. */
function slotsOn(machines: readonly RoomyMachine[], job: WaitingJob): number {
  return machines.reduce((sum, machine) => sum + slots(job.need, machine.room), 0);
}

/** The first machines that together have room for so many tasks; all of them if they have not. */
function firstWithRoom(job: WaitingJob, machines: readonly RoomyMachine[], count: number): RoomyMachine[] {
  const chosen: RoomyMachine[] = [];
  let room = 0;
  for (const machine of machines) {
    chosen.push(machine);
    room += slots(job.need, machine.room);
    if (room >= count) break;
  }
  return chosen;
}

/** The sites of a gang, the one with most room first; of several that have enough, the one that has its image. */
function sitesOf(job: WaitingJob, pools: readonly Pool[]): Site[] {
  const sites = new Map<string | null, Site>();
  for (const pool of pools) {
    for (const machine of pool.machines) addToSite(sites, machine, job);
  }
  const ranked = [...sites.values()].map((site) => ({ site, warmth: warmthOf(site, job) }));
  ranked.sort((a, b) => b.warmth - a.warmth || b.site.free - a.site.free);
  return ranked.map(({ site }) => site);
}

function addToSite(sites: Map<string | null, Site>, machine: RoomyMachine, job: WaitingJob): void {
  if (job.zone !== null && machine.zone !== job.zone) return;
  const zone = job.singleZone ? machine.zone : null;
  let site = sites.get(zone);
  if (!site) {
    site = { zone, machines: [], free: 0 };
    sites.set(zone, site);
  }
  site.machines.push(machine);
  site.free += slots(job.need, machine.room);
}

/** How many tasks of the gang would start without loading their image; 0 where the site can't take the gang. */
function warmthOf(site: Site, job: WaitingJob): number {
  if (site.free < job.waiting) return 0;
  const warm = site.machines.filter((machine) => machine.warm.includes(job.image));
  return Math.min(job.waiting, slotsOn(warm, job));
}

/**
 * Keeps what room there is for a gang where the rest comes free soon. Nothing is allotted by it: each round decides
 * anew, the gang of highest rank first, so that two gangs never wait for each other's half.
 */
function gather(job: WaitingJob, sites: readonly Site[]): GangPlacement {
  const best = sites[0];
  if (!best) return { kind: 'released', missing: job.waiting, zone: null, kept: [] };
  const missing = Math.max(1, job.waiting - best.free);
  // For one that has to be spread, room in one zone says nothing of when the gang can start.
  const kept = !job.spreadZones && comesFree(job, best) ? keepRoom(job, best.machines) : [];
  return { kind: 'released', missing, zone: best.zone, kept };
}

/** Takes room for as many of the gang's tasks as it can. Returns the hosts. */
function keepRoom(job: WaitingJob, machines: readonly RoomyMachine[]): string[] {
  const kept: string[] = [];
  let left = job.waiting;
  for (const machine of machines) {
    const count = Math.min(left, slots(job.need, machine.room));
    if (count === 0) continue;
    take(machine.room, job.need, count);
    left -= count;
    kept.push(machine.host);
  }
  return kept;
}

/** The running tasks of the site leave enough room within the time for which any is kept. */
function comesFree(job: WaitingJob, site: Site): boolean {
  let room = site.free;
  for (const machine of site.machines) {
    if (room >= job.waiting) return true;
    const later = slots(job.need, machine.total) - slots(job.need, machine.room);
    if (later > 0 && machine.busyFor() <= KEPT_FOR) room += later;
  }
  return room >= job.waiting;
}

function inZone(job: WaitingJob, zone: string | null): WaitingJob {
  return zone === null ? job : { ...job, zone, singleZone: false };
}
