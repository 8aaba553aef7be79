/** The logging interface that all packages use. */

/** The subset of pino's logger that the packages use. `text` is the name of the event. */
export interface Logger {
  debug(fields: object, text: string): void;
  info(fields: object, text: string): void;
  error(fields: object, text: string): void;
}
