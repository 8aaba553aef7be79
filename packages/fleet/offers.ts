/** Offers of the cloud, and the unmet demand that they are matched with. */
import type { PendingJob, Resources } from '#pricing';
import { type MachineType, MAX_TASKS_PER_HEARTBEAT } from '#wire';

/** A kind of machine that the cloud offers: a machine type in a zone, on-demand or spot. */
export interface Offer {
  machineType: string;
  zone: string;
  spot: boolean;
}

/** Tasks of one job for which there is no free capacity. */
export interface UnmetDemand {
  /** The job. For a gang that must run in one zone, `job.zone` is the zone that the last round preferred for it. */
  job: PendingJob;
  /** Number of tasks. */
  count: number;
  /** How many of them lie within the unused guarantee of their team; 0 if absent. */
  guaranteedCount?: number;
  /** True if `job.zone` is not the job's own constraint, so that another zone may be used if that one has no offer. */
  canUseOtherZones?: boolean;
}

/** Returns a key that identifies the offer in maps. */
export function offerKey(offer: Offer): string {
  return `${offer.machineType}/${offer.zone}/${offer.spot ? 'spot' : 'ordinary'}`;
}

/** Returns the capacity of an empty machine of the type. */
export function resourcesOf(type: MachineType): Resources {
  const { cpus, gpus, memGb } = type;
  return { cpus, gpus, memGb, taskSlots: MAX_TASKS_PER_HEARTBEAT };
}

/** True if the job's constraints allow machines of the offer, regardless of their size. */
export function isFeasible(job: PendingJob, offer: Offer): boolean {
  return (
    (job.allowsSpot || !offer.spot) &&
    (job.machineTypes?.includes(offer.machineType) ?? true) &&
    (job.zone === null || job.zone === offer.zone)
  );
}
