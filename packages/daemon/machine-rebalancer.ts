/** Transfers machines between the shards: to owners with unmet demand, and away from owners that can't reach them. */
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

/** A transferred machine stays with its new owner for this long. */
const TRANSFER_COOLDOWN: Micros = 6 * SECOND;
/** Least difference of prices for a transfer of a machine without free capacity, in units of priority. */
const MIN_PRICE_GAP = 0.5;
/** Machines that one owner gives in a round for the guarantee deficit of another, at most. */
const MAX_DEFICIT_TRANSFERS = 10;

/** What a machine rebalancer works with. */
export interface MachineRebalancerOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly replica: Replica;
  readonly forecaster: Forecaster;
  readonly runTimeEstimator: RunTimeEstimator;
  readonly fleet: FleetManager;
  readonly log: Logger;
}

/** Decides for the leader which shard each machine should belong to. */
export class MachineRebalancer {
  /** By host: when the machine was last transferred to meet demand. */
  private readonly transferredAt = new Map<string, Micros>();

  constructor(private readonly options: MachineRebalancerOptions) {}

  /** Forgets the transfers of an earlier term. */
  beginTerm(): void {
    this.transferredAt.clear();
  }

  /** Transfers machines whose owner can't reach their zone to a shard whose owner can. */
  evacuatePartitionedZones(): void {
    const { replica, settings, fleet } = this.options;
    const reachability = new ZoneReachability(replica);
    if (!reachability.hasPartition) return;
    for (const machine of replica.ledger.machines.values()) {
      const owner = replica.shardOwners.get(intendedShard(machine) ?? -1);
      if (!owner || machine.destination === 'scale_in') continue;
      if (reachability.canReach(owner.member, machine.zone)) continue;
      const shard = shardForZone(replica, settings.initialSize, machine.zone);
      if (shard !== machine.shard) fleet.setTransferTarget(machine.host, shard, 'zone partitioned');
    }
  }

  /** Sets the targets of this round's transfers and returns the demand of each shard that they leave unmet. */
  transferToDemand(forecasts: readonly OwnerForecast[]): ShardDemand[] {
    const reachability = new ZoneReachability(this.options.replica);
    const { transfers, unmetDemand } = this.plan(forecasts, reachability);
    this.setTargets(transfers, forecasts);
    const { forecaster } = this.options;
    return forecasts.map(({ member, shards, pendingCapacity }) => ({
      shard: shards[0] ?? 0,
      unmetDemand: (unmetDemand.get(member) ?? []).map((demand) => forecaster.scaleOutDemand(demand)),
      pendingCapacity,
      canReach: (zone) => reachability.canReach(member, zone),
    }));
  }

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
    const { clock, fleet, log } = this.options;
    for (const { host, owner } of transfers) {
      const shard = forecasts.find((forecast) => forecast.member === owner)?.shards[0];
      if (shard === undefined) continue;
      this.transferredAt.set(host, clock.now());
      fleet.setTransferTarget(host, shard, 'unmet demand');
    }
    if (transfers.length > 0) log.debug({ transfers }, 'machine transfers planned');
  }

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

  /** The machine as a candidate for a transfer; null if the machine or its type is not known. */
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
      // A reserved machine is as good as used by the task that it is reserved for.
      isInCooldown:
        forecast.reservedHosts.has(host) || this.isRecentlyTransferred(host) || this.hasGangTask(host),
      busyFor: () => runTimeEstimator.busyFor(host),
    };
  }

  private isRecentlyTransferred(host: string): boolean {
    const transferredAt = this.transferredAt.get(host) ?? -Infinity;
    return this.options.clock.now() - transferredAt < TRANSFER_COOLDOWN;
  }

  /** A gang is best controlled by one owner of all its machines, so a machine with a part of one stays. */
  private hasGangTask(host: string): boolean {
    for (const { gangSize } of this.options.replica.ledger.placementsOn(host)) {
      if (gangSize !== null) return true;
    }
    return false;
  }
}

/** The shard with the fewest machines among those whose owners can reach the zone; 0 if there is none. */
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

/** The shard that the machine is being transferred to, or else the one that it belongs to. */
function intendedShard({ destination, shard }: MachineEntry): number | null {
  return typeof destination === 'number' ? destination : shard;
}
