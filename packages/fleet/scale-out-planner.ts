/** Decides how many machines of which offers to request for unmet demand. Pure: no clock, no I/O. */
import { type Resources, fits, countFitting, subtractResources, type PendingJob } from '#pricing';
import { type MachineType } from '#wire';
import {
  type Offer,
  type PendingCapacity,
  type UnmetDemand,
  allocatePending,
  isFeasible,
  offerKey,
  resourcesOf,
} from './offers.js';

/** What {@link planScaleOut} decides on. */
export interface ScaleOutInput {
  types: readonly MachineType[];
  /** Tasks without free capacity, most urgent first. */
  unmetDemand: readonly UnmetDemand[];
  /** Machines that were requested and are not up yet, and capacity that is about to be free. */
  pendingCapacity: PendingCapacity[];
  /** Machines per zone at present, so that new ones go where fewer are. */
  machinesPerZone: ReadonlyMap<string, number>;
  /** The offer had no capacity of late, or can't be used. */
  isBackedOff: (offer: Offer) => boolean;
}

/** Machines of one offer to request. */
export interface ScaleOutPlan extends Offer {
  count: number;
}

/**
 * What to request for the tasks that neither free nor pending capacity will take: per task the cheapest offer
 * feasible for it, spread over the zones.
 */
export function planScaleOut(input: ScaleOutInput): ScaleOutPlan[] {
  const planner = new ScaleOutPlanner(input);
  for (const demand of input.unmetDemand) planner.serve(demand);
  return planner.result();
}

/** The order in which both kinds of machine are compared. */
const SPOT_FIRST = [true, false] as const;

/** Prices that differ by less are equal. */
const PRICE_TOLERANCE = 1e-9;

/** Cost of an offer; of offers of equal price per task the one in the zone with fewer machines is better. */
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

/** Serves one demand after the other, and holds what has been planned so far. */
class ScaleOutPlanner {
  private readonly plans = new Map<string, ScaleOutPlan>();
  private readonly machinesPerZone: Map<string, number>;
  private readonly pendingCapacity: PendingCapacity[];

  constructor(private readonly input: ScaleOutInput) {
    this.machinesPerZone = new Map(input.machinesPerZone);
    this.pendingCapacity = input.pendingCapacity.map((machine) => ({
      ...machine,
      free: { ...machine.free },
    }));
  }

  result(): ScaleOutPlan[] {
    return [...this.plans.values()];
  }

  serve(demand: UnmetDemand): void {
    const { job, count } = this.chooseZone(demand);
    let remaining = count - allocatePending(this.pendingCapacity, job, count);
    while (remaining > 0) {
      const offer = this.cheapestOffer(job, remaining);
      if (!offer) break;
      const free = this.addMachine(offer);
      const allocated = Math.min(remaining, countFitting(job.taskResources, free));
      subtractResources(free, job.taskResources, allocated);
      remaining -= allocated;
    }
  }

  /** Adds a machine to the plan. Returns its capacity, which later demand may use, too. */
  private addMachine(offer: Offer): Resources {
    const key = offerKey(offer);
    const plan = this.plans.get(key) ?? { ...offer, count: 0 };
    this.plans.set(key, plan);
    plan.count++;
    this.machinesPerZone.set(offer.zone, (this.machinesPerZone.get(offer.zone) ?? 0) + 1);
    const free = resourcesOf(this.input.types.find((type) => type.name === offer.machineType)!);
    this.pendingCapacity.push({ ...offer, free });
    return free;
  }

  /**
   * All that is requested for a gang that has to lie in one zone goes to one zone: where it is being gathered, or,
   * if no machine for it can be had there, where most capacity for the whole gang is on its way.
   */
  private chooseZone(demand: UnmetDemand): UnmetDemand {
    const { job, count, canUseOtherZones } = demand;
    if (!job.isGang || !job.singleZone || (job.zone !== null && canUseOtherZones !== true)) return demand;
    const isServed = job.zone !== null && this.countFittingPending(job) >= count;
    if (job.zone !== null && (isServed || this.cheapestOffer(job, count))) return demand;
    const zones = new Set(this.input.types.flatMap((type) => type.zones));
    const choices = [...zones]
      .map((zone) => ({ ...job, zone }))
      .filter((choice) => this.cheapestOffer(choice, choice.pendingTaskCount) !== null)
      .map((choice) => ({ choice, taskCount: this.countFittingPending(choice) }))
      .sort((a, b) => b.taskCount - a.taskCount);
    const best = choices[0]?.choice;
    return best ? { job: best, count: best.pendingTaskCount } : demand;
  }

  private countFittingPending(job: PendingJob): number {
    let sum = 0;
    for (const machine of this.pendingCapacity) {
      if (isFeasible(job, machine)) sum += countFitting(job.taskResources, machine.free);
    }
    return sum;
  }

  /** By price per task that would really be placed; zones with fewer machines win among equals. */
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
