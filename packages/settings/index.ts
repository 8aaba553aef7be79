import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as z from 'zod/mini';
import { fromSeconds, type Micros } from '#wire';
import { SettingsError } from './error.js';

export * from './error.js';
export * from './operator.js';

const text = z.string().check(z.minLength(1));
const positive = z.number().check(z.positive());
const atLeastZero = z.number().check(z.nonnegative());
/** What holds where a settings file says nothing of gangs. */
const DEFAULT_GANG_WAIT_S = 50;
const DEFAULT_GANG_PEER_S = 5;
const whole = z.coerce.number().check(z.int(), z.positive());

const schema = z.object({
  member: text,
  domain: text,
  bind: text,
  cluster_listen: text,
  peers: z._default(z.array(z.object({ member: text, domain: text, endpoint: text })), []),
  endpoints: z.object({ cloud: text, state: text }),
  facts: z.object({
    initial_size: whole,
    zones: z.array(text).check(z.minLength(1)),
    time_bound_ms: z._default(atLeastZero, 100),
    teams: z.array(
      z.object({
        name: text,
        cpus: atLeastZero,
        cpus_max: atLeastZero,
        gpus: z._default(atLeastZero, 0),
        gpus_max: z._default(atLeastZero, 0),
      }),
    ),
    objectives: z._default(
      z.array(
        z.object({
          kind: text,
          class: z.optional(text),
          within_s: z.optional(positive),
          share: z.optional(atLeastZero),
        }),
      ),
      [],
    ),
    workers: z.object({
      report_s: positive,
      lease_s: positive,
      cancel_s: positive,
      gang_wait_s: z._default(positive, DEFAULT_GANG_WAIT_S),
      gang_peer_s: z._default(positive, DEFAULT_GANG_PEER_S),
    }),
    state: z.object({
      ...{ rps: positive, write_rps: positive, value_kb: positive, txn_ops: whole },
      next: z.optional(
        z.object({
          rps: z.optional(positive),
          write_rps: z.optional(positive),
          value_kb: z.optional(positive),
          txn_ops: z.optional(whole),
        }),
      ),
    }),
    cloud: z.object({ rps: positive, list_lag_s: atLeastZero }),
    machine_limits: z.object({ cpu: positive, mem_mb: positive, sockets: whole }),
  }),
});

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
  jobClass: string | null;
  within: Micros | null;
}

export interface Peer {
  member: string;
  domain: string;
  endpoint: string;
}

export interface Settings {
  member: string;
  domain: string;
  bind: string;
  clusterListen: string;
  peers: Peer[];
  cloud: string;
  state: string;
  initialSize: number;
  zones: string[];
  timeBound: Micros;
  teams: Team[];
  objectives: Objective[];
  report: Micros;
  lease: Micros;
  cancel: Micros;
  /** For how long a gang's tasks wait for each other. */
  gangWait: Micros;
  /** Within what time a gang's tasks notice that one of them is gone, and all of them must be told to stop. */
  gangPeer: Micros;
  /** Limits of the state service: the smaller ones of those in force and of those it will have at some time. */
  stateRps: number;
  stateWriteRps: number;
  valueBytes: number;
  txnOps: number;
  cloudRps: number;
  listLag: Micros;
  sockets: number;
}

export function parseSettings(toml: string): Settings {
  let raw: unknown;
  try {
    raw = parse(toml);
  } catch (cause) {
    throw new SettingsError(`not TOML: ${String(cause).split('\n')[0] ?? ''}`);
  }
  const result = schema.safeParse(raw);
  if (!result.success) {
    const issue = result.error.issues[0];
    throw new SettingsError(`${issue?.path.map(String).join('.') ?? '?'}: ${issue?.message ?? 'invalid'}`);
  }
  const { facts, ...own } = result.data;
  const { next } = facts.state;
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
    timeBound: fromSeconds(facts.time_bound_ms / 1000),
    teams: facts.teams.map((t) => ({
      name: t.name,
      cpus: t.cpus,
      cpusMax: isGuest(t) ? Infinity : t.cpus_max,
      gpus: t.gpus,
      gpusMax: isGuest(t) ? Infinity : t.gpus_max,
    })),
    objectives: facts.objectives.map((o) => ({
      kind: o.kind,
      jobClass: o.class ?? null,
      within: o.within_s === undefined ? null : fromSeconds(o.within_s),
    })),
    report: fromSeconds(facts.workers.report_s),
    lease: fromSeconds(facts.workers.lease_s),
    cancel: fromSeconds(facts.workers.cancel_s),
    gangWait: fromSeconds(facts.workers.gang_wait_s),
    gangPeer: fromSeconds(facts.workers.gang_peer_s),
    stateRps: smaller(facts.state.rps, next?.rps),
    stateWriteRps: smaller(facts.state.write_rps, next?.write_rps),
    valueBytes: Math.floor(smaller(facts.state.value_kb, next?.value_kb) * 1024),
    txnOps: smaller(facts.state.txn_ops, next?.txn_ops),
    cloudRps: facts.cloud.rps,
    listLag: fromSeconds(facts.cloud.list_lag_s),
    sockets: facts.machine_limits.sockets,
  };
}

/** The limit that holds now and will hold later, too: it may fall at any moment, without notice. */
function smaller(present: number, later: number | undefined): number {
  return Math.min(present, later ?? present);
}

/**
 * "0 means none": a guest team has neither a guarantee nor a limit. Where CPUs are limited, no GPUs are allowed
 * by 0 of them: a limit kept too strictly breaks no rule.
 */
function isGuest(team: { cpus_max: number; gpus_max: number }): boolean {
  return team.cpus_max === 0 && team.gpus_max === 0;
}

export function loadSettings(file: string): Settings {
  let toml: string;
  try {
    toml = readFileSync(file, 'utf8');
  } catch (cause) {
    throw new SettingsError(`${file}: ${cause instanceof Error ? cause.message : String(cause)}`);
  }
  return parseSettings(toml);
}
