import { type Amounts, fits, slots, take, type WaitingJob } from '#pricing';
import { type MachineType, type Micros } from '#wire';

/** A choice the cloud offers: a type in a zone, ordinary or spot. */
export interface Offer {
  machineType: string;
  zone: string;
  spot: boolean;
}

export interface Coming extends Offer {
  room: Amounts;
}

export interface NeedRow {
  /** For a gang that has to lie in one zone: with the zone in which it is being gathered. */
  job: WaitingJob;
  count: number;
  /** The zone is not the job's own wish: where nothing can be rented there, another one serves as well. */
  zoneIsOpen?: boolean;
}

export interface PlanInput {
  types: readonly MachineType[];
  /** What waits and found no room, most urgent first. */
  needs: readonly NeedRow[];
  /** Machines that were rented and are not up yet, and room that is about to be free. */
  coming: Coming[];
  /** Machines per zone at present, so that new ones go where fewer are. */
  machinesPerZone: ReadonlyMap<string, number>;
  refused: (offer: Offer) => boolean;
}

export interface RentPlan extends Offer {
  number: number;
}

export function offerKey(offer: Offer): string {
  return `${offer.machineType}/${offer.zone}/${offer.spot ? 'spot' : 'ordinary'}`;
}

export function amountsOf(type: MachineType): Amounts {
  return { cpus: type.cpus, gpus: type.gpus, memGb: type.memGb };
}

/**
 * What to rent for the tasks that neither present room nor machines on their way will take: per task the
 * cheapest offer open to it, spread over the zones.
 */
export function planRentals(input: PlanInput): RentPlan[] {
  const plans = new Map<string, RentPlan>();
  const machinesPerZone = new Map(input.machinesPerZone);
  const coming = input.coming.map((c) => ({ ...c, room: { ...c.room } }));
  for (const need of input.needs) {
    const { job, count } = settleZone(input, need, coming, machinesPerZone);
    let left = count - serve(coming, job, count);
    while (left > 0) {
      const offer = cheapest(input, job, left, machinesPerZone);
      if (!offer) break;
      const key = offerKey(offer);
      const plan = plans.get(key) ?? { ...offer, number: 0 };
      plans.set(key, plan);
      plan.number++;
      machinesPerZone.set(offer.zone, (machinesPerZone.get(offer.zone) ?? 0) + 1);
      const type = input.types.find((t) => t.name === offer.machineType) as MachineType;
      const room = amountsOf(type);
      const n = Math.min(left, slots(job.need, room));
      take(room, job.need, n);
      left -= n;
      coming.push({ ...offer, room });
    }
  }
  return [...plans.values()];
}

/**
 * All that is rented for a gang that has to lie in one zone goes to one zone: where it is being gathered, or, if no
 * machine for it can be had there, where most room for the whole gang is on its way.
 */
function settleZone(
  input: PlanInput,
  need: NeedRow,
  coming: readonly Coming[],
  machinesPerZone: ReadonlyMap<string, number>,
): NeedRow {
  const { job, count, zoneIsOpen } = need;
  if (!job.gang || !job.singleZone || (job.zone !== null && zoneIsOpen !== true)) return need;
  const isServed = job.zone !== null && slotsComing(coming, job) >= count;
  if (job.zone !== null && (isServed || cheapest(input, job, count, machinesPerZone))) return need;
  const zones = new Set(input.types.flatMap((type) => type.zones));
  const choices = [...zones]
    .map((zone) => ({ ...job, zone }))
    .filter((choice) => cheapest(input, choice, choice.waiting, machinesPerZone) !== null)
    .map((choice) => ({ choice, slots: slotsComing(coming, choice) }))
    .sort((a, b) => b.slots - a.slots);
  const best = choices[0]?.choice;
  return best ? { job: best, count: best.waiting } : need;
}

function slotsComing(coming: readonly Coming[], job: WaitingJob): number {
  let sum = 0;
  for (const machine of coming) if (suits(job, machine)) sum += slots(job.need, machine.room);
  return sum;
}

/** How many of a job's tasks the room that is coming will take; it is taken from that room. */
export function serve(coming: readonly Coming[], job: WaitingJob, count: number): number {
  let left = count;
  for (const machine of coming) {
    if (left === 0) break;
    if (!suits(job, machine)) continue;
    const n = Math.min(left, slots(job.need, machine.room));
    take(machine.room, job.need, n);
    left -= n;
  }
  return count - left;
}

export function suits(job: WaitingJob, offer: Offer): boolean {
  return (
    (job.spot || !offer.spot) &&
    (job.machineTypes?.includes(offer.machineType) ?? true) &&
    (job.zone === null || job.zone === offer.zone)
  );
}

/** Price per task that would really be placed; zones with fewer machines win among equals. */
function cheapest(
  input: PlanInput,
  job: WaitingJob,
  count: number,
  machinesPerZone: ReadonlyMap<string, number>,
): Offer | null {
  let best: Offer | null = null;
  let bestScore: [number, number] = [Infinity, Infinity];
  for (const type of input.types) {
    const room = amountsOf(type);
    if (!fits(job.need, room)) continue;
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        const offer = { machineType: type.name, zone, spot };
        if (!suits(job, offer) || input.refused(offer)) continue;
        const price = (spot ? type.spotPrice : type.price) / Math.min(count, slots(job.need, room));
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

export interface Idle {
  host: string;
  idle: Micros;
  age: Micros;
  spot: boolean;
}

export interface KeepOptions {
  /** How long an idle machine is kept, ordinary and spot. */
  ordinary: Micros;
  spot: Micros;
  /** A machine costs at least this long. */
  least: Micros;
}

/** Which idle machines to give back. */
export function planReturns(idle: readonly Idle[], keep: KeepOptions): string[] {
  return idle
    .filter((m) => m.idle > (m.spot ? keep.spot : keep.ordinary) && m.age > keep.least)
    .map((m) => m.host);
}

export interface Drainable {
  host: string;
  spot: boolean;
  /** Price per hour. */
  price: number;
  total: Amounts;
  /** Room that its owner's next round will leave on it. */
  left: Amounts;
  /** For how long it has been poorly used. */
  poorFor: Micros;
}

export interface DrainOptions {
  /** Up to this part in use counts as poorly used. */
  poor: number;
  /** How long it must have been so. */
  patience: Micros;
  /** Free CPUs that must stay elsewhere, as a multiple of what is to be drained. */
  spare: number;
}

export function usedPart({ total, left }: Pick<Drainable, 'total' | 'left'>): number {
  return total.cpus > 0 ? 1 - left.cpus / total.cpus : 0;
}

/**
 * Which poorly used machines get no new tasks, to go home once theirs have ended: those that waste most, as
 * long as the others keep room for more than what they run. Spot machines are cheap enough to keep.
 */
export function planDrains(machines: readonly Drainable[], options: DrainOptions): string[] {
  const drains: string[] = [];
  let free = machines.reduce((sum, m) => sum + Math.max(0, m.left.cpus), 0);
  const waste = (m: Drainable): number => m.price * (1 - usedPart(m));
  const poor = machines
    .filter((m) => !m.spot && usedPart(m) <= options.poor && m.poorFor >= options.patience)
    .sort((a, b) => waste(b) - waste(a));
  for (const m of poor) {
    const used = m.total.cpus - m.left.cpus;
    const elsewhere = free - m.left.cpus;
    if (elsewhere < options.spare * Math.max(used, m.total.cpus * 0.1)) continue;
    free = elsewhere - used;
    drains.push(m.host);
  }
  return drains;
}
