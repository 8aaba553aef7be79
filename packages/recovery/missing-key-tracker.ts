/** Tracks keys that have disappeared from the state service although no node removes them. */

/** Holds the keys that are missing until they, or the keys that replace them, are found. */
export class MissingKeyTracker {
  private readonly missingKeys = new Set<string>();
  /** Keys that were absent during the current alarm and whose absence was explained: the key was found or its job has ended. */
  private readonly explainedKeys = new Set<string>();

  /** Records keys whose removal was observed. */
  recordRemoved(keys: readonly string[]): void {
    for (const key of keys) this.missingKeys.add(key);
  }

  /** Records keys that a complete reading did not show, except those explained during the current alarm. */
  recordAbsent(keys: readonly string[]): void {
    for (const key of keys) if (!this.explainedKeys.has(key)) this.missingKeys.add(key);
  }

  /** Records that the key was found or that its absence has a legitimate cause. */
  markExplained(key: string): void {
    this.missingKeys.delete(key);
    this.explainedKeys.add(key);
  }

  /** Returns the missing keys, in the order in which they were recorded. */
  list(): readonly string[] {
    return [...this.missingKeys];
  }

  /** Forgets the explained keys when the alarm is cleared: a key that is absent in a later alarm needs a new explanation. */
  clearExplained(): void {
    this.explainedKeys.clear();
  }
}
