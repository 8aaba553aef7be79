/** Plans transfers of machines between shards: to owners with unmet demand, and from owners that can't reach them. */
import type { Logger, MachineEntry, Replica } from '#cluster';
import {
  type FleetManager,
  type MachineTransfer,
  planTransfers,
  resourcesOf,
  type ShardDemand,
  type TransferCandidate,
  type TransferPlan,
} from '#fleet';
import type { Resources } from '#pricing';
import type { Forecaster, OwnerForecast, RunTimeEstimator } from '#scheduling';
import type { Settings } from '#settings';
import { type Clock, type Micros, SECOND } from '#wire';
import { ZoneReachability } from './zone-reachability.js';

/** Minimum time for which a transferred machine stays with its new owner. */
const TRANSFER_COOLDOWN: Micros = 6 * SECOND;
/** Minimum difference of prices for the transfer of a machine without free capacity, in units of priority. */
const MIN_PRICE_GAP = 0.5;
/** Maximum number of machines that one owner gives per round to reduce another owner's deficit in guaranteed quota. */
const MAX_DEFICIT_TRANSFERS = 10;

/** Dependencies of {@link MachineRebalancer}. */
export interface MachineRebalancerOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly replica: Replica;
  readonly forecaster: Forecaster;
  readonly runTimeEstimator: RunTimeEstimator;
  readonly fleetManager: FleetManager;
  readonly log: Logger;
}

/** Decides which shard each machine should belong to. Runs on the leader. */
export class MachineRebalancer {
  /** When a machine was last transferred to meet demand. Keyed by host. */
  private readonly transferredAt = new Map<string, Micros>();

  constructor(private readonly options: MachineRebalancerOptions) {}

  /** Clears the transfers of an earlier term. */
  beginTerm(): void {
    this.transferredAt.clear();
  }

  /** Transfers each machine whose owner can't reach its zone to a shard whose owner can. */
  evacuatePartitionedZones(): void {
    const { replica, settings, fleetManager } = this.options;
    const reachability = new ZoneReachability(replica);
    if (!reachability.hasPartition) return;
    for (const machine of replica.ledger.machines.values()) {
      const owner = replica.shardOwners.get(intendedShard(machine) ?? -1);
      if (!owner || machine.destination === 'scale_in') continue;
      if (reachability.canReach(owner.member, machine.zone)) continue;
      const shard = shardForZone(replica, settings.initialSize, machine.zone);
      if (shard !== machine.shard) fleetManager.setTransferTarget(machine.host, shard, 'zone partitioned');
    }
  }

  /** Sets the targets of this step's transfers. Returns each owner's remaining unmet demand for its first shard. */
  transferToDemand(forecasts: readonly OwnerForecast[]): ShardDemand[] {
    const reachability = new ZoneReachability(this.options.replica);
    const { transfers, unmetDemand } = this.plan(forecasts, reachability);
    this.setTargets(transfers, forecasts);
    const { forecaster } = this.options;
    return forecasts.map(({ member, shards, pendingCapacity, plannedHosts }) => ({
      shard: shards[0] ?? 0,
      ownedShards: shards,
      unmetDemand: forecaster.scaleOutDemands(unmetDemand.get(member) ?? []),
      pendingCapacity,
      plannedHosts,
      canReach: (zone) => reachability.canReach(member, zone),
    }));
  }

  /** Plans the transfers that reduce unmet demand, and the demand that they leave unmet. */
  private plan(forecasts: readonly OwnerForecast[], reachability: ZoneReachability): TransferPlan {
    return planTransfers({
      owners: forecasts.map((forecast) => ({ ...forecast, owner: forecast.member })),
      machines: this.candidates(forecasts),
      canReach: (owner, zone) => reachability.canReach(owner, zone),
      minPriceGap: MIN_PRICE_GAP,
      maxDeficitTransfers: MAX_DEFICIT_TRANSFERS,
    });
  }

  private setTargets(transfers: readonly MachineTransfer[], forecasts: readonly OwnerForecast[]): void {
    const { clock, fleetManager, log } = this.options;
    for (const { host, owner } of transfers) {
      const shard = forecasts.find((forecast) => forecast.member === owner)?.shards[0];
      if (shard === undefined) continue;
      this.transferredAt.set(host, clock.now());
      fleetManager.setTransferTarget(host, shard, 'unmet demand');
    }
    if (transfers.length > 0) log.debug({ transfers }, 'machine transfers planned');
  }

  /** Returns the forecast machines as candidates for a transfer. */
  private candidates(forecasts: readonly OwnerForecast[]): TransferCandidate[] {
    const candidates: TransferCandidate[] = [];
    for (const forecast of forecasts) {
      for (const [host, free] of forecast.free) {
        const candidate = this.candidate(forecast, host, free);
        if (candidate) candidates.push(candidate);
      }
    }
    return candidates;
  }

  /** Returns the machine as a candidate for a transfer; null if the machine or its type is unknown. */
  private candidate(forecast: OwnerForecast, host: string, free: Resources): TransferCandidate | null {
    const { replica, runTimeEstimator } = this.options;
    const machine = replica.ledger.machines.get(host);
    const type = machine && replica.machineTypes.get(machine.machineType);
    if (!type) return null;
    return {
      host,
      machineType: machine.machineType,
      zone: machine.zone,
      spot: machine.spot,
      owner: forecast.member,
      free,
      total: resourcesOf(type),
      // A reserved machine counts as used by the task for which it is reserved.
      isPinned:
        forecast.reservedHosts.has(host) || this.isRecentlyTransferred(host) || this.hasGangTask(host),
      busyFor: () => runTimeEstimator.busyFor(host),
    };
  }

  private isRecentlyTransferred(host: string): boolean {
    const transferredAt = this.transferredAt.get(host) ?? -Infinity;
    return this.options.clock.now() - transferredAt < TRANSFER_COOLDOWN;
  }

  /** True if a gang task runs on the machine. Such a machine stays: one owner should control the whole gang. */
  private hasGangTask(host: string): boolean {
    for (const { gangSize } of this.options.replica.ledger.placementsOn(host)) {
      if (gangSize !== null) return true;
    }
    return false;
  }
}

/** Returns the shard with the fewest machines among those whose owners can reach the zone; 0 if there is none. */
export function shardForZone(replica: Replica, shardCount: number, zone: string): number {
  const reachability = new ZoneReachability(replica);
  const machineCounts = new Map<number, number>();
  for (let shard = 0; shard < shardCount; shard++) {
    const owner = replica.shardOwners.get(shard);
    if (!owner || reachability.canReach(owner.member, zone)) machineCounts.set(shard, 0);
  }
  for (const machine of replica.ledger.machines.values()) {
    const shard = intendedShard(machine);
    const count = shard === null ? undefined : machineCounts.get(shard);
    if (shard !== null && count !== undefined) machineCounts.set(shard, count + 1);
  }
  const [fewest] = [...machineCounts].sort(([, a], [, b]) => a - b);
  return fewest?.[0] ?? 0;
}

/** Returns the shard that the machine is transferred to or, without a transfer, the one that it belongs to. */
function intendedShard({ destination, shard }: MachineEntry): number | null {
  return typeof destination === 'number' ? destination : shard;
}
