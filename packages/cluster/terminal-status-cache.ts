/** A bounded cache of the terminal statuses of jobs that are no longer live. */
import type { TerminalStatus } from './jobs.js';

/** Entries kept; beyond that the one added first is evicted. */
const MAX_CACHED_STATUSES = 2000;

/** Terminal statuses by job. Entries never go stale, since a terminal status never changes. */
export class TerminalStatusCache {
  private readonly statuses = new Map<string, TerminalStatus>();

  /** The job's terminal status, or null if it is not cached. */
  get(job: string): TerminalStatus | null {
    return this.statuses.get(job) ?? null;
  }

  /** Adds a status, and evicts the oldest entry if that makes one too many. */
  set(job: string, status: TerminalStatus): void {
    this.statuses.set(job, status);
    if (this.statuses.size <= MAX_CACHED_STATUSES) return;
    const oldest = this.statuses.keys().next().value;
    if (oldest !== undefined) this.statuses.delete(oldest);
  }
}
