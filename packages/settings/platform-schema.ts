/** The schema of the platform's file: its fields with their ranges and defaults. Unknown fields are ignored. */
import * as z from 'zod/mini';

const nonEmptyText = z.string().check(z.minLength(1));
const positiveNumber = z.number().check(z.positive());
const nonNegativeNumber = z.number().check(z.nonnegative());
const positiveInteger = z.coerce.number().check(z.int(), z.positive());

/** Default of `gang_wait_s`, in seconds. */
const DEFAULT_GANG_WAIT_S = 50;
/** Default of `gang_peer_s`, in seconds. */
const DEFAULT_GANG_PEER_S = 5;
/** Default of `time_bound_ms`, in milliseconds. */
const DEFAULT_TIME_BOUND_MS = 100;

const peer = z.object({ member: nonEmptyText, domain: nonEmptyText, endpoint: nonEmptyText });

const team = z.object({
  name: nonEmptyText,
  cpus: nonNegativeNumber,
  cpus_max: nonNegativeNumber,
  gpus: z._default(nonNegativeNumber, 0),
  gpus_max: z._default(nonNegativeNumber, 0),
});

const objective = z.object({
  kind: nonEmptyText,
  class: z.optional(nonEmptyText),
  within_s: z.optional(positiveNumber),
  share: z.optional(nonNegativeNumber),
});

const workers = z.object({
  report_s: positiveNumber,
  lease_s: positiveNumber,
  cancel_s: positiveNumber,
  gang_wait_s: z._default(positiveNumber, DEFAULT_GANG_WAIT_S),
  gang_peer_s: z._default(positiveNumber, DEFAULT_GANG_PEER_S),
});

const announcedStateLimits = z.object({
  rps: z.optional(positiveNumber),
  write_rps: z.optional(positiveNumber),
  value_kb: z.optional(positiveNumber),
  txn_ops: z.optional(positiveInteger),
});

const state = z.object({
  rps: positiveNumber,
  write_rps: positiveNumber,
  value_kb: positiveNumber,
  txn_ops: positiveInteger,
  next: z.optional(announcedStateLimits),
});

const facts = z.object({
  initial_size: positiveInteger,
  zones: z.array(nonEmptyText).check(z.minLength(1)),
  time_bound_ms: z._default(nonNegativeNumber, DEFAULT_TIME_BOUND_MS),
  teams: z.array(team),
  objectives: z._default(z.array(objective), []),
  workers,
  state,
  cloud: z.object({ rps: positiveNumber, list_lag_s: nonNegativeNumber }),
  machine_limits: z.object({ cpu: positiveNumber, mem_mb: positiveNumber, sockets: positiveInteger }),
});

/** The schema of the whole file. */
export const platformSchema = z.object({
  member: nonEmptyText,
  domain: nonEmptyText,
  bind: nonEmptyText,
  cluster_listen: nonEmptyText,
  peers: z._default(z.array(peer), []),
  endpoints: z.object({ cloud: nonEmptyText, state: nonEmptyText }),
  facts,
});

/** The content of a valid file, with defaults for the fields that it omits. */
export type PlatformFile = z.infer<typeof platformSchema>;
/** The section `facts` of the file, which describes the cluster and its environment. */
export type PlatformFacts = PlatformFile['facts'];
