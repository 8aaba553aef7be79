/** A sample machine and sample options for tests of pricing rounds. */
import type { CandidateMachine, PricingOptions } from '#pricing';

/** Options with which all price passes have an effect and no round is cut short. */
export const SAMPLE_PRICING_OPTIONS: PricingOptions = {
  passes: 30,
  step: 0.1,
  gpuShapeCost: 0.5,
  gpuTaskWeight: 0.5,
  guaranteeWeight: 0.5,
  maxStarts: 1000,
  choices: 4,
};

/** Returns an empty on-demand machine with 4 CPUs in the east. */
export function sampleCandidateMachine(
  host: string,
  overrides: Partial<CandidateMachine> = {},
): CandidateMachine {
  const total = { cpus: 4, gpus: 0, memGb: 16 };
  return {
    host,
    machineType: 'small',
    zone: 'east',
    spot: false,
    total,
    free: { ...total },
    cachedImages: [],
    busyFor: () => Infinity,
    nextHeartbeatIn: 0,
    hourlyCostPerCpu: 1,
    ...overrides,
  };
}
