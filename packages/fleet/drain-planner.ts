/**
 * Selects underused machines to drain. A draining machine gets no new tasks and is deleted once its last task has
 * ended. Pure: no clock, no I/O.
 */
import type { Resources } from '#pricing';
import type { Micros } from '#wire';

/** A machine that may be drained. */
export interface DrainCandidate {
  host: string;
  spot: boolean;
  /** Price per hour. */
  price: number;
  total: Resources;
  /** Capacity that the next round of the machine's owner is expected to leave free. */
  free: Resources;
  /** Time for which the machine has been underused. */
  underusedFor: Micros;
}

/** Conditions under which a machine is drained. */
export interface DrainOptions {
  /** A machine counts as underused up to this utilization, from 0 to 1. */
  maxUtilization: number;
  /** Minimum time for which the machine must have been underused. */
  minUnderusedTime: Micros;
  /** Free CPUs that the other machines must have, as a multiple of the CPUs in use on the drained machine. */
  spareFactor: number;
}

/** Minimum fraction of a machine's CPUs that counts as in use when the required spare capacity is computed. */
const MIN_COUNTED_UTILIZATION = 0.1;

/** Returns the fraction of a machine's CPUs that is in use, from 0 to 1. */
export function utilization({ total, free }: Pick<DrainCandidate, 'total' | 'free'>): number {
  return total.cpus > 0 ? 1 - free.cpus / total.cpus : 0;
}

/**
 * Returns the hosts of the machines to drain, highest hourly cost of unused CPUs first. A machine is drained only if
 * the other machines have `spareFactor` times as many free CPUs as it uses. Spot machines are never drained, since they
 * are cheap enough to keep.
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

/** Returns the part of the hourly price that is paid for unused CPUs. */
function unusedHourlyCost(machine: DrainCandidate): number {
  return machine.price * (1 - utilization(machine));
}
