/** Exponential backoff for offers that the cloud has no capacity of. */
import { type Clock, type Micros, SECOND } from '#wire';
import { type Offer, offerKey } from './offers.js';

const INITIAL_BACKOFF: Micros = 10 * SECOND;
const MAX_BACKOFF: Micros = 40 * SECOND;

interface Backoff {
  readonly until: Micros;
  readonly duration: Micros;
}

/** By offer, for how long it is not requested again. */
export class CapacityBackoff {
  private readonly backoffs = new Map<string, Backoff>();

  constructor(private readonly clock: Clock) {}

  isBackedOff(offer: Offer): boolean {
    const backoff = this.backoffs.get(offerKey(offer));
    return backoff !== undefined && backoff.until > this.clock.now();
  }

  /** The cloud had not all that was requested: each time in a row doubles the backoff, up to its maximum. */
  onInsufficientCapacity(offer: Offer): void {
    const key = offerKey(offer);
    const lastDuration = this.backoffs.get(key)?.duration ?? INITIAL_BACKOFF / 2;
    const duration = Math.min(MAX_BACKOFF, lastDuration * 2);
    this.backoffs.set(key, { until: this.clock.now() + duration, duration });
  }

  /** The cloud had all that was requested. */
  onRequestFulfilled(offer: Offer): void {
    this.backoffs.delete(offerKey(offer));
  }

  clear(): void {
    this.backoffs.clear();
  }
}
