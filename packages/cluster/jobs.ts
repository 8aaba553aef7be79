/** Jobs as every node's copy of the state has them. */
import type { JobSpec } from '#wire';

/** A job that has not ended. */
export interface LiveJob {
  spec: JobSpec;
  /** Time of day of its acceptance, in milliseconds. */
  acceptedAtMs: number;
  /** Revision of its row when it was accepted: the order of acceptance. */
  acceptedRevision: number;
}

/** How a job ended. */
export type TerminalStatus = 'done' | 'cancelled';
