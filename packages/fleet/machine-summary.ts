/** Counts the fleet's machines by zone, and those that are still booting by shard and offer. */
import type { FleetContext } from './fleet-context.js';
import { isBooting } from './machine-age.js';
import { offerKey, resourcesOf } from './offers.js';
import type { PendingCapacity } from './pending-capacity.js';

/** Summary of the fleet's machines for the scale-out. */
export interface MachineSummary {
  /** Number of machines of all shards. Keyed by zone. */
  readonly machinesPerZone: ReadonlyMap<string, number>;
  /** Capacity of the machines that are still booting, one group for each offer. Keyed by shard. */
  readonly booting: ReadonlyMap<number, readonly PendingCapacity[]>;
}

/** Returns the summary of all machines in the ledger. */
export function summarizeMachines(context: FleetContext): MachineSummary {
  const { ledger, machineTypes } = context.state();
  const machinesPerZone = new Map<string, number>();
  const bootingByShard = new Map<number, Map<string, PendingCapacity>>();
  for (const machine of ledger.machines.values()) {
    const { machineType, zone, spot, shard } = machine;
    machinesPerZone.set(zone, (machinesPerZone.get(zone) ?? 0) + 1);
    const type = machineTypes.get(machineType);
    if (shard === null || !type || !isBooting(machine, context)) continue;
    let groups = bootingByShard.get(shard);
    if (!groups) bootingByShard.set(shard, (groups = new Map<string, PendingCapacity>()));
    const group = groups.get(offerKey(machine));
    if (group) group.machineCount++;
    else groups.set(offerKey(machine), { machineType, zone, spot, machineCount: 1, free: resourcesOf(type) });
  }
  const booting = new Map([...bootingByShard].map(([shard, groups]) => [shard, [...groups.values()]]));
  return { machinesPerZone, booting };
}
