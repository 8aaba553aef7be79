/** How far a job has come: what is done of it, what is placed, and how often it failed lately. */
import { DoneSet } from './done-set.js';
import type { Placement } from './placement.js';

/** From so many failures without a success between them a job, and not its machines, is held at fault. */
export const JOB_FAILURE_THRESHOLD = 3;

/** The progress of one job. Only the ledger changes it. */
export class JobProgress {
  /** Indexes of the tasks that are done. */
  readonly done = new DoneSet();
  /** Tasks that failed since the last one that was done. */
  consecutiveFailures = 0;
  /** Time of day of the last failure, in milliseconds. */
  lastFailureAtMs = 0;
  /** By task index: tasks that are, or may be, on a machine. */
  readonly placements = new Map<number, Placement>();
}
