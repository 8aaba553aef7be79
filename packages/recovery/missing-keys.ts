/** Keeps account of stored keys that have disappeared although no node removes them. */

/** Keys that are missing until they, or the keys that replace them, are found. */
export class MissingKeys {
  private readonly missing = new Set<string>();
  /** Keys that were absent during this alarm and have been found, or whose job was found to have ended. */
  private readonly explained = new Set<string>();

  /** Keys whose removal was observed. */
  addRemoved(keys: readonly string[]): void {
    for (const key of keys) this.missing.add(key);
  }

  /** Keys that a complete reading didn't show; those that were explained during this alarm are left out. */
  addAbsent(keys: readonly string[]): void {
    for (const key of keys) if (!this.explained.has(key)) this.missing.add(key);
  }

  /** The key was found, or its absence has a legitimate cause. */
  markFound(key: string): void {
    this.missing.delete(key);
    this.explained.add(key);
  }

  /** Missing keys, in the order in which they were missed. */
  list(): readonly string[] {
    return [...this.missing];
  }

  /** The alarm is over: a key that is absent from now on needs an explanation again. */
  forgetExplained(): void {
    this.explained.clear();
  }
}
