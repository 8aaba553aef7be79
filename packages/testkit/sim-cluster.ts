import { Controller, type ControllerOptions } from '#daemon';
import {
  CHECKPOINT_HEAD_KEY,
  checkpointChunkKey,
  CHECKPOINT_CHUNK_PREFIX,
  LEADER_KEY,
  type Logger,
  LOG_PREFIX,
  type PeerHighWaterMark,
  type Ping,
} from '#cluster';
import { type Settings, defaultTuning, type Tuning } from '#settings';
import {
  type HttpClient,
  decodeJobStatus,
  encodeSubmission,
  type WireFields,
  isWireFields,
  type JobStatus,
  type MachineType,
  type Micros,
  MS,
  SECOND,
  type JobSpec,
} from '#wire';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { LedgerAgreement } from './ledger-agreement.js';
import type { ProductionVersion } from './production-version.js';
import { RoleHistory } from './role-history.js';
import { FirstFailure } from './first-failure.js';
import { InvariantViolation, type FreeCapacity, InvariantChecker, sampleJob } from './invariants.js';
import { type Gate, SimClock } from './sim-clock.js';
import { SimGangs } from './sim-gang.js';
import { type CloudHost, SimCloud } from './sim-cloud.js';
import { SimNet } from './sim-net.js';
import { SimStore } from './sim-store.js';
import { SimWorker } from './sim-worker.js';
import { simulate, type SimulatedController } from './simulated-controller.js';

const ZONES = ['east', 'west'];
export const STATE = '10.2.0.1:2379';
export const CLOUD = '10.2.0.2:8443';

/** A small deployment for tests; every number differs from any real one on purpose. */
export function sampleSettings(index: number, count: number, change: Partial<Settings> = {}): Settings {
  const zone = (i: number): string => ZONES[i % ZONES.length] as string;
  const peers = [...Array(count).keys()].filter((i) => i !== index);
  return {
    member: `node-${index}`,
    domain: zone(index),
    bind: `10.0.0.${index}:80`,
    clusterListen: `10.0.0.${index}:81`,
    peers: peers.map((i) => ({ member: `node-${i}`, domain: zone(i), endpoint: `10.0.0.${i}:81` })),
    cloud: CLOUD,
    state: STATE,
    initialSize: count,
    zones: ZONES,
    timeBound: 50 * MS,
    teams: [
      { name: 'blue', cpus: 8, cpusMax: 20, gpus: 0, gpusMax: 0 },
      { name: 'green', cpus: 8, cpusMax: 16, gpus: 0, gpusMax: 2 },
    ],
    objectives: [{ kind: 'finished', jobClass: 'batch', within: 60 * SECOND }],
    heartbeatInterval: 2 * SECOND,
    workerLease: 9 * SECOND,
    cancellationDeadline: 25 * SECOND,
    gangWait: 20 * SECOND,
    gangPeer: 3 * SECOND,
    stateRps: 100,
    stateWriteRps: 40,
    valueBytes: 2048,
    txnOps: 6,
    cloudRps: 10,
    machineListLag: 3 * SECOND,
    sockets: 500,
    ...change,
  };
}

export const SAMPLE_TYPES: MachineType[] = [
  {
    ...{ name: 'small', cpus: 4, gpus: 0, memGb: 16, cacheGb: 40, fetchGbPerS: 1, price: 1, spotPrice: 0.3 },
    ...{ bootS: 6, zones: ZONES },
  },
  {
    ...{ name: 'large', cpus: 12, gpus: 2, memGb: 64, cacheGb: 80, fetchGbPerS: 1, price: 4, spotPrice: 1.2 },
    ...{ bootS: 8, zones: ['east'] },
  },
];

interface Node {
  /** Null while the process is down. */
  controller: SimulatedController | null;
  /** The same, where it is of the present version. */
  present: Controller | null;
  index: number;
  life: ProcessLife;
  /** Its process comes back with the version in production. */
  isOld: boolean;
}

/** One start of a node's process. */
interface ProcessLife {
  isRunning: boolean;
  /** Until then the process stands still, while its clocks run on. */
  frozenUntil: Micros;
}

/** A withdrawal was confirmed, a job's last task ended, the lead changed, an owner let a machine go. */
export type ClusterEvent = 'confirmed' | 'last end' | 'lead' | 'release';

/** By what part the steady clock runs fast, and how far the time of day is off. */
export interface ClockError {
  drift: number;
  wallClockOffset: Micros;
}

export interface SimClusterOptions {
  seed: number;
  nodes?: number;
  log?: Logger;
  /** What this deployment has other than the sample's. */
  settings?: Partial<Settings>;
  /** What its operators have turned. */
  tuning?: Partial<Tuning>;
  types?: readonly MachineType[];
  /** How many machines a type, zone and kind holds. */
  capacity?: number;
  /** Rows that the state service puts into one answer to a list request. */
  pageRows?: number;
  /** Runs nodes of the version in production until they are upgraded, with these settings beside the sample's. */
  production?: { version: ProductionVersion; settings?: Partial<Settings> };
  /** How far a node's clocks are off, where that is to be more than the protocol allows. */
  clockError?: (index: number) => ClockError;
  /** `cancel_s` as users were promised it, where the controllers are to be told another. */
  promisedCancel?: Micros;
}

const SILENT: Logger = { debug: () => undefined, info: () => undefined, error: () => undefined };

/** Controllers, state service, cloud, workers and users on one simulated clock, with the rules watched. */
export class SimCluster {
  readonly clock = new SimClock();
  readonly random: () => number;
  readonly net: SimNet;
  readonly store: SimStore;
  readonly cloud: SimCloud;
  readonly invariants: InvariantChecker;
  readonly gangs: SimGangs;
  /** What was done under which term. */
  readonly history: RoleHistory;
  private readonly agreement = new LedgerAgreement();
  readonly workers = new Map<string, SimWorker>();
  readonly specs = new Map<string, JobSpec>();
  /** Answers the users got, by job: the last state each was told. */
  readonly lastStatuses = new Map<string, JobStatus>();
  /** Told of what a second trouble may follow upon. */
  onEvent: (event: ClusterEvent) => void = () => undefined;
  /** Told how a node answered the report of a machine's worker. */
  onHeartbeat: (host: string, node: number, status: number) => void = () => undefined;
  private readonly nodes: Node[] = [];
  private readonly heartbeatCounts = new Map<number, number>();
  private readonly types: readonly MachineType[];
  private starts = 0;
  private faultyWorkerRate = 0;
  private nextIdleCheck: Micros = 0;
  /** By copy of the ledger: the epoch at which it was last compared. */
  private readonly checkedAt = new WeakMap<object, number>();
  /** The first thing that went wrong in a callback; thrown by {@link run}. */
  private readonly failure = new FirstFailure();

  constructor(private readonly options: SimClusterOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => (generator.next() >>> 0) / 4294967296;
    this.types = options.types ?? SAMPLE_TYPES;
    const settings = sampleSettings(0, 1, options.settings);
    this.net = new SimNet(this.clock, this.random);
    this.store = new SimStore(this.clock, this.random, {
      rps: settings.stateRps,
      writeRps: settings.stateWriteRps,
      txnOps: settings.txnOps,
      valueBytes: settings.valueBytes,
      pageRows: options.pageRows ?? 1000,
    });
    this.history = new RoleHistory((path) => this.store.rows.get(path)?.revision ?? 0);
    this.store.beforeApply = (guards, writes) => {
      this.history.beforeCommit(guards, writes);
    };
    this.store.afterApply = (writes) => {
      // What is written to another history is in no record of this one.
      if (this.store.hasLostData) return;
      this.history.afterCommit(writes, this.store.epoch);
      this.agreement.transactionApplied(writes);
      this.checkCheckpoint(writes);
      this.notifyOfEvents(writes);
    };
    const limits = new Map(settings.teams.map((t) => [t.name, { cpus: t.cpusMax, gpus: t.gpusMax }]));
    this.invariants = new InvariantChecker(limits, options.promisedCancel ?? settings.cancellationDeadline);
    this.gangs = new SimGangs(this.clock, this.random, { wait: settings.gangWait, peer: settings.gangPeer });
    this.invariants.onEvent = (event) => {
      this.onEvent(event);
    };
    this.cloud = new SimCloud(
      this.clock,
      this.random,
      this.types,
      options.capacity ?? 4,
      settings.machineListLag,
      (host) => {
        this.bootWorker(host);
      },
      (host) => {
        this.workers.get(host.host)?.destroy();
        this.workers.delete(host.host);
      },
    );
    this.cloud.onScaleOut = (name, sender) => {
      this.failure.guard(() => {
        this.history.scaledOut(name, sender);
      });
    };
    this.cloud.onDeletion = ({ host, state }, sender) => {
      this.failure.guard(() => {
        this.history.deleted(host, state === 'starting' || state === 'running', sender);
      });
    };
    this.net.serve(STATE, null, (...args) => this.failure.guard(() => this.store.handler(...args)));
    this.net.serve(CLOUD, null, this.cloud.handler);
    for (let i = 0; i < (options.nodes ?? 3); i++) {
      const isOld = options.production !== undefined;
      const life: ProcessLife = { isRunning: false, frozenUntil: 0 };
      this.nodes.push({ controller: null, present: null, index: i, life, isOld });
      this.startNode(i);
    }
  }

  get nodeCount(): number {
    return this.nodes.length;
  }

  /** Reports that this node has answered 200. */
  heartbeatCount(index: number): number {
    return this.heartbeatCounts.get(index) ?? 0;
  }

  /** A node of the present version that is up; null while it is down or of the version in production. */
  controller(index: number): Controller | null {
    const node = this.nodes[index];
    return node?.present ?? null;
  }

  /** What this node answers health checks with; null while it is down. */
  health(index: number): number | null {
    return this.nodes[index]?.controller?.health().status ?? null;
  }

  private settingsOf(index: number): Settings {
    return sampleSettings(index, this.options.nodes ?? 3, this.options.settings);
  }

  setFaultyWorkerRate(shard: number): void {
    this.faultyWorkerRate = shard;
  }

  startNode(index: number): void {
    const node = this.nodes[index] as Node;
    if (node.life.isRunning) return;
    const life: ProcessLife = { isRunning: true, frozenUntil: 0 };
    node.life = life;
    const gate = this.gateOf(life);
    const settings = this.settingsOf(index);
    const old = node.isOld ? this.options.production : undefined;
    const allowed = {
      drift: (this.random() - 0.5) * 0.001,
      wallClockOffset: Math.floor((this.random() - 0.5) * 100 * MS),
    };
    const { drift, wallClockOffset } = this.options.clockError?.(index) ?? allowed;
    const options: ControllerOptions = {
      settings: old ? { ...settings, ...old.settings } : settings,
      tuning: { ...defaultTuning(), ...this.options.tuning },
      clock: this.clock.view(gate, drift, wallClockOffset),
      random: this.random,
      incarnation: `i${++this.starts}`,
      httpClient: this.callerOf(node, this.net.caller(settings.member, settings.domain, gate)),
      ping: this.pingFrom(settings.member, settings.domain, gate),
      log: this.options.log ?? SILENT,
    };
    node.present = old ? null : new Controller(options);
    const controller = node.present ? simulate(node.present) : old?.version.createController(options);
    if (!controller) throw new Error(`no version for node ${index}`);
    node.controller = controller;
    controller.start();
    const awake = (): Promise<void> => new Promise(gate);
    this.net.serve(settings.clusterListen, settings.domain, async () => {
      await awake();
      const {
        fencingToken,
        isStoreReachable: served,
        redirectedWorkers: referred,
        highWaterMark: memory,
      } = controller.peerStatus();
      return {
        status: 200,
        body: { Token: fencingToken, Served: served, Referred: referred, Memory: memory },
      };
    });
    this.net.serve(settings.bind, settings.domain, async (_from, method, path, body) => {
      await awake();
      const answer =
        path === '/v1/report'
          ? await controller.handleHeartbeat(body)
          : path === '/submissions' && method === 'POST'
            ? await controller.submitJob(body)
            : method === 'POST'
              ? await controller.cancelJob(path.split('/')[2] ?? '')
              : await controller.getJob(path.split('/')[2] ?? '');
      if (path === '/v1/report') {
        if (answer.status === 200) this.heartbeatCounts.set(index, this.heartbeatCount(index) + 1);
        this.onHeartbeat(isWireFields(body) ? String(body['Host']) : '', index, answer.status);
      }
      return life.isRunning ? answer : await new Promise(() => undefined);
    });
  }

  /** Notes beside each request to the cloud who sends it, and under which term. */
  private callerOf(node: Node, call: HttpClient): HttpClient {
    return (endpoint, method, path, body, timeout) => {
      if (endpoint !== CLOUD || !isWireFields(body)) return call(endpoint, method, path, body, timeout);
      const sender = { SenderTerm: leadTermOf(node), SenderIsOld: node.isOld };
      return call(endpoint, method, path, { ...body, ...sender }, timeout);
    };
  }

  killNode(index: number): void {
    const node = this.nodes[index] as Node;
    if (!node.life.isRunning) return;
    node.life.isRunning = false;
    node.controller = null;
    node.present = null;
    const settings = this.settingsOf(index);
    this.net.unplug(settings.bind);
    this.net.unplug(settings.clusterListen);
  }

  /** The node's process ends, and comes back with the present version. */
  upgradeNode(index: number, downFor: Micros): void {
    (this.nodes[index] as Node).isOld = false;
    this.killNode(index);
    this.clock.at(downFor, () => {
      this.startNode(index);
    });
  }

  /** The node runs the version in production, or will when it comes back. */
  isOld(index: number): boolean {
    return this.nodes[index]?.isOld ?? false;
  }

  /** The node's process stands still: timers, answers and requests wait for it, clocks don't. */
  freezeNode(index: number, duration: Micros): void {
    const { life } = this.nodes[index] as Node;
    life.frozenUntil = this.clock.time + duration;
  }

  /** Connections between this node and its peers are refused, either way. */
  refusePeers(index: number, on: boolean): void {
    for (let i = 0; i < this.nodeCount; i++) {
      for (const link of [`node-${index}>10.0.0.${i}:81`, `node-${i}>10.0.0.${index}:81`]) {
        if (on) this.net.refusedLinks.add(link);
        else this.net.refusedLinks.delete(link);
      }
    }
  }

  private gateOf(life: ProcessLife): Gate {
    const pass: Gate = (step) => {
      if (!life.isRunning) return;
      if (this.clock.time >= life.frozenUntil) step();
      // In no order: of what has gathered meanwhile, anything may come first.
      else this.clock.at(life.frozenUntil - this.clock.time + this.random() * 20 * MS, () => pass(step));
    };
    return pass;
  }

  /** Submits a job as a user does: again and again until it is taken, then polls until it is over. */
  submit(spec: JobSpec, cancelAfter: Micros | null = null): void {
    this.specs.set(spec.id, spec);
    this.invariants.jobSubmitted(spec, this.clock.time);
    void this.simulateUser(spec, cancelAfter);
  }

  async run(duration: Micros): Promise<void> {
    await this.clock.run(this.clock.time + duration, () => {
      this.failure.rethrow();
      this.invariants.check(this.clock.time);
      this.checkAgreement();
      if (this.clock.time < this.nextIdleCheck) return;
      this.nextIdleCheck = this.clock.time + SECOND;
      this.invariants.checkWaitingJobs(this.clock.time, this.freeCapacities());
    });
  }

  /** Once for each epoch: a node's copy changes with nothing else. */
  private checkAgreement(): void {
    const { epoch, hasLostData: hasLost } = this.store;
    // Epochs of another history: those of the copies that are compared name other commits.
    if (hasLost) return;
    const copies = this.nodes.flatMap((n) => (n.controller ? [n.controller.replicaFacts()] : []));
    const current = copies.filter((c) => c.applied === epoch && this.checkedAt.get(c.ledger) !== epoch);
    for (const { ledger } of current) this.checkedAt.set(ledger, epoch);
    this.agreement.check(current, epoch);
  }

  private freeCapacities(): FreeCapacity[] {
    const working = [...this.workers.values()].filter(
      (w) => w.isAlive && !w.isFaulty && w.reclaimInS === null,
    );
    return working.map((w) => ({ machine: w.machine, ...w.freeCapacity() }));
  }

  /** Asks for the job's withdrawal at one node, once; the status that the user is told. */
  async cancelJob(id: string, node: number): Promise<number> {
    this.invariants.cancellationRequested(id);
    return this.sendUserRequest(id, node, 'POST', `/submissions/${id}/withdraw`);
  }

  /** One request of a job's user, once; 0 if no answer comes in time. */
  async sendUserRequest(
    id: string,
    node: number,
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<number> {
    const call = this.net.caller(`user-${id}`, null, (step) => {
      step();
    });
    const sentAt = this.clock.time;
    const reply = await call(`10.0.0.${node}:80`, method, path, body, 2 * SECOND).catch(() => null);
    if (!reply) return 0;
    const state = decodeJobStatus(reply.body);
    this.failure.guard(() => {
      this.invariants.answerReceived(id, reply.status, state, this.clock.time, sentAt);
    });
    if (state && !['done', 'cancelled'].includes(this.lastStatuses.get(id) ?? ''))
      this.lastStatuses.set(id, state);
    return reply.status;
  }

  private async simulateUser(spec: JobSpec, cancelAfter: Micros | null): Promise<void> {
    const began = this.clock.time;
    const pause = (d: Micros): Promise<void> => new Promise((done) => this.clock.at(d, done));
    const ask = (method: 'GET' | 'POST', path: string, body?: unknown): Promise<number> =>
      this.sendUserRequest(spec.id, Math.floor(this.random() * this.nodes.length), method, path, body);
    for (;;) {
      const status = await ask('POST', '/submissions', encodeSubmission(spec));
      if (status === 200 || status === 201) break;
      if (status === 400 || status === 422) return;
      await pause(SECOND);
    }
    for (;;) {
      await pause(3 * SECOND);
      const state = this.lastStatuses.get(spec.id);
      if (state === 'done' || state === 'cancelled') {
        // Long after the end a repeat of the submission still gets the same answer.
        await pause(20 * SECOND);
        await ask('POST', '/submissions', encodeSubmission(spec));
        return;
      }
      if (cancelAfter !== null && this.clock.time > began + cancelAfter) {
        this.invariants.cancellationRequested(spec.id);
        await ask('POST', `/submissions/${spec.id}/withdraw`);
      } else await ask('GET', `/submissions/${spec.id}`);
    }
  }

  private bootWorker(host: CloudHost): void {
    const type = this.types.find((t) => t.name === host.machineType) as MachineType;
    const worker = new SimWorker(host, {
      clock: this.clock,
      random: this.random,
      invariants: this.invariants,
      gangs: this.gangs,
      job: (id) => this.specs.get(id),
      nodes: this.nodes.map((n) => ({ member: `node-${n.index}`, endpoint: `10.0.0.${n.index}:80` })),
      caller: (gate) => this.net.caller(host.host, host.zone, gate),
      limits: this.settingsOf(0),
      capacity: { cpus: type.cpus, gpus: type.gpus, memGb: type.memGb },
      isFaulty: this.random() < this.faultyWorkerRate,
      onLaunch: (...launch) => {
        this.failure.guard(() => {
          this.history.launched(...launch);
        });
      },
    });
    this.workers.set(host.host, worker);
  }

  private pingFrom(member: string, zone: string, gate: Gate): Ping {
    const call = this.net.caller(member, zone, gate);
    return (endpoint, timeout) =>
      call(endpoint, 'GET', '/', undefined, timeout).then(
        (reply) => ({
          result: 'ok',
          status: {
            fencingToken: Number(reply.body['Token']),
            isStoreReachable: reply.body['Served'] === true,
            redirectedWorkers: (reply.body['Referred'] ?? {}) as Record<string, number>,
            highWaterMark: (reply.body['Memory'] ?? null) as PeerHighWaterMark | null,
          },
        }),
        (cause: unknown) => ({
          result: String(cause).includes('refused') ? 'refused' : 'silent',
          status: null,
        }),
      );
  }

  private notifyOfEvents(writes: WireFields[]): void {
    for (const w of writes) {
      const path = String(w['Set'] ?? '');
      if (path === LEADER_KEY) this.onEvent('lead');
      else if (path.startsWith(LOG_PREFIX) && isWireFields(w['V']) && w['V']['releases'] !== undefined)
        this.onEvent('release');
    }
  }

  /** The present checkpoint can be read whole at every moment. */
  private checkCheckpoint(writes: WireFields[]): void {
    const paths = writes.map((w) => String(w['Set'] ?? w['Remove']));
    if (!paths.some((path) => path === CHECKPOINT_HEAD_KEY || path.startsWith(CHECKPOINT_CHUNK_PREFIX)))
      return;
    const head = this.store.rows.get(CHECKPOINT_HEAD_KEY)?.value;
    for (let i = 0; i < Number(head?.['Chunks'] ?? 0); i++) {
      const key = checkpointChunkKey(String(head?.['Id']), i);
      if (!this.store.rows.has(key)) throw new InvariantViolation('checkpoint', `${key} is missing`);
    }
  }
}

/** The term of the lead that a node of the present version believes to hold; null if it believes in none. */
function leadTermOf(node: Node): number | null {
  return node.present?.leaderTerm() ?? null;
}

export { sampleJob };
