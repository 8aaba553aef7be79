/** The states, exit causes and names of tasks in the workers' interface. */
import type { Count } from './codec.js';

/** The state of a task. `fetching`: it waits for its image. `gathering`: it waits for the other tasks of its gang. */
export type TaskState = 'fetching' | 'gathering' | 'running' | 'saving' | 'exited';

/**
 * The cause of a task's exit. `peer_gone`: another task of its gang is gone. `gang_incomplete`: its gang was not
 * complete in time. `no_room`, `duplicate`, `unknown_task`: the worker refused to start it.
 */
export type ExitCause =
  'done' | 'stopped' | 'failed' | 'peer_gone' | 'gang_incomplete' | 'no_room' | 'duplicate' | 'unknown_task';

/** The status of one task on a machine, in a heartbeat of its worker. */
export interface TaskStatus {
  /** The name of the task, see {@link formatTaskName}. */
  readonly task: string;
  readonly attempt: Count;
  readonly state: TaskState;
  /** Null if the task has not exited, or if this version does not know the cause. */
  readonly cause?: ExitCause | null;
}

/** Returns the name of a job's task, `<job>/<index>`. */
export function formatTaskName(job: string, index: number): string {
  return `${job}/${index}`;
}

/** Splits the name of a task into its job and index. Returns null if it isn't the name of a task. */
export function parseTaskName(name: string): { job: string; index: number } | null {
  const separator = name.lastIndexOf('/');
  const index = Number(name.slice(separator + 1));
  const isTaskName = separator > 0 && Number.isInteger(index) && index >= 0;
  return isTaskName ? { job: name.slice(0, separator), index } : null;
}
