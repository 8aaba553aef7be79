/** One round of the design: prices every shape, then places what waits. */
import { EPS, fits, nothing, slots, take } from './amounts.js';
import { fill } from './fill.js';
import { placeGang } from './gang.js';
import { type Pool, poolByShape } from './pools.js';
import { reserve } from './reserve.js';
import type { Amounts, RoundInput, RoundOptions, RoundResult, WaitingJob } from './types.js';
import { ZoneRule } from './zone-rule.js';

/** Tasks of one job that rank alike: those within their team's guarantee, or those beyond it. */
interface Segment {
  job: WaitingJob;
  priority: number;
  count: number;
}

/** Prices every shape, then places what waits: one round of the design. Pure but for the given randomness. */
export function playRound(input: RoundInput): RoundResult {
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
function withinLimits(input: RoundInput, pools: readonly Pool[]): Segment[] {
  const segments: Segment[] = [];
  const { gpuTaskWeight, guaranteeWeight } = input.options;
  const rank = (job: WaitingJob): number => job.priority * (job.need.gpus > 0 ? 1 + gpuTaskWeight : 1);
  const top = Math.max(1, ...input.jobs.map(rank));
  for (const team of input.teams) {
    const left = {
      cpus: team.most.cpus - team.used.cpus,
      gpus: team.most.gpus - team.used.gpus,
      memGb: Infinity,
    };
    const safe = {
      cpus: team.guaranteed.cpus - team.used.cpus,
      gpus: team.guaranteed.gpus - team.used.gpus,
      memGb: Infinity,
    };
    const queue = input.jobs.filter((j) => j.team === team.name);
    queue.sort((a, b) => rank(b) - rank(a) || a.order - b.order);
    for (const job of queue) {
      const fitting = Math.min(job.waiting, slots(job.need, left));
      const count = countable(job, fitting);
      const guaranteed = countable(job, Math.min(count, slots(job.need, safe)));
      if (job.isOverdue !== true || pools.some((pool) => allowed(job, pool))) {
        // A gang that the limit has no room for yet holds back what ranks lower: one by one it would never get any.
        take(left, job.need, job.gang ? job.waiting : count);
        take(safe, job.need, count);
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
function countable(job: WaitingJob, fitting: number): number {
  return job.gang && fitting < job.waiting ? 0 : fitting;
}

function allowed(job: WaitingJob, pool: Pool): boolean {
  if (pool.spot && !job.spot) return false;
  if (job.machineTypes && !job.machineTypes.includes(pool.machineType)) return false;
  return fits(job.need, pool.machines[0]?.total ?? nothing());
}

function utility(segment: Segment, pool: Pool, top: number, options: RoundOptions): number {
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
function movePrices(pools: Pool[], segments: Segment[], top: number, options: RoundOptions): void {
  const chosen = new Map<Pool, Amounts>(pools.map((p) => [p, nothing()]));
  for (const segment of segments) {
    let best: Pool | null = null;
    let bestUtility = 0;
    for (const pool of pools) {
      if (!allowed(segment.job, pool)) continue;
      const u = utility(segment, pool, top, options);
      if (u > bestUtility) [best, bestUtility] = [pool, u];
    }
    if (best) take(chosen.get(best) ?? nothing(), segment.job.need, -segment.count);
  }
  for (const pool of pools) {
    const demand = chosen.get(pool) ?? nothing();
    const move = (price: number, want: number, room: number, total: number): number => {
      if (total <= 0) return 0;
      const step = (options.step * top * pool.machines.length) / total;
      return Math.max(0, price + step * Math.min(1, (want - room) / total));
    };
    pool.price.cpu = move(pool.price.cpu, demand.cpus, pool.room.cpus, pool.total.cpus);
    pool.price.gpu = move(pool.price.gpu, demand.gpus, pool.room.gpus, pool.total.gpus);
    pool.price.mem = move(pool.price.mem, demand.memGb, pool.room.memGb, pool.total.memGb);
  }
}

/** A segment with the shapes open to it, best first, and its net utility on the best. */
interface RankedSegment {
  segment: Segment;
  open: Pool[];
  best: number;
}

/**
 * The order of placement: by net utility for each task. A gang is one candidate with the summed demand of its tasks;
 * of candidates that rank alike the larger one goes first, since it is the harder to place.
 */
function rankSegments(
  pools: readonly Pool[],
  segments: readonly Segment[],
  top: number,
  options: RoundOptions,
): RankedSegment[] {
  const ranked = segments.map((segment) => {
    const open = pools
      .filter((pool) => allowed(segment.job, pool))
      .map((pool) => ({ pool, u: utility(segment, pool, top, options) }))
      .sort((a, b) => (Math.abs(b.u - a.u) > EPS ? b.u - a.u : a.pool.upkeep - b.pool.upkeep));
    return { segment, open: open.map(({ pool }) => pool), best: open[0]?.u ?? -Infinity };
  });
  const gangSize = ({ job }: Segment): number => (job.gang ? job.waiting : 0);
  return ranked.sort(
    (a, b) =>
      b.best - a.best ||
      gangSize(b.segment) - gangSize(a.segment) ||
      a.segment.job.order - b.segment.job.order,
  );
}

function place(input: RoundInput, pools: Pool[], segments: Segment[], top: number): RoundResult {
  const { options, random } = input;
  const starts: RoundResult['starts'] = [];
  const unmet = new Map<string, number>();
  const kept = new Set<string>();
  const gatheringZones = new Map<string, string>();
  const zones = new Map<string, ZoneRule>();
  const fillOptions = { random, choices: options.choices };
  for (const { segment, open } of rankSegments(pools, segments, top, options)) {
    const { job, count } = segment;
    const startsLeft = options.mostStarts - starts.length;
    if (job.gang) {
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
    if (!rule) zones.set(job.id, (rule = new ZoneRule(job, input.machines)));
    const machines = fill(job, open, rule, Math.min(count, Math.max(0, startsLeft)), fillOptions);
    for (const { host } of machines) starts.push({ job: job.id, host });
    let left = count - machines.length;
    if (left === 0) continue;
    unmet.set(job.id, (unmet.get(job.id) ?? 0) + left);
    for (const pool of open) {
      const hosts = reserve(pool.machines, job, rule, left);
      left -= hosts.length;
      for (const host of hosts) kept.add(host);
    }
  }
  const left = new Map(pools.flatMap((p) => p.machines.map((m) => [m.host, m.room])));
  const prices = new Map(pools.map((p) => [p.shape, p.price]));
  return { starts, prices, unmet, gatheringZones, left, kept };
}
