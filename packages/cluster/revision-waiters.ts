/** Callers that wait until a copy of the state has reached an epoch. */
import type { Clock, Micros } from '#wire';

interface Waiter {
  epoch: number;
  done: (isReached: boolean) => void;
}

export class RevisionWaiters {
  private waiting: Waiter[] = [];

  constructor(private readonly clock: Clock) {}

  /** Resolves true once the epoch is reached, or false after the timeout. */
  wait(epoch: number, timeout: Micros): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = this.clock.after(timeout, () => {
        this.waiting = this.waiting.filter((other) => other !== waiter);
        resolve(false);
      });
      const waiter: Waiter = {
        epoch,
        done: (isReached) => {
          timer.cancel();
          resolve(isReached);
        },
      };
      this.waiting.push(waiter);
    });
  }

  /** The copy has applied everything up to this epoch. */
  onRevision(epoch: number): void {
    const done = this.waiting.filter((waiter) => waiter.epoch <= epoch);
    this.waiting = this.waiting.filter((waiter) => waiter.epoch > epoch);
    for (const waiter of done) waiter.done(true);
  }
}
