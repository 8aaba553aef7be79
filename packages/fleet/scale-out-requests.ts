/** Scale-out requests of the leader. Each is recorded in the log first, and then sent until it is settled. */
import { MAX_MACHINES_PER_REQUEST } from '#cloud';
import type { PendingScaleOut } from '#cluster';
import { type FencedScaleOutResult, ScaleOutIntent, type TermProof } from '#roles';
import { type Micros, MS, SECOND } from '#wire';
import { CapacityBackoff } from './capacity-backoff.js';
import type { FleetContext, ShardDemand } from './fleet-context.js';
import type { MachineAdoption } from './machine-adoption.js';
import { isBooting } from './machine-age.js';
import { offerKey, resourcesOf } from './offers.js';
import type { PendingCapacity } from './pending-capacity.js';
import { planScaleOut, type ScaleOutPlan } from './scale-out-planner.js';

/** Time between two attempts of the same request. */
const SCALE_OUT_RETRY_INTERVAL: Micros = 2 * SECOND;
/** Time beyond the retry interval after which the next attempt is made although the last one has no response yet. */
const RESPONSE_TIMEOUT: Micros = 5 * SECOND;
/** A request without a conclusive response is abandoned after this time. */
const SCALE_OUT_TIMEOUT: Micros = 20 * SECOND;

/** Summary of the fleet's machines for the scale-out of one shard. */
interface FleetSummary {
  /** Number of machines of all shards. Keyed by zone. */
  readonly machinesPerZone: ReadonlyMap<string, number>;
  /** Capacity of the shard's machines that are still booting. */
  readonly booting: readonly PendingCapacity[];
}

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

  /** Plans requests for the shard's unmet demand. They are sent after they are recorded. */
  plan(demand: ShardDemand, termProof: TermProof): void {
    const { shard, unmetDemand, canReach } = demand;
    if (unmetDemand.length === 0) return;
    const { machinesPerZone, booting } = this.summarizeMachines(shard);
    const plans = planScaleOut({
      types: [...this.context.state().machineTypes.values()],
      unmetDemand,
      pendingCapacity: [...demand.pendingCapacity, ...booting, ...this.requestedCapacity(shard)],
      machinesPerZone,
      isBackedOff: (offer) => this.backoff.isBackedOff(offer) || !canReach(offer.zone),
    });
    for (const plan of plans) this.addRequests(plan, shard, termProof);
  }

  /** Sends the recorded requests whose next attempt is due. */
  sendAll(termProof: TermProof): void {
    for (const id of this.context.state().ledger.pendingScaleOuts.keys()) void this.send(id, termProof);
  }

  private summarizeMachines(shard: number): FleetSummary {
    const { ledger, machineTypes } = this.context.state();
    const machinesPerZone = new Map<string, number>();
    const booting = new Map<string, PendingCapacity>();
    for (const machine of ledger.machines.values()) {
      const { machineType, zone, spot } = machine;
      machinesPerZone.set(zone, (machinesPerZone.get(zone) ?? 0) + 1);
      if (machine.shard !== shard) continue;
      const type = machineTypes.get(machineType);
      if (!type || !isBooting(machine, this.context)) continue;
      const group = booting.get(offerKey(machine));
      if (group) group.machineCount++;
      else
        booting.set(offerKey(machine), { machineType, zone, spot, machineCount: 1, free: resourcesOf(type) });
    }
    return { machinesPerZone, booting: [...booting.values()] };
  }

  /** Returns the machines of the shard's planned and recorded requests that are not settled yet. */
  private requestedCapacity(shard: number): PendingCapacity[] {
    const { ledger, machineTypes } = this.context.state();
    const requested: PendingCapacity[] = [];
    const add = ({ machineType, zone, spot, count }: ScaleOutPlan): void => {
      const type = machineTypes.get(machineType);
      if (type) requested.push({ machineType, zone, spot, machineCount: count, free: resourcesOf(type) });
    };
    for (const scaleOut of ledger.pendingScaleOuts.values()) if (scaleOut.shard === shard) add(scaleOut);
    for (const [, machineType, zone, spot, count, requestedShard] of this.context.changes.scaleOuts) {
      if (requestedShard === shard) add({ machineType, zone, spot, count });
    }
    return requested;
  }

  private addRequests(
    { machineType, zone, spot, count }: ScaleOutPlan,
    shard: number,
    proof: TermProof,
  ): void {
    const { changes, log } = this.context;
    // The size of a request is limited, so larger plans are split. Using a more expensive offer for the rest instead
    // would cost more every hour.
    for (let remaining = count; remaining > 0; remaining -= MAX_MACHINES_PER_REQUEST) {
      const requested = Math.min(remaining, MAX_MACHINES_PER_REQUEST);
      const requestId = this.nextRequestId(proof.term);
      changes.addScaleOut([requestId, machineType, zone, spot, requested, shard]);
      log.info({ requestId, machineType, zone, spot, count: requested, shard }, 'scale-out requested');
    }
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
