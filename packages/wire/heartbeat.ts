/** The messages between workers and nodes: heartbeats, and the commands in the responses to them. */
import type { Count } from './codec.js';
import type { TaskStatus } from './tasks.js';

/** A worker's heartbeat: its machine, its incarnation and the status of all of its tasks. */
export interface Heartbeat {
  /** Name of the machine. */
  readonly host: string;
  /** Address of the worker, as `host:port`. */
  readonly address: string;
  readonly machineType: string;
  readonly zone: string;
  /** The machine is a spot machine. */
  readonly spot: boolean;
  /** Incarnation of the worker: raised each time its lease expires. */
  readonly incarnation: Count;
  /** Raised with every message of the worker: the larger (`incarnation`, `sequence`) is the newer one. */
  readonly sequence: Count;
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: Count;
  /** Seconds until the cloud takes the machine back; null if it gave no notice. */
  readonly spotNoticeS?: number | null;
  /** All tasks on the machine, including exited ones that it wasn't told to forget. */
  readonly tasks: readonly TaskStatus[];
}

/** What a worker is commanded to do. `forget`: an exited task is left out of further heartbeats. */
export type Command =
  | { readonly kind: 'start'; readonly task: string; readonly attempt: Count }
  /** `graceS`: time in seconds that the task is given to save. */
  | { readonly kind: 'stop'; readonly task: string; readonly attempt: Count; readonly graceS: number }
  | { readonly kind: 'forget'; readonly task: string; readonly attempt: Count };

/** The response that renews a worker's lease. */
export interface HeartbeatResponse {
  /** The cluster's fencing token: a worker that has seen a higher one drops the response. */
  readonly fencingToken: Count;
  /** Executed in this order. */
  readonly commands: readonly Command[];
}
