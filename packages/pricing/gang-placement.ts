/**
 * Gang scheduling in a round: one candidate each, placed as a whole or not at all. Free capacity that is not
 * enough yet is reserved where the rest is about to become free.
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
      readonly kind: 'unplaced';
      /** Tasks for which there is no free capacity in `zone`. */
      readonly missing: number;
      /** The zone that serves it best; null: its tasks may lie in any zones. */
      readonly zone: string | null;
      /** Hosts of the machines whose free capacity is reserved for it. */
      readonly reservedHosts: readonly string[];
    };

/** A zone that may take a gang (null: its tasks may lie in different zones), with the machines open to it there. */
interface CandidateSite {
  readonly zone: string | null;
  readonly machines: CandidateMachine[];
  /** Tasks of the gang that there is free capacity for. */
  taskCapacity: number;
}

/** Places all tasks of a gang, or none: capacity taken for a part of it is given back. */
export function placeGang(
  job: PendingJob,
  pools: readonly ShapePool[],
  options: BinPackingOptions,
): GangPlacement {
  const sites = rankedSites(job, pools);
  for (const site of sites) {
    if (site.taskCapacity < job.pendingTaskCount) break;
    const zoneConstraint = new ZoneConstraint(boundToZone(job, site.zone), []);
    const candidatePools = narrowToSoonestHeartbeats(job, pools, zoneConstraint);
    const machines = packTasks(
      { job, pools: candidatePools, zoneConstraint, count: job.pendingTaskCount },
      options,
    );
    if (machines.length === job.pendingTaskCount) return { kind: 'placed', machines };
    for (const machine of machines) subtractResources(machine.free, job.taskResources, -1);
  }
  return reserveForGang(job, sites);
}

/** The machines chosen from have capacity for so many times the tasks. */
const CANDIDATE_FACTOR = 1.5;

/**
 * The shapes that a gang needs, best first; of the last one only the machines that have the image and whose heartbeat
 * comes soonest. A gang starts with its last task, so that the last of its machines to get its start holds up all others.
 */
function narrowToSoonestHeartbeats(
  job: PendingJob,
  pools: readonly ShapePool[],
  zoneConstraint: ZoneConstraint,
): ShapePool[] {
  const chosen: ShapePool[] = [];
  let remaining = job.pendingTaskCount;
  for (const pool of pools) {
    const candidates = pool.machines.filter(
      (machine) => zoneConstraint.allows(machine.zone) && countFitting(job.taskResources, machine.free) > 0,
    );
    const taskCapacity = taskCapacityOf(candidates, job);
    if (taskCapacity >= remaining) {
      const imagesToFetch = (machine: CandidateMachine): number =>
        machine.cachedImages.includes(job.image) ? 0 : 1;
      candidates.sort((a, b) => imagesToFetch(a) - imagesToFetch(b) || a.nextHeartbeatIn - b.nextHeartbeatIn);
      const machines = firstWithCapacity(job, candidates, Math.ceil(remaining * CANDIDATE_FACTOR));
      return [...chosen, { ...pool, machines }];
    }
    remaining -= taskCapacity;
    chosen.push(pool);
  }
  return chosen;
}

/** How many of the job's tasks the machines have free capacity for. */
function taskCapacityOf(machines: readonly CandidateMachine[], job: PendingJob): number {
  return machines.reduce((sum, machine) => sum + countFitting(job.taskResources, machine.free), 0);
}

/** The first machines that together have free capacity for so many tasks; all of them if they have not. */
function firstWithCapacity(
  job: PendingJob,
  machines: readonly CandidateMachine[],
  count: number,
): CandidateMachine[] {
  const chosen: CandidateMachine[] = [];
  let taskCapacity = 0;
  for (const machine of machines) {
    chosen.push(machine);
    taskCapacity += countFitting(job.taskResources, machine.free);
    if (taskCapacity >= count) break;
  }
  return chosen;
}

/** The sites of a gang, the one with most capacity first; of several that have enough, the one that has its image. */
function rankedSites(job: PendingJob, pools: readonly ShapePool[]): CandidateSite[] {
  const sites = new Map<string | null, CandidateSite>();
  for (const pool of pools) {
    for (const machine of pool.machines) addToSite(sites, machine, job);
  }
  const ranked = [...sites.values()].map((site) => ({ site, imageHits: imageHitsOf(site, job) }));
  ranked.sort((a, b) => b.imageHits - a.imageHits || b.site.taskCapacity - a.site.taskCapacity);
  return ranked.map(({ site }) => site);
}

function addToSite(
  sites: Map<string | null, CandidateSite>,
  machine: CandidateMachine,
  job: PendingJob,
): void {
  if (job.zone !== null && machine.zone !== job.zone) return;
  const zone = job.singleZone ? machine.zone : null;
  let site = sites.get(zone);
  if (!site) {
    site = { zone, machines: [], taskCapacity: 0 };
    sites.set(zone, site);
  }
  site.machines.push(machine);
  site.taskCapacity += countFitting(job.taskResources, machine.free);
}

/** How many tasks of the gang would start without fetching their image; 0 where the site can't take the gang. */
function imageHitsOf(site: CandidateSite, job: PendingJob): number {
  if (site.taskCapacity < job.pendingTaskCount) return 0;
  const withImage = site.machines.filter((machine) => machine.cachedImages.includes(job.image));
  return Math.min(job.pendingTaskCount, taskCapacityOf(withImage, job));
}

/**
 * Reserves what capacity there is for a gang where the rest becomes free soon. Nothing is allotted by it: each round
 * decides anew, the gang of highest rank first, so that two gangs never wait for each other's half.
 */
function reserveForGang(job: PendingJob, sites: readonly CandidateSite[]): GangPlacement {
  const best = sites[0];
  if (!best) return { kind: 'unplaced', missing: job.pendingTaskCount, zone: null, reservedHosts: [] };
  const missing = Math.max(1, job.pendingTaskCount - best.taskCapacity);
  // For one that has to be spread, capacity in one zone says nothing of when the gang can start.
  const reservedHosts =
    !job.spreadZones && becomesFreeInTime(job, best) ? reserveCapacity(job, best.machines) : [];
  return { kind: 'unplaced', missing, zone: best.zone, reservedHosts };
}

/** Takes free capacity for as many of the gang's tasks as it can. Returns the hosts. */
function reserveCapacity(job: PendingJob, machines: readonly CandidateMachine[]): string[] {
  const reservedHosts: string[] = [];
  let remaining = job.pendingTaskCount;
  for (const machine of machines) {
    const count = Math.min(remaining, countFitting(job.taskResources, machine.free));
    if (count === 0) continue;
    subtractResources(machine.free, job.taskResources, count);
    remaining -= count;
    reservedHosts.push(machine.host);
  }
  return reservedHosts;
}

/** The running tasks of the site end soon enough for the gang to fit within the longest reservation. */
function becomesFreeInTime(job: PendingJob, site: CandidateSite): boolean {
  let taskCapacity = site.taskCapacity;
  for (const machine of site.machines) {
    if (taskCapacity >= job.pendingTaskCount) return true;
    const pendingCapacity =
      countFitting(job.taskResources, machine.total) - countFitting(job.taskResources, machine.free);
    if (pendingCapacity > 0 && machine.busyFor() <= MAX_RESERVATION_TIME) taskCapacity += pendingCapacity;
  }
  return taskCapacity >= job.pendingTaskCount;
}

/** The gang as one that is bound to the zone. */
function boundToZone(job: PendingJob, zone: string | null): PendingJob {
  return zone === null ? job : { ...job, zone, singleZone: false };
}
