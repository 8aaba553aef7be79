/** The messages between workers and nodes: heartbeats, and the commands in the responses to them. */
import type { Count } from './codec.js';
import type { TaskStatus } from './tasks.js';

/** A worker's heartbeat: its machine, its incarnation and the status of all tasks on the machine. */
export interface Heartbeat {
  /** The name of the machine. */
  readonly host: string;
  /** The address of the worker, as `host:port`. */
  readonly address: string;
  readonly machineType: string;
  readonly zone: string;
  /** True if the machine is a spot machine. */
  readonly spot: boolean;
  /** The incarnation of the worker, which is raised each time its lease expires. */
  readonly incarnation: Count;
  /** Raised with every heartbeat. Of two heartbeats, the one with the larger (`incarnation`, `sequence`) is newer. */
  readonly sequence: Count;
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: Count;
  /** Seconds until the cloud reclaims the machine; null if the cloud has given no notice. */
  readonly spotNoticeS?: number | null;
  /** All tasks on the machine, including exited ones that the worker has not been commanded to forget. */
  readonly tasks: readonly TaskStatus[];
}

/** A command to a worker. `forget`: the worker omits an exited task from further heartbeats. */
export type Command =
  | { readonly kind: 'start'; readonly task: string; readonly attempt: Count }
  /** `graceS` is the time in seconds that the task has to save its progress. */
  | { readonly kind: 'stop'; readonly task: string; readonly attempt: Count; readonly graceS: number }
  | { readonly kind: 'forget'; readonly task: string; readonly attempt: Count };

/** The response that renews a worker's lease. */
export interface HeartbeatResponse {
  /** The cluster's fencing token. A worker that has seen a higher token ignores the response. */
  readonly fencingToken: Count;
  /** The worker executes the commands in this order. */
  readonly commands: readonly Command[];
}
