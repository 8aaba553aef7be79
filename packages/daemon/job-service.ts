import type { ServiceResponse } from '#api';
import {
  encodeJobRow,
  encodeJobSpec,
  terminalStatusWrite,
  type TerminalStatus,
  jobKey,
  terminalKey,
  type Replica,
} from '#cluster';
import { fits } from '#pricing';
import type { Settings } from '#settings';
import type { StoreClient } from '#store';
import {
  type Clock,
  encodeJobState,
  isJobId,
  jsonBytes,
  type JobState,
  MS,
  parseSubmission,
  sleep,
  submittedId,
  type JobSpec,
} from '#wire';

/** Another node may be able to: a new connection lets the load balancer choose again. */
const STORE_UNREACHABLE: ServiceResponse = {
  status: 503,
  body: { error: 'state not reachable' },
  retryAfterS: 1,
  closesConnection: true,
};
const TRIES = 3;
/** Room that a job's record needs beside the job itself. */
const RECORD_FRAME_BYTES = 100;

export function unavailable(error: string): ServiceResponse {
  return { status: 503, body: { error }, retryAfterS: 1 };
}

/** What users ask for. Any node answers, and none before it has caught up with what any other may have said. */
export class JobService {
  /** Every node of the cluster, whether it is up or not. */
  private readonly allNodes: readonly string[];

  constructor(
    private readonly settings: Settings,
    private readonly store: StoreClient,
    private readonly replica: Replica,
    private readonly clock: Clock,
  ) {
    this.allNodes = [settings.member, ...settings.peers.map((peer) => peer.member)];
  }

  async submitJob(body: unknown): Promise<ServiceResponse> {
    const parsed = parseSubmission(body);
    if ('invalid' in parsed) {
      const malformed: ServiceResponse = { status: 400, body: { error: `invalid: ${parsed.invalid}` } };
      // The job that was accepted under an id stays the one it names, whatever else is sent under it later.
      const id = submittedId(body);
      return id === null ? malformed : this.currentState(id, malformed);
    }
    const { job } = parsed;
    if (this.replica.machineTypes.size === 0) return unavailable('machine types not known yet');
    const never = this.infeasibleReason(job);
    if (never !== null) return this.currentState(job.id, { status: 422, body: { error: never } });
    if (job.shape === 'gang' && !this.replica.allSupport(this.allNodes, 'gangs')) {
      // A node of an older version would run its tasks one by one.
      return this.currentState(job.id, unavailable('gangs are not served by all nodes yet'));
    }
    const value = encodeJobRow(this.storable(job), Math.floor(this.clock.wall() / MS));
    for (let i = 0; i < TRIES; i++) {
      if (i > 0) await sleep(this.clock, 150 * MS);
      // Both keys must be absent: a repeat that comes after the job's end must not start it again.
      const result = await this.store.compareAndSwap(
        [
          { path: jobKey(job.id), revision: 0 },
          { path: terminalKey(job.id), revision: 0 },
        ],
        [{ set: jobKey(job.id), value }],
      );
      if (result.kind === 'applied')
        return { status: 201, body: encodeJobState({ id: job.id, status: 'pending' }) };
      if (result.kind === 'refused') return this.currentState(job.id, STORE_UNREACHABLE);
      if (result.kind === 'not_executed' && result.status !== 429) return STORE_UNREACHABLE;
    }
    return STORE_UNREACHABLE;
  }

  async getJob(id: string): Promise<ServiceResponse> {
    if (!isJobId(id)) return { status: 404, body: { error: 'no such job' } };
    return this.currentState(id, { status: 404, body: { error: 'no such job' } });
  }

  async cancelJob(id: string): Promise<ServiceResponse> {
    const missing: ServiceResponse = { status: 404, body: { error: 'no such job' } };
    if (!isJobId(id)) return missing;
    for (let i = 0; i < TRIES; i++) {
      if (i > 0) await sleep(this.clock, 100 * MS);
      if (!(await this.replica.barrier())) return STORE_UNREACHABLE;
      const live = this.replica.jobs.get(id);
      if (!live) return this.currentState(id, missing);
      const result = await this.store.compareAndSwap(
        [
          { path: jobKey(id), revision: live.acceptedRevision },
          { path: terminalKey(id), revision: 0 },
        ],
        [terminalStatusWrite(id, 'cancelled')],
      );
      if (result.kind === 'applied') return over(id, 'cancelled');
      if (result.kind === 'not_executed' && result.status !== 429) return STORE_UNREACHABLE;
    }
    return STORE_UNREACHABLE;
  }

  /** The job's present state, or `otherwise` if there is no such job. */
  private async currentState(id: string, otherwise: ServiceResponse): Promise<ServiceResponse> {
    const settled = this.replica.cachedTerminalStatus(id);
    if (settled) return over(id, settled);
    if (!(await this.replica.barrier())) return STORE_UNREACHABLE;
    const live = this.replica.jobs.get(id);
    if (live) return { status: 200, body: encodeJobState(this.describe(id)) };
    try {
      const final = await this.replica.terminalStatus(id);
      return final ? over(id, final) : otherwise;
    } catch {
      return STORE_UNREACHABLE;
    }
  }

  private describe(id: string): JobState {
    const entry = this.replica.ledger.jobs.get(id);
    const running = entry?.placements.size ?? 0;
    const status = running > 0 ? 'running' : 'pending';
    return { id, status, done: entry?.done.count ?? 0, running };
  }

  /** The job as it is stored: where its list of machine types is too long for a value, only those that exist. */
  private storable(job: JobSpec): JobSpec {
    if (
      job.machineTypes === null ||
      jsonBytes(encodeJobSpec(job)) <= this.settings.valueBytes - RECORD_FRAME_BYTES
    )
      return job;
    const machineTypes = [...this.replica.machineTypes.keys()].filter((name) =>
      job.machineTypes?.includes(name),
    );
    return { ...job, machineTypes };
  }

  private infeasibleReason(job: JobSpec): string | null {
    const team = this.settings.teams.find((t) => t.name === job.team);
    if (!team) return `unknown team ${job.team}`;
    const need = { cpus: job.cpus, gpus: job.gpus, memGb: job.memGb };
    const open = [...this.replica.machineTypes.values()].some(
      (t) =>
        (job.machineTypes === null || job.machineTypes.includes(t.name)) &&
        (job.zone === null || t.zones.includes(job.zone)) &&
        fits(need, { cpus: t.cpus, gpus: t.gpus, memGb: t.memGb }),
    );
    if (!open) return 'a task fits no allowed machine type';
    if (!fits(need, { cpus: team.cpusMax, gpus: team.gpusMax, memGb: Infinity })) {
      return `a task needs more than the limit of team ${job.team}`;
    }
    if (job.shape === 'gang') return this.infeasibleGangReason(job);
    return null;
  }

  /** Why the tasks of a gang can never run at the same time, or null. */
  private infeasibleGangReason(job: JobSpec): string | null {
    const team = this.settings.teams.find((t) => t.name === job.team);
    const whole = { cpus: job.cpus * job.taskCount, gpus: job.gpus * job.taskCount, memGb: 0 };
    if (!team || !fits(whole, { cpus: team.cpusMax, gpus: team.gpusMax, memGb: Infinity })) {
      return `all tasks together need more than the limit of team ${job.team}`;
    }
    if (job.spreadZones && job.taskCount > 1 && (job.singleZone || job.zone !== null)) {
      return 'all tasks can not be in one zone and spread over zones at the same time';
    }
    return null;
  }
}

function over(id: string, final: TerminalStatus): ServiceResponse {
  return { status: 200, body: encodeJobState({ id, status: final }) };
}
