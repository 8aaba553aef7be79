/** One node as a process: its clock, its sockets and its log. */
import { hrtime } from 'node:process';
import { randomBytes } from 'node:crypto';
import { createApp, listen } from '#api';
import type { Logger } from '#cluster';
import type { Settings, Tuning } from '#settings';
import { type Clock, createHttpClient, type Micros, MS, SECOND } from '#wire';
import { pino, destination } from 'pino';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createOperatorApp, listenForOperators, OPERATOR_SOCKETS } from '#operations';
import { Controller } from './controller.js';
import { createPinger, servePeers } from './peer-links.js';

/** A planned stop takes no longer than this. */
const RETIRE_TIMEOUT: Micros = 10 * SECOND;
const LOG_LEVELS = ['error', 'info', 'debug'];
const DEFAULT_LOG_LEVEL = 'info';
const INCARNATION_BYTES = 6;
const NANOS_PER_MICRO = 1000n;
const UINT32_RANGE = 2 ** 32;
/** Bounds of the number of connections to the state service, and to the cloud. */
const MIN_CLIENT_SOCKETS = 8;
const MAX_CLIENT_SOCKETS = 64;
/** Part of a node's sockets, as a divisor, that each of these two gets within the bounds. */
const CLIENT_SOCKET_DIVISOR = 16;
const SOCKETS_PER_PEER = 4;
const SPARE_SOCKETS = 32;
/** Sockets for workers and users at the least. */
const MIN_SERVER_SOCKETS = 16;

/** Handles an error that no request is answered with. */
type ErrorHandler = (error: unknown) => void;

interface NodeSettings {
  readonly settings: Settings;
  readonly tuning: Tuning;
}

/** A monotonic clock; `wall` is the time of day. */
function createClock(): Clock {
  return {
    now: () => Math.floor(Number(hrtime.bigint() / NANOS_PER_MICRO)),
    wall: () => Date.now() * MS,
    after: (delay, action) => {
      const timer = setTimeout(action, Math.max(0, delay / MS));
      return {
        cancel: () => {
          clearTimeout(timer);
        },
      };
    },
  };
}

/** Random numbers, uniform in [0, 1). */
function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}

/** Connections to the state service at the most; the cloud gets as many. */
function clientSockets({ sockets }: Settings): number {
  const part = Math.floor(sockets / CLIENT_SOCKET_DIVISOR);
  return Math.max(MIN_CLIENT_SOCKETS, Math.min(MAX_CLIENT_SOCKETS, part));
}

/** Sockets that workers and users can't have: those for both services, peers and operators, and some to spare. */
function reservedSockets(settings: Settings, tuning: Tuning): number {
  const operators = tuning.operatorListen === null ? 0 : OPERATOR_SOCKETS;
  return 2 * clientSockets(settings) + SOCKETS_PER_PEER * settings.peers.length + SPARE_SOCKETS + operators;
}

/** Ends the process on SIGTERM, once its roles are given up or that took too long. */
function retireOnSignal(controller: Controller): void {
  process.once('SIGTERM', () => {
    setTimeout(() => process.exit(0), RETIRE_TIMEOUT / MS);
    void controller.retire().finally(() => process.exit(0));
  });
}

async function serveOperators(controller: Controller, address: string, onError: ErrorHandler): Promise<void> {
  const app = createOperatorApp(
    {
      roleStatus: () => controller.roleStatus(),
      dataLossStatus: () => controller.dataLossStatus(),
      snapshot: () => controller.snapshot(),
      resign: (role) => controller.resignRole(role),
    },
    onError,
  );
  await listenForOperators(app, address);
}

async function serveUsersAndWorkers(
  controller: Controller,
  { settings, tuning }: NodeSettings,
  onError: ErrorHandler,
): Promise<void> {
  const app = createApp(
    {
      submitJob: (body) => controller.jobService.submitJob(body),
      getJob: (id) => controller.jobService.getJob(id),
      cancelJob: (id) => controller.jobService.cancelJob(id),
      heartbeat: (body) => controller.handleHeartbeat(body),
      health: () => controller.health(),
    },
    onError,
  );
  const sockets = Math.max(MIN_SERVER_SOCKETS, settings.sockets - reservedSockets(settings, tuning));
  await listen(app, settings.bind, sockets);
}

function createLogger(member: string): Logger {
  const level = process.env['LOG_LEVEL'] ?? DEFAULT_LOG_LEVEL;
  return pino(
    { level: LOG_LEVELS.includes(level) ? level : DEFAULT_LOG_LEVEL, base: { member } },
    destination({ dest: 2, sync: true }),
  );
}

/** Logs errors that nothing else handles. A fault in one exchange must not end the node. */
function logUnhandledErrors(log: Logger): ErrorHandler {
  const onError = (error: unknown): void => {
    log.error({ error: error instanceof Error ? error.stack : String(error) }, 'unexpected error');
  };
  process.on('uncaughtException', onError);
  process.on('unhandledRejection', onError);
  return onError;
}

/** Starts a node with these settings; resolves once it listens. Rejects if it can't listen on one of its addresses. */
export async function runNode(settings: Settings, tuning: Tuning): Promise<void> {
  const log = createLogger(settings.member);
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
  const controller: Controller = new Controller({
    settings,
    tuning,
    clock: createClock(),
    random: createRandom(randomBytes(4).readInt32LE()),
    incarnation,
    httpClient: createHttpClient(clientSockets(settings)),
    ping: createPinger(settings.member, () => controller.peerStatus()),
    log,
  });
  const onError = logUnhandledErrors(log);
  await servePeers(settings.clusterListen, () => controller.peerStatus());
  controller.start();
  if (tuning.operatorListen !== null) await serveOperators(controller, tuning.operatorListen, onError);
  await serveUsersAndWorkers(controller, { settings, tuning }, onError);
  if (tuning.handsOverOnStop) retireOnSignal(controller);
  log.info({ bind: settings.bind, incarnation }, 'node started');
}
