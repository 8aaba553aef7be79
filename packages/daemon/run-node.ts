/** One node as a process: its clock, its sockets and its log. */
import { hrtime } from 'node:process';
import { randomBytes } from 'node:crypto';
import { createApp, listen } from '#api';
import type { Settings, Tuning } from '#settings';
import { type Clock, createHttpClient, type Micros, MS, SECOND } from '#wire';
import { pino, destination } from 'pino';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createOperatorApp, listenForOperators, OPERATOR_SOCKETS } from '#operations';
import { Controller } from './controller.js';
import { createPinger, servePeers } from './peer-links.js';

/** A planned stop takes no longer than this. */
const RETIRE_PATIENCE: Micros = 10 * SECOND;

function steadyClock(): Clock {
  return {
    now: () => Math.floor(Number(hrtime.bigint() / 1000n)),
    wall: () => Date.now() * 1000,
    after: (delay, action) => {
      const timer = setTimeout(action, Math.max(0, delay / 1000));
      return {
        cancel: () => {
          clearTimeout(timer);
        },
      };
    },
  };
}

function uniform(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 4294967296;
}

/** Connections to the state service, and as many to the cloud, at the most. */
function callers({ sockets }: Settings): number {
  return Math.max(8, Math.min(64, Math.floor(sockets / 16)));
}

/** What workers and users must leave of the machine's connections: for both services, peers, operators, some spare. */
function reserve(settings: Settings, tuning: Tuning): number {
  const operators = tuning.operatorListen === null ? 0 : OPERATOR_SOCKETS;
  return 2 * callers(settings) + 4 * settings.peers.length + 32 + operators;
}

/** Ends the process when it is asked to, once its duties are given up or that took too long. */
function retireOnSignal(controller: Controller): void {
  process.once('SIGTERM', () => {
    setTimeout(() => process.exit(0), RETIRE_PATIENCE / MS);
    void controller.retire().finally(() => process.exit(0));
  });
}

async function serveOperators(
  controller: Controller,
  address: string,
  report: (cause: unknown) => void,
): Promise<void> {
  const app = createOperatorApp(
    {
      dutyReport: () => controller.roleReport(),
      lossReport: () => controller.dataLossReport(),
      snapshot: () => controller.snapshot(),
      resign: (role) => controller.resignRole(role),
    },
    report,
  );
  await listenForOperators(app, address);
}

/** Starts a node on these settings; resolves once it listens. */
export async function runNode(settings: Settings, tuning: Tuning): Promise<void> {
  const level = process.env['LOG_LEVEL'] ?? 'info';
  const log = pino(
    { level: ['error', 'info', 'debug'].includes(level) ? level : 'info', base: { member: settings.member } },
    destination({ dest: 2, sync: true }),
  );
  const incarnation = randomBytes(6).toString('hex');
  const controller: Controller = new Controller({
    settings,
    tuning,
    clock: steadyClock(),
    random: uniform(randomBytes(4).readInt32LE()),
    incarnation,
    httpClient: createHttpClient(callers(settings)),
    ping: createPinger(settings.member, () => controller.peerStatus()),
    log,
  });
  const report = (cause: unknown): void => {
    log.error({ cause: cause instanceof Error ? cause.stack : String(cause) }, 'unexpected');
  };
  // A fault in one exchange must not end the node: everything it holds can be read again.
  process.on('uncaughtException', report);
  process.on('unhandledRejection', report);
  await servePeers(settings.clusterListen, () => controller.peerStatus());
  controller.start();
  const app = createApp(
    {
      submitJob: (body) => controller.jobService.submitJob(body),
      getJob: (id) => controller.jobService.getJob(id),
      cancelJob: (id) => controller.jobService.cancelJob(id),
      heartbeat: (body) => controller.handleHeartbeat(body),
      health: () => controller.health(),
    },
    report,
  );
  if (tuning.operatorListen !== null) await serveOperators(controller, tuning.operatorListen, report);
  await listen(app, settings.bind, Math.max(16, settings.sockets - reserve(settings, tuning)));
  if (tuning.handsOverOnStop) retireOnSignal(controller);
  log.info({ bind: settings.bind, incarnation }, 'listening');
}
