/** Plans which offers to request for unmet demand, and how many machines of each. Pure: no clock, no I/O. */
import { type Resources, fits, countFitting, subtractResources, type PendingJob } from '#pricing';
import { type MachineType } from '#wire';
import { type Offer, type UnmetDemand, isFeasible, offerKey, resourcesOf } from './offers.js';
import {
  type PendingCapacity,
  allocatePending,
  copyPending,
  countFittingPending,
} from './pending-capacity.js';

/** Input of {@link planScaleOut}. */
export interface ScaleOutInput {
  types: readonly MachineType[];
  /** Tasks for which there is no free capacity, most urgent first. */
  unmetDemand: readonly UnmetDemand[];
  /** Machines that were requested but are not up yet, and capacity that is about to become free. */
  pendingCapacity: readonly PendingCapacity[];
  /** Current number of machines in each zone, so that new machines go to zones with fewer. Keyed by zone. */
  machinesPerZone: ReadonlyMap<string, number>;
  /** True if the cloud recently had no capacity of the offer, or the owner cannot reach its zone. */
  isBackedOff: (offer: Offer) => boolean;
}

/** Number of machines to request of one offer. */
export interface ScaleOutPlan extends Offer {
  count: number;
}

/**
 * Plans the requests for tasks that pending capacity will not take either. Each task gets the feasible offer that is
 * cheapest per task; offers of equal price are spread over the zones.
 */
export function planScaleOut(input: ScaleOutInput): ScaleOutPlan[] {
  const planner = new ScaleOutPlanner(input);
  for (const demand of input.unmetDemand) planner.planDemand(demand);
  return planner.result();
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
  return a.cpus === b.cpus && a.gpus === b.gpus && a.memGb === b.memGb;
}

/** Plans requests for one demand after the other, and accumulates the plans. */
class ScaleOutPlanner {
  private readonly plans = new Map<string, ScaleOutPlan>();
  private readonly machinesPerZone: Map<string, number>;
  private readonly pendingCapacity: PendingCapacity[];
  /** The group of planned machines that was added last. Keyed by offer. */
  private readonly lastPlanned = new Map<string, PendingCapacity>();

  constructor(private readonly input: ScaleOutInput) {
    this.machinesPerZone = new Map(input.machinesPerZone);
    this.pendingCapacity = input.pendingCapacity.map(copyPending);
  }

  result(): ScaleOutPlan[] {
    return [...this.plans.values()];
  }

  planDemand(demand: UnmetDemand): void {
    const { job, count } = this.chooseZone(demand);
    let remaining = count - allocatePending(this.pendingCapacity, job, count);
    while (remaining > 0) {
      const offer = this.cheapestOffer(job, remaining);
      if (!offer) break;
      this.countMachine(offer);
      const free = this.capacityOf(offer);
      const allocated = Math.min(remaining, countFitting(job.taskResources, free));
      subtractResources(free, job.taskResources, allocated);
      remaining -= allocated;
      this.addPlanned(offer, free);
    }
  }

  /** Adds a machine to the plan of its offer. */
  private countMachine(offer: Offer): void {
    const key = offerKey(offer);
    const plan = this.plans.get(key) ?? { ...offer, count: 0 };
    this.plans.set(key, plan);
    plan.count++;
    this.machinesPerZone.set(offer.zone, (this.machinesPerZone.get(offer.zone) ?? 0) + 1);
  }

  private capacityOf({ machineType }: Offer): Resources {
    return resourcesOf(this.input.types.find((type) => type.name === machineType)!);
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
    const zones = new Set(this.input.types.flatMap((type) => type.zones));
    const choices = [...zones]
      .map((zone) => ({ ...job, zone }))
      .filter((choice) => this.cheapestOffer(choice, choice.pendingTaskCount) !== null)
      .map((choice) => ({ choice, taskCount: countFittingPending(this.pendingCapacity, choice) }))
      .sort((a, b) => b.taskCount - a.taskCount);
    const best = choices[0]?.choice;
    return best ? { job: best, count: best.pendingTaskCount } : demand;
  }

  /** Returns the feasible offer with the lowest price per task, counting only tasks that it would run; null if none. */
  private cheapestOffer(job: PendingJob, count: number): Offer | null {
    let best: Offer | null = null;
    let bestScore = WORST_SCORE;
    for (const type of this.input.types) {
      const capacity = resourcesOf(type);
      if (!fits(job.taskResources, capacity)) continue;
      const taskCount = Math.min(count, countFitting(job.taskResources, capacity));
      for (const zone of type.zones) {
        for (const spot of SPOT_FIRST) {
          const offer = { machineType: type.name, zone, spot };
          if (!isFeasible(job, offer) || this.input.isBackedOff(offer)) continue;
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
