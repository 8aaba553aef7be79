/** Offers of the cloud, capacity that is not usable yet, and the unmet demand that both are matched with. */
import { type Resources, countFitting, subtractResources, type PendingJob } from '#pricing';
import { type MachineType } from '#wire';

/** A kind of machine that the cloud offers: a machine type in a zone, on-demand or spot. */
export interface Offer {
  machineType: string;
  zone: string;
  spot: boolean;
}

/** Capacity of one machine that is about to become usable: it is booting, or tasks on it are about to end. */
export interface PendingCapacity extends Offer {
  /** Capacity that is not allocated yet. It shrinks as tasks are allocated to it. */
  free: Resources;
}

/** Tasks of one job for which there is no free capacity. */
export interface UnmetDemand {
  /** The job. For a gang that must run in one zone, `job.zone` is the zone that the last round preferred for it. */
  job: PendingJob;
  /** Number of tasks. */
  count: number;
  /** True if `job.zone` is not the job's own constraint, so that another zone may be used if that one has no offer. */
  canUseOtherZones?: boolean;
}

/** Returns a key that identifies the offer in maps. */
export function offerKey(offer: Offer): string {
  return `${offer.machineType}/${offer.zone}/${offer.spot ? 'spot' : 'ordinary'}`;
}

/** Returns the capacity of an empty machine of the type. */
export function resourcesOf(type: MachineType): Resources {
  return { cpus: type.cpus, gpus: type.gpus, memGb: type.memGb };
}

/** True if the job's constraints allow machines of the offer, regardless of their size. */
export function isFeasible(job: PendingJob, offer: Offer): boolean {
  return (
    (job.allowsSpot || !offer.spot) &&
    (job.machineTypes?.includes(offer.machineType) ?? true) &&
    (job.zone === null || job.zone === offer.zone)
  );
}

/** Allocates pending capacity, in place, to up to `count` tasks of the job. Returns the number of tasks that got it. */
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
