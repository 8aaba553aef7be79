/** The error of an unusable settings file. */

/** A settings file can't be read or is invalid. The message names the file or the field, and what is wrong with it. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}
