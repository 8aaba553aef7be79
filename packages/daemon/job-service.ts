/** Serves what users ask for: submitting, showing and cancelling jobs. */
import type { ServiceResponse } from '#api';
import {
  encodeJobRow,
  encodeJobSpec,
  jobKey,
  type Replica,
  terminalKey,
  type TerminalStatus,
  terminalStatusWrite,
} from '#cluster';
import type { Settings } from '#settings';
import type { StoreClient } from '#store';
import {
  type Clock,
  encodeJobState,
  isJobId,
  type JobSpec,
  type JobState,
  jsonBytes,
  type Micros,
  MS,
  parseSubmission,
  sleep,
  submittedId,
} from '#wire';
import { infeasibleReason } from './job-feasibility.js';
import { STORE_UNREACHABLE, unavailable } from './service-responses.js';

/** How often a write is tried while the state service turns it down. */
const MAX_ATTEMPTS = 3;
const SUBMIT_RETRY_DELAY: Micros = 150 * MS;
const CANCEL_RETRY_DELAY: Micros = 100 * MS;
/** HTTP status of the state service for a request beyond its rate limit. */
const TOO_MANY_REQUESTS = 429;
/** Bytes of a stored job besides the job's specification. */
const RECORD_FRAME_BYTES = 100;

const NO_SUCH_JOB: ServiceResponse = { status: 404, body: { error: 'no such job' } };

/** What a {@link JobService} depends on. */
export interface JobServiceOptions {
  readonly settings: Settings;
  readonly store: StoreClient;
  readonly replica: Replica;
  readonly clock: Clock;
}

/**
 * Serves users' requests. Any node may serve any request; a response is given only once this node's copy of the state
 * includes everything that any node may have answered a user before.
 */
export class JobService {
  /** Every node of the cluster, whether it is up or not. */
  private readonly allNodes: readonly string[];

  constructor(private readonly options: JobServiceOptions) {
    const { member, peers } = options.settings;
    this.allNodes = [member, ...peers.map((peer) => peer.member)];
  }

  /** Accepts a job, unless its id is known already: then the response is the state of that job. */
  async submitJob(body: unknown): Promise<ServiceResponse> {
    const parsed = parseSubmission(body);
    if ('invalid' in parsed) return this.rejectMalformed(body, parsed.invalid);
    const { job } = parsed;
    const rejection = this.reject(job);
    if (rejection !== null) return rejection;
    const { clock, store } = this.options;
    const value = encodeJobRow(this.storedSpec(job), Math.floor(clock.wall() / MS));
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0) await sleep(clock, SUBMIT_RETRY_DELAY);
      // Both keys must be absent: a repeat that comes after the job's end must not start it again.
      const result = await store.compareAndSwap(
        [
          { path: jobKey(job.id), revision: 0 },
          { path: terminalKey(job.id), revision: 0 },
        ],
        [{ set: jobKey(job.id), value }],
      );
      if (result.kind === 'applied')
        return { status: 201, body: encodeJobState({ id: job.id, status: 'pending' }) };
      if (result.kind === 'refused') return this.currentState(job.id, STORE_UNREACHABLE);
      if (result.kind === 'not_executed' && result.status !== TOO_MANY_REQUESTS) return STORE_UNREACHABLE;
    }
    return STORE_UNREACHABLE;
  }

  /** The state of a job. */
  async getJob(id: string): Promise<ServiceResponse> {
    if (!isJobId(id)) return NO_SUCH_JOB;
    return this.currentState(id, NO_SUCH_JOB);
  }

  /** Cancels a job that has not ended; the response is the job's state. */
  async cancelJob(id: string): Promise<ServiceResponse> {
    const { replica, clock, store } = this.options;
    if (!isJobId(id)) return NO_SUCH_JOB;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0) await sleep(clock, CANCEL_RETRY_DELAY);
      if (!(await replica.barrier())) return STORE_UNREACHABLE;
      const live = replica.jobs.get(id);
      if (!live) return this.currentState(id, NO_SUCH_JOB);
      const result = await store.compareAndSwap(
        [
          { path: jobKey(id), revision: live.acceptedRevision },
          { path: terminalKey(id), revision: 0 },
        ],
        [terminalStatusWrite(id, 'cancelled')],
      );
      if (result.kind === 'applied') return terminalResponse(id, 'cancelled');
      if (result.kind === 'not_executed' && result.status !== TOO_MANY_REQUESTS) return STORE_UNREACHABLE;
    }
    return STORE_UNREACHABLE;
  }

  /** The job that was accepted under an id stays the one it names, whatever else is sent under it later. */
  private rejectMalformed(body: unknown, reason: string): ServiceResponse | Promise<ServiceResponse> {
    const malformed: ServiceResponse = { status: 400, body: { error: `invalid: ${reason}` } };
    const id = submittedId(body);
    return id === null ? malformed : this.currentState(id, malformed);
  }

  /** The response to a job that is not accepted now; null if it is acceptable. */
  private reject(job: JobSpec): ServiceResponse | Promise<ServiceResponse> | null {
    const { replica, settings } = this.options;
    if (replica.machineTypes.size === 0) return unavailable('machine types not known yet');
    const machineTypes = replica.machineTypes.values();
    const reason = infeasibleReason(job, { teams: settings.teams, machineTypes });
    if (reason !== null) return this.currentState(job.id, { status: 422, body: { error: reason } });
    if (job.shape === 'gang' && !replica.allSupport(this.allNodes, 'gangs')) {
      // A node of an older version would run its tasks one by one.
      return this.currentState(job.id, unavailable('gangs are not served by all nodes yet'));
    }
    return null;
  }

  /** The job's present state, or `otherwise` if there is no such job. */
  private async currentState(id: string, otherwise: ServiceResponse): Promise<ServiceResponse> {
    const { replica } = this.options;
    const cached = replica.cachedTerminalStatus(id);
    if (cached) return terminalResponse(id, cached);
    if (!(await replica.barrier())) return STORE_UNREACHABLE;
    if (replica.jobs.has(id)) return { status: 200, body: encodeJobState(this.liveState(id)) };
    try {
      const status = await replica.terminalStatus(id);
      return status ? terminalResponse(id, status) : otherwise;
    } catch {
      return STORE_UNREACHABLE;
    }
  }

  private liveState(id: string): JobState {
    const entry = this.options.replica.ledger.jobs.get(id);
    const running = entry?.placements.size ?? 0;
    const status = running > 0 ? 'running' : 'pending';
    return { id, status, done: entry?.done.count ?? 0, running };
  }

  /** The job as it is stored: a list of machine types that is too long for a value is cut to those that exist. */
  private storedSpec(job: JobSpec): JobSpec {
    const { settings, replica } = this.options;
    const maxBytes = settings.valueBytes - RECORD_FRAME_BYTES;
    if (job.machineTypes === null || jsonBytes(encodeJobSpec(job)) <= maxBytes) return job;
    const allowed = job.machineTypes;
    const machineTypes = [...replica.machineTypes.keys()].filter((name) => allowed.includes(name));
    return { ...job, machineTypes };
  }
}

function terminalResponse(id: string, status: TerminalStatus): ServiceResponse {
  return { status: 200, body: encodeJobState({ id, status }) };
}
