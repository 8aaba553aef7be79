/** What workers report of themselves, and what they are told. */
import type { Count } from './codec.js';
import type { TaskReport } from './tasks.js';

/** A worker's heartbeat: its machine, the incarnation that speaks, and all of its tasks. */
export interface WorkerReport {
  /** Name of the machine. */
  host: string;
  /** Address of the worker, as `host:port`. */
  address: string;
  machineType: string;
  zone: string;
  /** The machine is a spot machine. */
  spot: boolean;
  /** Incarnation of the worker: raised each time its lease expires. */
  session: Count;
  /** Raised with every message of the worker: the larger (`session`, `sequence`) is the newer one. */
  sequence: Count;
  /** The highest fencing token that the worker has seen. */
  token: Count;
  /** Seconds until the cloud takes the machine back; null if it gave no notice. */
  spotNoticeS?: number | null;
  /** All tasks on the machine, including exited ones that it wasn't told to forget. */
  tasks: TaskReport[];
}

/** What a worker is told to do. `forget`: an exited task is left out of further reports. */
export type Command =
  | { kind: 'start'; task: string; attempt: Count }
  /** `graceS`: time in seconds that the task is given to save. */
  | { kind: 'stop'; task: string; attempt: Count; graceS: number }
  | { kind: 'forget'; task: string; attempt: Count };

/** The answer that renews a worker's lease. */
export interface ReportAnswer {
  /** The cluster's fencing token: a worker that has seen a higher one drops the answer. */
  token: Count;
  /** Executed in this order. */
  commands: Command[];
}
