/** Errors of the command line, and their exit codes. */

/** Exit code of {@link UsageError}. */
export const USAGE_EXIT = 2;

/** Exit code of {@link CommandFailure} and of unexpected errors. */
export const FAILURE_EXIT = 1;

/** An error that ends the command: its message is printed as one line on standard error, and its exit code returned. */
export abstract class CommandError extends Error {
  abstract readonly exitCode: number;
}

/** The arguments are invalid, or a file or value that they name can't be used. */
export class UsageError extends CommandError {
  override readonly name = 'UsageError';
  readonly exitCode = USAGE_EXIT;
}

/** The arguments are valid, but the command failed. */
export class CommandFailure extends CommandError {
  override readonly name = 'CommandFailure';
  readonly exitCode = FAILURE_EXIT;
}

/** Returns the message of a thrown value of any type. */
export function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
