/** Builds the parts of a node that work on its copy of the state, in the order of what they depend on. */
import {
  type Logger,
  LogWriter,
  type Membership,
  type Ping,
  type Replica,
  WorkerReachability,
} from '#cluster';
import { DataLossDetector } from '#recovery';
import type { FencedCloud, FencedStore } from '#roles';
import { Forecaster, PreemptionPlanner, RoundInputBuilder, RunTimeEstimator, Scheduler } from '#scheduling';
import type { Settings, Tuning } from '#settings';
import { RateLimiter, WriteLimits } from '#store';
import { type Clock, type HttpClient, type Micros, SECOND } from '#wire';
import { WorkerRegistry } from '#workers';
import { ShardOwnership } from './shard-ownership.js';
import { StateFreshness } from './state-freshness.js';
import { WriteBudget } from './write-budget.js';

/** How long a silent worker or peer is taken to have observed more than the state service shows. */
const OBSERVATION_LIFETIME: Micros = 60 * SECOND;

/** What a node is made of: its settings and its ways to the world outside. */
export interface ControllerOptions {
  readonly settings: Settings;
  readonly tuning: Tuning;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Unique for this start of the process. */
  readonly incarnation: string;
  readonly httpClient: HttpClient;
  readonly ping: Ping;
  readonly log: Logger;
}

/** What follows and changes the state service and the cloud. The clients behind it are held by the controller only. */
export interface CoreComponents {
  readonly replica: Replica;
  readonly membership: Membership;
  readonly fencedStore: FencedStore;
  readonly cloud: FencedCloud;
  /** Null unless the operators' settings switch it on. */
  readonly dataLossDetector: DataLossDetector | null;
}

/** Builds the detector of data loss; null unless the operators' settings switch it on. */
export function buildDataLossDetector({
  settings,
  tuning,
  clock,
  log,
}: ControllerOptions): DataLossDetector | null {
  if (!tuning.detectsDataLoss) return null;
  return new DataLossDetector({
    clock,
    log,
    observationLifetime: OBSERVATION_LIFETIME,
    peerCount: settings.peers.length,
    heartbeatInterval: settings.heartbeatInterval,
  });
}

/** What judges this node's copy of the state, and the workers that follow from it. */
export interface StateComponents {
  readonly workers: WorkerRegistry;
  readonly workerReachability: WorkerReachability;
  readonly ownership: ShardOwnership;
  readonly freshness: StateFreshness;
}

/** Builds what judges the copy of the state, and the registry of workers. */
export function buildStateComponents(options: ControllerOptions, core: CoreComponents): StateComponents {
  const { settings, clock } = options;
  const { replica, membership, dataLossDetector } = core;
  const workers = new WorkerRegistry(settings);
  const workerReachability = new WorkerReachability(settings);
  const freshness = new StateFreshness({
    replica,
    clock,
    hasPeers: settings.peers.length > 0,
    isStateIntact: () => dataLossDetector?.isOpen() ?? true,
  });
  const ownership = new ShardOwnership({ clock, membership, replica, workers });
  return { workers, workerReachability, ownership, freshness };
}

/** What writes placement records and checkpoints, and the limits it keeps. */
export interface WriteComponents {
  readonly writeLimits: WriteLimits;
  readonly logWriter: LogWriter;
}

/** Builds what writes placement records and checkpoints. */
export function buildWriteComponents(
  options: ControllerOptions,
  core: CoreComponents,
  freshness: StateFreshness,
): WriteComponents {
  const { settings, clock, log } = options;
  const { replica, fencedStore } = core;
  const { roles } = core.membership;
  const budget = new WriteBudget({ settings, replica, freshness });
  const logs = new RateLimiter(clock, (ownRate) => budget.logWriteRate(ownRate));
  const checkpoints = new RateLimiter(clock, () => budget.checkpointWriteRate());
  const writeLimits = new WriteLimits(settings.valueBytes, settings.txnOps);
  const logWriter = new LogWriter({
    store: fencedStore,
    replica,
    roles,
    clock,
    limits: writeLimits,
    recordLimiter: logs,
    checkpointLimiter: checkpoints,
    log,
  });
  return { writeLimits, logWriter };
}

/** What decides which task runs where. */
export interface SchedulingComponents {
  readonly runTimeEstimator: RunTimeEstimator;
  readonly scheduler: Scheduler;
  readonly forecaster: Forecaster;
}

/** Builds what decides which task runs where. */
export function buildSchedulingComponents(
  options: ControllerOptions,
  replica: Replica,
  workers: WorkerRegistry,
): SchedulingComponents {
  const { settings, tuning, clock, random, log } = options;
  const runTimeEstimator = new RunTimeEstimator({ clock, replica, workers, log });
  const inputBuilder = new RoundInputBuilder({
    settings,
    tuning,
    clock,
    replica,
    workers,
    runTimeEstimator,
  });
  const preemptionPlanner = new PreemptionPlanner({ settings, clock, replica, workers, runTimeEstimator });
  const scheduler = new Scheduler({
    settings,
    tuning,
    random,
    replica,
    workers,
    inputBuilder,
    preemptionPlanner,
    log,
  });
  const forecaster = new Forecaster({ settings, replica, inputBuilder, runTimeEstimator, scheduler });
  return { runTimeEstimator, scheduler, forecaster };
}
