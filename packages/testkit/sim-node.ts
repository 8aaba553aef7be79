/** A node of a simulated cluster, whose process tests start, suspend, end and upgrade. */
import type { Logger, PeerHighWaterMark, PeerStatus, Ping } from '#cluster';
import { Controller, type ControllerOptions } from '#daemon';
import { defaultTuning, type Settings } from '#settings';
import { type HttpClient, type HttpMethod, isWireFields, type Micros, MS } from '#wire';
import type { Gate, SimClock } from './sim-clock.js';
import type { ClockError, SimClusterOptions } from './sim-cluster-options.js';
import type { SimNet, SimResponse } from './sim-net.js';
import { toSimulatedController, type SimulatedController } from './simulated-controller.js';
import { CLOUD_ENDPOINT } from './sample-settings.js';

const NO_LOG: Logger = { debug: () => undefined, info: () => undefined, error: () => undefined };
const HEARTBEAT_PATH = '/v1/report';

/** One run of a node's process, from its start to its end. */
interface ProcessRun {
  isRunning: boolean;
  /** The process is suspended until this time, while its clocks continue. */
  suspendedUntil: Micros;
}

/** Dependencies of {@link SimNode}. */
export interface SimNodeOptions {
  readonly index: number;
  readonly settings: Settings;
  readonly clusterOptions: SimClusterOptions;
  readonly clock: SimClock;
  readonly random: () => number;
  readonly net: SimNet;
  /** Returns a new incarnation for each start of a process. */
  readonly nextIncarnation: () => string;
  /** Called for each heartbeat response, with its HTTP status. */
  readonly onHeartbeat: (host: string, status: number) => void;
}

/** One node of a simulated cluster. */
export class SimNode {
  /** The controller of either version; null while the process is down. */
  controller: SimulatedController | null = null;
  /** The same controller if the process runs the current version; null otherwise. */
  currentController: Controller | null = null;
  /** True if the process runs the production version, or will run it after its next start. */
  runsProductionVersion: boolean;
  /** Number of heartbeats that this node answered with 200. */
  heartbeatCount = 0;
  private run: ProcessRun = { isRunning: false, suspendedUntil: 0 };

  constructor(private readonly options: SimNodeOptions) {
    this.runsProductionVersion = options.clusterOptions.production !== undefined;
  }

  get index(): number {
    return this.options.index;
  }

  /** Starts the process unless it is already running. */
  start(): void {
    if (this.run.isRunning) return;
    const run: ProcessRun = { isRunning: true, suspendedUntil: 0 };
    this.run = run;
    const gate = this.gateOf(run);
    const controller = this.createController(this.controllerOptions(gate));
    this.controller = controller;
    controller.start();
    this.servePeers(controller, gate);
    this.serveUsersAndWorkers(controller, run, gate);
  }

  /** Kills the process; it has no chance to hand off its roles. */
  kill(): void {
    if (!this.run.isRunning) return;
    this.run.isRunning = false;
    this.controller = null;
    this.currentController = null;
    const { net, settings } = this.options;
    net.stopServing(settings.bind);
    net.stopServing(settings.clusterListen);
  }

  /** Suspends the process: its timers, responses and requests wait until it is resumed; its clocks continue. */
  suspend(duration: Micros): void {
    this.run.suspendedUntil = this.options.clock.time + duration;
  }

  /** Creates the gate through which all steps of one process run pass. */
  private gateOf(run: ProcessRun): Gate {
    const { clock, random } = this.options;
    const pass: Gate = (step) => {
      if (!run.isRunning) return;
      if (clock.time >= run.suspendedUntil) step();
      // Steps that waited for a suspended process run in a random order, within 20 ms after it is resumed.
      else {
        clock.at(run.suspendedUntil - clock.time + random() * 20 * MS, () => {
          pass(step);
        });
      }
    };
    return pass;
  }

  private clockError(): ClockError {
    const { index, random, clusterOptions } = this.options;
    const allowedError = {
      drift: (random() - 0.5) * 0.001,
      wallClockOffset: Math.floor((random() - 0.5) * 100 * MS),
    };
    return clusterOptions.clockError?.(index) ?? allowedError;
  }

  private controllerOptions(gate: Gate): ControllerOptions {
    const { settings, clusterOptions, clock, random, net, nextIncarnation } = this.options;
    const { drift, wallClockOffset } = this.clockError();
    const httpClient = net.createClient(settings.member, settings.domain, gate);
    return {
      settings: this.runsProductionVersion
        ? { ...settings, ...clusterOptions.production?.settings }
        : settings,
      tuning: { ...defaultTuning(), ...clusterOptions.tuning },
      clock: clock.createProcessClock(gate, drift, wallClockOffset),
      random,
      incarnation: nextIncarnation(),
      httpClient: this.withSender(httpClient),
      ping: pingWith(httpClient),
      log: clusterOptions.log ?? NO_LOG,
    };
  }

  private createController(options: ControllerOptions): SimulatedController {
    const { production } = this.options.clusterOptions;
    if (this.runsProductionVersion && production) return production.version.createController(options);
    this.currentController = new Controller(options);
    return toSimulatedController(this.currentController);
  }

  /** Adds the sender's term and version to each request to the cloud, from which {@link RoleHistory} checks effects. */
  private withSender(httpClient: HttpClient): HttpClient {
    return (endpoint, method, path, body, timeout) => {
      if (endpoint !== CLOUD_ENDPOINT || !isWireFields(body))
        return httpClient(endpoint, method, path, body, timeout);
      const sender = {
        SenderTerm: this.currentController?.leaderTerm() ?? null,
        SenderIsOld: this.runsProductionVersion,
      };
      return httpClient(endpoint, method, path, { ...body, ...sender }, timeout);
    };
  }

  private servePeers(controller: SimulatedController, gate: Gate): void {
    const { net, settings } = this.options;
    net.serve(settings.clusterListen, settings.domain, async () => {
      await new Promise<void>(gate);
      return { status: 200, body: encodePeerStatus(controller.peerStatus()) };
    });
  }

  private serveUsersAndWorkers(controller: SimulatedController, run: ProcessRun, gate: Gate): void {
    const { net, settings } = this.options;
    net.serve(settings.bind, settings.domain, async (_from, method, path, body) => {
      await new Promise<void>(gate);
      const response = await route(controller, { method, path, body });
      if (path === HEARTBEAT_PATH) {
        if (response.status === 200) this.heartbeatCount++;
        this.options.onHeartbeat(isWireFields(body) ? String(body['Host']) : '', response.status);
      }
      return run.isRunning ? response : await new Promise(() => undefined);
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

function pingWith(httpClient: HttpClient): Ping {
  return (endpoint, timeout) =>
    httpClient(endpoint, 'GET', '/', undefined, timeout).then(
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
