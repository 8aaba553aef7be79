/** A pricing round: adjusts the prices of every shape, then places the pending tasks. */
import { placeSegments } from './placement.js';
import { poolByShape } from './shape-pools.js';
import { adjustPrices } from './price-adjustment.js';
import { segmentsWithinLimits } from './segments.js';
import type { PricingRoundInput, PricingRoundResult } from './types.js';

/**
 * Runs one pricing round: splits the pending tasks into segments, runs the price passes and places the segments. The
 * result depends on the input and its random numbers only. The input's machines and prices are not modified.
 */
export function runPricingRound(input: PricingRoundInput): PricingRoundResult {
  const { options } = input;
  const pools = poolByShape(input.machines, input.prices);
  const segments = segmentsWithinLimits(input, pools);
  const highestPriority = Math.max(1, ...segments.map((segment) => segment.priority));
  const market = { pools, highestPriority, options };
  for (let pass = 0; pass < options.passes; pass++) adjustPrices(segments, market);
  return placeSegments(input, segments, market);
}
