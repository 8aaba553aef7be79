/** Places ranked segments on machines, and notes what found no room. */
import { EPS } from './amounts.js';
import { fill, type FillOptions } from './fill.js';
import { placeGang } from './gang.js';
import { isFeasible, type Pool } from './pools.js';
import { type Market, utility } from './prices.js';
import { reserve } from './reserve.js';
import type { Segment } from './segments.js';
import type { RoomyMachine, RoundInput, RoundResult, WaitingJob } from './types.js';
import { ZoneRule } from './zone-rule.js';

/** A segment with the shapes feasible for it, best first, and its net utility on the best. */
interface RankedSegment {
  readonly segment: Segment;
  readonly pools: readonly Pool[];
  readonly bestUtility: number;
}

/** Places the segments, the one of highest net utility first, and takes the room of each from the market's pools. */
export function placeSegments(input: RoundInput, segments: readonly Segment[], market: Market): RoundResult {
  const placer = new RoundPlacer(input);
  for (const ranked of rankSegments(segments, market)) placer.place(ranked);
  return placer.result(market.pools);
}

/**
 * The order of placement: by net utility for each task. A gang is one candidate with the summed demand of its tasks;
 * of candidates that rank alike the larger one goes first, since it is the harder to place.
 */
function rankSegments(segments: readonly Segment[], market: Market): RankedSegment[] {
  const gangSize = ({ job }: Segment): number => (job.gang ? job.waiting : 0);
  return segments
    .map((segment) => rankPools(segment, market))
    .sort(
      (a, b) =>
        b.bestUtility - a.bestUtility ||
        gangSize(b.segment) - gangSize(a.segment) ||
        a.segment.job.order - b.segment.job.order,
    );
}

function rankPools(segment: Segment, market: Market): RankedSegment {
  const ranked = market.pools
    .filter((pool) => isFeasible(segment.job, pool))
    .map((pool) => ({ pool, value: utility(segment, pool, market) }))
    .sort((a, b) => (Math.abs(b.value - a.value) > EPS ? b.value - a.value : a.pool.upkeep - b.pool.upkeep));
  const pools = ranked.map(({ pool }) => pool);
  return { segment, pools, bestUtility: ranked[0]?.value ?? -Infinity };
}

/** Places segment after segment, and holds what the round has decided so far. */
class RoundPlacer {
  private readonly starts: RoundResult['starts'] = [];
  private readonly unmet = new Map<string, number>();
  private readonly kept = new Set<string>();
  private readonly gatheringZones = new Map<string, string>();
  private readonly zoneRules = new Map<string, ZoneRule>();
  private readonly fillOptions: FillOptions;

  constructor(private readonly input: RoundInput) {
    this.fillOptions = { random: input.random, choices: input.options.choices };
  }

  place(ranked: RankedSegment): void {
    if (ranked.segment.job.gang) this.placeGang(ranked);
    else this.placeTasks(ranked);
  }

  result(pools: readonly Pool[]): RoundResult {
    const machines = pools.flatMap((pool) => pool.machines);
    return {
      starts: this.starts,
      prices: new Map(pools.map((pool) => [pool.shape, pool.price])),
      unmet: this.unmet,
      gatheringZones: this.gatheringZones,
      left: new Map(machines.map((machine) => [machine.host, machine.room])),
      kept: this.kept,
    };
  }

  private placeGang({ segment, pools }: RankedSegment): void {
    const { job, count } = segment;
    // One that is larger than a whole round's starts has a round to itself.
    if (count > this.startsLeft() && this.starts.length > 0) return;
    const placement = placeGang(job, pools, this.fillOptions);
    if (placement.kind === 'placed') {
      this.start(job, placement.machines);
      return;
    }
    this.unmet.set(job.id, placement.missing);
    if (placement.zone !== null) this.gatheringZones.set(job.id, placement.zone);
    this.keep(placement.kept);
  }

  private placeTasks({ segment, pools }: RankedSegment): void {
    const { job } = segment;
    const rule = this.zoneRuleOf(job);
    const count = Math.min(segment.count, Math.max(0, this.startsLeft()));
    const machines = fill({ job, pools, rule, count }, this.fillOptions);
    this.start(job, machines);
    let left = segment.count - machines.length;
    if (left === 0) return;
    this.unmet.set(job.id, (this.unmet.get(job.id) ?? 0) + left);
    for (const pool of pools) {
      const hosts = reserve(pool.machines, { job, rule, count: left });
      left -= hosts.length;
      this.keep(hosts);
    }
  }

  private startsLeft(): number {
    return this.input.options.mostStarts - this.starts.length;
  }

  private start(job: WaitingJob, machines: readonly RoomyMachine[]): void {
    for (const { host } of machines) this.starts.push({ job: job.id, host });
  }

  private keep(hosts: readonly string[]): void {
    for (const host of hosts) this.kept.add(host);
  }

  /** One rule for each job: its two segments share what is placed in each zone. */
  private zoneRuleOf(job: WaitingJob): ZoneRule {
    let rule = this.zoneRules.get(job.id);
    if (!rule) {
      rule = new ZoneRule(job, this.input.machines);
      this.zoneRules.set(job.id, rule);
    }
    return rule;
  }
}
