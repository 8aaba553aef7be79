/** Users of a cluster on loopback, who submit jobs and poll their status until they are done. */
import {
  createHttpClient,
  decodeJobStatus,
  encodeSubmission,
  type JobSpec,
  SECOND,
  type WireFields,
} from '#wire';
import type { LoopbackNode } from './loopback-node.js';
import { pause, type RealClock } from './real-clock.js';
import { sampleJob } from './sample-job.js';
import type { SimServices } from './sim-services.js';

/** Dependencies of {@link LoopbackUsers}. */
export interface LoopbackUsersOptions {
  readonly clock: RealClock;
  readonly random: () => number;
  readonly services: SimServices;
  readonly nodes: readonly LoopbackNode[];
  readonly teams: readonly string[];
}

interface UserResponse {
  /** HTTP status; 0 if no response arrived in time. */
  readonly status: number;
  /** Status of the job; null if the response names none. */
  readonly state: string | null;
}

/** All users of a trial. */
export class LoopbackUsers {
  private isStopped = false;

  constructor(private readonly options: LoopbackUsersOptions) {}

  /** Submits jobs for the given time; resolves once all of them are done, or the users are stopped. */
  async submitJobs(durationMs: number): Promise<void> {
    const { random, teams } = this.options;
    const until = Date.now() + durationMs;
    const users: Promise<void>[] = [];
    for (let i = 0; Date.now() < until; i++) {
      const team = teams[i % teams.length] ?? '';
      const taskCount = 1 + Math.floor(random() * 4);
      const estimateS = 1 + random() * 4;
      users.push(this.simulateUser(sampleJob(`j-${i}`, { team, taskCount, estimateS, imageGb: 1 })));
      await pause(500 + random() * 1500);
    }
    await Promise.all(users);
  }

  /** Stops all users after their current request. */
  stop(): void {
    this.isStopped = true;
  }

  private async simulateUser(spec: JobSpec): Promise<void> {
    const { services, clock } = this.options;
    services.specs.set(spec.id, spec);
    services.invariants.jobSubmitted(spec, clock.time);
    const isAccepted = (status: number): boolean => status === 200 || status === 201;
    while (
      !this.isStopped &&
      !isAccepted((await this.send(spec.id, 'POST', encodeSubmission(spec))).status)
    ) {
      await pause(500);
    }
    while (!this.isStopped) {
      const { state } = await this.send(spec.id, 'GET');
      if (state === 'done') return;
      await pause(1000);
    }
  }

  private async send(id: string, method: 'GET' | 'POST', body?: WireFields): Promise<UserResponse> {
    const { nodes, random, clock, services } = this.options;
    const node = nodes[Math.floor(random() * nodes.length)];
    const path = method === 'POST' ? '/submissions' : `/submissions/${id}`;
    const sentAt = clock.time;
    const address = node?.addresses.users ?? '';
    const reply = await createHttpClient(1)(address, method, path, body, 2 * SECOND).catch(() => null);
    if (!reply) return { status: 0, state: null };
    const state = decodeJobStatus(reply.body);
    services.firstFailure.guard(() => {
      services.invariants.answerReceived(id, { status: reply.status, state, now: clock.time, sentAt });
    });
    return { status: reply.status, state };
  }
}
