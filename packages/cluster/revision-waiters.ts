/** Callers that wait until a replica has applied a revision. */
import type { Clock, Micros } from '#wire';

interface Waiter {
  readonly revision: number;
  readonly settle: (isReached: boolean) => void;
}

/** Manages the waits of any number of callers, each with its own revision and timeout. */
export class RevisionWaiters {
  private waiters: Waiter[] = [];

  constructor(private readonly clock: Clock) {}

  /** Resolves to true once the replica has applied the revision, or to false after the timeout. */
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

  /** Settles the waits for this revision and earlier ones. Called after the replica has applied the revision. */
  onRevision(revision: number): void {
    const reached = this.waiters.filter((waiter) => waiter.revision <= revision);
    this.waiters = this.waiters.filter((waiter) => waiter.revision > revision);
    for (const waiter of reached) waiter.settle(true);
  }
}
