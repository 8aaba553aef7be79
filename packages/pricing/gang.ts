/**
 * Gangs in a round: one candidate each, placed as a whole or not at all. Room that is not enough yet is kept for the
 * next rounds, where the rest of it is about to come free.
 */
import { slots, take } from './amounts.js';
import { fill, type FillOptions } from './fill.js';
import type { Pool } from './pools.js';
import { KEPT_FOR } from './reserve.js';
import type { RoomyMachine, WaitingJob } from './types.js';
import { ZoneRule } from './zone-rule.js';

export type GangPlacement =
  | { kind: 'placed'; machines: RoomyMachine[] }
  /** `missing`: tasks for which there is no room in the zone that serves it best (null: in any zones). */
  | { kind: 'released'; missing: number; zone: string | null; kept: string[] };

/** A zone that may take a gang (null: its tasks may lie in different zones), with the machines open to it there. */
interface Site {
  zone: string | null;
  machines: RoomyMachine[];
  free: number;
}

/** Places all tasks of a gang, or none: whatever was taken is put back. */
export function placeGang(job: WaitingJob, pools: readonly Pool[], options: FillOptions): GangPlacement {
  const sites = sitesOf(job, pools);
  for (const site of sites) {
    if (site.free < job.waiting) break;
    const rule = new ZoneRule(inZone(job, site.zone), []);
    const machines = fill(job, soonestTold(job, pools, rule), rule, job.waiting, options);
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
    const free = open.reduce((sum, m) => sum + slots(job.need, m.room), 0);
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

function firstWithRoom(job: WaitingJob, machines: readonly RoomyMachine[], count: number): RoomyMachine[] {
  let room = 0;
  const end = machines.findIndex((m) => (room += slots(job.need, m.room)) >= count);
  return end < 0 ? [...machines] : machines.slice(0, end + 1);
}

/** The sites of a gang, the one with most room first; of several that have enough, the one that has its image. */
function sitesOf(job: WaitingJob, pools: readonly Pool[]): Site[] {
  const sites = new Map<string | null, Site>();
  for (const pool of pools) {
    for (const machine of pool.machines) {
      if (job.zone !== null && machine.zone !== job.zone) continue;
      const zone = job.singleZone ? machine.zone : null;
      let site = sites.get(zone);
      if (!site) sites.set(zone, (site = { zone, machines: [], free: 0 }));
      site.machines.push(machine);
      site.free += slots(job.need, machine.room);
    }
  }
  const warmth = (site: Site): number => {
    if (site.free < job.waiting) return 0;
    const warm = site.machines.filter((m) => m.warm.includes(job.image));
    return Math.min(
      job.waiting,
      warm.reduce((sum, m) => sum + slots(job.need, m.room), 0),
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
function gather(job: WaitingJob, sites: readonly Site[]): GangPlacement {
  const best = sites[0];
  if (!best) return { kind: 'released', missing: job.waiting, zone: null, kept: [] };
  const missing = Math.max(1, job.waiting - best.free);
  const result: GangPlacement = { kind: 'released', missing, zone: best.zone, kept: [] };
  // For one that has to be spread, room in one zone says nothing of when the gang can start.
  if (job.spreadZones || !comesFree(job, best)) return result;
  let left = job.waiting;
  for (const machine of best.machines) {
    const count = Math.min(left, slots(job.need, machine.room));
    if (count === 0) continue;
    take(machine.room, job.need, count);
    left -= count;
    result.kept.push(machine.host);
  }
  return result;
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
