/** Rate limits of requests to the state service. */
import { type Clock, type Micros, SECOND } from '#wire';

/** The time that a rate is measured over. */
const WINDOW: Micros = 3 * SECOND;

/** How much there has been a second, over the last few. */
export class RateMeter {
  private readonly counts: { at: Micros; count: number }[] = [];
  private sum = 0;

  constructor(private readonly clock: Clock) {}

  /** Counts what happens now. */
  add(count: number): void {
    if (count === 0) return;
    this.counts.push({ at: this.clock.now(), count });
    this.sum += count;
  }

  /** Per second. */
  rate(): number {
    const from = this.clock.now() - WINDOW;
    for (let first = this.counts[0]; first && first.at < from; first = this.counts[0]) {
      this.sum -= first.count;
      this.counts.shift();
    }
    return (this.sum * SECOND) / WINDOW;
  }
}

/** A refusal multiplies the rate by this. */
const SLOWER = 0.7;
/** Refusals leave at least this part of the rate. */
const LEAST_FACTOR = 0.25;
/** Time without a refusal after which the whole rate is back. */
const RECOVERY: Micros = 20 * SECOND;

/**
 * Keeps a kind of request within its part of what the state service allows: tokens come at a rate, and up to a
 * second's worth of them is saved for a burst. A large commit may run into debt that the next one waits for.
 */
export class RateLimiter {
  private tokens: number;
  private at: Micros;
  /** When a request of this kind was last refused for coming too fast, and by how much that slowed it. */
  private slowed: { at: Micros; factor: number } = { at: -Infinity, factor: 1 };
  private readonly taken: RateMeter;

  constructor(
    private readonly clock: Clock,
    /** Tokens a second at present, given what was taken a second lately. */
    private readonly rateFor: (used: number) => number,
  ) {
    this.taken = new RateMeter(clock);
    this.tokens = this.rate();
    this.at = clock.now();
  }

  /** Takes tokens, also more than there are. */
  consume(count: number): void {
    this.fill();
    this.tokens -= count;
    this.taken.add(count);
  }

  /** Time until a token is to be had. */
  delay(): Micros {
    this.fill();
    return this.tokens >= 1 ? 0 : Math.ceil(((1 - this.tokens) / this.rate()) * SECOND);
  }

  /** One came too fast although it kept to its part: the limit has fallen, or others take more than theirs. */
  onRejected(): void {
    this.slowed = { at: this.clock.now(), factor: Math.max(LEAST_FACTOR, this.factor() * SLOWER) };
  }

  /** What refusals leave of the rate: all of it again after a while without any. */
  private factor(): number {
    const { at, factor } = this.slowed;
    if (factor === 1) return 1;
    return Math.min(1, factor + ((1 - factor) * (this.clock.now() - at)) / RECOVERY);
  }

  private rate(): number {
    return this.rateFor(this.taken.rate()) * this.factor();
  }

  private fill(): void {
    const now = this.clock.now();
    const rate = this.rate();
    this.tokens = Math.min(Math.max(1, rate), this.tokens + ((now - this.at) / SECOND) * rate);
    this.at = now;
  }
}
