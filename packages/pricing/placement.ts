/** Ranks segments, places their tasks on machines, and records the tasks for which no machine has capacity. */
import { hasFreeCapacity, RESOURCE_TOLERANCE } from './resources.js';
import { packTasks, type BinPackingOptions } from './bin-packing.js';
import { type GangPlacement, placeGang } from './gang-placement.js';
import { countHeldTasks, fullyHeldJobs, MAX_HOLD_TIME, minStartCount, RemainingLimits } from './held-jobs.js';
import { isFeasible, type ShapePool } from './shape-pools.js';
import { type Market, utility } from './price-adjustment.js';
import { reserveMachines } from './reservation.js';
import type { Segment } from './segments.js';
import type { CandidateMachine, PricingRoundInput, PricingRoundResult, PendingJob } from './types.js';
import { hasZoneConstraint, ZoneConstraint } from './zone-constraint.js';

/** A segment with its feasible shapes, best first, and its net utility on the best shape. */
interface RankedSegment {
  readonly segment: Segment;
  readonly pools: readonly ShapePool[];
  readonly bestUtility: number;
}

/** Places the segments, highest net utility first, and subtracts their resources from the pools' free capacity. */
export function placeSegments(
  input: PricingRoundInput,
  segments: readonly Segment[],
  market: Market,
): PricingRoundResult {
  const placer = new RoundPlacer(input);
  for (const ranked of rankSegments(segments, market)) placer.place(ranked);
  const heldTaskCounts = countHeldTasks(input.jobs, segments);
  placer.placeHeld(fullyHeldJobs(input.jobs, heldTaskCounts), market);
  return placer.result(market.pools, heldTaskCounts);
}

/**
 * Sorts the segments in the order of placement: by net utility per task, highest first. A gang is one candidate with
 * the summed demand of its tasks. Of candidates with equal utility the larger gang comes first, since it is harder to
 * place.
 */
function rankSegments(segments: readonly Segment[], market: Market): RankedSegment[] {
  const gangSize = ({ job }: Segment): number => (job.isGang ? job.pendingTaskCount : 0);
  return segments
    .map((segment) => rankPools(segment, market))
    .sort(
      (a, b) =>
        b.bestUtility - a.bestUtility ||
        gangSize(b.segment) - gangSize(a.segment) ||
        a.segment.job.acceptanceOrder - b.segment.job.acceptanceOrder,
    );
}

function placedMachines(placement: GangPlacement): readonly CandidateMachine[] {
  return placement.kind === 'placed' ? placement.machines : [];
}

/** Returns the pools with only those machines that can take a further task. */
function withFreeCapacity(pools: readonly ShapePool[]): ShapePool[] {
  return pools.map((pool) => ({
    ...pool,
    machines: pool.machines.filter(({ free }) => hasFreeCapacity(free)),
  }));
}

function rankPools(segment: Segment, market: Market): RankedSegment {
  const ranked = market.pools
    .filter((pool) => isFeasible(segment.job, pool))
    .map((pool) => ({ pool, value: utility(segment, pool, market) }))
    .sort((a, b) =>
      Math.abs(b.value - a.value) > RESOURCE_TOLERANCE
        ? b.value - a.value
        : a.pool.hourlyCostPerCpu - b.pool.hourlyCostPerCpu,
    );
  const pools = ranked.map(({ pool }) => pool);
  return { segment, pools, bestUtility: ranked[0]?.value ?? -Infinity };
}

/** Places one segment after the other, and accumulates the result of the round. */
class RoundPlacer {
  private readonly starts: PricingRoundResult['starts'] = [];
  private readonly unmetTaskCounts = new Map<string, number>();
  private readonly reservedHosts = new Set<string>();
  private readonly preferredZones = new Map<string, string>();
  private readonly tasksByZone = new Map<string, ReadonlyMap<string, number>>();
  private readonly zoneConstraints = new Map<string, ZoneConstraint>();
  private readonly packingOptions: BinPackingOptions;
  private readonly remainingLimits: RemainingLimits;
  private readonly heldTeams = new Set<string>();
  /** Teams whose held jobs may start a task each. */
  private readonly releasedTeams: ReadonlySet<string>;

  constructor(private readonly input: PricingRoundInput) {
    this.packingOptions = { random: input.random, choices: input.options.choices };
    this.remainingLimits = new RemainingLimits(input.teams);
    const released = input.teams.filter((team) => team.isHeldTooLong === true);
    this.releasedTeams = new Set(released.map(({ name }) => name));
  }

  place(ranked: RankedSegment): void {
    if (ranked.segment.job.isGang) this.placeGang(ranked);
    else this.placeTasks(ranked);
  }

  /**
   * Looks at the jobs that are held back by claims of other jobs on their team's limit. If the team was held back for too
   * long, each of them starts one task, or its gang: otherwise a large task or a gang that waits for the end of long
   * tasks would hold back the others without a bound.
   */
  placeHeld(held: readonly PendingJob[], market: Market): void {
    const releasedTeams = new Set<string>();
    let openPools: ShapePool[] | null = null;
    for (const job of held) {
      if (!this.remainingLimits.fits(job)) continue;
      this.heldTeams.add(job.team);
      if (!this.isReleased(job) || this.remainingStarts() <= 0) continue;
      openPools ??= withFreeCapacity(market.pools);
      const segment = { job, priority: job.priority, count: minStartCount(job) };
      if (this.placeHeldJob(rankPools(segment, { ...market, pools: openPools }))) releasedTeams.add(job.team);
    }
    for (const team of releasedTeams) this.heldTeams.delete(team);
  }

  result(pools: readonly ShapePool[], heldTaskCounts: Map<string, number>): PricingRoundResult {
    const machines = pools.flatMap((pool) => pool.machines);
    return {
      starts: this.starts,
      prices: new Map(pools.map((pool) => [pool.shape, pool.price])),
      unmetTaskCounts: this.unmetTaskCounts,
      heldTaskCounts,
      heldTeams: this.heldTeams,
      preferredZones: this.preferredZones,
      tasksByZone: this.tasksByZone,
      free: new Map(machines.map((machine) => [machine.host, machine.free])),
      reservedHosts: this.reservedHosts,
    };
  }

  private placeGang({ segment, pools }: RankedSegment): void {
    const { job, count } = segment;
    // A gang that exceeds the remaining starts is skipped unless the round has started nothing yet: a gang with more
    // tasks than a round may start gets a round to itself.
    if (count > this.remainingStarts() && this.starts.length > 0) return;
    const placement = placeGang(job, pools, this.packingOptions);
    if (placement.kind === 'placed') {
      this.addStarts(job, placement.machines);
      return;
    }
    this.unmetTaskCounts.set(job.id, placement.missingTaskCount);
    if (placement.zone !== null) this.preferredZones.set(job.id, placement.zone);
    else if (job.spreadZones) this.tasksByZone.set(job.id, placement.usableByZone);
    this.addReservedHosts(placement.reservedHosts);
  }

  private placeTasks({ segment, pools }: RankedSegment): void {
    const { job } = segment;
    const zoneConstraint = this.zoneConstraintOf(job);
    const count = Math.min(segment.count, Math.max(0, this.remainingStarts()));
    const machines = packTasks({ job, pools, zoneConstraint, count }, this.packingOptions);
    this.addStarts(job, machines);
    let remaining = segment.count - machines.length;
    if (remaining === 0) return;
    this.unmetTaskCounts.set(job.id, (this.unmetTaskCounts.get(job.id) ?? 0) + remaining);
    if (hasZoneConstraint(job)) this.tasksByZone.set(job.id, zoneConstraint.tasksByZone);
    for (const pool of pools) {
      const hosts = reserveMachines(pool.machines, { job, zoneConstraint, count: remaining });
      remaining -= hosts.length;
      this.addReservedHosts(hosts);
    }
  }

  /**
   * Places one task of the job, or its gang. Returns false if no machines have capacity; it then counts as unmet demand,
   * which uses up the limit like a start, so that no more is requested than may run.
   */
  private placeHeldJob({ segment, pools }: RankedSegment): boolean {
    const { job, count } = segment;
    const request = { job, pools, zoneConstraint: this.zoneConstraintOf(job), count };
    const placement = job.isGang ? placeGang(job, pools, this.packingOptions) : null;
    const machines = placement ? placedMachines(placement) : packTasks(request, this.packingOptions);
    this.addStarts(job, machines);
    if (machines.length > 0) return true;
    this.unmetTaskCounts.set(job.id, count);
    this.remainingLimits.subtract(job, count);
    return false;
  }

  /** True if the job has waited long enough to start in spite of the claims of others. */
  private isReleased({ team, age = 0 }: PendingJob): boolean {
    return this.releasedTeams.has(team) && age >= MAX_HOLD_TIME;
  }

  private remainingStarts(): number {
    return this.input.options.maxStarts - this.starts.length;
  }

  private addStarts(job: PendingJob, machines: readonly CandidateMachine[]): void {
    for (const { host } of machines) this.starts.push({ job: job.id, host });
    this.remainingLimits.subtract(job, machines.length);
  }

  private addReservedHosts(hosts: readonly string[]): void {
    for (const host of hosts) this.reservedHosts.add(host);
  }

  /** Returns the zone constraint of the job. Both segments of a job share one, which counts its tasks in each zone. */
  private zoneConstraintOf(job: PendingJob): ZoneConstraint {
    let zoneConstraint = this.zoneConstraints.get(job.id);
    if (!zoneConstraint) {
      zoneConstraint = ZoneConstraint.onMachines(job, this.input.machines);
      this.zoneConstraints.set(job.id, zoneConstraint);
    }
    return zoneConstraint;
  }
}
