/** What is wrong with a settings file. */

/** A settings file that can't be read or used; the message names the file or the field, and what is wrong with it. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}
