/** Runs one node as a process: creates its clock, its sockets and its logger. */
import { hrtime } from 'node:process';
import { randomBytes } from 'node:crypto';
import { createApp, listen } from '#api';
import type { Logger } from '#cluster';
import type { Settings, Tuning } from '#settings';
import { type Clock, createHttpClient, type Micros, MS, SECOND } from '#wire';
import { pino, destination } from 'pino';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createOperatorApp, listenForOperators, MAX_OPERATOR_CONNECTIONS } from '#operations';
import { Controller } from './controller.js';
import { createPinger, servePeers } from './peer-links.js';

/** Maximum duration of a planned stop. */
const RETIRE_TIMEOUT: Micros = 10 * SECOND;
const LOG_LEVELS = ['error', 'info', 'debug'];
const DEFAULT_LOG_LEVEL = 'info';
const INCARNATION_BYTES = 6;
const NANOS_PER_MICRO = 1000n;
const UINT32_RANGE = 2 ** 32;
/** Bounds of the number of connections to the state service and, separately, to the cloud. */
const MIN_CLIENT_SOCKETS = 8;
const MAX_CLIENT_SOCKETS = 64;
/** Each of these two services gets the node's sockets divided by this number, within the bounds. */
const CLIENT_SOCKET_DIVISOR = 16;
const SOCKETS_PER_PEER = 4;
const SPARE_SOCKETS = 32;
/** Minimum number of sockets for workers and users. */
const MIN_SERVER_SOCKETS = 16;

/** Handles an error that is not reported in the response to a request. */
type ErrorHandler = (error: unknown) => void;

/** The settings of the deployment and those of the operators. */
interface NodeSettings {
  readonly settings: Settings;
  readonly tuning: Tuning;
}

/** Creates the clock of the process from the monotonic clock and the wall clock of the operating system. */
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

/** Creates a generator of random numbers, uniform in [0, 1). */
function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}

/** Returns the maximum number of connections to the state service, which is also that of connections to the cloud. */
function clientSockets({ sockets }: Settings): number {
  const proportionalCount = Math.floor(sockets / CLIENT_SOCKET_DIVISOR);
  return Math.max(MIN_CLIENT_SOCKETS, Math.min(MAX_CLIENT_SOCKETS, proportionalCount));
}

/** Returns the number of sockets kept from workers and users: for both services, peers, operators, and as spares. */
function reservedSocketCount(settings: Settings, tuning: Tuning): number {
  const operators = tuning.operatorListen === null ? 0 : MAX_OPERATOR_CONNECTIONS;
  return 2 * clientSockets(settings) + SOCKETS_PER_PEER * settings.peers.length + SPARE_SOCKETS + operators;
}

/** Exits the process on SIGTERM, once the node has resigned its roles or {@link RETIRE_TIMEOUT} has passed. */
function retireOnSignal(controller: Controller): void {
  process.once('SIGTERM', () => {
    setTimeout(() => process.exit(0), RETIRE_TIMEOUT / MS);
    void controller.retire().finally(() => process.exit(0));
  });
}

/** Opens the operators' listener. */
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

/** Opens the listener for users and workers, with the sockets that are not reserved for other connections. */
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
  const sockets = Math.max(MIN_SERVER_SOCKETS, settings.sockets - reservedSocketCount(settings, tuning));
  await listen(app, settings.bind, sockets);
}

/** Creates the logger to stderr. Its level is that of `LOG_LEVEL`, or the default if that names none. */
function createLogger(member: string): Logger {
  const level = process.env['LOG_LEVEL'] ?? DEFAULT_LOG_LEVEL;
  return pino(
    { level: LOG_LEVELS.includes(level) ? level : DEFAULT_LOG_LEVEL, base: { member } },
    destination({ dest: 2, sync: true }),
  );
}

/** Logs errors that no other code handles: a fault in the handling of one request must not end the node. */
function logUnhandledErrors(log: Logger): ErrorHandler {
  const onError = (error: unknown): void => {
    log.error({ error: error instanceof Error ? error.stack : String(error) }, 'unexpected error');
  };
  process.on('uncaughtException', onError);
  process.on('unhandledRejection', onError);
  return onError;
}

/** Starts a node. Resolves once the node listens on its addresses; rejects if it can't listen on one of them. */
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
  if (tuning.handsOffOnStop) retireOnSignal(controller);
  log.info({ bind: settings.bind, incarnation }, 'node started');
}
