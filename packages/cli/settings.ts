/** `micaworks check`: whether the settings files can be used. */
import { loadSettings, loadTuning, SettingsError } from '#settings';
import { usageError } from './errors.js';
import type { Print } from './output.js';

export interface SettingsFiles {
  config?: string;
  operator?: string;
}

export async function checkSettings({ config, operator }: SettingsFiles, print: Print): Promise<void> {
  if (config === undefined && operator === undefined) {
    throw usageError('name a file to check: --config FILE, --operator FILE, or both');
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
    if (cause instanceof SettingsError) throw usageError(cause.message);
    throw cause;
  }
}
