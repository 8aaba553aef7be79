/** The scale-out requests that one step of the leader plans, in the order in which they are to be sent. */
import { MAX_MACHINES_PER_REQUEST } from '#cloud';
import { type Offer, offerKey } from './offers.js';

/** A request for machines of one offer, at most {@link MAX_MACHINES_PER_REQUEST} of them. */
export interface PlannedScaleOut extends Offer {
  /** The shard that the machines will belong to. */
  readonly shard: number;
  /** Number of machines. */
  count: number;
}

/** Collects machines into requests. */
export class ScaleOutBatch {
  readonly requests: PlannedScaleOut[] = [];
  /** The request that further machines of an offer are added to. Keyed by shard and offer. */
  private readonly openRequests = new Map<string, PlannedScaleOut>();

  /**
   * `maxRequests`: the maximum number of requests, which may be changed between two machines. `isScarce`: true if the
   * offer gets one request for each shard only, to find out whether there are machines again.
   */
  constructor(
    public maxRequests: number,
    private readonly isScarce: (offer: Offer) => boolean,
  ) {}

  /** Adds a machine. Returns false if that takes one more request than there may be. */
  addMachine(shard: number, offer: Offer): boolean {
    const key = `${shard}/${offerKey(offer)}`;
    const open = this.openRequests.get(key);
    if (open && open.count < MAX_MACHINES_PER_REQUEST) {
      open.count++;
      return true;
    }
    if (this.requests.length >= this.maxRequests || (open && this.isScarce(offer))) return false;
    const { machineType, zone, spot } = offer;
    const request = { machineType, zone, spot, shard, count: 1 };
    this.requests.push(request);
    this.openRequests.set(key, request);
    return true;
  }
}
