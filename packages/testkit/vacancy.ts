/** How long a duty stays without a holder that can act, after something happened to the one it had. */
import { build, type Histogram } from 'hdr-histogram-js';
import { type Micros, MS } from '#wire';

export type VacancyCause = 'freeze' | 'crash' | 'cut';

const HIGHEST_MS = 600_000;
const PERCENTILES = [50, 90, 99, 100];

export class VacancyMeter {
  private readonly histograms = new Map<string, Histogram>();
  private readonly open = new Map<string, { since: Micros; cause: VacancyCause }>();

  /** The holder of this duty can't act from now on. */
  began(duty: string, cause: VacancyCause, now: Micros): void {
    if (!this.open.has(duty)) this.open.set(duty, { since: now, cause });
  }

  /** The holder can act again, under the term that it had: nothing was vacant. */
  recovered(duty: string): void {
    this.open.delete(duty);
  }

  /** The duty has a new holder. */
  ended(duty: string, now: Micros): void {
    const vacancy = this.open.get(duty);
    if (!vacancy) return;
    this.open.delete(duty);
    const kind = duty === 'lead' ? 'lead' : 'share';
    this.histogram(`${kind} after ${vacancy.cause}`).recordValue(Math.round((now - vacancy.since) / MS));
  }

  /** One line for each kind of duty and cause: the number of vacancies and their percentiles in milliseconds. */
  report(): string[] {
    return [...this.histograms].sort().map(([name, histogram]) => {
      const values = PERCENTILES.map((p) => `p${p} ${histogram.getValueAtPercentile(p)} ms`);
      return `${name}: ${histogram.totalCount} vacancies, ${values.join(', ')}`;
    });
  }

  /** The longest vacancy of this kind of duty, in milliseconds. */
  longest(kind: 'lead' | 'share'): number {
    const ours = [...this.histograms].filter(([name]) => name.startsWith(`${kind} `));
    return Math.max(0, ...ours.map(([, histogram]) => histogram.maxValue));
  }

  get count(): number {
    return [...this.histograms.values()].reduce((sum, histogram) => sum + histogram.totalCount, 0);
  }

  private histogram(name: string): Histogram {
    let histogram = this.histograms.get(name);
    if (!histogram) {
      histogram = build({ highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: 3 });
      this.histograms.set(name, histogram);
    }
    return histogram;
  }
}
