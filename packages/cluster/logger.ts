/** The logging interface of the packages. */

/** The part of a logger that the packages use; pino's has this shape. `text` names the event. */
export interface Logger {
  debug(fields: object, text: string): void;
  info(fields: object, text: string): void;
  error(fields: object, text: string): void;
}
