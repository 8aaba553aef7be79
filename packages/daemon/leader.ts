/** The periodic duties of the leader: shard assignment, machine types, machine transfers, drains and fleet size. */
import type { LogId, Logger, LogWriter, Membership, RecordDraft, Replica } from '#cluster';
import { FleetManager, type FleetState } from '#fleet';
import type { FencedCloud, FencedStore, TermProof } from '#roles';
import type { Forecaster, RunTimeEstimator } from '#scheduling';
import type { Settings } from '#settings';
import type { WriteLimits } from '#store';
import type { Clock, Micros } from '#wire';
import { FleetStatusLogger } from './fleet-status-logger.js';
import { MachineDrainer } from './machine-drainer.js';
import { MachineRebalancer, shardForZone } from './machine-rebalancer.js';
import { MachineTypeRefresher } from './machine-type-refresher.js';
import { ShardAssigner } from './shard-assigner.js';
import { ZoneReachability } from './zone-reachability.js';

/**
 * Pause after a fleet step, as a multiple of the step's duration. A forecast costs as much processor time as the rounds
 * of all shard owners together.
 */
const FORECAST_PAUSE_FACTOR = 6;

/** Dependencies of {@link Leader}. */
export interface LeaderOptions {
  settings: Settings;
  clock: Clock;
  store: FencedStore;
  cloud: FencedCloud;
  replica: Replica;
  membership: Membership;
  logWriter: LogWriter;
  writeLimits: WriteLimits;
  forecaster: Forecaster;
  runTimeEstimator: RunTimeEstimator;
  log: Logger;
  /** Requests a scheduling round of this node as soon as possible. */
  requestRound: () => void;
}

/** Performs the duties of the leader role. Does nothing on a node that does not hold this role. */
export class Leader {
  private readonly fleetManager: FleetManager;
  private readonly shardAssigner: ShardAssigner;
  private readonly machineTypes: MachineTypeRefresher;
  private readonly rebalancer: MachineRebalancer;
  private readonly drainer: MachineDrainer;
  private readonly statusLogger: FleetStatusLogger;
  private term = 0;
  private isRecording = false;
  private nextFleetStepAt: Micros = -Infinity;

  constructor(private readonly options: LeaderOptions) {
    const { cloud, clock, log, requestRound } = options;
    this.fleetManager = new FleetManager({
      cloud,
      clock,
      state: () => this.fleetState(),
      log,
      requestRound,
    });
    this.shardAssigner = new ShardAssigner(options);
    this.machineTypes = new MachineTypeRefresher(options);
    this.drainer = new MachineDrainer(options);
    this.statusLogger = new FleetStatusLogger(options);
    this.rebalancer = new MachineRebalancer({
      settings: options.settings,
      clock,
      replica: options.replica,
      forecaster: options.forecaster,
      runTimeEstimator: options.runTimeEstimator,
      fleetManager: this.fleetManager,
      log,
    });
  }

  /**
   * Performs one step of the leader's duties. Called after each scheduling round of the node.
   *
   * @param isFresh - true if the replica is recent enough to decide on machines; if false, only shards are assigned and
   * machine types refreshed
   */
  step(isFresh: boolean): void {
    const { membership, clock } = this.options;
    const termProof = membership.roles.proveHeld('lead');
    if (!termProof) return;
    if (termProof.term !== this.term) this.beginTerm(termProof);
    void this.machineTypes.refreshIfDue(termProof);
    void this.shardAssigner.assign(termProof);
    if (!isFresh || this.isRecording || clock.now() < this.nextFleetStepAt) return;
    const startedAt = clock.now();
    this.stepFleet();
    this.nextFleetStepAt = clock.now() + (clock.now() - startedAt) * FORECAST_PAUSE_FACTOR;
    void this.recordFleetChanges();
    void this.options.logWriter.maintain();
  }

  /** Plans transfers, drains, scale-out and scale-in from a forecast of every owner's next scheduling round. */
  private stepFleet(): void {
    const { forecaster, replica } = this.options;
    this.rebalancer.evacuatePartitionedZones();
    this.drainer.observeWarmPool();
    const forecasts = forecaster.forecast(replica.shardOwners);
    const demands = this.rebalancer.transferToDemand(forecasts);
    if (demands.every(({ unmetDemand }) => unmetDemand.length === 0)) {
      for (const host of this.drainer.selectDrains(forecasts)) {
        this.fleetManager.setTransferTarget(host, 'scale_in', 'underused');
      }
    }
    this.fleetManager.step(demands);
    this.statusLogger.logIfDue();
  }

  /** Appends the fleet manager's changes to the leader's log. Rounds continue because they write to other logs. */
  private async recordFleetChanges(): Promise<void> {
    const draft = this.fleetManager.draft();
    if (isEmptyDraft(draft)) return;
    this.isRecording = true;
    try {
      const committed = await this.options.logWriter.append(new Map<LogId, RecordDraft>([['lead', draft]]));
      if (!committed) return;
      this.fleetManager.onRecordCommitted(draft);
      this.fleetManager.deleteReleasedMachines();
    } finally {
      this.isRecording = false;
    }
  }

  private beginTerm(termProof: TermProof): void {
    this.term = termProof.term;
    this.nextFleetStepAt = -Infinity;
    this.machineTypes.beginTerm();
    this.shardAssigner.beginTerm();
    this.rebalancer.beginTerm();
    this.drainer.beginTerm();
    this.fleetManager.beginTerm(termProof);
  }

  private fleetState(): FleetState {
    const { replica, settings } = this.options;
    return {
      ledger: replica.ledger,
      machineTypes: replica.machineTypes,
      workerLease: settings.workerLease,
      cloudRequestRate: settings.cloudRps,
      machineListLag: settings.machineListLag,
      shardForZone: (zone) => shardForZone(replica, settings.initialSize, zone),
      isInWarmPool: (host) => this.drainer.isInWarmPool(host),
      isPartitioned: (zone) => new ZoneReachability(replica).isPartitioned(zone),
    };
  }
}

function isEmptyDraft(draft: RecordDraft): boolean {
  return !Object.values(draft).some((rows) => Array.isArray(rows) && rows.length > 0);
}
