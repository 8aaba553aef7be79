/** Scale-out requests of the leader: named in a record first, then sent until the cloud has answered. */
import { MAX_MACHINES_PER_REQUEST } from '#cloud';
import type { PendingScaleOut } from '#cluster';
import { type FencedScaleOutResult, ScaleOutIntent, type TermProof } from '#roles';
import { type Micros, MS, SECOND } from '#wire';
import { CapacityBackoff } from './capacity-backoff.js';
import type { FleetContext, ShardDemand } from './fleet-context.js';
import type { MachineAdoption } from './machine-adoption.js';
import { isBooting } from './machine-age.js';
import { type PendingCapacity, resourcesOf } from './offers.js';
import { planScaleOut, type ScaleOutPlan } from './scale-out-planner.js';

/** Time between the attempts of one request. */
const SCALE_OUT_RETRY_INTERVAL: Micros = 2 * SECOND;
/** Beyond that: an attempt without an answer holds up the next one no longer than this. */
const ANSWER_TIMEOUT: Micros = 5 * SECOND;
/** A request without an answer that counts is given up after this time. */
const SCALE_OUT_TIMEOUT: Micros = 20 * SECOND;

/** The machines of the fleet, as scale-out for one shard sees them. */
interface FleetSurvey {
  readonly machinesPerZone: ReadonlyMap<string, number>;
  /** Machines of the shard that have not come up yet. */
  readonly booting: readonly PendingCapacity[];
}

/** Plans scale-out requests and carries them out. */
export class ScaleOutRequests {
  private readonly backoff: CapacityBackoff;
  /** By request: when it may be sent again. */
  private readonly nextAttemptAt = new Map<string, Micros>();
  /** Requests of this process, in all of its terms. */
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

  /** Names the requests for what the shard lacks. They are sent once they are recorded. */
  plan(demand: ShardDemand, termProof: TermProof): void {
    const { shard, unmetDemand, canReach } = demand;
    if (unmetDemand.length === 0) return;
    const { machinesPerZone, booting } = this.surveyMachines(shard);
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

  private surveyMachines(shard: number): FleetSurvey {
    const { ledger, machineTypes } = this.context.state();
    const machinesPerZone = new Map<string, number>();
    const booting: PendingCapacity[] = [];
    for (const machine of ledger.machines.values()) {
      const { machineType, zone, spot } = machine;
      machinesPerZone.set(zone, (machinesPerZone.get(zone) ?? 0) + 1);
      if (machine.shard !== shard) continue;
      const type = machineTypes.get(machineType);
      if (type && isBooting(machine, this.context))
        booting.push({ machineType, zone, spot, free: resourcesOf(type) });
    }
    return { machinesPerZone, booting };
  }

  /** Machines for the shard that were requested, or are about to be, and are not answered yet. */
  private requestedCapacity(shard: number): PendingCapacity[] {
    const { ledger, machineTypes } = this.context.state();
    const requested: PendingCapacity[] = [];
    const add = ({ machineType, zone, spot, count }: ScaleOutPlan): void => {
      const type = machineTypes.get(machineType);
      if (!type) return;
      for (let i = 0; i < count; i++) requested.push({ machineType, zone, spot, free: resourcesOf(type) });
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
    // A request takes only so many; going on with a dearer offer instead would cost money every hour.
    for (let remaining = count; remaining > 0; remaining -= MAX_MACHINES_PER_REQUEST) {
      const requested = Math.min(remaining, MAX_MACHINES_PER_REQUEST);
      const requestId = this.nextRequestId(proof.term);
      changes.addScaleOut([requestId, machineType, zone, spot, requested, shard]);
      log.info({ requestId, machineType, zone, spot, count: requested, shard }, 'scale-out requested');
    }
  }

  /** Unique by the term, which no other holder has, and the count of this process; the time is for readers. */
  private nextRequestId(term: number): string {
    return `hire-${Math.floor(this.context.clock.wall() / SECOND)}-${term}-${++this.requestCount}`;
  }

  private async send(id: string, termProof: TermProof): Promise<void> {
    const { cloud, clock, state } = this.context;
    const scaleOut = state().ledger.pendingScaleOuts.get(id);
    if (!scaleOut || !this.isDue(id)) return;
    this.nextAttemptAt.set(id, clock.now() + SCALE_OUT_RETRY_INTERVAL + ANSWER_TIMEOUT);
    const result = await cloud.requestMachines(termProof, ScaleOutIntent.fromRecord(scaleOut));
    if (result.kind === 'superseded' || !state().ledger.pendingScaleOuts.has(id)) return;
    this.nextAttemptAt.set(id, clock.now() + SCALE_OUT_RETRY_INTERVAL);
    if (!this.applyResult(scaleOut, result)) return;
    // An answer that never came may still have started machines: the list shows them, and they are adopted.
    this.context.changes.settleScaleOut(id);
    this.nextAttemptAt.delete(id);
    this.context.log.info({ requestId: id, result }, 'scale-out answered');
    this.context.requestRound();
  }

  private isDue(id: string): boolean {
    const isWaiting = (this.nextAttemptAt.get(id) ?? -Infinity) > this.context.clock.now();
    return !isWaiting && !this.context.changes.isScaleOutSettled(id);
  }

  /** Adopts what came, and backs off if that is not all. Returns whether the request is settled. */
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
