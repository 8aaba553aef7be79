/** One round of the design: prices every shape, then places what waits. */
import { RESOURCE_TOLERANCE, fits, noResources, countFitting, subtractResources } from './amounts.js';
import { packTasks } from './fill.js';
import { placeGang } from './gang.js';
import { type ShapePool, poolByShape } from './pools.js';
import { reserveMachines } from './reserve.js';
import type {
  Resources,
  PricingRoundInput,
  PricingOptions,
  PricingRoundResult,
  PendingJob,
} from './types.js';
import { ZoneConstraint } from './zone-rule.js';

/** Tasks of one job that rank alike: those within their team's guarantee, or those beyond it. */
interface Segment {
  job: PendingJob;
  priority: number;
  count: number;
}

/** Prices every shape, then places what waits: one round of the design. Pure but for the given randomness. */
export function runPricingRound(input: PricingRoundInput): PricingRoundResult {
  const pools = poolByShape(input.machines, input.prices);
  const segments = withinLimits(input, pools);
  const top = Math.max(1, ...segments.map((s) => s.priority));
  for (let pass = 0; pass < input.options.passes; pass++) movePrices(pools, segments, top, input.options);
  return place(input, pools, segments, top);
}

/**
 * Splits what waits into segments and leaves out what lies beyond its team's limit. A team's jobs come in
 * the order of their priority, equal ones in the order in which they were accepted. One that no machine up at
 * present suits keeps its claim only for as long as a machine takes to come: what it holds back for longer would
 * stand idle (docs/incidents/upgrade-132.md).
 */
function withinLimits(input: PricingRoundInput, pools: readonly ShapePool[]): Segment[] {
  const segments: Segment[] = [];
  const { gpuTaskWeight, guaranteeWeight } = input.options;
  const rank = (job: PendingJob): number => job.priority * (job.need.gpus > 0 ? 1 + gpuTaskWeight : 1);
  const top = Math.max(1, ...input.jobs.map(rank));
  for (const team of input.teams) {
    const left = {
      cpus: team.limit.cpus - team.used.cpus,
      gpus: team.limit.gpus - team.used.gpus,
      memGb: Infinity,
    };
    const safe = {
      cpus: team.guaranteed.cpus - team.used.cpus,
      gpus: team.guaranteed.gpus - team.used.gpus,
      memGb: Infinity,
    };
    const queue = input.jobs.filter((j) => j.team === team.name);
    queue.sort((a, b) => rank(b) - rank(a) || a.acceptanceOrder - b.acceptanceOrder);
    for (const job of queue) {
      const fitting = Math.min(job.pendingTasks, countFitting(job.need, left));
      const count = countable(job, fitting);
      const guaranteed = countable(job, Math.min(count, countFitting(job.need, safe)));
      if (job.isOverdue !== true || pools.some((pool) => allowed(job, pool))) {
        // A gang that the limit has no room for yet holds back what ranks lower: one by one it would never get any.
        subtractResources(left, job.need, job.isGang ? job.pendingTasks : count);
        subtractResources(safe, job.need, count);
      }
      if (guaranteed > 0) {
        segments.push({ job, priority: rank(job) + guaranteeWeight * top, count: guaranteed });
      }
      if (count > guaranteed) segments.push({ job, priority: rank(job), count: count - guaranteed });
    }
  }
  return segments;
}

/** How many of so many fitting tasks are of use: of a gang all or none. */
function countable(job: PendingJob, fitting: number): number {
  return job.isGang && fitting < job.pendingTasks ? 0 : fitting;
}

function allowed(job: PendingJob, pool: ShapePool): boolean {
  if (pool.spot && !job.allowsSpot) return false;
  if (job.machineTypes && !job.machineTypes.includes(pool.machineType)) return false;
  return fits(job.need, pool.machines[0]?.total ?? noResources());
}

function utility(segment: Segment, pool: ShapePool, top: number, options: PricingOptions): number {
  const { need } = segment.job;
  const { price } = pool;
  const onGpuShape = need.gpus === 0 && pool.total.gpus > 0 ? options.gpuShapeCost * top : 0;
  return (
    segment.priority - (price.cpu * need.cpus + price.gpu * need.gpus + price.mem * need.memGb) - onGpuShape
  );
}

/**
 * One price pass: every task picks its best shape, and each price follows the gap on its shape. A step is so large
 * that a whole machine's worth of a resource moves by the same part of top priority, and it stays within that
 * while the first machines of a shape come up and a hundred times as much is asked as there is. Prices far above
 * all that anyone would pay come down only as room comes free, which on a full fleet takes minutes; until then
 * tasks would rank by the size of their demand alone, and urgent ones that need a whole machine come last.
 */
function movePrices(pools: ShapePool[], segments: Segment[], top: number, options: PricingOptions): void {
  const chosen = new Map<ShapePool, Resources>(pools.map((p) => [p, noResources()]));
  for (const segment of segments) {
    let best: ShapePool | null = null;
    let bestUtility = 0;
    for (const pool of pools) {
      if (!allowed(segment.job, pool)) continue;
      const u = utility(segment, pool, top, options);
      if (u > bestUtility) [best, bestUtility] = [pool, u];
    }
    if (best) subtractResources(chosen.get(best) ?? noResources(), segment.job.need, -segment.count);
  }
  for (const pool of pools) {
    const demand = chosen.get(pool) ?? noResources();
    const move = (price: number, want: number, room: number, total: number): number => {
      if (total <= 0) return 0;
      const step = (options.step * top * pool.machines.length) / total;
      return Math.max(0, price + step * Math.min(1, (want - room) / total));
    };
    pool.price.cpu = move(pool.price.cpu, demand.cpus, pool.free.cpus, pool.total.cpus);
    pool.price.gpu = move(pool.price.gpu, demand.gpus, pool.free.gpus, pool.total.gpus);
    pool.price.mem = move(pool.price.mem, demand.memGb, pool.free.memGb, pool.total.memGb);
  }
}

/** A segment with the shapes open to it, best first, and its net utility on the best. */
interface RankedSegment {
  segment: Segment;
  open: ShapePool[];
  best: number;
}

/**
 * The order of placement: by net utility for each task. A gang is one candidate with the summed demand of its tasks;
 * of candidates that rank alike the larger one goes first, since it is the harder to place.
 */
function rankSegments(
  pools: readonly ShapePool[],
  segments: readonly Segment[],
  top: number,
  options: PricingOptions,
): RankedSegment[] {
  const ranked = segments.map((segment) => {
    const open = pools
      .filter((pool) => allowed(segment.job, pool))
      .map((pool) => ({ pool, u: utility(segment, pool, top, options) }))
      .sort((a, b) =>
        Math.abs(b.u - a.u) > RESOURCE_TOLERANCE
          ? b.u - a.u
          : a.pool.hourlyCostPerCpu - b.pool.hourlyCostPerCpu,
      );
    return { segment, open: open.map(({ pool }) => pool), best: open[0]?.u ?? -Infinity };
  });
  const gangSize = ({ job }: Segment): number => (job.isGang ? job.pendingTasks : 0);
  return ranked.sort(
    (a, b) =>
      b.best - a.best ||
      gangSize(b.segment) - gangSize(a.segment) ||
      a.segment.job.acceptanceOrder - b.segment.job.acceptanceOrder,
  );
}

function place(
  input: PricingRoundInput,
  pools: ShapePool[],
  segments: Segment[],
  top: number,
): PricingRoundResult {
  const { options, random } = input;
  const starts: PricingRoundResult['starts'] = [];
  const unmet = new Map<string, number>();
  const kept = new Set<string>();
  const gatheringZones = new Map<string, string>();
  const zones = new Map<string, ZoneConstraint>();
  const fillOptions = { random, choices: options.choices };
  for (const { segment, open } of rankSegments(pools, segments, top, options)) {
    const { job, count } = segment;
    const startsLeft = options.maxStarts - starts.length;
    if (job.isGang) {
      // One that is larger than a whole round's starts has a round to itself.
      if (count > startsLeft && starts.length > 0) continue;
      const placement = placeGang(job, open, fillOptions);
      if (placement.kind === 'placed') {
        for (const { host } of placement.machines) starts.push({ job: job.id, host });
        continue;
      }
      unmet.set(job.id, placement.missing);
      if (placement.zone !== null) gatheringZones.set(job.id, placement.zone);
      for (const host of placement.kept) kept.add(host);
      continue;
    }
    let rule = zones.get(job.id);
    if (!rule) zones.set(job.id, (rule = new ZoneConstraint(job, input.machines)));
    const machines = packTasks(job, open, rule, Math.min(count, Math.max(0, startsLeft)), fillOptions);
    for (const { host } of machines) starts.push({ job: job.id, host });
    let left = count - machines.length;
    if (left === 0) continue;
    unmet.set(job.id, (unmet.get(job.id) ?? 0) + left);
    for (const pool of open) {
      const hosts = reserveMachines(pool.machines, job, rule, left);
      left -= hosts.length;
      for (const host of hosts) kept.add(host);
    }
  }
  const left = new Map(pools.flatMap((p) => p.machines.map((m) => [m.host, m.free])));
  const prices = new Map(pools.map((p) => [p.shape, p.price]));
  return { starts, prices, unmet, gatheringZones, free: left, reservedHosts: kept };
}
