/** Scale-out requests of the leader. Each is recorded in the log first, and then sent until it is settled. */
import type { PendingScaleOut } from '#cluster';
import { type FencedScaleOutResult, ScaleOutIntent, type TermProof } from '#roles';
import { type Micros, MS, SECOND } from '#wire';
import { CapacityBackoff } from './capacity-backoff.js';
import type { FleetContext, ShardDemand } from './fleet-context.js';
import type { MachineAdoption } from './machine-adoption.js';
import { summarizeMachines } from './machine-summary.js';
import { type Offer, offerKey } from './offers.js';
import { RequestedCapacity, requestedCapacity } from './requested-capacity.js';
import { ScaleOutAttempts } from './scale-out-attempts.js';
import type { PlannedScaleOut } from './scale-out-batch.js';
import { planScaleOut, type RequestLimits } from './scale-out-planner.js';

/** There are at most as many unsettled requests as the cloud accepts in this time. */
const REQUEST_WINDOW: Micros = 4 * SECOND;
/** While requests are pending for this multiple of that number, none is planned for guaranteed tasks either. */
const GUARANTEED_FACTOR = 2;
/** A request without a conclusive response is abandoned after this time. */
const SCALE_OUT_TIMEOUT: Micros = 20 * SECOND;

/** Plans, records and sends scale-out requests. */
export class ScaleOutRequests {
  private readonly backoff: CapacityBackoff;
  private readonly attempts: ScaleOutAttempts;
  /** Number of requests that this process has planned in all of its terms. */
  private requestCount = 0;

  constructor(
    private readonly context: FleetContext,
    private readonly adoption: MachineAdoption,
  ) {
    this.backoff = new CapacityBackoff(context.clock);
    this.attempts = new ScaleOutAttempts(context.clock);
  }

  beginTerm(): void {
    this.attempts.clear();
    this.backoff.clear();
  }

  /**
   * Plans requests for the unmet demand of all shards, and withdraws those that it no longer justifies. New requests
   * are sent after they are recorded. Returns the ids of the gangs for which no machines can be requested at present.
   */
  plan(demands: readonly ShardDemand[], termProof: TermProof): ReadonlySet<string> {
    const { ledger, machineTypes } = this.context.state();
    const hasDemand = demands.some(({ unmetDemand }) => unmetDemand.length > 0);
    if (!hasDemand && ledger.pendingScaleOuts.size === 0) return new Set();
    const { machinesPerZone, booting } = summarizeMachines(this.context);
    const requested = requestedCapacity(this.context);
    const requestedOffers = new Set([...requested.values()].flat().map(offerKey));
    const { requests, unusedCapacity, blockedGangs } = planScaleOut({
      types: [...machineTypes.values()],
      shards: demands.map(({ shard, ownedShards, unmetDemand, pendingCapacity, canReach }) => ({
        shard,
        unmetDemand,
        // Requests come before capacity that is about to become free, so that none is withdrawn for such a forecast.
        pendingCapacity: [
          ...ownedShards.flatMap((owned) => booting.get(owned) ?? []),
          ...ownedShards.flatMap((owned) => requested.get(owned) ?? []),
          ...pendingCapacity,
        ],
        isBackedOff: (offer) => !canReach(offer.zone) || this.isBackedOff(offer, requestedOffers),
      })),
      isScarce: (offer) => this.backoff.isScarce(offer),
      machinesPerZone,
      maxRequests: this.requestLimits(),
    });
    for (const request of requests) this.addRequest(request, termProof);
    for (const group of unusedCapacity)
      if (group instanceof RequestedCapacity) this.withdrawUnsent(group.requestId);
    return blockedGangs;
  }

  /**
   * Sends the recorded requests whose next attempt is due. An earlier leader may have recorded more than may be pending.
   * Those recorded first are sent; the others follow as these are settled, or are abandoned after the same time.
   */
  sendAll(termProof: TermProof): void {
    const { state, changes } = this.context;
    let remaining = this.maxGuaranteedRequests();
    for (const scaleOut of state().ledger.pendingScaleOuts.values()) {
      if (changes.isScaleOutSettled(scaleOut.id)) continue;
      if (remaining > 0) void this.send(scaleOut.id, termProof);
      else if (this.isTimedOut(scaleOut)) this.withdraw(scaleOut.id, 'timed out');
      remaining--;
    }
  }

  /** Withdraws a recorded request that no demand justifies any more, unless the cloud may have executed it. */
  private withdrawUnsent(requestId: string): void {
    const { state, changes } = this.context;
    const isRecorded = state().ledger.pendingScaleOuts.has(requestId);
    if (!isRecorded || changes.isScaleOutSettled(requestId) || this.attempts.mayBeExecuted(requestId)) return;
    this.withdraw(requestId, 'demand is gone');
  }

  /**
   * Settles a request without an answer. If an earlier leader sent it, and the cloud executes it after all, the machines
   * appear in the list and are adopted then.
   */
  private withdraw(requestId: string, reason: string): void {
    this.context.changes.settleScaleOut(requestId);
    this.attempts.forget(requestId);
    this.context.log.info({ requestId, reason }, 'scale-out withdrawn');
  }

  /** True if no further request for the offer makes sense: the cloud has no machines, or is being asked if it has. */
  private isBackedOff(offer: Offer, requestedOffers: ReadonlySet<string>): boolean {
    if (this.backoff.isBackedOff(offer)) return true;
    return this.backoff.isScarce(offer) && requestedOffers.has(offerKey(offer));
  }

  private maxGuaranteedRequests(): number {
    return GUARANTEED_FACTOR * this.maxPendingRequests();
  }

  /** Returns how many requests may be recorded or planned, and not settled, at the same time. */
  private maxPendingRequests(): number {
    return Math.max(1, Math.floor((this.context.state().cloudRequestRate * REQUEST_WINDOW) / SECOND));
  }

  /** Returns how many requests may be planned in addition to those that are recorded or planned already. */
  private requestLimits(): RequestLimits {
    const pendingCount =
      this.context.state().ledger.pendingScaleOuts.size + this.context.changes.scaleOutCount;
    const others = this.maxPendingRequests() - pendingCount;
    return { guaranteed: this.maxGuaranteedRequests() - pendingCount, others };
  }

  private addRequest({ machineType, zone, spot, count, shard }: PlannedScaleOut, proof: TermProof): void {
    const { changes, log } = this.context;
    const requestId = this.nextRequestId(proof.term);
    changes.addScaleOut([requestId, machineType, zone, spot, count, shard]);
    log.info({ requestId, machineType, zone, spot, count, shard }, 'scale-out requested');
  }

  /**
   * Returns an ID that is unique by the term, which no other leader has, and by the request count of this process. The
   * time in the ID is for readers only.
   */
  private nextRequestId(term: number): string {
    return `hire-${Math.floor(this.context.clock.wall() / SECOND)}-${term}-${++this.requestCount}`;
  }

  private async send(id: string, termProof: TermProof): Promise<void> {
    const { cloud, state } = this.context;
    const scaleOut = state().ledger.pendingScaleOuts.get(id);
    if (!scaleOut || !this.attempts.isDue(id)) return;
    const endAttempt = this.attempts.begin(id);
    const result = await cloud.requestMachines(termProof, ScaleOutIntent.fromRecord(scaleOut));
    if (result.kind === 'superseded') return;
    if (!state().ledger.pendingScaleOuts.has(id)) {
      this.attempts.forget(id);
      return;
    }
    endAttempt(result.kind === 'failed');
    if (!this.applyResult(scaleOut, result)) return;
    // A request whose response was lost may still have started machines. They appear in the list and are adopted then.
    this.context.changes.settleScaleOut(id);
    this.attempts.forget(id);
    this.context.log.info({ requestId: id, result }, 'scale-out answered');
    this.context.requestRound();
  }

  /** Adopts the new machines, and backs off if there are too few. Returns true if the request is settled. */
  private applyResult(scaleOut: PendingScaleOut, result: FencedScaleOutResult): boolean {
    const { machineType, zone, spot, shard, count } = scaleOut;
    if (result.kind === 'rented') {
      for (const host of result.hosts) this.adoption.adopt({ host, machineType, zone, spot, shard, ageS: 0 });
      if (result.hosts.length < count) this.backoff.onInsufficientCapacity(scaleOut);
      else this.backoff.onRequestFulfilled(scaleOut);
      return true;
    }
    if (result.kind === 'no_capacity') {
      this.backoff.onInsufficientCapacity(scaleOut);
      return true;
    }
    return this.isTimedOut(scaleOut);
  }

  private isTimedOut({ requestedAtMs }: PendingScaleOut): boolean {
    return this.context.clock.wall() - requestedAtMs * MS >= SCALE_OUT_TIMEOUT;
  }
}
