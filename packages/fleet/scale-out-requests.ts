/** Scale-out requests of the leader. Each is recorded in the log first, and then sent until it is settled. */
import type { PendingScaleOut } from '#cluster';
import { type FencedScaleOutResult, ScaleOutIntent, type TermProof } from '#roles';
import { type Micros, MS, SECOND } from '#wire';
import { CapacityBackoff } from './capacity-backoff.js';
import type { FleetContext, ShardDemand } from './fleet-context.js';
import type { MachineAdoption } from './machine-adoption.js';
import { summarizeMachines } from './machine-summary.js';
import { resourcesOf } from './offers.js';
import type { PendingCapacity } from './pending-capacity.js';
import type { PlannedScaleOut } from './scale-out-batch.js';
import { planScaleOut } from './scale-out-planner.js';

/** There are at most as many unsettled requests as the cloud accepts in this time. */
const REQUEST_WINDOW: Micros = 4 * SECOND;
/** Time between two attempts of the same request. */
const SCALE_OUT_RETRY_INTERVAL: Micros = 2 * SECOND;
/** Time beyond the retry interval after which the next attempt is made although the last one has no response yet. */
const RESPONSE_TIMEOUT: Micros = 5 * SECOND;
/** A request without a conclusive response is abandoned after this time. */
const SCALE_OUT_TIMEOUT: Micros = 20 * SECOND;

/** Plans, records and sends scale-out requests. */
export class ScaleOutRequests {
  private readonly backoff: CapacityBackoff;
  /** Time from which a request may be sent again. Keyed by request ID. */
  private readonly nextAttemptAt = new Map<string, Micros>();
  /** Number of requests that this process has planned in all of its terms. */
  private requestCount = 0;

  constructor(
    private readonly context: FleetContext,
    private readonly adoption: MachineAdoption,
  ) {
    this.backoff = new CapacityBackoff(context.clock);
  }

  beginTerm(): void {
    this.nextAttemptAt.clear();
    this.backoff.clear();
  }

  /** Plans requests for the unmet demand of all shards. They are sent after they are recorded. */
  plan(demands: readonly ShardDemand[], termProof: TermProof): void {
    if (demands.every(({ unmetDemand }) => unmetDemand.length === 0)) return;
    const { machinesPerZone, booting } = summarizeMachines(this.context);
    const requested = this.requestedCapacity();
    const requests = planScaleOut({
      types: [...this.context.state().machineTypes.values()],
      shards: demands.map(({ shard, unmetDemand, pendingCapacity, canReach }) => ({
        shard,
        unmetDemand,
        pendingCapacity: [...pendingCapacity, ...(booting.get(shard) ?? []), ...(requested.get(shard) ?? [])],
        isBackedOff: (offer) => this.backoff.isBackedOff(offer) || !canReach(offer.zone),
      })),
      machinesPerZone,
      maxRequests: this.maxPendingRequests() - this.pendingRequestCount(),
    });
    for (const request of requests) this.addRequest(request, termProof);
  }

  /** Sends the recorded requests whose next attempt is due. */
  sendAll(termProof: TermProof): void {
    for (const id of this.context.state().ledger.pendingScaleOuts.keys()) void this.send(id, termProof);
  }

  /** Returns how many requests may be recorded or planned, and not settled, at the same time. */
  private maxPendingRequests(): number {
    return Math.max(1, Math.floor((this.context.state().cloudRequestRate * REQUEST_WINDOW) / SECOND));
  }

  private pendingRequestCount(): number {
    return this.context.state().ledger.pendingScaleOuts.size + this.context.changes.scaleOutCount;
  }

  /** Returns the machines of planned and recorded requests that are not settled yet. Keyed by shard. */
  private requestedCapacity(): Map<number, PendingCapacity[]> {
    const { ledger, machineTypes } = this.context.state();
    const requested = new Map<number, PendingCapacity[]>();
    const add = ({ machineType, zone, spot, shard, count: machineCount }: PlannedScaleOut): void => {
      const type = machineTypes.get(machineType);
      if (!type) return;
      const group = { machineType, zone, spot, machineCount, free: resourcesOf(type) };
      const groups = requested.get(shard);
      if (groups) groups.push(group);
      else requested.set(shard, [group]);
    };
    for (const scaleOut of ledger.pendingScaleOuts.values()) add(scaleOut);
    for (const [, machineType, zone, spot, count, shard] of this.context.changes.scaleOuts)
      add({ machineType, zone, spot, shard, count });
    return requested;
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
    const { cloud, clock, state } = this.context;
    const scaleOut = state().ledger.pendingScaleOuts.get(id);
    if (!scaleOut || !this.isDue(id)) return;
    this.nextAttemptAt.set(id, clock.now() + SCALE_OUT_RETRY_INTERVAL + RESPONSE_TIMEOUT);
    const result = await cloud.requestMachines(termProof, ScaleOutIntent.fromRecord(scaleOut));
    if (result.kind === 'superseded' || !state().ledger.pendingScaleOuts.has(id)) return;
    this.nextAttemptAt.set(id, clock.now() + SCALE_OUT_RETRY_INTERVAL);
    if (!this.applyResult(scaleOut, result)) return;
    // A request whose response was lost may still have started machines. They appear in the list and are adopted then.
    this.context.changes.settleScaleOut(id);
    this.nextAttemptAt.delete(id);
    this.context.log.info({ requestId: id, result }, 'scale-out answered');
    this.context.requestRound();
  }

  private isDue(id: string): boolean {
    const isWaiting = (this.nextAttemptAt.get(id) ?? -Infinity) > this.context.clock.now();
    return !isWaiting && !this.context.changes.isScaleOutSettled(id);
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
    return this.context.clock.wall() - scaleOut.requestedAtMs * MS >= SCALE_OUT_TIMEOUT;
  }
}
