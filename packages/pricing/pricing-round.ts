/** One pricing round: prices every shape, then places pending tasks. */
import { placeSegments } from './placement.js';
import { poolByShape } from './shape-pools.js';
import { adjustPrices } from './price-adjustment.js';
import { segmentsWithinLimits } from './segments.js';
import type { PricingRoundInput, PricingRoundResult } from './types.js';

/**
 * Runs one round of the design. Pure but for the given randomness; the input stays as it is.
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
