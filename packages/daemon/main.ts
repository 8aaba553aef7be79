/** The daemon as `deploy/service.toml` starts it. */
import { loadSettings, loadTuning, SettingsError, defaultTuning } from '#settings';
import { runNode } from './run-node.js';

const USAGE_ERROR = 2;
const USAGE = 'usage: main --config FILE [--operator FILE]';

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

try {
  const files = filesFrom(process.argv.slice(2));
  const tuning = files.operator === null ? defaultTuning() : await loadTuning(files.operator);
  await runNode(loadSettings(files.config), tuning);
} catch (cause) {
  process.stderr.write(`micaworks: ${cause instanceof Error ? cause.message : String(cause)}\n`);
  process.exit(cause instanceof SettingsError ? USAGE_ERROR : 1);
}
