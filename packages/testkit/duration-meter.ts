/** Distributions of durations. */
import { build, type Histogram } from 'hdr-histogram-js';
import { type Micros, MS } from '#wire';

const MAX_DURATION_MS = 600_000;
const PERCENTILES = [50, 90, 99, 100];

/** Collects durations, each under the name of what was measured. */
export class DurationMeter {
  /** Histograms in milliseconds. Keyed by name. */
  private readonly histograms = new Map<string, Histogram>();

  record(name: string, duration: Micros): void {
    let histogram = this.histograms.get(name);
    if (!histogram) {
      histogram = build({ highestTrackableValue: MAX_DURATION_MS, numberOfSignificantValueDigits: 3 });
      this.histograms.set(name, histogram);
    }
    histogram.recordValue(Math.round(duration / MS));
  }

  /** Returns one line for each name: the number of durations and their percentiles in milliseconds. */
  report(): string[] {
    return [...this.histograms].sort().map(([name, histogram]) => {
      const values = PERCENTILES.map((p) => `p${p} ${histogram.getValueAtPercentile(p)} ms`);
      return `${name}: ${histogram.totalCount}, ${values.join(', ')}`;
    });
  }

  /** Returns the longest duration whose name starts with this prefix, in milliseconds; 0 if there is none. */
  longest(prefix: string): number {
    const matching = [...this.histograms].filter(([name]) => name.startsWith(prefix));
    return Math.max(0, ...matching.map(([, histogram]) => histogram.maxValue));
  }

  /** Number of durations under all names. */
  get count(): number {
    return [...this.histograms.values()].reduce((sum, histogram) => sum + histogram.totalCount, 0);
  }
}
