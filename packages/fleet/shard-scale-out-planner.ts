/** Plans the machines of one shard: matches its unmet demand with pending capacity and with offers of the cloud. */
import { type Resources, fits, countFitting, subtractResources, type PendingJob } from '#pricing';
import type { MachineType } from '#wire';
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
  /** The job. For a gang that must run in one zone, `job.zone` is the zone of its machines. */
  readonly job: PendingJob;
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
}

/** Order in which spot and on-demand machines are compared: spot wins if prices are equal. */
const SPOT_FIRST = [true, false] as const;

/** Prices that differ by less than this count as equal. */
const PRICE_TOLERANCE = 1e-9;

/** Ranks an offer. A lower price per task is better; if prices are equal, the zone with fewer machines is better. */
interface OfferScore {
  readonly pricePerTask: number;
  readonly machinesInZone: number;
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
    const open: OpenDemand[] = [];
    for (const unmet of this.shard.unmetDemand) {
      const { job, count, guaranteedCount = 0 } = this.chooseZone(unmet);
      const allocated = allocatePending(this.pendingCapacity, job, count);
      const guaranteed = Math.max(0, Math.min(count, guaranteedCount) - allocated);
      const others = count - allocated - guaranteed;
      if (guaranteed + others > 0) open.push({ planner: this, job, guaranteed, others });
    }
    return open;
  }

  /**
   * Plans up to `maxMachines` machines for one kind of tasks of the demand. Returns true if there are tasks left for
   * which further machines can be planned.
   */
  planMachines(demand: OpenDemand, kind: 'guaranteed' | 'others', maxMachines: number): boolean {
    const { job } = demand;
    // What is left of machines that were planned for other demand is used first.
    demand[kind] -= allocatePending(this.pendingCapacity, job, demand[kind]);
    for (let i = 0; i < maxMachines && demand[kind] > 0; i++) {
      const offer = this.cheapestOffer(job, demand.guaranteed + demand.others);
      if (!offer || !this.options.batch.addMachine(this.shard.shard, offer)) return false;
      this.machinesPerZone.set(offer.zone, (this.machinesPerZone.get(offer.zone) ?? 0) + 1);
      const free = this.capacityOf(offer);
      const allocated = Math.min(demand[kind], countFitting(job.taskResources, free));
      subtractResources(free, job.taskResources, allocated);
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
   * Chooses one zone for all machines that are requested for a gang which must run in one zone. It is the zone that the
   * last round preferred for the gang or, if no offer is available there, the zone with the most pending capacity.
   */
  private chooseZone(demand: UnmetDemand): UnmetDemand {
    const { job, count, canUseOtherZones } = demand;
    if (!job.isGang || !job.singleZone || (job.zone !== null && canUseOtherZones !== true)) return demand;
    const isServed = job.zone !== null && countFittingPending(this.pendingCapacity, job) >= count;
    if (job.zone !== null && (isServed || this.cheapestOffer(job, count))) return demand;
    const zones = new Set(this.options.types.flatMap((type) => type.zones));
    const choices = [...zones]
      .map((zone) => ({ ...job, zone }))
      .filter((choice) => this.cheapestOffer(choice, choice.pendingTaskCount) !== null)
      .map((choice) => ({ choice, taskCount: countFittingPending(this.pendingCapacity, choice) }))
      .sort((a, b) => b.taskCount - a.taskCount);
    const best = choices[0]?.choice;
    return best ? { ...demand, job: best, count: best.pendingTaskCount } : demand;
  }

  /** Returns the feasible offer with the lowest price per task, counting only tasks that it would run; null if none. */
  private cheapestOffer(job: PendingJob, count: number): Offer | null {
    let best: Offer | null = null;
    let bestScore = WORST_SCORE;
    for (const type of this.options.types) {
      const capacity = resourcesOf(type);
      if (!fits(job.taskResources, capacity)) continue;
      const taskCount = Math.min(count, countFitting(job.taskResources, capacity));
      for (const zone of type.zones) {
        for (const spot of SPOT_FIRST) {
          const offer = { machineType: type.name, zone, spot };
          if (!isFeasible(job, offer) || this.shard.isBackedOff(offer)) continue;
          const pricePerTask = (spot ? type.spotPrice : type.price) / taskCount;
          const score = { pricePerTask, machinesInZone: this.machinesPerZone.get(zone) ?? 0 };
          if (!isBetter(score, bestScore)) continue;
          best = offer;
          bestScore = score;
        }
      }
    }
    return best;
  }
}
