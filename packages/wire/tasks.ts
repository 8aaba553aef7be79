/** Tasks as the workers see them, and their names. */
import type { Count } from './codec.js';

/** `fetching`: waiting for its image. `gathering`: a gang's task that waits for the others of its attempt. */
export type TaskState = 'fetching' | 'gathering' | 'running' | 'saving' | 'exited';

/**
 * Why a task ended. `peer_gone`: another task of its gang is gone. `gang_incomplete`: its gang did not come
 * together in time. The last three: its start was refused.
 */
export type ExitCause =
  'done' | 'stopped' | 'failed' | 'peer_gone' | 'gang_incomplete' | 'no_room' | 'duplicate' | 'unknown_task';

/** The status of one task on a machine, in a heartbeat of its worker. */
export interface TaskStatus {
  /** Its name, see {@link formatTaskName}. */
  readonly task: string;
  readonly attempt: Count;
  readonly state: TaskState;
  /** Null while the task has not exited, and where the cause isn't known here. */
  readonly cause?: ExitCause | null;
}

/** The name of a job's task, `<job>/<index>`. */
export function formatTaskName(job: string, index: number): string {
  return `${job}/${index}`;
}

/** The job and index that a task's name is made of; null if it isn't the name of a task. */
export function parseTaskName(name: string): { job: string; index: number } | null {
  const separator = name.lastIndexOf('/');
  const index = Number(name.slice(separator + 1));
  const isTaskName = separator > 0 && Number.isInteger(index) && index >= 0;
  return isTaskName ? { job: name.slice(0, separator), index } : null;
}
