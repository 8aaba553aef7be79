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
    workers: z.object({ report_s: positive, lease_s: positive, cancel_s: positive }),
    state: z.object({ rps: positive, write_rps: positive, value_kb: positive, txn_ops: whole }),
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
    stateRps: facts.state.rps,
    stateWriteRps: facts.state.write_rps,
    valueBytes: Math.floor(facts.state.value_kb * 1024),
    txnOps: facts.state.txn_ops,
    cloudRps: facts.cloud.rps,
    listLag: fromSeconds(facts.cloud.list_lag_s),
    sockets: facts.machine_limits.sockets,
  };
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
