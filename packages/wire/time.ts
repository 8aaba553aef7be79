/** Units of time, and the interface of the clock. */

/** A time or duration in whole microseconds. */
export type Micros = number;

/** One millisecond. */
export const MS: Micros = 1_000;

/** One second. */
export const SECOND: Micros = 1_000_000;

/** Converts seconds, the unit of messages and settings, to the nearest whole microsecond. */
export function fromSeconds(seconds: number): Micros {
  return Math.round(seconds * SECOND);
}

/** A scheduled callback. */
export interface Timer {
  /** Cancels the callback. Has no effect once the callback has run. */
  cancel(): void;
}

/** The only source of time in the service, so that tests can run on a simulated clock. */
export interface Clock {
  /** Returns the monotonic time, which is comparable only with other values of the same clock. */
  now(): Micros;
  /** Returns the wall-clock time since the Unix epoch. The setting `time_bound_ms` is the upper bound of its error. */
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
