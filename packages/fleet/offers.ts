/** What the cloud offers, what is on its way, and the demand that both are matched with. */
import { type Resources, countFitting, subtractResources, type PendingJob } from '#pricing';
import { type MachineType } from '#wire';

/** A choice the cloud offers: a machine type in a zone, on-demand or spot. */
export interface Offer {
  machineType: string;
  zone: string;
  spot: boolean;
}

/** Capacity of a machine that is not usable yet. */
export interface PendingCapacity extends Offer {
  /** Shrinks as tasks are allocated to it. */
  free: Resources;
}

/** Tasks of one job that no free capacity can take. */
export interface UnmetDemand {
  /** For a gang that has to lie in one zone: with the zone in which it is being gathered. */
  job: PendingJob;
  /** Tasks. */
  count: number;
  /** The zone is not the job's own constraint: if nothing can be had there, another one serves as well. */
  canUseOtherZones?: boolean;
}

/** Identifies an offer in maps. */
export function offerKey(offer: Offer): string {
  return `${offer.machineType}/${offer.zone}/${offer.spot ? 'spot' : 'ordinary'}`;
}

/** The capacity of an empty machine of the type. */
export function resourcesOf(type: MachineType): Resources {
  return { cpus: type.cpus, gpus: type.gpus, memGb: type.memGb };
}

/** Whether the job's constraints admit machines of the offer, whatever their size. */
export function isFeasible(job: PendingJob, offer: Offer): boolean {
  return (
    (job.allowsSpot || !offer.spot) &&
    (job.machineTypes?.includes(offer.machineType) ?? true) &&
    (job.zone === null || job.zone === offer.zone)
  );
}

/** Takes pending capacity for up to `count` tasks of the job. Returns for how many there was enough. */
export function allocatePending(
  pendingCapacity: readonly PendingCapacity[],
  job: PendingJob,
  count: number,
): number {
  let remaining = count;
  for (const machine of pendingCapacity) {
    if (remaining === 0) break;
    if (!isFeasible(job, machine)) continue;
    const allocated = Math.min(remaining, countFitting(job.taskResources, machine.free));
    subtractResources(machine.free, job.taskResources, allocated);
    remaining -= allocated;
  }
  return count - remaining;
}
