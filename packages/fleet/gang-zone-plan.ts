/**
 * Decides in which zones machines are requested for a gang whose tasks must be spread over zones. All of its tasks run at
 * the same time or none does, so machines in one zone are of no use to it without those in another.
 */
import { countFitting, type PendingJob, type ZoneConstraint } from '#pricing';
import type { UnmetDemand } from './offers.js';
import type { PendingCapacity } from './pending-capacity.js';

/** What the offers of a zone have for the gang. */
export interface ZoneOffers {
  /** True if an offer of which the cloud did not lack machines the last time may be requested. */
  readonly hasAvailable: boolean;
  /** True if any offer may be requested. */
  readonly hasAny: boolean;
}

/** What the decision depends on. */
export interface GangZoneInput {
  readonly demand: UnmetDemand;
  readonly constraint: ZoneConstraint;
  /** Offers of the zones for the job. Keyed by zone. */
  readonly offers: ReadonlyMap<string, ZoneOffers>;
  /** Pending capacity that the job may use. */
  readonly pendingCapacity: readonly PendingCapacity[];
  /** True if the cloud had too few machines of the offer the last time. */
  readonly isScarce: (group: PendingCapacity) => boolean;
}

/**
 * `all`: machines may be requested in all zones. `scarce`: only in zones where all offers are scarce; the other zones follow
 * once the cloud has supplied these, so that no machine waits for one that does not come. `none`: some tasks would get no
 * machine.
 */
export type GangZonePlan =
  { readonly kind: 'all' | 'none' } | { readonly kind: 'scarce'; readonly zones: ReadonlySet<string> };

/** Decides in which zones machines are requested for the gang. */
export function planGangZones(input: GangZoneInput): GangZonePlan {
  const { demand, constraint, offers, pendingCapacity } = input;
  const zones = new Set([...offers.keys(), ...pendingCapacity.map(({ zone }) => zone)]);
  let reliable = 0;
  let possible = 0;
  const scarceZones = new Set<string>();
  for (const zone of zones) {
    const limit = Math.min(demand.count, constraint.remainingIn(zone));
    const { hasAvailable, hasAny } = offers.get(zone) ?? { hasAvailable: false, hasAny: false };
    reliable += hasAvailable ? limit : Math.min(limit, reliablePending(zone, input));
    possible += hasAny ? limit : Math.min(limit, fittingTasks(demand.job, zone, pendingCapacity));
    if (!hasAvailable) scarceZones.add(zone);
  }
  if (possible < demand.count) return { kind: 'none' };
  return reliable >= demand.count ? { kind: 'all' } : { kind: 'scarce', zones: scarceZones };
}

/** Returns the number of tasks that the zone's pending capacity takes, without requests that may be refused again. */
function reliablePending(zone: string, { demand, pendingCapacity, isScarce }: GangZoneInput): number {
  const reliable = pendingCapacity.filter((group) => group.isRequested !== true || !isScarce(group));
  return fittingTasks(demand.job, zone, reliable);
}

function fittingTasks(job: PendingJob, zone: string, groups: readonly PendingCapacity[]): number {
  return groups
    .filter((group) => group.zone === zone)
    .reduce((sum, { machineCount, free }) => sum + machineCount * countFitting(job.taskResources, free), 0);
}
