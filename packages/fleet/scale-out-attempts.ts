/** The attempts of this process to send recorded scale-out requests to the cloud. */
import { type Clock, type Micros, SECOND } from '#wire';

/** Time between two attempts of the same request. */
const RETRY_INTERVAL: Micros = 2 * SECOND;
/** Time beyond the retry interval after which the next attempt is made although the last one has no response yet. */
const RESPONSE_TIMEOUT: Micros = 5 * SECOND;

/** The attempts at one request. */
interface RequestAttempts {
  /** Time from which the request may be sent again. */
  readonly nextAttemptAt: Micros;
  /** True if the cloud may have executed the request: an attempt has no response, or none yet. */
  readonly mayBeExecuted: boolean;
}

/** Tracks when each request may be sent again, and whether the cloud may have executed it. */
export class ScaleOutAttempts {
  /** Keyed by request ID. */
  private readonly attempts = new Map<string, RequestAttempts>();

  constructor(private readonly clock: Clock) {}

  clear(): void {
    this.attempts.clear();
  }

  /** Forgets a request that is settled. */
  forget(id: string): void {
    this.attempts.delete(id);
  }

  isDue(id: string): boolean {
    return (this.attempts.get(id)?.nextAttemptAt ?? -Infinity) <= this.clock.now();
  }

  /** True unless this process knows that none of its attempts was executed. */
  mayBeExecuted(id: string): boolean {
    return this.attempts.get(id)?.mayBeExecuted ?? false;
  }

  /**
   * Begins an attempt. The returned function ends it with whether the cloud answered that it did not execute the
   * request; if an earlier attempt may still be executed, that answer does not settle the question.
   */
  begin(id: string): (isRefused: boolean) => void {
    const mayBeExecutedBefore = this.mayBeExecuted(id);
    const timeout = this.clock.now() + RETRY_INTERVAL + RESPONSE_TIMEOUT;
    this.attempts.set(id, { nextAttemptAt: timeout, mayBeExecuted: true });
    return (isRefused) => {
      const mayBeExecuted = mayBeExecutedBefore || !isRefused;
      this.attempts.set(id, { nextAttemptAt: this.clock.now() + RETRY_INTERVAL, mayBeExecuted });
    };
  }
}
