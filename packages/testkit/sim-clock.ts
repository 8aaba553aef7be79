/** Simulated time: a queue of events that tests play as fast as they can. */
import type { Clock, Micros, Timer } from '#wire';

interface ScheduledEvent {
  at: Micros;
  order: number;
  run: () => void;
}

/**
 * Lets a step happen to a process: at once, never if the process is gone, or once it moves again if it stands
 * still meanwhile.
 */
export type Gate = (step: () => void) => void;

/** Time as the stand-ins see it: simulated, or that of the machine. */
export interface SimulationClock {
  readonly time: Micros;
  at(delay: Micros, run: () => void): Timer;
}

/** Simulated time: events in order, each followed by everything that it made ready. */
export class SimClock implements SimulationClock {
  time: Micros = 1_000_000;
  private heap: ScheduledEvent[] = [];
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
   * A process's own view: its steady clock runs a little off, its time of day too; its timers die with it. Both
   * clocks run on while it stands still.
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

  /** Plays all events up to `until`; `afterEach` runs once all that an event set off has settled. */
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
