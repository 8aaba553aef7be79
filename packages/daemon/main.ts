import { hrtime } from 'node:process';
import { randomBytes } from 'node:crypto';
import { createApp, listen } from '#api';
import { loadSettings, type Settings, SettingsError } from '#settings';
import { type Clock, httpCaller } from '#wire';
import { pino, destination } from 'pino';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Controller } from './controller.js';
import { pingOver, servePings } from './links.js';

const USAGE_ERROR = 2;

function steadyClock(): Clock {
  return {
    now: () => Math.floor(Number(hrtime.bigint() / 1000n)),
    wall: () => Date.now() * 1000,
    after: (delay, run) => {
      const timer = setTimeout(run, Math.max(0, delay / 1000));
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

function fileFrom(args: readonly string[]): string {
  const [flag, file] = args;
  if (flag === '--config' && file !== undefined && args.length === 2) return file;
  throw new SettingsError('usage: main --config FILE');
}

async function run(settings: Settings): Promise<void> {
  const level = process.env['LOG_LEVEL'] ?? 'info';
  const log = pino(
    { level: ['error', 'info', 'debug'].includes(level) ? level : 'info', base: { member: settings.member } },
    destination({ dest: 2, sync: true }),
  );
  const incarnation = randomBytes(6).toString('hex');
  const controller = new Controller({
    settings,
    clock: steadyClock(),
    random: uniform(randomBytes(4).readInt32LE()),
    incarnation,
    call: httpCaller(64),
    ping: pingOver(settings.member),
    log,
  });
  const report = (cause: unknown): void => {
    log.error({ cause: cause instanceof Error ? cause.stack : String(cause) }, 'unexpected');
  };
  // A fault in one exchange must not end the node: everything it holds can be read again.
  process.on('uncaughtException', report);
  process.on('unhandledRejection', report);
  await servePings(settings.clusterListen);
  controller.start();
  const app = createApp(
    {
      submit: (body) => controller.users.submit(body),
      show: (id) => controller.users.show(id),
      withdraw: (id) => controller.users.withdraw(id),
      report: (body) => controller.report(body),
      health: () => controller.health(),
    },
    report,
  );
  await listen(app, settings.bind);
  log.info({ bind: settings.bind, incarnation }, 'listening');
}

try {
  await run(loadSettings(fileFrom(process.argv.slice(2))));
} catch (cause) {
  process.stderr.write(`micaworks: ${cause instanceof Error ? cause.message : String(cause)}\n`);
  process.exit(cause instanceof SettingsError ? USAGE_ERROR : 1);
}
