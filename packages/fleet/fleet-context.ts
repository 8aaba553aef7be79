/** State and dependencies that the parts of the fleet manager share. */
import type { Ledger, Logger } from '#cluster';
import type { FencedCloud } from '#roles';
import type { Clock, MachineType, Micros } from '#wire';
import type { MachineList } from './machine-list.js';
import type { UnmetDemand } from './offers.js';
import type { PendingCapacity } from './pending-capacity.js';
import type { PendingFleetChanges } from './pending-fleet-changes.js';

/** The cluster state that fleet decisions are based on, as the leader currently sees it. */
export interface FleetState {
  ledger: Ledger;
  machineTypes: ReadonlyMap<string, MachineType>;
  /** How long a worker may be unresponsive before its machine counts as lost. */
  workerLease: Micros;
  /** Requests per second that the cloud accepts. */
  cloudRequestRate: number;
  /** Nominal maximum age of the cloud's list of machines. */
  machineListLag: Micros;
  /** Returns the shard that an adopted machine in this zone should belong to. */
  shardForZone: (zone: string) => number;
  /** True if workers in this zone may be up but unreachable because of a network partition. */
  isPartitioned: (zone: string) => boolean;
  /** True if the machine is kept ready for jobs that cannot wait for a machine to boot. */
  isInWarmPool: (host: string) => boolean;
}

/** Unmet demand of a shard owner as the leader forecasts it. */
export interface ShardDemand {
  /** The shard that new machines will belong to. */
  shard: number;
  /** All shards of the owner. A machine on its way to any of them will serve the demand. */
  ownedShards: readonly number[];
  /** Pending tasks that justify machines, most urgent first. */
  unmetDemand: readonly UnmetDemand[];
  /** Capacity that the running tasks of the owner are about to free. */
  pendingCapacity: readonly PendingCapacity[];
  /** Hosts of the owner's machines that are to run further tasks. They are not scaled in. */
  plannedHosts: ReadonlySet<string>;
  /** True if the owner's node can reach workers in this zone. */
  canReach: (zone: string) => boolean;
}

/** Dependencies shared by the parts of one fleet manager. */
export interface FleetContext {
  readonly cloud: FencedCloud;
  readonly clock: Clock;
  readonly state: () => FleetState;
  readonly log: Logger;
  /** Requests a scheduling round soon. After it the leader records the pending changes. */
  readonly requestRound: () => void;
  readonly changes: PendingFleetChanges;
  readonly machineList: MachineList;
}
