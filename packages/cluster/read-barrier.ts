/** The read barrier: confirms that a node's copy holds everything that was committed before a given time. */
import { type RateLimiter, UNUSED_KEY } from '#store';
import { type Clock, type Micros, MS, SECOND, sleep } from '#wire';

/** Least time between two reads of the revision: calls in between share the next one. */
const MIN_READ_INTERVAL: Micros = 60 * MS;
/** How long the copy may take to apply everything up to the revision that was read. */
const APPLY_TIMEOUT: Micros = SECOND;

/** Reads the present revision of the state service, which comes with every answer. */
export interface RevisionReader {
  get(path: string): Promise<{ readonly revision: number }>;
}

/** What a barrier relies on. */
export interface ReadBarrierOptions {
  readonly store: RevisionReader;
  readonly clock: Clock;
  /** Limits the reads of the revision. */
  readonly limiter: RateLimiter;
  /** Resolves true once the copy has applied the revision, false after the timeout. */
  readonly waitForRevision: (revision: number, timeout: Micros) => Promise<boolean>;
  /** Whether the copy, which holds all that was committed before `sentAt`, may be relied on. */
  readonly confirmCopy: (sentAt: Micros) => boolean;
}

/** Reads the revision of the state service, and waits until the copy has applied it. */
export class ReadBarrier {
  /** Steady time at which the copy was last known to be complete, or -Infinity. */
  verifiedAt: Micros = -Infinity;
  /** The read that callers share until it is sent. */
  private pendingRead: Promise<boolean> | null = null;
  private lastReadAt: Micros = -Infinity;

  constructor(private readonly options: ReadBarrierOptions) {}

  /**
   * Resolves true once everything that the state service had committed when this was called is applied to the
   * copy; false if that can't be had now. Never rejects. Callers that come close together share one read.
   */
  wait(): Promise<boolean> {
    this.pendingRead ??= this.readRevision();
    return this.pendingRead;
  }

  private async readRevision(): Promise<boolean> {
    const { store, clock, limiter, waitForRevision, confirmCopy } = this.options;
    // Always yields first: the caller's assignment must come before the reset below, or every later barrier
    // would share this one read for ever.
    const gap = this.lastReadAt + MIN_READ_INTERVAL - clock.now();
    await sleep(clock, Math.max(0, gap, limiter.delay()));
    limiter.consume(1);
    // From here on a caller needs the next read, since this one may be answered before it called.
    this.pendingRead = null;
    const sentAt = clock.now();
    this.lastReadAt = sentAt;
    try {
      const { revision } = await store.get(UNUSED_KEY);
      if (!(await waitForRevision(revision, APPLY_TIMEOUT))) return false;
      if (!confirmCopy(sentAt)) return false;
      this.verifiedAt = Math.max(this.verifiedAt, sentAt);
      return true;
    } catch {
      return false;
    }
  }
}
