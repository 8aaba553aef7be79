/** Decides which underused machines are drained: they get no new tasks and are deleted once empty. Pure. */
import type { Resources } from '#pricing';
import type { Micros } from '#wire';

/** A machine as one that may be drained. */
export interface DrainCandidate {
  host: string;
  spot: boolean;
  /** Price per hour. */
  price: number;
  total: Resources;
  /** Capacity that its owner's next round is expected to leave free. */
  free: Resources;
  /** For how long it has been underused. */
  underusedFor: Micros;
}

/** When a machine is drained. */
export interface DrainOptions {
  /** Up to this part in use counts as underused, from 0 to 1. */
  maxUtilization: number;
  /** How long it must have been so. */
  minUnderusedTime: Micros;
  /** Free CPUs that must stay elsewhere, as a multiple of what is to be drained. */
  spareFactor: number;
}

/** At least this part of a machine's CPUs counts as in use when spare capacity is compared with it. */
const MIN_COUNTED_UTILIZATION = 0.1;

/** The part of a machine's CPUs that is in use, from 0 to 1. */
export function utilization({ total, free }: Pick<DrainCandidate, 'total' | 'free'>): number {
  return total.cpus > 0 ? 1 - free.cpus / total.cpus : 0;
}

/**
 * Which underused machines get no new tasks, to be deleted once theirs have ended: those that waste most, as long as
 * the others have more free capacity than what they run. Spot machines are cheap enough to keep.
 */
export function planDrains(machines: readonly DrainCandidate[], options: DrainOptions): string[] {
  const drains: string[] = [];
  let freeCpus = machines.reduce((sum, machine) => sum + Math.max(0, machine.free.cpus), 0);
  const underused = machines
    .filter((machine) => isUnderused(machine, options))
    .sort((a, b) => unusedHourlyCost(b) - unusedHourlyCost(a));
  for (const { host, total, free } of underused) {
    const usedCpus = total.cpus - free.cpus;
    const freeElsewhere = freeCpus - free.cpus;
    const requiredElsewhere = options.spareFactor * Math.max(usedCpus, total.cpus * MIN_COUNTED_UTILIZATION);
    if (freeElsewhere < requiredElsewhere) continue;
    freeCpus = freeElsewhere - usedCpus;
    drains.push(host);
  }
  return drains;
}

function isUnderused(machine: DrainCandidate, options: DrainOptions): boolean {
  return (
    !machine.spot &&
    utilization(machine) <= options.maxUtilization &&
    machine.underusedFor >= options.minUnderusedTime
  );
}

/** The part of the hourly price that is paid for unused CPUs. */
function unusedHourlyCost(machine: DrainCandidate): number {
  return machine.price * (1 - utilization(machine));
}
