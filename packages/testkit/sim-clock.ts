/** Simulated time: a queue of events that a test executes as fast as the machine allows. */
import type { Clock, Micros, Timer } from '#wire';

interface ScheduledEvent {
  at: Micros;
  order: number;
  run: () => void;
}

/**
 * Delivers a step (a timer, a response or a request) to a simulated process. It runs the step at once if the process
 * runs, after the process is resumed if it is suspended, and never if the process has ended.
 */
export type Gate = (step: () => void) => void;

/** The clock of the simulated services: simulated time, or the monotonic time of the machine. */
export interface SimulationClock {
  /** The current time. */
  readonly time: Micros;
  /** Schedules a callback that runs after the delay. */
  at(delay: Micros, run: () => void): Timer;
}

/** Simulated time. Events run one by one, ordered by time; what an event triggers settles before the next event. */
export class SimClock implements SimulationClock {
  time: Micros = 1_000_000;
  /** A binary heap; the earliest event is at index 0. */
  private heap: ScheduledEvent[] = [];
  /** Number of events scheduled so far; events at the same time run in the order in which they were scheduled. */
  private order = 0;

  at(delay: Micros, run: () => void): Timer {
    const event = { at: this.time + Math.max(0, Math.round(delay)), order: this.order++, run };
    this.push(event);
    return {
      cancel: () => {
        event.run = () => undefined;
      },
    };
  }

  /**
   * Creates the clock of one simulated process. Its monotonic clock drifts by the given part, and its wall clock is off
   * by the given offset. Its timers end with the process. Both clocks continue while the process is suspended.
   */
  createProcessClock(gate: Gate, drift: number, wallClockOffset: Micros): Clock {
    return {
      now: () => Math.floor(this.time * (1 + drift)),
      wall: () => 1_790_000_000_000_000 + this.time + wallClockOffset,
      after: (delay, run) => {
        let cancelled = false;
        const timer = this.at(delay / (1 + drift), () => {
          gate(() => {
            if (!cancelled) run();
          });
        });
        return {
          cancel: () => {
            cancelled = true;
            timer.cancel();
          },
        };
      },
    };
  }

  /** Runs all events up to `until`. Calls `afterEach` after each event, once all that it triggered has settled. */
  async run(until: Micros, afterEach: () => void): Promise<void> {
    for (;;) {
      const next = this.heap[0];
      if (!next || next.at > until) break;
      this.pop();
      this.time = Math.max(this.time, next.at);
      next.run();
      // Promises settle in microtasks; one turn of the event loop lets all of them run.
      await new Promise<void>((resolve) => setImmediate(resolve));
      afterEach();
    }
    this.time = until;
  }

  private isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private push(event: ScheduledEvent): void {
    const heap = this.heap;
    let i = heap.push(event) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!this.isBefore(event, heap[parent] as ScheduledEvent)) break;
      heap[i] = heap[parent] as ScheduledEvent;
      i = parent;
    }
    heap[i] = event;
  }

  private pop(): void {
    const heap = this.heap;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= heap.length) break;
      if (
        child + 1 < heap.length &&
        this.isBefore(heap[child + 1] as ScheduledEvent, heap[child] as ScheduledEvent)
      )
        child++;
      if (!this.isBefore(heap[child] as ScheduledEvent, last)) break;
      heap[i] = heap[child] as ScheduledEvent;
      i = child;
    }
    heap[i] = last;
  }
}
