/** Plans the machines of one shard: matches its unmet demand with pending capacity and with offers of the cloud. */
import {
  type Resources,
  fits,
  countFitting,
  subtractResources,
  type PendingJob,
  ZoneConstraint,
} from '#pricing';
import type { MachineType } from '#wire';
import { type GangZonePlan, planGangZones, type ZoneOffers } from './gang-zone-plan.js';
import { type Offer, type UnmetDemand, isFeasible, offerKey, resourcesOf } from './offers.js';
import {
  type PendingCapacity,
  allocatePending,
  copyPending,
  countFittingPending,
} from './pending-capacity.js';
import type { ScaleOutBatch } from './scale-out-batch.js';

/** Unmet demand of one shard, and the capacity that will become usable there. */
export interface ShardScaleOut {
  readonly shard: number;
  /** Tasks for which there is no free capacity, most urgent first. */
  readonly unmetDemand: readonly UnmetDemand[];
  /** Machines that were requested but are not up yet, and capacity that is about to become free. */
  readonly pendingCapacity: readonly PendingCapacity[];
  /** True if the cloud recently had no capacity of the offer, or the owner cannot reach its zone. */
  readonly isBackedOff: (offer: Offer) => boolean;
}

/** Tasks of one job that pending capacity does not cover. The numbers shrink as machines are planned. */
export interface OpenDemand {
  readonly planner: ShardScaleOutPlanner;
  /** The job. If it must run in one zone, `job.zone` is the zone of its machines. */
  readonly job: PendingJob;
  /** What each zone may still take of the job's tasks, with the planned ones counted. */
  readonly zones: ZoneConstraint;
  /** The only zones in which machines are requested; null for all. */
  readonly requestedZones: ReadonlySet<string> | null;
  /** Number of tasks within the guarantee of the job's team. */
  guaranteed: number;
  /** Number of other tasks. */
  others: number;
}

/** What the planners of all shards share. */
export interface ScaleOutPlannerOptions {
  readonly types: readonly MachineType[];
  /** Current number of machines in each zone. Keyed by zone. */
  readonly machinesPerZone: ReadonlyMap<string, number>;
  /** Receives the planned machines. */
  readonly batch: ScaleOutBatch;
  /** True if the cloud had too few machines of the offer the last time. */
  readonly isScarce: (offer: Offer) => boolean;
}

/** What an offer has to suit, and how many tasks may use its machines. */
type OfferDemand = Pick<OpenDemand, 'job' | 'zones' | 'requestedZones'> & { readonly count: number };

/** Order in which spot and on-demand machines are compared: spot wins if prices are equal. */
const SPOT_FIRST = [true, false] as const;

/** Prices that differ by less than this count as equal. */
const PRICE_TOLERANCE = 1e-9;

/** Ranks an offer. A lower price per task is better; if prices are equal, the zone with fewer machines is better. */
interface OfferScore {
  readonly pricePerTask: number;
  readonly machinesInZone: number;
}

/** An offer with its price per hour for each task that it would run. */
interface PricedOffer extends Offer {
  readonly pricePerTask: number;
}

/** A zone for all machines of a job, which is limited to that zone. */
interface ZoneChoice {
  readonly job: PendingJob;
  /** Number of the needed tasks that pending capacity takes. */
  readonly taskCount: number;
  /** Price per hour of the other tasks; `Infinity` if no machine can be requested for them. */
  readonly cost: number;
}

const WORST_SCORE: OfferScore = { pricePerTask: Infinity, machinesInZone: Infinity };

function isBetter(score: OfferScore, best: OfferScore): boolean {
  if (score.pricePerTask < best.pricePerTask - PRICE_TOLERANCE) return true;
  return (
    score.pricePerTask < best.pricePerTask + PRICE_TOLERANCE && score.machinesInZone < best.machinesInZone
  );
}

function isSameCapacity(a: Resources, b: Resources): boolean {
  return a.cpus === b.cpus && a.gpus === b.gpus && a.memGb === b.memGb && a.taskSlots === b.taskSlots;
}

/** Plans the machines of one shard. */
export class ShardScaleOutPlanner {
  private readonly machinesPerZone: Map<string, number>;
  /** Copies of the given groups of pending capacity, in the same order. They change once they are allocated. */
  private readonly originalGroups: readonly PendingCapacity[];
  /** These groups, and further ones: parts that were split off, and planned machines. */
  private readonly pendingCapacity: PendingCapacity[];
  /** The group of planned machines that was added last. Keyed by offer. */
  private readonly lastPlanned = new Map<string, PendingCapacity>();
  private readonly blocked = new Set<string>();

  constructor(
    private readonly shard: ShardScaleOut,
    private readonly options: ScaleOutPlannerOptions,
  ) {
    this.machinesPerZone = new Map(options.machinesPerZone);
    this.originalGroups = shard.pendingCapacity.map(copyPending);
    this.pendingCapacity = [...this.originalGroups];
  }

  /** Allocates the pending capacity to the unmet demand, in its order. Returns the demand that is left. */
  openDemands(): OpenDemand[] {
    return this.shard.unmetDemand.flatMap((unmet) => this.openDemand(unmet) ?? []);
  }

  /** Ids of the gangs that must be spread over zones and for which no machines can be requested at present. */
  get blockedGangs(): ReadonlySet<string> {
    return this.blocked;
  }

  /**
   * Plans up to `maxMachines` machines for one kind of tasks of the demand. Returns true if there are tasks left for
   * which further machines can be planned.
   */
  planMachines(demand: OpenDemand, kind: 'guaranteed' | 'others', maxMachines: number): boolean {
    const { job, zones } = demand;
    // What is left of machines that were planned for other demand is used first.
    demand[kind] -= allocatePending(this.pendingCapacity, job, { count: demand[kind], zones });
    for (let i = 0; i < maxMachines && demand[kind] > 0; i++) {
      const offer = this.cheapestOffer({ ...demand, count: demand.guaranteed + demand.others });
      if (!offer || !this.options.batch.addMachine(this.shard.shard, offer)) return false;
      this.machinesPerZone.set(offer.zone, (this.machinesPerZone.get(offer.zone) ?? 0) + 1);
      const free = this.capacityOf(offer);
      const maxTasks = Math.min(demand[kind], zones.remainingIn(offer.zone));
      const allocated = Math.min(maxTasks, countFitting(job.taskResources, free));
      subtractResources(free, job.taskResources, allocated);
      zones.onTasksPlaced(offer.zone, allocated);
      demand[kind] -= allocated;
      this.addPlanned(offer, free);
    }
    return demand[kind] > 0;
  }

  /** Returns the groups of the given pending capacity of which no machine is allocated. */
  unusedCapacity(): PendingCapacity[] {
    return this.shard.pendingCapacity.filter((original, i) => {
      const copy = this.originalGroups[i];
      return copy?.machineCount === original.machineCount && isSameCapacity(copy.free, original.free);
    });
  }

  /** Allocates the pending capacity to the demand of one job. Returns the rest; null if there is none. */
  private openDemand(unmet: UnmetDemand): OpenDemand | null {
    const demand = this.chooseZone(unmet);
    const { job, count, guaranteedCount = 0 } = demand;
    const zones = new ZoneConstraint(job);
    const zonePlan = this.planZones(demand, zones);
    if (zonePlan.kind === 'none') {
      this.blocked.add(job.id);
      return null;
    }
    const requestedZones = zonePlan.kind === 'scarce' ? zonePlan.zones : null;
    const allocated = allocatePending(this.pendingCapacity, job, { count, zones });
    const guaranteed = Math.max(0, Math.min(count, guaranteedCount) - allocated);
    const others = count - allocated - guaranteed;
    if (guaranteed + others === 0) return null;
    return { planner: this, job, zones, requestedZones, guaranteed, others };
  }

  /** Decides in which zones machines may be requested for the demand: in all of them unless it is a gang to be spread. */
  private planZones(demand: UnmetDemand, constraint: ZoneConstraint): GangZonePlan {
    const { job } = demand;
    if (!job.isGang || !job.spreadZones) return { kind: 'all' };
    return planGangZones({
      demand,
      constraint,
      offers: this.offersByZone(job),
      pendingCapacity: this.pendingCapacity.filter((group) => isFeasible(job, group)),
      isScarce: this.options.isScarce,
    });
  }

  /** Returns what the offers of each zone have for the job. */
  private offersByZone(job: PendingJob): Map<string, ZoneOffers> {
    const byZone = new Map<string, ZoneOffers>();
    for (const { offer } of this.feasibleOffers(job)) {
      const isAvailable = !this.options.isScarce(offer);
      const hasAvailable = isAvailable || byZone.get(offer.zone)?.hasAvailable === true;
      byZone.set(offer.zone, { hasAny: true, hasAvailable });
    }
    return byZone;
  }

  private capacityOf({ machineType }: Offer): Resources {
    return resourcesOf(this.options.types.find((type) => type.name === machineType)!);
  }

  /** Adds a planned machine to the pending capacity, since later demand may use what is left of it. */
  private addPlanned(offer: Offer, free: Resources): void {
    const key = offerKey(offer);
    const last = this.lastPlanned.get(key);
    if (last && isSameCapacity(last.free, free)) {
      last.machineCount++;
      return;
    }
    const group = { ...offer, machineCount: 1, free };
    this.pendingCapacity.push(group);
    this.lastPlanned.set(key, group);
  }

  /**
   * Chooses one zone for all machines that are requested for a job which must run in one zone and has no task on a machine.
   * It is the zone that the last round preferred for a gang or, if no offer is available there, the zone in which the tasks
   * that pending capacity does not take cost least.
   */
  private chooseZone(demand: UnmetDemand): UnmetDemand {
    const { job, count, canUseOtherZones } = demand;
    const isChosen = job.zone !== null && canUseOtherZones !== true;
    if (!job.singleZone || isChosen || job.placedByZone.size > 0) return demand;
    const isServed = job.zone !== null && countFittingPending(this.pendingCapacity, job) >= count;
    if (job.zone !== null && (isServed || this.cheapestOfferFor(job, count))) return demand;
    // The missing tasks of a gang are those that lack capacity in the preferred zone; another zone would take all of them.
    const neededCount = job.isGang ? job.pendingTaskCount : count;
    const choices = this.allZones().map((zone) => this.zoneChoice({ ...job, zone }, neededCount));
    const [best] = choices
      .filter(({ cost }) => cost < Infinity)
      .sort((a, b) => a.cost - b.cost || b.taskCount - a.taskCount);
    return best ? { ...demand, job: best.job, count: neededCount } : demand;
  }

  /** Returns the zones in which machine types are offered or machines are pending. */
  private allZones(): string[] {
    const offered = this.options.types.flatMap((type) => type.zones);
    return [...new Set([...offered, ...this.pendingCapacity.map(({ zone }) => zone)])];
  }

  /** Returns how many of the tasks pending capacity takes in the job's zone, and what the others cost there. */
  private zoneChoice(job: PendingJob, neededCount: number): ZoneChoice {
    const taskCount = Math.min(neededCount, countFittingPending(this.pendingCapacity, job));
    if (taskCount === neededCount) return { job, taskCount, cost: 0 };
    const pricePerTask = this.cheapestOfferFor(job, neededCount)?.pricePerTask ?? Infinity;
    return { job, taskCount, cost: (neededCount - taskCount) * pricePerTask };
  }

  private cheapestOfferFor(job: PendingJob, count: number): PricedOffer | null {
    return this.cheapestOffer({ job, count, zones: new ZoneConstraint(job), requestedZones: null });
  }

  /** Returns the feasible offer with the lowest price per task, counting only tasks that it would run; null if none. */
  private cheapestOffer({ job, count, zones, requestedZones }: OfferDemand): PricedOffer | null {
    let best: PricedOffer | null = null;
    let bestScore = WORST_SCORE;
    for (const { offer, type } of this.feasibleOffers(job)) {
      const { zone, spot } = offer;
      const maxTasks = Math.min(count, zones.remainingIn(zone));
      if (maxTasks === 0 || requestedZones?.has(zone) === false) continue;
      const taskCount = Math.min(maxTasks, countFitting(job.taskResources, resourcesOf(type)));
      const pricePerTask = (spot ? type.spotPrice : type.price) / taskCount;
      const score = { pricePerTask, machinesInZone: this.machinesPerZone.get(zone) ?? 0 };
      if (!isBetter(score, bestScore)) continue;
      best = { ...offer, pricePerTask };
      bestScore = score;
    }
    return best;
  }

  /** Yields the offers that may be requested now and whose machines could run a task of the job. */
  private *feasibleOffers(job: PendingJob): Generator<{ offer: Offer; type: MachineType }> {
    for (const type of this.options.types) {
      if (!fits(job.taskResources, resourcesOf(type))) continue;
      for (const zone of type.zones) {
        for (const spot of SPOT_FIRST) {
          const offer = { machineType: type.name, zone, spot };
          if (isFeasible(job, offer) && !this.shard.isBackedOff(offer)) yield { offer, type };
        }
      }
    }
  }
}
