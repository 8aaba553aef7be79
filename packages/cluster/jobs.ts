/** Jobs as every node's copy of the state has them. */
import type { JobSpec } from '#wire';

export interface LiveJob {
  spec: JobSpec;
  /** Time of day of its acceptance, in milliseconds. */
  at: number;
  /** Order of acceptance. */
  revision: number;
}

/** How a job ended. */
export type Final = 'done' | 'cancelled';
