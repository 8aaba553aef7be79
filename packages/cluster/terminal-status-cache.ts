/** A bounded cache of the terminal statuses of jobs that are no longer live. */
import type { TerminalStatus } from './jobs.js';

/** Maximum number of entries. Beyond it the entry added first is evicted. */
const MAX_CACHED_STATUSES = 2000;

/** Terminal statuses by job id. Entries never become stale, since a terminal status never changes. */
export class TerminalStatusCache {
  private readonly statuses = new Map<string, TerminalStatus>();

  /** Returns the job's terminal status, or null if it is not cached. */
  get(job: string): TerminalStatus | null {
    return this.statuses.get(job) ?? null;
  }

  /** Adds a status, and evicts the oldest entry if the cache is over its capacity. */
  set(job: string, status: TerminalStatus): void {
    this.statuses.set(job, status);
    if (this.statuses.size <= MAX_CACHED_STATUSES) return;
    const oldest = this.statuses.keys().next().value;
    if (oldest !== undefined) this.statuses.delete(oldest);
  }
}
