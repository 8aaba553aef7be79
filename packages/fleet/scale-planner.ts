import { type Resources, fits, countFitting, subtractResources, type PendingJob } from '#pricing';
import { type MachineType, type Micros } from '#wire';

/** A choice the cloud offers: a type in a zone, ordinary or spot. */
export interface Offer {
  machineType: string;
  zone: string;
  spot: boolean;
}

export interface PendingCapacity extends Offer {
  free: Resources;
}

export interface UnmetDemand {
  /** For a gang that has to lie in one zone: with the zone in which it is being gathered. */
  job: PendingJob;
  count: number;
  /** The zone is not the job's own wish: where nothing can be rented there, another one serves as well. */
  zoneIsOpen?: boolean;
}

export interface ScaleOutInput {
  types: readonly MachineType[];
  /** What waits and found no room, most urgent first. */
  unmetDemand: readonly UnmetDemand[];
  /** Machines that were rented and are not up yet, and room that is about to be free. */
  pendingCapacity: PendingCapacity[];
  /** Machines per zone at present, so that new ones go where fewer are. */
  machinesPerZone: ReadonlyMap<string, number>;
  isBackedOff: (offer: Offer) => boolean;
}

export interface ScaleOutPlan extends Offer {
  count: number;
}

export function offerKey(offer: Offer): string {
  return `${offer.machineType}/${offer.zone}/${offer.spot ? 'spot' : 'ordinary'}`;
}

export function resourcesOf(type: MachineType): Resources {
  return { cpus: type.cpus, gpus: type.gpus, memGb: type.memGb };
}

/**
 * What to rent for the tasks that neither present room nor machines on their way will take: per task the
 * cheapest offer open to it, spread over the zones.
 */
export function planScaleOut(input: ScaleOutInput): ScaleOutPlan[] {
  const plans = new Map<string, ScaleOutPlan>();
  const machinesPerZone = new Map(input.machinesPerZone);
  const coming = input.pendingCapacity.map((c) => ({ ...c, free: { ...c.free } }));
  for (const need of input.unmetDemand) {
    const { job, count } = settleZone(input, need, coming, machinesPerZone);
    let left = count - allocatePending(coming, job, count);
    while (left > 0) {
      const offer = cheapest(input, job, left, machinesPerZone);
      if (!offer) break;
      const key = offerKey(offer);
      const plan = plans.get(key) ?? { ...offer, count: 0 };
      plans.set(key, plan);
      plan.count++;
      machinesPerZone.set(offer.zone, (machinesPerZone.get(offer.zone) ?? 0) + 1);
      const type = input.types.find((t) => t.name === offer.machineType) as MachineType;
      const free = resourcesOf(type);
      const n = Math.min(left, countFitting(job.need, free));
      subtractResources(free, job.need, n);
      left -= n;
      coming.push({ ...offer, free });
    }
  }
  return [...plans.values()];
}

/**
 * All that is rented for a gang that has to lie in one zone goes to one zone: where it is being gathered, or, if no
 * machine for it can be had there, where most room for the whole gang is on its way.
 */
function settleZone(
  input: ScaleOutInput,
  need: UnmetDemand,
  coming: readonly PendingCapacity[],
  machinesPerZone: ReadonlyMap<string, number>,
): UnmetDemand {
  const { job, count, zoneIsOpen } = need;
  if (!job.isGang || !job.singleZone || (job.zone !== null && zoneIsOpen !== true)) return need;
  const isServed = job.zone !== null && countFittingPending(coming, job) >= count;
  if (job.zone !== null && (isServed || cheapest(input, job, count, machinesPerZone))) return need;
  const zones = new Set(input.types.flatMap((type) => type.zones));
  const choices = [...zones]
    .map((zone) => ({ ...job, zone }))
    .filter((choice) => cheapest(input, choice, choice.pendingTasks, machinesPerZone) !== null)
    .map((choice) => ({ choice, slots: countFittingPending(coming, choice) }))
    .sort((a, b) => b.slots - a.slots);
  const best = choices[0]?.choice;
  return best ? { job: best, count: best.pendingTasks } : need;
}

function countFittingPending(coming: readonly PendingCapacity[], job: PendingJob): number {
  let sum = 0;
  for (const machine of coming) if (isFeasible(job, machine)) sum += countFitting(job.need, machine.free);
  return sum;
}

/** How many of a job's tasks the room that is coming will take; it is taken from that room. */
export function allocatePending(coming: readonly PendingCapacity[], job: PendingJob, count: number): number {
  let left = count;
  for (const machine of coming) {
    if (left === 0) break;
    if (!isFeasible(job, machine)) continue;
    const n = Math.min(left, countFitting(job.need, machine.free));
    subtractResources(machine.free, job.need, n);
    left -= n;
  }
  return count - left;
}

export function isFeasible(job: PendingJob, offer: Offer): boolean {
  return (
    (job.allowsSpot || !offer.spot) &&
    (job.machineTypes?.includes(offer.machineType) ?? true) &&
    (job.zone === null || job.zone === offer.zone)
  );
}

/** Price per task that would really be placed; zones with fewer machines win among equals. */
function cheapest(
  input: ScaleOutInput,
  job: PendingJob,
  count: number,
  machinesPerZone: ReadonlyMap<string, number>,
): Offer | null {
  let best: Offer | null = null;
  let bestScore: [number, number] = [Infinity, Infinity];
  for (const type of input.types) {
    const room = resourcesOf(type);
    if (!fits(job.need, room)) continue;
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        const offer = { machineType: type.name, zone, spot };
        if (!isFeasible(job, offer) || input.isBackedOff(offer)) continue;
        const price = (spot ? type.spotPrice : type.price) / Math.min(count, countFitting(job.need, room));
        const score: [number, number] = [price, machinesPerZone.get(zone) ?? 0];
        if (score[0] < bestScore[0] - 1e-9 || (score[0] < bestScore[0] + 1e-9 && score[1] < bestScore[1])) {
          best = offer;
          bestScore = score;
        }
      }
    }
  }
  return best;
}

export interface IdleMachine {
  host: string;
  idleFor: Micros;
  age: Micros;
  spot: boolean;
}

export interface ScaleInOptions {
  /** How long an idle machine is kept, ordinary and spot. */
  ordinary: Micros;
  spot: Micros;
  /** A machine costs at least this long. */
  least: Micros;
}

/** Which idle machines to give back. */
export function planScaleIn(idle: readonly IdleMachine[], keep: ScaleInOptions): string[] {
  return idle
    .filter((m) => m.idleFor > (m.spot ? keep.spot : keep.ordinary) && m.age > keep.least)
    .map((m) => m.host);
}

export interface DrainCandidate {
  host: string;
  spot: boolean;
  /** Price per hour. */
  price: number;
  total: Resources;
  /** Room that its owner's next round will leave on it. */
  free: Resources;
  /** For how long it has been poorly used. */
  underusedFor: Micros;
}

export interface DrainOptions {
  /** Up to this part in use counts as poorly used. */
  maxUtilization: number;
  /** How long it must have been so. */
  minUnderusedTime: Micros;
  /** Free CPUs that must stay elsewhere, as a multiple of what is to be drained. */
  spareFactor: number;
}

export function utilization({ total, free: left }: Pick<DrainCandidate, 'total' | 'free'>): number {
  return total.cpus > 0 ? 1 - left.cpus / total.cpus : 0;
}

/**
 * Which poorly used machines get no new tasks, to go home once theirs have ended: those that waste most, as
 * long as the others keep room for more than what they run. Spot machines are cheap enough to keep.
 */
export function planDrains(machines: readonly DrainCandidate[], options: DrainOptions): string[] {
  const drains: string[] = [];
  let free = machines.reduce((sum, m) => sum + Math.max(0, m.free.cpus), 0);
  const waste = (m: DrainCandidate): number => m.price * (1 - utilization(m));
  const poor = machines
    .filter(
      (m) =>
        !m.spot && utilization(m) <= options.maxUtilization && m.underusedFor >= options.minUnderusedTime,
    )
    .sort((a, b) => waste(b) - waste(a));
  for (const m of poor) {
    const used = m.total.cpus - m.free.cpus;
    const elsewhere = free - m.free.cpus;
    if (elsewhere < options.spareFactor * Math.max(used, m.total.cpus * 0.1)) continue;
    free = elsewhere - used;
    drains.push(m.host);
  }
  return drains;
}
