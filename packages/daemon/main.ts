import { hrtime } from 'node:process';
import { randomBytes } from 'node:crypto';
import { createApp, listen } from '#api';
import {
  loadSettings,
  loadTuning,
  type Settings,
  SettingsError,
  standardTuning,
  type Tuning,
} from '#settings';
import { type Clock, httpCaller } from '#wire';
import { pino, destination } from 'pino';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Controller } from './controller.js';
import { pingOver, servePings } from './links.js';

const USAGE_ERROR = 2;
const USAGE = 'usage: main --config FILE [--operator FILE]';

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

interface Files {
  config: string;
  operator: string | null;
}

function filesFrom(args: readonly string[]): Files {
  const given = new Map<string, string>();
  for (let i = 0; i < args.length; i += 2) {
    const [flag, file] = [args[i] ?? '', args[i + 1]];
    if (!['--config', '--operator'].includes(flag) || file === undefined) throw new SettingsError(USAGE);
    given.set(flag, file);
  }
  const config = given.get('--config');
  if (config === undefined) throw new SettingsError(USAGE);
  return { config, operator: given.get('--operator') ?? null };
}

/** Connections to the state service, and as many to the cloud, at the most. */
function callers({ sockets }: Settings): number {
  return Math.max(8, Math.min(64, Math.floor(sockets / 16)));
}

/** What workers and users must leave of the machine's connections: for both services, the peers, and some spare. */
function reserve(settings: Settings): number {
  return 2 * callers(settings) + 4 * settings.peers.length + 32;
}

async function run(settings: Settings, tuning: Tuning): Promise<void> {
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
    call: httpCaller(callers(settings)),
    ping: pingOver(settings.member, () => controller.word()),
    log,
  });
  const report = (cause: unknown): void => {
    log.error({ cause: cause instanceof Error ? cause.stack : String(cause) }, 'unexpected');
  };
  // A fault in one exchange must not end the node: everything it holds can be read again.
  process.on('uncaughtException', report);
  process.on('unhandledRejection', report);
  await servePings(settings.clusterListen, () => controller.word());
  controller.start();
  const app = createApp(
    {
      submit: (body) => controller.users.submit(body),
      show: (id) => controller.users.show(id),
      cancel: (id) => controller.users.cancel(id),
      report: (body) => controller.report(body),
      health: () => controller.health(),
    },
    report,
  );
  await listen(app, settings.bind, Math.max(16, settings.sockets - reserve(settings)));
  log.info({ bind: settings.bind, incarnation }, 'listening');
}

try {
  const files = filesFrom(process.argv.slice(2));
  const tuning = files.operator === null ? standardTuning() : await loadTuning(files.operator);
  await run(loadSettings(files.config), tuning);
} catch (cause) {
  process.stderr.write(`micaworks: ${cause instanceof Error ? cause.message : String(cause)}\n`);
  process.exit(cause instanceof SettingsError ? USAGE_ERROR : 1);
}
