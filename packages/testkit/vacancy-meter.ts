/** Measures for how long a role has no holder that can act, after a fault of its holder. */
import type { Micros } from '#wire';
import { DurationMeter } from './duration-meter.js';

/**
 * Why a holder can't act: its process is suspended ("freeze"), has crashed ("crash"), or is partitioned from the state
 * service ("cut").
 */
export type VacancyCause = 'freeze' | 'crash' | 'cut';

/** Measures vacancies, the periods in which a role has no holder that can act, by kind of role and cause. */
export class VacancyMeter {
  private readonly durations = new DurationMeter();
  /** Vacancies that have not ended. Keyed by role name. */
  private readonly openVacancies = new Map<string, { since: Micros; cause: VacancyCause }>();

  /** Records that the holder of this role can't act from now on. */
  vacancyBegan(role: string, cause: VacancyCause, now: Micros): void {
    if (!this.openVacancies.has(role)) this.openVacancies.set(role, { since: now, cause });
  }

  /** Drops a vacancy: the holder can act again under its earlier term, so the role was not vacant. */
  holderRecovered(role: string): void {
    this.openVacancies.delete(role);
  }

  /** Records that the role has a new holder. */
  vacancyEnded(role: string, now: Micros): void {
    const vacancy = this.openVacancies.get(role);
    if (!vacancy) return;
    this.openVacancies.delete(role);
    const kind = role === 'lead' ? 'lead' : 'shard';
    this.durations.record(`${kind} after ${vacancy.cause}`, now - vacancy.since);
  }

  /** Returns one line for each kind of role and cause: the number of vacancies, and percentiles in milliseconds. */
  report(): string[] {
    return this.durations.report();
  }

  /** Returns the longest vacancy of this kind of role, in milliseconds. */
  longest(kind: 'lead' | 'shard'): number {
    return this.durations.longest(`${kind} `);
  }

  /** Number of vacancies that have ended. */
  get count(): number {
    return this.durations.count;
  }
}
