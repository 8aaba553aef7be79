/** A node of a simulated cluster: its process is started, suspended, ended and upgraded by tests. */
import type { Logger, PeerHighWaterMark, PeerStatus, Ping } from '#cluster';
import { Controller, type ControllerOptions } from '#daemon';
import { defaultTuning, type Settings } from '#settings';
import { type HttpClient, type HttpMethod, isWireFields, type Micros, MS } from '#wire';
import type { Gate, SimClock } from './sim-clock.js';
import type { ClockError, SimClusterOptions } from './sim-cluster-options.js';
import type { SimNet, SimResponse } from './sim-net.js';
import { simulate, type SimulatedController } from './simulated-controller.js';
import { CLOUD } from './sample-settings.js';

const SILENT: Logger = { debug: () => undefined, info: () => undefined, error: () => undefined };
const HEARTBEAT_PATH = '/v1/report';

/** One run of a node's process. */
interface ProcessLife {
  isRunning: boolean;
  /** Until then the process is suspended, while its clocks run on. */
  frozenUntil: Micros;
}

/** What a node needs of its cluster. */
export interface SimNodeOptions {
  readonly index: number;
  readonly settings: Settings;
  readonly cluster: SimClusterOptions;
  readonly clock: SimClock;
  readonly random: () => number;
  readonly net: SimNet;
  /** A new name for each start of a process. */
  readonly nextIncarnation: () => string;
  /** Called with the status of each answer to a worker's heartbeat. */
  readonly onHeartbeat: (host: string, status: number) => void;
}

/** One node of a simulated cluster. */
export class SimNode {
  /** Null while the process is down. */
  controller: SimulatedController | null = null;
  /** The same controller if it is of the present version. */
  present: Controller | null = null;
  /** Its process comes back with the version in production. */
  isOld: boolean;
  /** Heartbeats that this node has answered with 200. */
  heartbeatCount = 0;
  private life: ProcessLife = { isRunning: false, frozenUntil: 0 };

  constructor(private readonly options: SimNodeOptions) {
    this.isOld = options.cluster.production !== undefined;
  }

  get index(): number {
    return this.options.index;
  }

  /** Starts the process unless it runs. */
  start(): void {
    if (this.life.isRunning) return;
    const life: ProcessLife = { isRunning: true, frozenUntil: 0 };
    this.life = life;
    const gate = this.gateOf(life);
    const controller = this.createController(this.controllerOptions(gate));
    this.controller = controller;
    controller.start();
    this.servePeers(controller, gate);
    this.serveUsersAndWorkers(controller, life, gate);
  }

  /** Ends the process without notice. */
  kill(): void {
    if (!this.life.isRunning) return;
    this.life.isRunning = false;
    this.controller = null;
    this.present = null;
    const { net, settings } = this.options;
    net.unplug(settings.bind);
    net.unplug(settings.clusterListen);
  }

  /** Suspends the process: timers, answers and requests wait for it, clocks don't. */
  freeze(duration: Micros): void {
    this.life.frozenUntil = this.options.clock.time + duration;
  }

  private gateOf(life: ProcessLife): Gate {
    const { clock, random } = this.options;
    const pass: Gate = (step) => {
      if (!life.isRunning) return;
      if (clock.time >= life.frozenUntil) step();
      // What has gathered meanwhile passes in a random order.
      else {
        clock.at(life.frozenUntil - clock.time + random() * 20 * MS, () => {
          pass(step);
        });
      }
    };
    return pass;
  }

  private clockError(): ClockError {
    const { index, random, cluster } = this.options;
    const allowed = {
      drift: (random() - 0.5) * 0.001,
      wallClockOffset: Math.floor((random() - 0.5) * 100 * MS),
    };
    return cluster.clockError?.(index) ?? allowed;
  }

  private controllerOptions(gate: Gate): ControllerOptions {
    const { settings, cluster, clock, random, net, nextIncarnation } = this.options;
    const { drift, wallClockOffset } = this.clockError();
    const call = net.caller(settings.member, settings.domain, gate);
    return {
      settings: this.isOld ? { ...settings, ...cluster.production?.settings } : settings,
      tuning: { ...defaultTuning(), ...cluster.tuning },
      clock: clock.view(gate, drift, wallClockOffset),
      random,
      incarnation: nextIncarnation(),
      httpClient: this.withSender(call),
      ping: pingThrough(call),
      log: cluster.log ?? SILENT,
    };
  }

  private createController(options: ControllerOptions): SimulatedController {
    const { production } = this.options.cluster;
    if (this.isOld && production) return production.version.createController(options);
    this.present = new Controller(options);
    return simulate(this.present);
  }

  /** Adds the sender and its term to each request to the cloud, for the checks of effects. */
  private withSender(call: HttpClient): HttpClient {
    return (endpoint, method, path, body, timeout) => {
      if (endpoint !== CLOUD || !isWireFields(body)) return call(endpoint, method, path, body, timeout);
      const sender = { SenderTerm: this.present?.leaderTerm() ?? null, SenderIsOld: this.isOld };
      return call(endpoint, method, path, { ...body, ...sender }, timeout);
    };
  }

  private servePeers(controller: SimulatedController, gate: Gate): void {
    const { net, settings } = this.options;
    net.serve(settings.clusterListen, settings.domain, async () => {
      await new Promise<void>(gate);
      return { status: 200, body: encodePeerStatus(controller.peerStatus()) };
    });
  }

  private serveUsersAndWorkers(controller: SimulatedController, life: ProcessLife, gate: Gate): void {
    const { net, settings } = this.options;
    net.serve(settings.bind, settings.domain, async (_from, method, path, body) => {
      await new Promise<void>(gate);
      const answer = await route(controller, { method, path, body });
      if (path === HEARTBEAT_PATH) {
        if (answer.status === 200) this.heartbeatCount++;
        this.options.onHeartbeat(isWireFields(body) ? String(body['Host']) : '', answer.status);
      }
      return life.isRunning ? answer : await new Promise(() => undefined);
    });
  }
}

/** A request of a user or a worker. */
interface NodeRequest {
  readonly method: HttpMethod;
  readonly path: string;
  readonly body: unknown;
}

function route(controller: SimulatedController, { method, path, body }: NodeRequest): Promise<SimResponse> {
  if (path === HEARTBEAT_PATH) return controller.handleHeartbeat(body);
  if (path === '/submissions' && method === 'POST') return controller.submitJob(body);
  const id = path.split('/')[2] ?? '';
  return method === 'POST' ? controller.cancelJob(id) : controller.getJob(id);
}

function encodePeerStatus(status: PeerStatus): object {
  return {
    Token: status.fencingToken,
    Served: status.isStoreReachable,
    Referred: status.redirectedWorkers,
    Memory: status.highWaterMark,
  };
}

function pingThrough(call: HttpClient): Ping {
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
