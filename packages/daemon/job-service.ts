/** Serves the requests of users: to submit, show and cancel jobs. */
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

/** Maximum number of attempts to write, while the state service limits the rate or the outcome is not known. */
const MAX_ATTEMPTS = 3;
const SUBMIT_RETRY_DELAY: Micros = 150 * MS;
const CANCEL_RETRY_DELAY: Micros = 100 * MS;
/** HTTP status with which the state service answers a request that exceeds its rate limit. */
const TOO_MANY_REQUESTS = 429;
/** Bytes reserved in a stored job row for everything but the job's specification. */
const JOB_ROW_OVERHEAD_BYTES = 100;

const TYPES_UNKNOWN = unavailable('machine types not known yet');
const TYPES_CHANGED = unavailable('machine types have changed');
const NO_SUCH_JOB: ServiceResponse = { status: 404, body: { error: 'no such job' } };

/** Dependencies of {@link JobService}. */
export interface JobServiceOptions {
  readonly settings: Settings;
  readonly store: StoreClient;
  readonly replica: Replica;
  readonly clock: Clock;
}

/**
 * Serves users' requests. Any node may serve any request. Before it reports a job's state, the node waits until its
 * replica includes everything that any node may have reported to a user before.
 */
export class JobService {
  /** Names of all configured nodes of the cluster, whether they are up or not. */
  private readonly allNodes: readonly string[];

  constructor(private readonly options: JobServiceOptions) {
    const { member, peers } = options.settings;
    this.allNodes = [member, ...peers.map((peer) => peer.member)];
  }

  /** Accepts a job. The request is idempotent: if the id is already in use, the response is the state of that job. */
  async submitJob(body: unknown): Promise<ServiceResponse> {
    const parsed = parseSubmission(body);
    if ('invalid' in parsed) return this.rejectMalformed(body, parsed.invalid);
    const { job } = parsed;
    const rejection = this.findRejection(job);
    if (rejection !== null) return rejection;
    const { clock, store } = this.options;
    const value = encodeJobRow(this.storedSpec(job), Math.floor(clock.wall() / MS));
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0) await sleep(clock, SUBMIT_RETRY_DELAY);
      // Both keys must be absent: a repeated submission after the job's end must not start the job again.
      const result = await store.compareAndSwap(
        [
          { path: jobKey(job.id), revision: 0 },
          { path: terminalKey(job.id), revision: 0 },
        ],
        [{ set: jobKey(job.id), value }],
      );
      if (result.kind === 'applied')
        return { status: 201, body: encodeJobState({ id: job.id, status: 'pending' }) };
      if (result.kind === 'refused') return this.jobStateResponse(job.id, STORE_UNREACHABLE);
      if (result.kind === 'not_executed' && result.status !== TOO_MANY_REQUESTS) return STORE_UNREACHABLE;
    }
    return STORE_UNREACHABLE;
  }

  /** Returns the state of a job. */
  async getJob(id: string): Promise<ServiceResponse> {
    if (!isJobId(id)) return NO_SUCH_JOB;
    return this.jobStateResponse(id, NO_SUCH_JOB);
  }

  /** Cancels a job that has not ended. The response is the job's resulting state. */
  async cancelJob(id: string): Promise<ServiceResponse> {
    const { replica, clock, store } = this.options;
    if (!isJobId(id)) return NO_SUCH_JOB;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0) await sleep(clock, CANCEL_RETRY_DELAY);
      if (!(await replica.barrier())) return STORE_UNREACHABLE;
      const liveJob = replica.jobs.get(id);
      if (!liveJob) return this.jobStateResponse(id, NO_SUCH_JOB);
      const result = await store.compareAndSwap(
        [
          { path: jobKey(id), revision: liveJob.acceptedRevision },
          { path: terminalKey(id), revision: 0 },
        ],
        [terminalStatusWrite(id, 'cancelled')],
      );
      if (result.kind === 'applied') return terminalResponse(id, 'cancelled');
      if (result.kind === 'not_executed' && result.status !== TOO_MANY_REQUESTS) return STORE_UNREACHABLE;
    }
    return STORE_UNREACHABLE;
  }

  /**
   * Responds to a malformed submission. If its id belongs to a job that was accepted earlier, the response is the state
   * of that job: an id never names another job later.
   */
  private rejectMalformed(body: unknown, reason: string): ServiceResponse | Promise<ServiceResponse> {
    const malformed: ServiceResponse = { status: 400, body: { error: `invalid: ${reason}` } };
    const id = submittedId(body);
    return id === null ? malformed : this.jobStateResponse(id, malformed);
  }

  /** Returns the response to a job that can't be accepted now; null if it can. */
  private findRejection(job: JobSpec): ServiceResponse | Promise<ServiceResponse> | null {
    const { replica } = this.options;
    // Without any machine types the node has just started or waits for the cloud, so another node is asked at once.
    if (replica.machineTypes.size === 0) return TYPES_UNKNOWN;
    // A job that was accepted earlier is known whatever the machine types are now.
    if (this.infeasibleResponse(job) !== null)
      return this.jobStateResponse(job.id, () => this.infeasibleResponse(job) ?? TYPES_CHANGED);
    if (job.shape === 'gang' && !replica.allSupport(this.allNodes, 'gangs')) {
      // A node of an older version would run the tasks of the gang one by one.
      return this.jobStateResponse(job.id, unavailable('gangs are not served by all nodes yet'));
    }
    return null;
  }

  /**
   * Returns the response to a job that can never run on the machine types that this node knows, or 503 if it does not know
   * all of them; null if the job can run.
   */
  private infeasibleResponse(job: JobSpec): ServiceResponse | null {
    const { replica, settings } = this.options;
    const machineTypes = replica.machineTypes.values();
    const reason = infeasibleReason(job, { teams: settings.teams, machineTypes });
    if (reason === null) return null;
    if (!replica.areMachineTypesKnown) return TYPES_UNKNOWN;
    return { status: 422, body: { error: reason } };
  }

  /**
   * Returns the response with the job's current state, or `fallback` if no such job exists. A function is called once the
   * replica is up to date.
   */
  private async jobStateResponse(
    id: string,
    fallback: ServiceResponse | (() => ServiceResponse),
  ): Promise<ServiceResponse> {
    const { replica } = this.options;
    const cachedStatus = replica.cachedTerminalStatus(id);
    if (cachedStatus) return terminalResponse(id, cachedStatus);
    if (!(await replica.barrier())) return STORE_UNREACHABLE;
    if (replica.jobs.has(id)) return { status: 200, body: encodeJobState(this.liveState(id)) };
    try {
      const status = await replica.terminalStatus(id);
      if (status) return terminalResponse(id, status);
      return typeof fallback === 'function' ? fallback() : fallback;
    } catch {
      return STORE_UNREACHABLE;
    }
  }

  /** Returns the state of a job that has not ended, with the numbers of its completed and running tasks. */
  private liveState(id: string): JobState {
    const entry = this.options.replica.ledger.jobs.get(id);
    const running = entry?.placements.size ?? 0;
    const status = running > 0 ? 'running' : 'pending';
    return { id, status, done: entry?.done.count ?? 0, running };
  }

  /**
   * Returns the job as it is stored. If the row would exceed the size limit of a value, the list of machine types is
   * reduced to those that exist.
   */
  private storedSpec(job: JobSpec): JobSpec {
    const { settings, replica } = this.options;
    const maxBytes = settings.valueBytes - JOB_ROW_OVERHEAD_BYTES;
    if (job.machineTypes === null || jsonBytes(encodeJobSpec(job)) <= maxBytes) return job;
    const allowedTypes = job.machineTypes;
    const machineTypes = [...replica.machineTypes.keys()].filter((name) => allowedTypes.includes(name));
    return { ...job, machineTypes };
  }
}

function terminalResponse(id: string, status: TerminalStatus): ServiceResponse {
  return { status: 200, body: encodeJobState({ id, status }) };
}
