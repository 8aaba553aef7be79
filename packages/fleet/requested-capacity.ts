/** Capacity of the scale-out requests that are planned or recorded, and not settled yet. */
import type { Resources } from '#pricing';
import type { FleetContext } from './fleet-context.js';
import { resourcesOf } from './offers.js';
import type { PendingCapacity } from './pending-capacity.js';
import type { PlannedScaleOut } from './scale-out-batch.js';

/** The machines of one scale-out request. */
export class RequestedCapacity implements PendingCapacity {
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly machineCount: number;
  readonly isRequested = true;

  constructor(
    readonly requestId: string,
    { machineType, zone, spot, count }: PlannedScaleOut,
    readonly free: Resources,
  ) {
    this.machineType = machineType;
    this.zone = zone;
    this.spot = spot;
    this.machineCount = count;
  }
}

/** Returns the capacity of all requests that are not settled yet. Keyed by shard. */
export function requestedCapacity({
  state,
  changes,
}: FleetContext): ReadonlyMap<number, readonly RequestedCapacity[]> {
  const { ledger, machineTypes } = state();
  const requested = new Map<number, RequestedCapacity[]>();
  const add = (requestId: string, request: PlannedScaleOut): void => {
    const type = machineTypes.get(request.machineType);
    if (!type) return;
    const group = new RequestedCapacity(requestId, request, resourcesOf(type));
    const groups = requested.get(request.shard);
    if (groups) groups.push(group);
    else requested.set(request.shard, [group]);
  };
  for (const scaleOut of ledger.pendingScaleOuts.values()) add(scaleOut.id, scaleOut);
  for (const [id, machineType, zone, spot, count, shard] of changes.scaleOuts)
    add(id, { machineType, zone, spot, count, shard });
  return requested;
}
