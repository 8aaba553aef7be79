/** Attempts that their owner has decided to stop. */
import type { Ledger, Placement } from '#cluster';
import { parseTaskName } from '#wire';

interface StopRequest {
  readonly attempt: number;
  /** Seconds that the task is given to save. */
  readonly graceS: number;
}

/** The attempts to be stopped, by task. A request holds until its attempt is no longer in the ledger. */
export class StopRequests {
  private readonly requests = new Map<string, StopRequest>();

  get isEmpty(): boolean {
    return this.requests.size === 0;
  }

  /** Replaces an earlier request for the same task. */
  add(placement: Placement, graceS: number): void {
    this.requests.set(placement.taskName, { attempt: placement.attempt, graceS });
  }

  has(placement: Placement): boolean {
    return this.requests.get(placement.taskName)?.attempt === placement.attempt;
  }

  /** Seconds that the task is given to save; 0 if it isn't to be stopped. */
  graceS(taskName: string): number {
    return this.requests.get(taskName)?.graceS ?? 0;
  }

  /** Drops the requests whose attempt has ended. */
  discardEnded(ledger: Ledger): void {
    for (const [taskName, { attempt }] of this.requests) {
      const name = parseTaskName(taskName);
      if (!name || ledger.placement(name.job, name.index)?.attempt !== attempt)
        this.requests.delete(taskName);
    }
  }
}
