/** Jobs as every node's copy of the state has them. */
import type { JobSpec } from '#wire';

export interface LiveJob {
  spec: JobSpec;
  /** Time of day of its acceptance, in milliseconds. */
  acceptedAtMs: number;
  /** Order of acceptance. */
  acceptedRevision: number;
}

/** How a job ended. */
export type TerminalStatus = 'done' | 'cancelled';
