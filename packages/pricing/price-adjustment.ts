/** Adjusts the prices of each shape's resources to demand, and computes the net utility of a placement at them. */
import { noResources, subtractResources } from './resources.js';
import { isFeasible, type ShapePool } from './shape-pools.js';
import type { Segment } from './segments.js';
import type { Resources, PricingOptions } from './types.js';

/** Values that the utilities and price steps of a round are computed from. */
export interface Market {
  readonly pools: readonly ShapePool[];
  /** Highest priority of any segment. Price steps and surcharges are fractions of it. */
  readonly highestPriority: number;
  readonly options: PricingOptions;
}

/** Priced resources: the field of each in {@link ShapePool.price} and in {@link Resources}. */
const RESOURCES = [
  { price: 'cpu', amount: 'cpus' },
  { price: 'gpu', amount: 'gpus' },
  { price: 'mem', amount: 'memGb' },
] as const;

/** Returns the net utility of one task of the segment on the shape: its priority minus the price of its resources. */
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
 * Runs one price pass: every task picks its best shape, and each price moves by the gap between demand and free
 * capacity on its shape. The step is scaled so that the price of a whole machine's worth of any resource moves by the
 * same fraction of the highest priority. A price never rises by more than that in one pass, even while the first
 * machines of a shape come up and demand is a hundred times the capacity. Without this bound prices would rise far
 * above what any task would pay, and fall only as capacity becomes free, which takes minutes on a full fleet. Until
 * then tasks would be ranked by the size of their demand alone, and urgent tasks that need a whole machine would be
 * placed last.
 */
export function adjustPrices(segments: readonly Segment[], market: Market): void {
  const demands = demandByPool(segments, market);
  for (const pool of market.pools) adjustPoolPrices(pool, demands.get(pool) ?? noResources(), market);
}

/** Returns the demand on each shape if every task picks the shape of its highest utility, provided it is above zero. */
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
