/** Prices of the shapes' resources, and what a placement is worth at them. */
import { noResources, subtractResources } from './resources.js';
import { isFeasible, type ShapePool } from './shape-pools.js';
import type { Segment } from './segments.js';
import type { Resources, PricingOptions } from './types.js';

/** What utilities and price steps of a round are computed from. */
export interface Market {
  readonly pools: readonly ShapePool[];
  /** The highest priority of any segment: price steps and surcharges are parts of it. */
  readonly highestPriority: number;
  readonly options: PricingOptions;
}

/** Each priced resource: its field in prices, and in amounts. */
const RESOURCES = [
  { price: 'cpu', amount: 'cpus' },
  { price: 'gpu', amount: 'gpus' },
  { price: 'mem', amount: 'memGb' },
] as const;

/** Net utility of a task of the segment on the shape: its priority less its demand at the present prices. */
export function utility(segment: Segment, pool: ShapePool, market: Market): number {
  const { taskResources } = segment.job;
  const { price } = pool;
  const isGpuWasted = taskResources.gpus === 0 && pool.total.gpus > 0;
  const gpuShapeCost = isGpuWasted ? market.options.gpuShapeCost * market.highestPriority : 0;
  const cost =
    price.cpu * taskResources.cpus + price.gpu * taskResources.gpus + price.mem * taskResources.memGb;
  return segment.priority - cost - gpuShapeCost;
}

/**
 * One price pass: every task picks its best shape, and each price follows the gap on its shape. A step is so large
 * that a whole machine's worth of a resource moves by the same part of the highest priority, and it stays within that
 * while the first machines of a shape come up and the demand is a hundred times the capacity. Prices far
 * above all that any task would pay come down only as capacity becomes free, which on a full fleet takes minutes; until then
 * tasks would rank by the size of their demand alone, and urgent ones that need a whole machine would come last.
 */
export function adjustPrices(segments: readonly Segment[], market: Market): void {
  const demands = demandByPool(segments, market);
  for (const pool of market.pools) adjustPoolPrices(pool, demands.get(pool) ?? noResources(), market);
}

/** The demand on each shape if every task goes where its utility is highest, if that is above zero. */
function demandByPool(segments: readonly Segment[], market: Market): Map<ShapePool, Resources> {
  const demands = new Map<ShapePool, Resources>(market.pools.map((pool) => [pool, noResources()]));
  for (const segment of segments) {
    const best = bestPool(segment, market);
    if (best)
      subtractResources(demands.get(best) ?? noResources(), segment.job.taskResources, -segment.count);
  }
  return demands;
}

function bestPool(segment: Segment, market: Market): ShapePool | null {
  let best: ShapePool | null = null;
  let bestUtility = 0;
  for (const pool of market.pools) {
    if (!isFeasible(segment.job, pool)) continue;
    const value = utility(segment, pool, market);
    if (value <= bestUtility) continue;
    best = pool;
    bestUtility = value;
  }
  return best;
}

function adjustPoolPrices(pool: ShapePool, demand: Resources, { highestPriority, options }: Market): void {
  for (const { price, amount } of RESOURCES) {
    const total = pool.total[amount];
    if (total <= 0) {
      pool.price[price] = 0;
      continue;
    }
    const step = (options.step * highestPriority * pool.machines.length) / total;
    const gap = Math.min(1, (demand[amount] - pool.free[amount]) / total);
    pool.price[price] = Math.max(0, pool.price[price] + step * gap);
  }
}
