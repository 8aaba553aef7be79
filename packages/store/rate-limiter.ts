/** Rate limiting of requests to the store. */
import { type Clock, type Micros, SECOND } from '#wire';

/** The sliding window over which a rate is measured. */
const RATE_WINDOW: Micros = 3 * SECOND;

/** Measures the rate of events over a sliding window. */
export class RateMeter {
  private readonly entries: { at: Micros; count: number }[] = [];
  private total = 0;

  constructor(private readonly clock: Clock) {}

  /** Records events that occur now. */
  add(count: number): void {
    if (count === 0) return;
    this.entries.push({ at: this.clock.now(), count });
    this.total += count;
  }

  /** Returns the number of events per second over the window. */
  rate(): number {
    const from = this.clock.now() - RATE_WINDOW;
    for (let first = this.entries[0]; first && first.at < from; first = this.entries[0]) {
      this.total -= first.count;
      this.entries.shift();
    }
    return (this.total * SECOND) / RATE_WINDOW;
  }
}

/** Each rejected request multiplies the rate by this factor. */
const REJECTION_FACTOR = 0.7;
/** Rejections never reduce the rate below this fraction of it. */
const MIN_RATE_FACTOR = 0.25;
/** Time without a rejection after which the full rate is restored. */
const FULL_RATE_RECOVERY: Micros = 20 * SECOND;

/**
 * A token bucket that keeps one kind of request within its quota of the store's rate limit. The bucket holds the tokens
 * of one second for bursts. A large commit may take more tokens than are available; later requests then wait until at
 * least one token is available again.
 */
export class RateLimiter {
  private tokens: number;
  private refilledAt: Micros;
  /** The time of the last rejection by the store's rate limit, and the fraction of the rate that remained after it. */
  private backoff: { at: Micros; factor: number } = { at: -Infinity, factor: 1 };
  private readonly consumed: RateMeter;

  constructor(
    private readonly clock: Clock,
    /** Returns the current rate in tokens per second, given the recent rate of consumption. */
    private readonly rateFor: (consumedRate: number) => number,
  ) {
    this.consumed = new RateMeter(clock);
    this.tokens = this.rate();
    this.refilledAt = clock.now();
  }

  /** Takes tokens, even if fewer are available. */
  consume(count: number): void {
    this.refill();
    this.tokens -= count;
    this.consumed.add(count);
  }

  /** Returns the time until a token is available, 0 if one is available now. */
  delay(): Micros {
    this.refill();
    return this.tokens >= 1 ? 0 : Math.ceil(((1 - this.tokens) / this.rate()) * SECOND);
  }

  /** Reduces the rate after the store rejected a request: its rate limit was lowered, or others exceed their quota. */
  onRejected(): void {
    this.backoff = {
      at: this.clock.now(),
      factor: Math.max(MIN_RATE_FACTOR, this.rateFactor() * REJECTION_FACTOR),
    };
  }

  /** Returns the fraction of the rate that remains after rejections. It recovers linearly while there are none. */
  private rateFactor(): number {
    const { at, factor } = this.backoff;
    if (factor === 1) return 1;
    return Math.min(1, factor + ((1 - factor) * (this.clock.now() - at)) / FULL_RATE_RECOVERY);
  }

  private rate(): number {
    return this.rateFor(this.consumed.rate()) * this.rateFactor();
  }

  private refill(): void {
    const now = this.clock.now();
    const rate = this.rate();
    this.tokens = Math.min(Math.max(1, rate), this.tokens + ((now - this.refilledAt) / SECOND) * rate);
    this.refilledAt = now;
  }
}
