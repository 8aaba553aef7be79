/** Implements `micaworks check`, which validates settings files. */
import { loadSettings, loadTuning, SettingsError } from '#settings';
import { UsageError } from './errors.js';
import type { Print } from './output.js';

/** Paths of the settings files to check, as given on the command line. */
export interface SettingsFiles {
  readonly config?: string;
  readonly operator?: string;
}

/** Prints a line for each valid file. Throws {@link UsageError} if no file is given, and at the first invalid file. */
export async function checkSettings({ config, operator }: SettingsFiles, print: Print): Promise<void> {
  if (config === undefined && operator === undefined) {
    throw new UsageError('no file to check; pass --config FILE, --operator FILE, or both');
  }
  try {
    if (config !== undefined) {
      const { member, peers } = loadSettings(config);
      print(`${config}: usable; node ${member} with ${peers.length} peers`);
    }
    if (operator !== undefined) {
      const { operatorListen } = await loadTuning(operator);
      print(`${operator}: usable; operators' listener ${operatorListen ?? 'off'}`);
    }
  } catch (cause) {
    if (cause instanceof SettingsError) throw new UsageError(cause.message, { cause });
    throw cause;
  }
}
