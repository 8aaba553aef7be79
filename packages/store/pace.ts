import { type Clock, type Micros, SECOND } from '#wire';

/**
 * Keeps a kind of request within its part of what the state service allows: tokens come at a rate, and up to a
 * second's worth of them is saved for a burst. A large commit may run into debt that the next one waits for.
 */
export class Pace {
  private tokens: number;
  private at: Micros;

  constructor(
    private readonly clock: Clock,
    /** Tokens a second at present: nodes that are gone leave their part to the others. */
    private readonly rate: () => number,
  ) {
    this.tokens = rate();
    this.at = clock.now();
  }

  take(count: number): void {
    this.fill();
    this.tokens -= count;
  }

  /** Time until a token is to be had. */
  wait(): Micros {
    this.fill();
    return this.tokens >= 1 ? 0 : Math.ceil(((1 - this.tokens) / this.rate()) * SECOND);
  }

  private fill(): void {
    const now = this.clock.now();
    const rate = this.rate();
    this.tokens = Math.min(Math.max(1, rate), this.tokens + ((now - this.at) / SECOND) * rate);
    this.at = now;
  }
}
