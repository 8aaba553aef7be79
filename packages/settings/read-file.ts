/** Reads settings files. */
import { readFileSync } from 'node:fs';
import { SettingsError } from './error.js';

/** Returns the text of a settings file. Throws {@link SettingsError} if it can't be read. */
export function readSettingsFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new SettingsError(`${file}: ${reason}`, { cause });
  }
}
