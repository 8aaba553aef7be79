/** The progress of a job: completed tasks, placed tasks, and consecutive failures. */
import { DoneSet } from './done-set.js';
import type { Placement } from './placement.js';

/** Number of consecutive failures from which the job, and not its machines, is considered faulty. */
export const JOB_FAILURE_THRESHOLD = 3;

/** The progress of one job. Only the ledger changes it. */
export class JobProgress {
  /** Indexes of completed tasks. */
  readonly done = new DoneSet();
  /** Number of failed attempts since the last task that was done. */
  consecutiveFailures = 0;
  /** Wall-clock time of the last failure, in milliseconds. */
  lastFailureAtMs = 0;
  /** Keyed by task index. Tasks that are, or may be, on a machine. */
  readonly placements = new Map<number, Placement>();
}
