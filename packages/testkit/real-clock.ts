/** The clock of the simulated services in trials with real processes. */
import { hrtime } from 'node:process';
import { type Micros, MS, type Timer } from '#wire';
import type { SimulationClock } from './sim-clock.js';

/** The monotonic time of the machine, with the interface of the simulated clock. */
export class RealClock implements SimulationClock {
  private readonly timers = new Set<NodeJS.Timeout>();

  get time(): Micros {
    return Number(hrtime.bigint() / 1000n);
  }

  at(delay: Micros, run: () => void): Timer {
    const timer = setTimeout(
      () => {
        this.timers.delete(timer);
        run();
      },
      Math.max(0, delay / MS),
    );
    this.timers.add(timer);
    return {
      cancel: () => {
        this.timers.delete(timer);
        clearTimeout(timer);
      },
    };
  }

  /** Cancels all timers. */
  stop(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }
}

/** Resolves after the given milliseconds of real time. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
