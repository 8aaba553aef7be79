/** Builds the components of a node, grouped by purpose and ordered by their dependencies. */
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

/** How long the last observation of an unresponsive worker or peer counts in the detection of data loss. */
const OBSERVATION_LIFETIME: Micros = 60 * SECOND;

/** Dependencies of {@link Controller}: the settings, and the clocks, randomness, clients and logger of the process. */
export interface ControllerOptions {
  readonly settings: Settings;
  readonly tuning: Tuning;
  readonly clock: Clock;
  /** Returns a random number, uniform in [0, 1). */
  readonly random: () => number;
  /** Identifies this start of the process. Unique among all starts of all nodes. */
  readonly incarnation: string;
  readonly httpClient: HttpClient;
  readonly ping: Ping;
  readonly log: Logger;
}

/**
 * The replica of the state, the membership, and the fenced clients of the state service and the cloud. Only the
 * controller holds the unfenced clients that these wrap.
 */
export interface ClusterComponents {
  readonly replica: Replica;
  readonly membership: Membership;
  readonly fencedStore: FencedStore;
  readonly cloud: FencedCloud;
  /** Null unless the operators' settings enable the detection of data loss. */
  readonly dataLossDetector: DataLossDetector | null;
}

/** Builds the data loss detector; null unless the operators' settings enable it. */
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

/**
 * The basis of this node's authority over workers: the shards that it owns and the freshness of its replica. Also the
 * registry of the workers on the machines of these shards, and the tracker of whether workers reach this node.
 */
export interface AuthorityComponents {
  readonly workers: WorkerRegistry;
  readonly workerReachability: WorkerReachability;
  readonly ownership: ShardOwnership;
  readonly freshness: StateFreshness;
}

/** Builds the components behind this node's authority over workers. */
export function buildAuthorityComponents(
  options: ControllerOptions,
  cluster: ClusterComponents,
): AuthorityComponents {
  const { settings, clock } = options;
  const { replica, membership, dataLossDetector } = cluster;
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

/** The writer of placement records and checkpoints, and the size limits of its transactions. */
export interface WriteComponents {
  readonly writeLimits: WriteLimits;
  readonly logWriter: LogWriter;
}

/** Builds the writer of placement records and checkpoints, with its rate limiters. */
export function buildWriteComponents(
  options: ControllerOptions,
  cluster: ClusterComponents,
  freshness: StateFreshness,
): WriteComponents {
  const { settings, clock, log } = options;
  const { replica, fencedStore } = cluster;
  const { roles } = cluster.membership;
  const budget = new WriteBudget({ settings, replica, freshness });
  const logRateLimiter = new RateLimiter(clock, (currentRate) => budget.logWriteRate(currentRate));
  const checkpointRateLimiter = new RateLimiter(clock, () => budget.checkpointWriteRate());
  const writeLimits = new WriteLimits(settings.valueBytes, settings.txnOps);
  const logWriter = new LogWriter({
    store: fencedStore,
    replica,
    roles,
    clock,
    limits: writeLimits,
    recordLimiter: logRateLimiter,
    checkpointLimiter: checkpointRateLimiter,
    log,
  });
  return { writeLimits, logWriter };
}

/** The components that decide which task runs on which machine, and that estimate run times and future demand. */
export interface SchedulingComponents {
  readonly runTimeEstimator: RunTimeEstimator;
  readonly scheduler: Scheduler;
  readonly forecaster: Forecaster;
}

/** Builds the components that decide which task runs on which machine. */
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
    clock,
    replica,
    workers,
    inputBuilder,
    preemptionPlanner,
    log,
  });
  const forecaster = new Forecaster({ settings, replica, inputBuilder, runTimeEstimator, scheduler });
  return { runTimeEstimator, scheduler, forecaster };
}
