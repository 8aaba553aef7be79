/** The progress of a job: completed tasks and placed tasks. */
import { DoneSet } from './done-set.js';
import type { Placement } from './placement.js';

/** The progress of one job. Only the ledger changes it. */
export class JobProgress {
  /** Indexes of completed tasks. */
  readonly done = new DoneSet();
  /** Keyed by task index. Tasks that are, or may be, on a machine. */
  readonly placements = new Map<number, Placement>();
  /** Wall-clock time of the last known start of a task, in milliseconds; 0 if there is none. */
  lastStartedAtMs = 0;
}
