/** The platform's settings: the identity and addresses of a node, its peers, and the limits of its environment. */
import { parse } from 'smol-toml';
import { fromSeconds, type Micros } from '#wire';
import { SettingsError } from './error.js';
import { type PlatformFacts, type PlatformFile, platformSchema } from './platform-schema.js';
import { readSettingsFile } from './read-file.js';

const BYTES_PER_KB = 1024;
const MS_PER_SECOND = 1000;

/** A team with its quota: guaranteed resources and upper limits. */
export interface Team {
  name: string;
  /** Guaranteed CPUs; 0 for no guarantee. */
  cpus: number;
  /** Upper limit of CPUs; Infinity for no limit. */
  cpusMax: number;
  /** Guaranteed GPUs; 0 for no guarantee. */
  gpus: number;
  /** Upper limit of GPUs; Infinity for no limit. */
  gpusMax: number;
}

/** A service-level objective for a class of jobs. */
export interface Objective {
  /** `wait` for a time until tasks start; every other kind is treated as a time until the job ends. */
  kind: string;
  /** Class of the jobs to which the objective applies; null for all classes. */
  jobClass: string | null;
  /** Time within which the jobs are to reach the objective; null for no time. */
  within: Micros | null;
}

/** Another node of the cluster. */
export interface Peer {
  member: string;
  /** Zone in which the node runs. */
  domain: string;
  /** Host and port at which it serves its peers. */
  endpoint: string;
}

/** The platform's settings. Times are in microseconds and sizes in bytes. */
export interface Settings {
  /** Name of this node. */
  member: string;
  /** Zone in which this node runs. */
  domain: string;
  /** Host and port at which this node serves workers and users. */
  bind: string;
  /** Host and port at which this node serves its peers. */
  clusterListen: string;
  peers: Peer[];
  /** Host and port of the cloud API. */
  cloud: string;
  /** Host and port of the state service. */
  state: string;
  /** Number of nodes with which the cluster starts. The number of shards is the same. */
  initialSize: number;
  zones: string[];
  /** Largest difference between a node's wall-clock time and the true time. */
  timeBound: Micros;
  teams: Team[];
  objectives: Objective[];
  /** Time between two heartbeats of a worker. */
  heartbeatInterval: Micros;
  /** A worker stops its tasks when more than this time has passed since it sent its last answered heartbeat. */
  workerLease: Micros;
  /** Time within which the tasks of a cancelled job must have stopped, counted from the confirmation to the user. */
  cancellationDeadline: Micros;
  /** Time for which the tasks of a gang wait for each other. */
  gangWait: Micros;
  /** Time within which the tasks of a gang detect the loss of one of them, and all of them must be ordered to stop. */
  gangPeer: Micros;
  /**
   * Requests per second that the state service accepts. Each limit of the state service is the lower of the current
   * and the announced value.
   */
  stateRps: number;
  /** Write requests per second that the state service accepts. */
  stateWriteRps: number;
  /** Largest value that the state service stores, in bytes. */
  valueBytes: number;
  /** Largest number of operations that the state service accepts in one transaction. */
  txnOps: number;
  /** Requests per second that the cloud API accepts. */
  cloudRps: number;
  /** Usual lag of the cloud's list of machines. The lag is occasionally twice as long. */
  machineListLag: Micros;
  /** Number of connections that a node may have open. */
  sockets: number;
}

type StateSettings = Pick<Settings, 'stateRps' | 'stateWriteRps' | 'valueBytes' | 'txnOps'>;
type WorkerSettings = Pick<
  Settings,
  'heartbeatInterval' | 'workerLease' | 'cancellationDeadline' | 'gangWait' | 'gangPeer'
>;

/** Parses the text of a platform's file. Throws {@link SettingsError} that names the first invalid field. */
export function parseSettings(toml: string): Settings {
  const { facts, ...node } = parsePlatformFile(toml);
  return {
    member: node.member,
    domain: node.domain,
    bind: node.bind,
    clusterListen: node.cluster_listen,
    peers: node.peers,
    cloud: node.endpoints.cloud,
    state: node.endpoints.state,
    initialSize: facts.initial_size,
    zones: facts.zones,
    timeBound: fromSeconds(facts.time_bound_ms / MS_PER_SECOND),
    teams: facts.teams.map(teamOf),
    objectives: facts.objectives.map(objectiveOf),
    ...workerSettingsOf(facts.workers),
    ...stateSettingsOf(facts.state),
    cloudRps: facts.cloud.rps,
    machineListLag: fromSeconds(facts.cloud.list_lag_s),
    sockets: facts.machine_limits.sockets,
  };
}

/** Reads and parses a platform's file. Throws {@link SettingsError} if it can't be read or is invalid. */
export function loadSettings(file: string): Settings {
  return parseSettings(readSettingsFile(file));
}

function parsePlatformFile(toml: string): PlatformFile {
  const result = platformSchema.safeParse(parseToml(toml));
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  const path = issue?.path.map(String).join('.') ?? '?';
  throw new SettingsError(`${path}: ${issue?.message ?? 'invalid'}`, { cause: result.error });
}

function parseToml(toml: string): unknown {
  try {
    return parse(toml);
  } catch (cause) {
    throw new SettingsError(`not TOML: ${String(cause).split('\n')[0] ?? ''}`, { cause });
  }
}

function teamOf(team: PlatformFacts['teams'][number]): Team {
  const isGuest = hasNoLimits(team);
  return {
    name: team.name,
    cpus: team.cpus,
    cpusMax: isGuest ? Infinity : team.cpus_max,
    gpus: team.gpus,
    gpusMax: isGuest ? Infinity : team.gpus_max,
  };
}

/**
 * Returns true for a guest team, which has neither a guarantee nor a limit. In the file a limit of 0 means "none",
 * which is ambiguous. It means "no limit" only if both limits are 0. If only one of them is 0, the team may use none
 * of that resource: a limit that is too strict violates no rule.
 */
function hasNoLimits(team: PlatformFacts['teams'][number]): boolean {
  return team.cpus_max === 0 && team.gpus_max === 0;
}

function objectiveOf(objective: PlatformFacts['objectives'][number]): Objective {
  return {
    kind: objective.kind,
    jobClass: objective.class ?? null,
    within: objective.within_s === undefined ? null : fromSeconds(objective.within_s),
  };
}

function workerSettingsOf(workers: PlatformFacts['workers']): WorkerSettings {
  return {
    heartbeatInterval: fromSeconds(workers.report_s),
    workerLease: fromSeconds(workers.lease_s),
    cancellationDeadline: fromSeconds(workers.cancel_s),
    gangWait: fromSeconds(workers.gang_wait_s),
    gangPeer: fromSeconds(workers.gang_peer_s),
  };
}

function stateSettingsOf({ next, ...current }: PlatformFacts['state']): StateSettings {
  return {
    stateRps: smallerLimit(current.rps, next?.rps),
    stateWriteRps: smallerLimit(current.write_rps, next?.write_rps),
    valueBytes: Math.floor(smallerLimit(current.value_kb, next?.value_kb) * BYTES_PER_KB),
    txnOps: smallerLimit(current.txn_ops, next?.txn_ops),
  };
}

/** Returns the lower of the current and the announced limit, since the announced one may take effect without notice. */
function smallerLimit(current: number, announced: number | undefined): number {
  return Math.min(current, announced ?? current);
}
