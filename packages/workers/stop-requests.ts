/** The attempts that the owner of their machine has decided to stop. */
import type { Ledger, Placement } from '#cluster';
import { parseTaskName } from '#wire';

interface StopRequest {
  readonly attempt: number;
  /** Seconds that the task gets to save a checkpoint before it is killed. */
  readonly graceS: number;
}

/** The pending stop requests. A request stays pending until its attempt is no longer in the ledger. */
export class StopRequests {
  /** Keyed by task name. */
  private readonly requests = new Map<string, StopRequest>();

  get isEmpty(): boolean {
    return this.requests.size === 0;
  }

  /** Adds a stop request. It replaces an earlier request for the same task. */
  add(placement: Placement, graceS: number): void {
    this.requests.set(placement.taskName, { attempt: placement.attempt, graceS });
  }

  /** Returns true if a stop was requested for this attempt. */
  has(placement: Placement): boolean {
    return this.requests.get(placement.taskName)?.attempt === placement.attempt;
  }

  /** Returns the seconds that the task gets to save a checkpoint, or 0 if no stop was requested for it. */
  graceS(taskName: string): number {
    return this.requests.get(taskName)?.graceS ?? 0;
  }

  /** Discards the requests whose attempt has ended. */
  discardEnded(ledger: Ledger): void {
    for (const [taskName, { attempt }] of this.requests) {
      const name = parseTaskName(taskName);
      if (!name || ledger.placement(name.job, name.index)?.attempt !== attempt)
        this.requests.delete(taskName);
    }
  }
}
