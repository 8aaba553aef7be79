/** How the command line ends when it can't do what it was asked. */

/** Exit code of {@link UsageError}. */
export const USAGE_EXIT = 2;

/** Exit code of {@link CommandFailure}, and of errors that nobody foresaw. */
export const FAILURE_EXIT = 1;

/** Ends the command with its message as one line on standard error, and with its exit code. */
export abstract class CommandError extends Error {
  abstract readonly exitCode: number;
}

/** The command was written wrongly, or names a file or value that can't be used. */
export class UsageError extends CommandError {
  override readonly name = 'UsageError';
  readonly exitCode = USAGE_EXIT;
}

/** The command was understood, and failed. */
export class CommandFailure extends CommandError {
  override readonly name = 'CommandFailure';
  readonly exitCode = FAILURE_EXIT;
}

/** What an error of any kind says. */
export function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
