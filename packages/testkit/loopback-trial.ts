/**
 * A deployment on loopback with real node processes. State service, cloud and workers are simulated in the process of
 * the trial. Nodes are suspended, resumed, killed and started again at random, and the cloud executes many requests
 * late. The invariants and the effects of each role are checked as they occur.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { LEADER_KEY, SHARD_PREFIX } from '#cluster';
import { formatRoleName } from '#roles';
import { type WireFields, createHttpClient, MS, SECOND } from '#wire';
import type { EffectCounts } from './role-history.js';
import { chooseAddresses, LoopbackNode } from './loopback-node.js';
import { type LoopbackServer, serveOnLoopback } from './loopback-server.js';
import { LoopbackUsers } from './loopback-users.js';
import { pause, RealClock } from './real-clock.js';
import { LOOPBACK_TYPES } from './sample-settings.js';
import { SimServices, type WorkerSetup } from './sim-services.js';
import type { SimStore } from './sim-store.js';
import { VacancyMeter } from './vacancy-meter.js';

const NODE_COUNT = 3;
const TEAMS = ['blue', 'green', 'red'];
/** Longest wait for a leader; also the longest time for which a suspended leader waits for its successor. */
const LEADER_TIMEOUT_MS = 15_000;
/** Longest time until all jobs end once no more faults are injected. */
const SETTLE_MS = 90_000;

/** Options of a trial. */
export interface TrialOptions {
  seed: number;
  /** For how long faults are injected and jobs are submitted. */
  durationMs: number;
}

/** Results of a trial. */
export interface TrialReport {
  /** Number of terms of the leader. */
  terms: number;
  /** Number of times a process was suspended. */
  freezes: number;
  kills: number;
  /** Number of task starts. */
  starts: number;
  /** Number of submitted jobs. */
  jobs: number;
  /** Ids of the jobs that have not ended. */
  unfinished: string[];
  effects: EffectCounts;
  /** Requests to the state service per second. */
  stateRequestRate: number;
  /** Lease renewals per second, which are among these requests. */
  renewalRate: number;
  vacancies: VacancyMeter;
}

/** One trial with real node processes. */
export class LoopbackTrial {
  readonly nodes: LoopbackNode[] = [];
  private readonly clock = new RealClock();
  private readonly random: () => number;
  private readonly services: SimServices;
  private readonly users: LoopbackUsers;
  private readonly vacancies = new VacancyMeter();
  private readonly servers: LoopbackServer[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'micaworks-loopback-'));
  private readonly counts = { terms: 0, freezes: 0, kills: 0 };
  private isStopped = false;

  constructor(private readonly options: TrialOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => (generator.next() >>> 0) / 4294967296;
    this.services = this.createServices();
    const { clock, random, services, nodes } = this;
    this.users = new LoopbackUsers({ clock, random, services, nodes, teams: TEAMS });
    const { cloud } = this.services;
    cloud.lateRequestRate = 0.2;
    cloud.maxRequestDelay = 10 * SECOND;
    cloud.slowBootRate = 0.2;
  }

  private createServices(): SimServices {
    return new SimServices({
      clock: this.clock,
      random: this.random,
      storeLimits: { rps: 200, writeRps: 80, txnOps: 8, valueBytes: 4096, pageRows: 1000 },
      cloud: { types: LOOPBACK_TYPES, capacity: () => 4, listLag: SECOND },
      gangTimes: { gatherTimeout: 20 * SECOND, peerLossTimeout: 3 * SECOND },
      teamLimits: new Map(TEAMS.map((team) => [team, { cpus: 24, gpus: 0 }])),
      cancellationDeadline: 20 * SECOND,
      onCommit: (writes) => {
        this.recordNewHolders(writes);
      },
      setUpWorker: () => this.setUpWorker(),
    });
  }

  /** Starts the services and all node processes, and the check of the invariants. */
  async start(): Promise<void> {
    const state = await this.serve((...args) => this.services.store.handler(...args));
    const cloud = await this.serve((...args) => this.services.cloud.handler(...args));
    const all = await Promise.all([...Array(NODE_COUNT).keys()].map(chooseAddresses));
    for (const addresses of all) {
      this.nodes.push(new LoopbackNode(addresses, all, { state, cloud }, this.folder));
    }
    for (const node of this.nodes) node.start();
    this.checkInvariants();
  }

  /** Runs the trial: injects faults for the given time, then waits until all jobs have ended. */
  async run(): Promise<TrialReport> {
    await this.start();
    const startedAt = Date.now();
    const jobs = this.submitJobs(this.options.durationMs);
    await this.replaceSuspendedLeader();
    while (Date.now() < startedAt + this.options.durationMs) await this.injectRandomFault();
    this.services.cloud.lateRequestRate = 0;
    const seconds = (Date.now() - startedAt) / 1000;
    const stateRequestRate = perSecond(this.services.store.requestCount, seconds);
    const renewalRate = perSecond(this.services.store.renewalCount, seconds);
    await this.waitFor(jobs, SETTLE_MS);
    return {
      ...this.counts,
      starts: this.services.invariants.starts,
      jobs: this.services.specs.size,
      unfinished: this.services.invariants.unfinishedJobs(),
      effects: this.services.history.counts,
      stateRequestRate,
      renewalRate,
      vacancies: this.vacancies,
    };
  }

  /** Resolves with the leader for which the condition holds, or with undefined if there is none in time. */
  async leaderWhere(condition: (leader: LoopbackNode) => boolean): Promise<LoopbackNode | undefined> {
    for (const end = Date.now() + LEADER_TIMEOUT_MS; Date.now() < end;) {
      const leader = this.leader;
      if (leader && condition(leader)) return leader;
      await pause(50);
    }
    return undefined;
  }

  /** Deletes all data of the state service; the returned function restores it. */
  loseData(): () => void {
    const backup = this.services.store.backup();
    this.services.store.wipe();
    return () => {
      this.services.store.restore(backup);
    };
  }

  /** The number of task starts so far, and the ids of the jobs that have not ended. */
  get progress(): { starts: number; unfinished: string[] } {
    return { starts: this.services.invariants.starts, unfinished: this.services.invariants.unfinishedJobs() };
  }

  /** Ends all processes and servers of the trial; throws the first failure that occurred in a callback. */
  stop(): void {
    this.isStopped = true;
    this.users.stop();
    for (const node of this.nodes) node.kill();
    for (const worker of this.services.workers.values()) worker.destroy();
    for (const server of this.servers) server.close();
    this.clock.stop();
    rmSync(this.folder, { recursive: true, force: true });
    this.services.firstFailure.rethrow();
  }

  /** The leader according to the state service. */
  get leader(): LoopbackNode | undefined {
    const member = this.services.store.rows.get(LEADER_KEY)?.value['Member'];
    return this.nodes.find((node) => node.addresses.member === member);
  }

  private async serve(handler: SimStore['handler']): Promise<string> {
    const server = await serveOnLoopback((...args) =>
      this.services.firstFailure.guard(() => handler(...args)),
    );
    this.servers.push(server);
    return server.address;
  }

  /**
   * Suspends the leader until it is replaced, then resumes it. Every trial must cover this case. The random faults
   * alone don't ensure it, as their effect depends on how the processes are scheduled: in one CI run each of the few
   * suspensions ended before the lease expired, and the term never changed.
   */
  private async replaceSuspendedLeader(): Promise<void> {
    const firstLeader = await this.leaderWhere(() => true);
    if (!firstLeader) throw new Error(`no leader was elected within ${LEADER_TIMEOUT_MS} ms`);
    // Waits until machines are created and tasks have started, so that the leader has work in progress.
    await pause(4000);
    const suspended = this.leader ?? firstLeader;
    this.counts.freezes++;
    this.recordVacancies(suspended, 'freeze');
    suspended.suspend();
    const successor = await this.leaderWhere((leader) => leader !== suspended);
    suspended.resume();
    if (!successor) throw new Error(`the suspended leader was not replaced within ${LEADER_TIMEOUT_MS} ms`);
  }

  private async injectRandomFault(): Promise<void> {
    const anyNode = this.nodes[Math.floor(this.random() * NODE_COUNT)];
    const node = this.random() < 0.7 ? (this.leader ?? anyNode) : anyNode;
    if (node?.isUp === true && !node.isSuspended) {
      if (this.random() < 0.75) await this.suspend(node);
      else await this.kill(node);
    }
    await pause(500 + this.random() * 3000);
  }

  private async suspend(node: LoopbackNode): Promise<void> {
    this.counts.freezes++;
    this.recordVacancies(node, 'freeze');
    node.suspend();
    await pause(300 + this.random() * 7000);
    node.resume();
    for (const role of this.rolesOf(node)) this.vacancies.holderRecovered(role);
  }

  private async kill(node: LoopbackNode): Promise<void> {
    this.counts.kills++;
    this.recordVacancies(node, 'crash');
    node.kill();
    await pause(100 + this.random() * 3000);
    node.start();
  }

  /** Returns the names of the roles that this node holds according to the state service. */
  private rolesOf(node: LoopbackNode): string[] {
    const holds = (key: string): boolean =>
      this.services.store.rows.get(key)?.value['Member'] === node.addresses.member;
    const shards = [...Array(NODE_COUNT).keys()].filter((shard) => holds(SHARD_PREFIX + String(shard)));
    return [...(holds(LEADER_KEY) ? ['lead'] : []), ...shards.map((shard) => formatRoleName(shard))];
  }

  private recordVacancies(node: LoopbackNode, cause: 'freeze' | 'crash'): void {
    for (const role of this.rolesOf(node)) this.vacancies.vacancyBegan(role, cause, this.clock.time);
  }

  private recordNewHolders(writes: readonly WireFields[]): void {
    for (const write of writes) {
      const key = String(write['Set'] ?? '');
      if (key === LEADER_KEY) this.counts.terms++;
      if (key === LEADER_KEY) this.vacancies.vacancyEnded('lead', this.clock.time);
      else if (key.startsWith(SHARD_PREFIX)) {
        this.vacancies.vacancyEnded(formatRoleName(Number(key.slice(SHARD_PREFIX.length))), this.clock.time);
      }
    }
  }

  private setUpWorker(): WorkerSetup {
    return {
      nodes: this.nodes.map(({ addresses: { member, users } }) => ({ member, endpoint: users })),
      createClient: (gate) => {
        const httpClient = createHttpClient(1);
        return async (...args) => {
          const reply = await httpClient(...args);
          return new Promise((resolve) => {
            gate(() => {
              resolve(reply);
            });
          });
        };
      },
      limits: { heartbeatInterval: SECOND, workerLease: 6 * SECOND },
      capacity: { cpus: 4, gpus: 0, memGb: 16 },
      isFaulty: () => false,
      responseCopies: null,
    };
  }

  /** Submits jobs for the given time; resolves once all of them are done, or the trial is stopped. */
  submitJobs(durationMs: number): Promise<void> {
    return this.users.submitJobs(durationMs);
  }

  /** Checks the invariants every 100 ms. */
  private checkInvariants(): void {
    this.services.firstFailure.guard(() => {
      this.services.invariants.checkDeadlines(this.clock.time);
    });
    this.clock.at(100 * MS, () => {
      if (!this.isStopped) this.checkInvariants();
    });
  }

  /** Waits until the work is done, but no longer than the given time. */
  private async waitFor(work: Promise<void>, ms: number): Promise<void> {
    let isDone = false;
    void work.then(() => (isDone = true));
    for (const end = Date.now() + ms; !isDone && Date.now() < end;) await pause(200);
  }
}

function perSecond(count: number, seconds: number): number {
  return Math.round((count / seconds) * 10) / 10;
}
