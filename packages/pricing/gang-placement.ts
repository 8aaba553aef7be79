/**
 * Gang scheduling: all tasks of a gang are placed in the same round, or none is. If the free capacity does not suffice
 * yet, it is reserved for the gang where the missing capacity is about to become free.
 */
import { countFitting, subtractResources } from './resources.js';
import { packTasks, type BinPackingOptions } from './bin-packing.js';
import type { ShapePool } from './shape-pools.js';
import { MAX_RESERVATION_TIME } from './reservation.js';
import type { CandidateMachine, PendingJob } from './types.js';
import { ZoneConstraint } from './zone-constraint.js';

/** Result of placing a gang in a round. */
export type GangPlacement =
  | { readonly kind: 'placed'; readonly machines: readonly CandidateMachine[] }
  | {
      readonly kind: 'unplaced';
      /** Number of tasks for which `zone` has no free capacity; at least 1. */
      readonly missingTaskCount: number;
      /** The zone that suits the gang best; null if its tasks may run in different zones or no machine is feasible. */
      readonly zone: string | null;
      /** Number of tasks for which each zone has free capacity, as far as the zone constraints let them use it. */
      readonly usableByZone: ReadonlyMap<string, number>;
      /** Hosts of the machines whose free capacity is reserved for the gang. */
      readonly reservedHosts: readonly string[];
    };

/** A zone that may take a gang (null if its tasks may run in different zones), with the feasible machines there. */
interface CandidateSite {
  readonly zone: string | null;
  readonly machines: readonly CandidateMachine[];
  /** Number of the gang's tasks that may use the free capacity of each zone. Keyed by zone. */
  readonly usableByZone: ReadonlyMap<string, number>;
  /** Number of the gang's tasks that may use the free capacity of the site. */
  readonly taskCapacity: number;
}

/** Places all tasks of a gang or none. Capacity allocated for a part of the gang is released. */
export function placeGang(
  job: PendingJob,
  pools: readonly ShapePool[],
  options: BinPackingOptions,
): GangPlacement {
  const sites = rankedSites(job, pools);
  for (const site of sites) {
    if (site.taskCapacity < job.pendingTaskCount) break;
    const zoneConstraint = new ZoneConstraint(boundToZone(job, site.zone));
    const candidatePools = narrowPools(job, pools, { site, zoneConstraint });
    const machines = packTasks(
      { job, pools: candidatePools, zoneConstraint, count: job.pendingTaskCount },
      options,
    );
    if (machines.length === job.pendingTaskCount) return { kind: 'placed', machines };
    for (const machine of machines) subtractResources(machine.free, job.taskResources, -1);
  }
  return reserveForGang(job, sites);
}

/** A gang's machines are chosen from candidates with capacity for this multiple of its tasks. */
const CANDIDATE_FACTOR = 1.5;

/** Returns the candidates for the gang; for one that must be spread, those of each zone, so that no zone lacks any. */
function narrowPools(
  job: PendingJob,
  pools: readonly ShapePool[],
  { site, zoneConstraint }: { site: CandidateSite; zoneConstraint: ZoneConstraint },
): ShapePool[] {
  const isCandidate = ({ zone, free }: CandidateMachine): boolean =>
    zoneConstraint.allows(zone) && countFitting(job.taskResources, free) > 0;
  if (!job.spreadZones) return narrowToSoonestHeartbeats(job, pools, isCandidate);
  return [...site.usableByZone].flatMap(([zone, count]) =>
    narrowToSoonestHeartbeats(
      { ...job, pendingTaskCount: count },
      pools,
      (machine) => machine.zone === zone && isCandidate(machine),
    ),
  );
}

/**
 * Returns as many shapes, best first, as the gang needs. The last one is narrowed to a few machines: those with the
 * image cached come first, then those whose next heartbeat is due soonest. A gang starts only once all of its tasks
 * have been sent to their machines, so the machine with the latest heartbeat delays all others.
 */
function narrowToSoonestHeartbeats(
  job: PendingJob,
  pools: readonly ShapePool[],
  isCandidate: (machine: CandidateMachine) => boolean,
): ShapePool[] {
  const chosen: ShapePool[] = [];
  let remaining = job.pendingTaskCount;
  for (const pool of pools) {
    const candidates = pool.machines.filter(isCandidate);
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

/** Returns the number of the job's tasks that the machines together have free capacity for. */
function taskCapacityOf(machines: readonly CandidateMachine[], job: PendingJob): number {
  return machines.reduce((sum, machine) => sum + countFitting(job.taskResources, machine.free), 0);
}

/** Returns the first machines that together have free capacity for `count` tasks; all machines if there are too few. */
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

/** Returns the gang's sites. Those with capacity for all of it come first if they have its image, then by capacity. */
function rankedSites(job: PendingJob, pools: readonly ShapePool[]): CandidateSite[] {
  const machinesBySite = new Map<string | null, CandidateMachine[]>();
  for (const { machines } of pools) {
    for (const machine of machines) {
      if (job.zone !== null && machine.zone !== job.zone) continue;
      const zone = job.singleZone ? machine.zone : null;
      const siteMachines = machinesBySite.get(zone);
      if (siteMachines) siteMachines.push(machine);
      else machinesBySite.set(zone, [machine]);
    }
  }
  const sites = [...machinesBySite].map(([zone, machines]) => candidateSite(job, zone, machines));
  const ranked = sites.map((site) => ({ site, imageHits: imageHitsOf(site, job) }));
  ranked.sort((a, b) => b.imageHits - a.imageHits || b.site.taskCapacity - a.site.taskCapacity);
  return ranked.map(({ site }) => site);
}

function candidateSite(
  job: PendingJob,
  zone: string | null,
  machines: readonly CandidateMachine[],
): CandidateSite {
  const usableByZone = new Map<string, number>();
  for (const machine of machines) {
    const count = countFitting(job.taskResources, machine.free);
    usableByZone.set(machine.zone, (usableByZone.get(machine.zone) ?? 0) + count);
  }
  if (job.spreadZones) limitByZone(usableByZone, new ZoneConstraint(job));
  const taskCapacity = [...usableByZone.values()].reduce((sum, count) => sum + count, 0);
  return { zone, machines, usableByZone, taskCapacity };
}

/** Reduces the number of tasks in each zone to what the constraint leaves. */
function limitByZone(countByZone: Map<string, number>, constraint: ZoneConstraint): void {
  for (const [zone, count] of countByZone) {
    countByZone.set(zone, Math.min(count, constraint.remainingIn(zone)));
  }
}

/** Returns how many of the gang's tasks would start without an image download; 0 if the site cannot take the gang. */
function imageHitsOf(site: CandidateSite, job: PendingJob): number {
  if (site.taskCapacity < job.pendingTaskCount) return 0;
  const withImage = site.machines.filter((machine) => machine.cachedImages.includes(job.image));
  return Math.min(job.pendingTaskCount, taskCapacityOf(withImage, job));
}

/**
 * Reserves the free capacity of the best site if the missing capacity becomes free soon. A reservation lasts for one
 * round only: each round decides again, the gang of highest priority first, so that two gangs never deadlock, each with
 * half of the capacity.
 */
function reserveForGang(job: PendingJob, sites: readonly CandidateSite[]): GangPlacement {
  const best = sites[0];
  if (!best)
    return {
      kind: 'unplaced',
      missingTaskCount: job.pendingTaskCount,
      zone: null,
      usableByZone: new Map(),
      reservedHosts: [],
    };
  const missingTaskCount = Math.max(1, job.pendingTaskCount - best.taskCapacity);
  // For a gang that must be spread over zones, capacity in one zone does not show when the gang can start.
  const reservedHosts =
    !job.spreadZones && becomesFreeInTime(job, best) ? reserveCapacity(job, best.machines) : [];
  return {
    kind: 'unplaced',
    missingTaskCount,
    zone: best.zone,
    usableByZone: best.usableByZone,
    reservedHosts,
  };
}

/** Subtracts the resources of as many of the gang's tasks as fit from the free capacity. Returns the hosts. */
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

/** True if enough running tasks on the site end within MAX_RESERVATION_TIME for the gang to fit. */
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

/** Returns a copy of the gang that is limited to the zone; the gang itself if the zone is null. */
function boundToZone(job: PendingJob, zone: string | null): PendingJob {
  return zone === null ? job : { ...job, zone, singleZone: false };
}
