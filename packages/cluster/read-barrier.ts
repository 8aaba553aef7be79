/** The read barrier: confirms that a node's replica contains every commit made before a given time. */
import { type RateLimiter, UNUSED_KEY } from '#store';
import { type Clock, type Micros, MS, SECOND, sleep } from '#wire';

/** Minimum time between two reads of the revision. Calls in between share the next read. */
const MIN_READ_INTERVAL: Micros = 60 * MS;
/** Time within which the replica must apply all commits up to the revision that was read. */
const APPLY_TIMEOUT: Micros = SECOND;

/** Reads the current revision of the state service, which every answer contains. */
export interface RevisionReader {
  get(path: string): Promise<{ readonly revision: number }>;
}

/** Dependencies of {@link ReadBarrier}. */
export interface ReadBarrierOptions {
  readonly store: RevisionReader;
  readonly clock: Clock;
  /** Limits the rate of revision reads. */
  readonly limiter: RateLimiter;
  /** Resolves to true once the replica has applied the revision, or to false after the timeout. */
  readonly waitForRevision: (revision: number, timeout: Micros) => Promise<boolean>;
  /** Returns true if the replica, which contains all commits before the monotonic time `sentAt`, may be relied on. */
  readonly confirmReplica: (sentAt: Micros) => boolean;
}

/** Reads the revision of the state service and waits until the replica has applied it. */
export class ReadBarrier {
  /** Monotonic time at which the replica was last confirmed to be complete; -Infinity before the first time. */
  verifiedAt: Micros = -Infinity;
  /** The next read, which callers share until it is sent. */
  private pendingRead: Promise<boolean> | null = null;
  private lastReadAt: Micros = -Infinity;

  constructor(private readonly options: ReadBarrierOptions) {}

  /**
   * Resolves to true once the replica has applied everything that the state service had committed at the time of the
   * call. Resolves to false if the replica cannot confirm that now. Never rejects. Calls in quick succession share one
   * read.
   */
  wait(): Promise<boolean> {
    this.pendingRead ??= this.readRevision();
    return this.pendingRead;
  }

  private async readRevision(): Promise<boolean> {
    const { store, clock, limiter, waitForRevision, confirmReplica } = this.options;
    // The sleep always yields, so that the caller assigns `pendingRead` before the reset below. Otherwise every later
    // call would share this read.
    const intervalLeft = this.lastReadAt + MIN_READ_INTERVAL - clock.now();
    await sleep(clock, Math.max(0, intervalLeft, limiter.delay()));
    limiter.consume(1);
    // Later callers need the next read, since the answer to this one may predate their call.
    this.pendingRead = null;
    const sentAt = clock.now();
    this.lastReadAt = sentAt;
    try {
      const { revision } = await store.get(UNUSED_KEY);
      if (!(await waitForRevision(revision, APPLY_TIMEOUT))) return false;
      if (!confirmReplica(sentAt)) return false;
      this.verifiedAt = Math.max(this.verifiedAt, sentAt);
      return true;
    } catch {
      return false;
    }
  }
}
