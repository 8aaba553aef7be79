/** The platform's settings: a node's identity, its peers, and the limits of its environment. */
import { parse } from 'smol-toml';
import { fromSeconds, type Micros } from '#wire';
import { SettingsError } from './error.js';
import { type PlatformFacts, type PlatformFile, platformSchema } from './platform-schema.js';
import { readSettingsFile } from './read-file.js';

const BYTES_PER_KB = 1024;
const MS_PER_SECOND = 1000;

/** A team, and the resources that it is guaranteed and limited to. */
export interface Team {
  name: string;
  /** Guaranteed; 0 for none. */
  cpus: number;
  /** At most; Infinity for no limit. */
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

/** What the users expect of a class of jobs. */
export interface Objective {
  kind: string;
  /** Null for jobs of every class. */
  jobClass: string | null;
  within: Micros | null;
}

/** Another node of the cluster. */
export interface Peer {
  member: string;
  /** Its zone. */
  domain: string;
  /** Host and port at which it serves its peers. */
  endpoint: string;
}

/** The platform's settings, in the units of the code. */
export interface Settings {
  member: string;
  domain: string;
  /** Host and port for workers and users. */
  bind: string;
  /** Host and port for peers. */
  clusterListen: string;
  peers: Peer[];
  /** Host and port of the cloud's interface. */
  cloud: string;
  /** Host and port of the state service. */
  state: string;
  /** Controllers that the cluster starts with; there are as many shards. */
  initialSize: number;
  zones: string[];
  /** How far a node's time of day may lie from the true time. */
  timeBound: Micros;
  teams: Team[];
  objectives: Objective[];
  /** Time between two heartbeats of a worker. */
  heartbeatInterval: Micros;
  /** A worker ends its tasks once its last heartbeat that was answered was sent longer ago than this. */
  workerLease: Micros;
  /** Time within which a cancelled job's tasks must have stopped, from the confirmation to its user on. */
  cancellationDeadline: Micros;
  /** How long a gang's tasks wait for each other. */
  gangWait: Micros;
  /** Time within which a gang's tasks detect the loss of one of them, and all of them must be told to stop. */
  gangPeer: Micros;
  /** Limits of the state service: the smaller of those in force and of those announced. */
  stateRps: number;
  stateWriteRps: number;
  valueBytes: number;
  txnOps: number;
  /** Requests a second that the cloud accepts. */
  cloudRps: number;
  /** Lag of the cloud's list of machines; at times it is twice that. */
  machineListLag: Micros;
  /** Connections that a node may have open. */
  sockets: number;
}

type StateSettings = Pick<Settings, 'stateRps' | 'stateWriteRps' | 'valueBytes' | 'txnOps'>;
type WorkerSettings = Pick<
  Settings,
  'heartbeatInterval' | 'workerLease' | 'cancellationDeadline' | 'gangWait' | 'gangPeer'
>;

/** Reads the text of a platform's file; fails with {@link SettingsError} that names the first field that is wrong. */
export function parseSettings(toml: string): Settings {
  const { facts, ...own } = parsePlatformFile(toml);
  return {
    member: own.member,
    domain: own.domain,
    bind: own.bind,
    clusterListen: own.cluster_listen,
    peers: own.peers,
    cloud: own.endpoints.cloud,
    state: own.endpoints.state,
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

/** Reads a platform's file; fails with {@link SettingsError} if it can't be read or used. */
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
 * "0 means none": a guest team has neither a guarantee nor a limit. Where CPUs are limited, no GPUs are allowed
 * by 0 of them: a limit kept too strictly breaks no rule.
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

function stateSettingsOf({ next, ...present }: PlatformFacts['state']): StateSettings {
  return {
    stateRps: smallerLimit(present.rps, next?.rps),
    stateWriteRps: smallerLimit(present.write_rps, next?.write_rps),
    valueBytes: Math.floor(smallerLimit(present.value_kb, next?.value_kb) * BYTES_PER_KB),
    txnOps: smallerLimit(present.txn_ops, next?.txn_ops),
  };
}

/** The limit that holds now and will hold later, too: it may fall at any moment, without notice. */
function smallerLimit(present: number, later: number | undefined): number {
  return Math.min(present, later ?? present);
}
