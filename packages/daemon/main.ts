/** Entry point of the daemon, as `deploy/service.toml` starts it. */
import { loadSettings, loadTuning, SettingsError, defaultTuning } from '#settings';
import { runNode } from './run-node.js';

/** Exit status if the command line or a settings file is invalid. */
const USAGE_EXIT_STATUS = 2;
/** Exit status of any other failure. */
const FAILURE_EXIT_STATUS = 1;
const USAGE = 'usage: main --config FILE [--operator FILE]';

const FLAGS = ['--config', '--operator'];

/** Paths of the settings files. */
interface SettingsFiles {
  readonly config: string;
  /** The operators' settings file; null if none is given. */
  readonly operator: string | null;
}

/** Parses the command line. Throws a {@link SettingsError} with the usage text if it is invalid. */
function parseArguments(args: readonly string[]): SettingsFiles {
  const files = new Map<string, string>();
  for (let i = 0; i < args.length; i += 2) {
    const flag = args[i] ?? '';
    const file = args[i + 1];
    if (!FLAGS.includes(flag) || file === undefined) throw new SettingsError(USAGE);
    files.set(flag, file);
  }
  const config = files.get('--config');
  if (config === undefined) throw new SettingsError(USAGE);
  return { config, operator: files.get('--operator') ?? null };
}

try {
  const files = parseArguments(process.argv.slice(2));
  const tuning = files.operator === null ? defaultTuning() : await loadTuning(files.operator);
  await runNode(loadSettings(files.config), tuning);
} catch (error) {
  process.stderr.write(`micaworks: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(error instanceof SettingsError ? USAGE_EXIT_STATUS : FAILURE_EXIT_STATUS);
}
