/** Users of a simulated cluster, who submit jobs, poll their status and cancel them. */
import { decodeJobStatus, encodeSubmission, type JobSpec, type JobStatus, type Micros, SECOND } from '#wire';
import { userEndpoint } from './sample-settings.js';
import type { SimClock } from './sim-clock.js';
import type { SimNet } from './sim-net.js';
import type { SimServices } from './sim-services.js';

/** A request from a job's user to one node. */
export interface UserRequest {
  readonly node: number;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
}

/** Dependencies of {@link SimUsers}. */
export interface SimUsersOptions {
  readonly clock: SimClock;
  readonly random: () => number;
  readonly net: SimNet;
  readonly services: SimServices;
  readonly nodeCount: number;
}

/** All users of a simulated cluster. */
export class SimUsers {
  /** The last status that each user received. Keyed by job id. */
  readonly lastStatuses = new Map<string, JobStatus>();

  constructor(private readonly options: SimUsersOptions) {}

  /** Submits a job until it is accepted, then polls its status until it has ended. */
  submit(spec: JobSpec, cancelAfter: Micros | null): void {
    const { services, clock } = this.options;
    services.specs.set(spec.id, spec);
    services.invariants.jobSubmitted(spec, clock.time);
    void this.simulateUser(spec, cancelAfter);
  }

  /** Sends one request, without retry; returns the status of the response, 0 if none arrives in time. */
  async send(id: string, { node, method, path, body }: UserRequest): Promise<number> {
    const { net, clock, services } = this.options;
    const httpClient = net.createClient(`user-${id}`, null, (step) => {
      step();
    });
    const sentAt = clock.time;
    const reply = await httpClient(userEndpoint(node), method, path, body, 2 * SECOND).catch(() => null);
    if (!reply) return 0;
    const state = decodeJobStatus(reply.body);
    services.firstFailure.guard(() => {
      services.invariants.answerReceived(id, { status: reply.status, state, now: clock.time, sentAt });
    });
    if (state && !this.hasEnded(id)) this.lastStatuses.set(id, state);
    return reply.status;
  }

  private hasEnded(id: string): boolean {
    return ['done', 'cancelled'].includes(this.lastStatuses.get(id) ?? '');
  }

  private sendToAnyNode(id: string, request: Omit<UserRequest, 'node'>): Promise<number> {
    const { random, nodeCount } = this.options;
    return this.send(id, { ...request, node: Math.floor(random() * nodeCount) });
  }

  private pause(duration: Micros): Promise<void> {
    return new Promise((done) => this.options.clock.at(duration, done));
  }

  private async simulateUser(spec: JobSpec, cancelAfter: Micros | null): Promise<void> {
    const submittedAt = this.options.clock.time;
    if (!(await this.submitUntilAccepted(spec))) return;
    for (;;) {
      await this.pause(3 * SECOND);
      if (this.hasEnded(spec.id)) break;
      if (cancelAfter !== null && this.options.clock.time > submittedAt + cancelAfter) {
        this.options.services.invariants.cancellationRequested(spec.id);
        await this.sendToAnyNode(spec.id, { method: 'POST', path: `/submissions/${spec.id}/withdraw` });
      } else await this.sendToAnyNode(spec.id, { method: 'GET', path: `/submissions/${spec.id}` });
    }
    // A repeated submission is idempotent: it still gets the same response long after the job has ended.
    await this.pause(20 * SECOND);
    await this.sendSubmission(spec);
  }

  /** Returns true once the cluster accepts the job, false if it rejects the job. */
  private async submitUntilAccepted(spec: JobSpec): Promise<boolean> {
    for (;;) {
      const status = await this.sendSubmission(spec);
      if (status === 200 || status === 201) return true;
      if (status === 400 || status === 422) return false;
      await this.pause(SECOND);
    }
  }

  private sendSubmission(spec: JobSpec): Promise<number> {
    const body = encodeSubmission(spec);
    return this.sendToAnyNode(spec.id, { method: 'POST', path: '/submissions', body });
  }
}
