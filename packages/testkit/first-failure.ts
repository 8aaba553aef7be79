/** Failures in callbacks whose caller may swallow them. */
/** Keeps the first thing that broke in a callback, whose caller may swallow it, until somebody looks. */
export class FirstFailure {
  private failure: unknown = null;

  /** Runs it, and keeps what it throws beside throwing it on. */
  guard<T>(act: () => T): T {
    try {
      return act();
    } catch (cause) {
      this.failure ??= cause;
      throw cause;
    }
  }

  /** Throws what broke first, if anything did. */
  rethrow(): void {
    if (this.failure === null) return;
    throw this.failure instanceof Error ? this.failure : new Error(String(this.failure));
  }
}
