/** Jobs in a node's replica of the state. */
import type { JobSpec } from '#wire';

/** A job that has not ended. */
export interface LiveJob {
  spec: JobSpec;
  /** Wall-clock time of the job's acceptance, in milliseconds. */
  acceptedAtMs: number;
  /** Revision of the job's row at its acceptance. It defines the order in which jobs were accepted. */
  acceptedRevision: number;
}

/** The final state of a job. */
export type TerminalStatus = 'done' | 'cancelled';
