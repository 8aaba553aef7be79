/** Exponential backoff for offers of which the cloud has no capacity. */
import { type Clock, type Micros, SECOND } from '#wire';
import { type Offer, offerKey } from './offers.js';

const INITIAL_BACKOFF: Micros = 10 * SECOND;
const MAX_BACKOFF: Micros = 40 * SECOND;

/** The backoff of one offer: the monotonic time at which it ends, and its total duration. */
interface Backoff {
  readonly until: Micros;
  readonly duration: Micros;
}

/** Tracks which offers must not be requested because the cloud recently had too few machines of them. */
export class CapacityBackoff {
  private readonly backoffs = new Map<string, Backoff>();

  constructor(private readonly clock: Clock) {}

  isBackedOff(offer: Offer): boolean {
    const backoff = this.backoffs.get(offerKey(offer));
    return backoff !== undefined && backoff.until > this.clock.now();
  }

  /** True if the last answer for the offer was that there were too few machines, also after the end of the backoff. */
  isScarce(offer: Offer): boolean {
    return this.backoffs.has(offerKey(offer));
  }

  /**
   * Starts a backoff after the cloud supplied too few machines. Its duration doubles each time, up to MAX_BACKOFF. The
   * answers to several requests that were sent before the backoff began tell the same, so they do not prolong it.
   */
  onInsufficientCapacity(offer: Offer): void {
    if (this.isBackedOff(offer)) return;
    const key = offerKey(offer);
    const lastDuration = this.backoffs.get(key)?.duration ?? INITIAL_BACKOFF / 2;
    const duration = Math.min(MAX_BACKOFF, lastDuration * 2);
    this.backoffs.set(key, { until: this.clock.now() + duration, duration });
  }

  /** Ends the backoff after the cloud supplied all requested machines. */
  onRequestFulfilled(offer: Offer): void {
    this.backoffs.delete(offerKey(offer));
  }

  clear(): void {
    this.backoffs.clear();
  }
}
