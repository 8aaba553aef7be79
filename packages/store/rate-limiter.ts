/** Rate limits of requests to the store. */
import { type Clock, type Micros, SECOND } from '#wire';

/** The sliding window over which a rate is measured. */
const RATE_WINDOW: Micros = 3 * SECOND;

/** Measures a rate over the last seconds. */
export class RateMeter {
  private readonly entries: { at: Micros; count: number }[] = [];
  private total = 0;

  constructor(private readonly clock: Clock) {}

  /** Counts events that happen now. */
  add(count: number): void {
    if (count === 0) return;
    this.entries.push({ at: this.clock.now(), count });
    this.total += count;
  }

  /** Events per second over the window. */
  rate(): number {
    const from = this.clock.now() - RATE_WINDOW;
    for (let first = this.entries[0]; first && first.at < from; first = this.entries[0]) {
      this.total -= first.count;
      this.entries.shift();
    }
    return (this.total * SECOND) / RATE_WINDOW;
  }
}

/** A rejected request multiplies the rate by this. */
const REJECTION_FACTOR = 0.7;
/** Rejections leave at least this fraction of the rate. */
const MIN_RATE_FACTOR = 0.25;
/** Time without a rejection after which the full rate is restored. */
const FULL_RATE_RECOVERY: Micros = 20 * SECOND;

/**
 * A token bucket that keeps one kind of request within its quota of what the store allows. It holds up to a second's worth
 * of tokens for bursts. A large commit may take more tokens than there are; the next one waits until the debt is paid.
 */
export class RateLimiter {
  private tokens: number;
  private refilledAt: Micros;
  /** When a request was last rejected for coming too fast, and the fraction of the rate that this left. */
  private backoff: { at: Micros; factor: number } = { at: -Infinity, factor: 1 };
  private readonly consumed: RateMeter;

  constructor(
    private readonly clock: Clock,
    /** The present rate in tokens per second, given the rate at which tokens were consumed lately. */
    private readonly rateFor: (consumedRate: number) => number,
  ) {
    this.consumed = new RateMeter(clock);
    this.tokens = this.rate();
    this.refilledAt = clock.now();
  }

  /** Takes tokens, even more than there are. */
  consume(count: number): void {
    this.refill();
    this.tokens -= count;
    this.consumed.add(count);
  }

  /** Time until a token is available; 0 if there is one. */
  delay(): Micros {
    this.refill();
    return this.tokens >= 1 ? 0 : Math.ceil(((1 - this.tokens) / this.rate()) * SECOND);
  }

  /** To be called when the store rejected a request as too fast: its limit was lowered, or others exceed their quota. */
  onRejected(): void {
    this.backoff = {
      at: this.clock.now(),
      factor: Math.max(MIN_RATE_FACTOR, this.rateFactor() * REJECTION_FACTOR),
    };
  }

  /** The fraction of the rate that rejections have left; it recovers linearly while there are none. */
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
