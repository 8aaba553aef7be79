/** What the modules of the fleet manager work with. */
import type { Ledger, Logger } from '#cluster';
import type { FencedCloud } from '#roles';
import type { Clock, MachineType, Micros } from '#wire';
import type { MachineList } from './machine-list.js';
import type { PendingCapacity, UnmetDemand } from './offers.js';
import type { PendingFleetChanges } from './pending-fleet-changes.js';

/** The state that the fleet is managed by, as the leader knows it at the moment. */
export interface FleetState {
  ledger: Ledger;
  machineTypes: ReadonlyMap<string, MachineType>;
  /** How long a worker may be silent before its machine counts as lost. */
  workerLease: Micros;
  /** How old the cloud's list of machines may nominally be. */
  machineListLag: Micros;
  /** The shard that a machine found in this zone should belong to. */
  shardForZone: (zone: string) => number;
  /** Workers in this zone may be up and unreachable. */
  isPartitioned: (zone: string) => boolean;
  /** The machine is held ready for jobs that can't wait for one to boot. */
  isInWarmPool: (host: string) => boolean;
}

/** What the owner of a shard lacks, as far as the leader knows. */
export interface ShardDemand {
  shard: number;
  unmetDemand: readonly UnmetDemand[];
  /** Capacity that its running tasks are about to free. */
  pendingCapacity: readonly PendingCapacity[];
  /** The owner's node can reach workers in this zone. */
  canReach: (zone: string) => boolean;
}

/** What the modules of one fleet manager share. */
export interface FleetContext {
  readonly cloud: FencedCloud;
  readonly clock: Clock;
  readonly state: () => FleetState;
  readonly log: Logger;
  /** Asks for a scheduling round, after which the leader records what is pending. */
  readonly requestRound: () => void;
  readonly changes: PendingFleetChanges;
  readonly machineList: MachineList;
}
