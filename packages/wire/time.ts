/** Times and durations inside the code are whole microseconds. */
export type Micros = number;

export const MS: Micros = 1_000;
export const SECOND: Micros = 1_000_000;

export function fromSeconds(seconds: number): Micros {
  return Math.round(seconds * SECOND);
}

export interface Timer {
  cancel(): void;
}

/** All time comes through this, so that tests can run on a simulated clock. */
export interface Clock {
  /** Steady time. */
  now(): Micros;
  /** Time of day, only as exact as the settings' `time_bound_ms`. */
  wall(): Micros;
  after(delay: Micros, run: () => void): Timer;
}

export function sleep(clock: Clock, delay: Micros): Promise<void> {
  return new Promise((done) => {
    clock.after(delay, done);
  });
}
