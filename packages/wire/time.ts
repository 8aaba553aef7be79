/** Times and durations, and the clock that they are measured by. */

/** A time or duration in whole microseconds. */
export type Micros = number;

/** One millisecond. */
export const MS: Micros = 1_000;

/** One second. */
export const SECOND: Micros = 1_000_000;

/** Converts seconds, as messages and settings give them, to the nearest whole microsecond. */
export function fromSeconds(seconds: number): Micros {
  return Math.round(seconds * SECOND);
}

/** A callback that was scheduled. */
export interface Timer {
  /** Does nothing once the callback has run. */
  cancel(): void;
}

/** All time comes through this, so that tests can run on a simulated clock. */
export interface Clock {
  /** Steady time. */
  now(): Micros;
  /** Time of day, only as exact as the settings' `time_bound_ms`. */
  wall(): Micros;
  /** Runs the callback once after the delay. */
  after(delay: Micros, callback: () => void): Timer;
}

/** Resolves after the delay. */
export function sleep(clock: Clock, delay: Micros): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delay, resolve);
  });
}
