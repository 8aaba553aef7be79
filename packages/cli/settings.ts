/** `micaworks check`: whether the settings files can be used. */
import { loadSettings, loadTuning, SettingsError } from '#settings';
import { UsageError } from './errors.js';
import type { Print } from './output.js';

/** The files to check, as given. */
export interface SettingsFiles {
  readonly config?: string;
  readonly operator?: string;
}

/** Prints a line for each file that can be used; fails with {@link UsageError} at the first that can't. */
export async function checkSettings({ config, operator }: SettingsFiles, print: Print): Promise<void> {
  if (config === undefined && operator === undefined) {
    throw new UsageError('name a file to check: --config FILE, --operator FILE, or both');
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
