/** Callers that wait until a copy of the state has reached a revision. */
import type { Clock, Micros } from '#wire';

interface Waiter {
  readonly revision: number;
  readonly settle: (isReached: boolean) => void;
}

/** Waits of any number of callers, each with its revision and timeout. */
export class RevisionWaiters {
  private waiters: Waiter[] = [];

  constructor(private readonly clock: Clock) {}

  /** Resolves true once the revision is reached, or false after the timeout. */
  wait(revision: number, timeout: Micros): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = this.clock.after(timeout, () => {
        this.waiters = this.waiters.filter((other) => other !== waiter);
        resolve(false);
      });
      const waiter: Waiter = {
        revision,
        settle: (isReached) => {
          timer.cancel();
          resolve(isReached);
        },
      };
      this.waiters.push(waiter);
    });
  }

  /** The copy has applied everything up to this revision. */
  onRevision(revision: number): void {
    const reached = this.waiters.filter((waiter) => waiter.revision <= revision);
    this.waiters = this.waiters.filter((waiter) => waiter.revision > revision);
    for (const waiter of reached) waiter.settle(true);
  }
}
