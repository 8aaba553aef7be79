/** How the command line ends when it can't do what it was asked. */

/** The command was written wrongly, or names a file or value that can't be used. */
export const USAGE_EXIT = 2;
/** The command was understood, and failed. */
export const FAILURE_EXIT = 1;

/** Ends the command with one line on standard error and this exit code. */
export class CommandError extends Error {
  constructor(
    readonly exitCode: number,
    message: string,
  ) {
    super(message);
  }
}

export function usageError(message: string): CommandError {
  return new CommandError(USAGE_EXIT, message);
}

export function failure(message: string): CommandError {
  return new CommandError(FAILURE_EXIT, message);
}

/** What an error of any kind says. */
export function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
