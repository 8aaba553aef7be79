/** Failures in callbacks whose caller may swallow exceptions. */

/** Keeps the first exception of the guarded callbacks, whose callers may swallow it, until {@link FirstFailure.rethrow} is called. */
export class FirstFailure {
  private failure: unknown = null;

  /** Runs a callback. If it throws, keeps the exception if it is the first one, and rethrows it. */
  guard<T>(callback: () => T): T {
    try {
      return callback();
    } catch (cause) {
      this.failure ??= cause;
      throw cause;
    }
  }

  /** Throws the first exception, if there was one. */
  rethrow(): void {
    if (this.failure === null) return;
    throw this.failure instanceof Error ? this.failure : new Error(String(this.failure));
  }
}
