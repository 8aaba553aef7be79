/** The schema of the platform's file: its fields, their ranges and their defaults. Unknown fields are ignored. */
import * as z from 'zod/mini';

const text = z.string().check(z.minLength(1));
const positive = z.number().check(z.positive());
const atLeastZero = z.number().check(z.nonnegative());
const wholePositive = z.coerce.number().check(z.int(), z.positive());

/** Defaults of optional fields, in seconds. */
const DEFAULT_GANG_WAIT_S = 50;
const DEFAULT_GANG_PEER_S = 5;
/** Default of the clocks' bound, in milliseconds. */
const DEFAULT_TIME_BOUND_MS = 100;

const peer = z.object({ member: text, domain: text, endpoint: text });

const team = z.object({
  name: text,
  cpus: atLeastZero,
  cpus_max: atLeastZero,
  gpus: z._default(atLeastZero, 0),
  gpus_max: z._default(atLeastZero, 0),
});

const objective = z.object({
  kind: text,
  class: z.optional(text),
  within_s: z.optional(positive),
  share: z.optional(atLeastZero),
});

const workers = z.object({
  report_s: positive,
  lease_s: positive,
  cancel_s: positive,
  gang_wait_s: z._default(positive, DEFAULT_GANG_WAIT_S),
  gang_peer_s: z._default(positive, DEFAULT_GANG_PEER_S),
});

const announcedStateLimits = z.object({
  rps: z.optional(positive),
  write_rps: z.optional(positive),
  value_kb: z.optional(positive),
  txn_ops: z.optional(wholePositive),
});

const state = z.object({
  rps: positive,
  write_rps: positive,
  value_kb: positive,
  txn_ops: wholePositive,
  next: z.optional(announcedStateLimits),
});

const facts = z.object({
  initial_size: wholePositive,
  zones: z.array(text).check(z.minLength(1)),
  time_bound_ms: z._default(atLeastZero, DEFAULT_TIME_BOUND_MS),
  teams: z.array(team),
  objectives: z._default(z.array(objective), []),
  workers,
  state,
  cloud: z.object({ rps: positive, list_lag_s: atLeastZero }),
  machine_limits: z.object({ cpu: positive, mem_mb: positive, sockets: wholePositive }),
});

/** The file, from its root. */
export const platformSchema = z.object({
  member: text,
  domain: text,
  bind: text,
  cluster_listen: text,
  peers: z._default(z.array(peer), []),
  endpoints: z.object({ cloud: text, state: text }),
  facts,
});

/** A valid file, with its defaults filled in. */
export type PlatformFile = z.infer<typeof platformSchema>;
/** What the file says of the cluster and its environment. */
export type PlatformFacts = PlatformFile['facts'];
