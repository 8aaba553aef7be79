/** How long a role stays without a holder that can act, after something happened to the one it had. */
import type { Micros } from '#wire';
import { DurationMeter } from './duration-meter.js';

/** What kept a holder from acting. */
export type VacancyCause = 'freeze' | 'crash' | 'cut';

/** Measures vacancies by kind of role and cause. */
export class VacancyMeter {
  private readonly durations = new DurationMeter();
  private readonly openVacancies = new Map<string, { since: Micros; cause: VacancyCause }>();

  /** The holder of this role can't act from now on. */
  began(role: string, cause: VacancyCause, now: Micros): void {
    if (!this.openVacancies.has(role)) this.openVacancies.set(role, { since: now, cause });
  }

  /** The holder can act again, under the term that it had: nothing was vacant. */
  recovered(role: string): void {
    this.openVacancies.delete(role);
  }

  /** The role has a new holder. */
  ended(role: string, now: Micros): void {
    const vacancy = this.openVacancies.get(role);
    if (!vacancy) return;
    this.openVacancies.delete(role);
    const kind = role === 'lead' ? 'lead' : 'shard';
    this.durations.record(`${kind} after ${vacancy.cause}`, now - vacancy.since);
  }

  /** One line for each kind of role and cause: the number of vacancies and their percentiles in milliseconds. */
  report(): string[] {
    return this.durations.report();
  }

  /** The longest vacancy of this kind of role, in milliseconds. */
  longest(kind: 'lead' | 'shard'): number {
    return this.durations.longest(`${kind} `);
  }

  get count(): number {
    return this.durations.count;
  }
}
