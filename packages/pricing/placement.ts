/** Ranks segments, places their tasks on machines, and records the tasks for which no machine has capacity. */
import { RESOURCE_TOLERANCE } from './resources.js';
import { packTasks, type BinPackingOptions } from './bin-packing.js';
import { placeGang } from './gang-placement.js';
import { isFeasible, type ShapePool } from './shape-pools.js';
import { type Market, utility } from './price-adjustment.js';
import { reserveMachines } from './reservation.js';
import type { Segment } from './segments.js';
import type { CandidateMachine, PricingRoundInput, PricingRoundResult, PendingJob } from './types.js';
import { ZoneConstraint } from './zone-constraint.js';

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
  return placer.result(market.pools, segments);
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

/** Returns the number of pending tasks that are in no segment, for each job that has such tasks. Keyed by job. */
function heldTaskCounts(
  jobs: readonly PendingJob[],
  segments: readonly Segment[],
): PricingRoundResult['heldTaskCounts'] {
  const held = new Map(jobs.map(({ id, pendingTaskCount }) => [id, pendingTaskCount]));
  for (const { job, count } of segments) held.set(job.id, (held.get(job.id) ?? 0) - count);
  return new Map([...held].filter(([, count]) => count > 0));
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
  private readonly zoneConstraints = new Map<string, ZoneConstraint>();
  private readonly packingOptions: BinPackingOptions;

  constructor(private readonly input: PricingRoundInput) {
    this.packingOptions = { random: input.random, choices: input.options.choices };
  }

  place(ranked: RankedSegment): void {
    if (ranked.segment.job.isGang) this.placeGang(ranked);
    else this.placeTasks(ranked);
  }

  result(pools: readonly ShapePool[], segments: readonly Segment[]): PricingRoundResult {
    const machines = pools.flatMap((pool) => pool.machines);
    return {
      starts: this.starts,
      prices: new Map(pools.map((pool) => [pool.shape, pool.price])),
      unmetTaskCounts: this.unmetTaskCounts,
      heldTaskCounts: heldTaskCounts(this.input.jobs, segments),
      preferredZones: this.preferredZones,
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
    for (const pool of pools) {
      const hosts = reserveMachines(pool.machines, { job, zoneConstraint, count: remaining });
      remaining -= hosts.length;
      this.addReservedHosts(hosts);
    }
  }

  private remainingStarts(): number {
    return this.input.options.maxStarts - this.starts.length;
  }

  private addStarts(job: PendingJob, machines: readonly CandidateMachine[]): void {
    for (const { host } of machines) this.starts.push({ job: job.id, host });
  }

  private addReservedHosts(hosts: readonly string[]): void {
    for (const host of hosts) this.reservedHosts.add(host);
  }

  /** Returns the zone constraint of the job. Both segments of a job share one, which counts its tasks in each zone. */
  private zoneConstraintOf(job: PendingJob): ZoneConstraint {
    let zoneConstraint = this.zoneConstraints.get(job.id);
    if (!zoneConstraint) {
      zoneConstraint = new ZoneConstraint(job, this.input.machines);
      this.zoneConstraints.set(job.id, zoneConstraint);
    }
    return zoneConstraint;
  }
}
