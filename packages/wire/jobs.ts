/** Jobs as their users see them: submissions, and the state that queries return. */

/** The most tasks that a job can have. */
export const MAX_TASKS = 100_000;

/** The priorities of jobs, from the lowest to the highest. */
export const RANKS = ['best_effort', 'normal', 'urgent', 'prod'] as const;

/** The priority of a job. */
export type Rank = (typeof RANKS)[number];

/** `array`: independent tasks. `gang`: all tasks of the job run at the same time, or none does. */
export type JobShape = 'array' | 'gang';

/** A job as its user submitted it. Resource amounts are those of one task; decimal numbers are allowed. */
export interface JobSpec {
  /** Chosen by the user, see {@link isJobId}. */
  readonly id: string;
  /** The class of jobs that it belongs to, for which the settings name service-level objectives. */
  readonly jobClass: string;
  /** The team whose guarantee and limit apply. */
  readonly team: string;
  readonly shape: JobShape;
  readonly rank: Rank;
  /** From 1 to {@link MAX_TASKS}. */
  readonly taskCount: number;
  readonly cpus: number;
  readonly gpus: number;
  /** In GB. */
  readonly memGb: number;
  /** The image that a machine fetches before the task can start. */
  readonly image: string;
  /** Size of the image in GB. */
  readonly imageGb: number;
  /** The allowed machine types; null for any. */
  readonly machineTypes: readonly string[] | null;
  /** The only allowed zone; null for any. */
  readonly zone: string | null;
  /** All tasks must be in the same zone. */
  readonly singleZone: boolean;
  /** At most half of the tasks, rounded up, may be in one zone. */
  readonly spreadZones: boolean;
  /** Tasks may run on spot machines. */
  readonly allowsSpot: boolean;
  /** The owner's estimate of a task's run time in seconds, without the image fetch. Often wrong. */
  readonly estimateS: number;
  /** Progress, in seconds, after which a task saves a checkpoint by itself; 0 if it never saves. */
  readonly checkpointS: number;
  /** Time in seconds that a task needs to save when it is stopped. */
  readonly saveS: number;
  /** Seconds from the submission until the job should be complete; null for no deadline. */
  readonly deadlineS: number | null;
}

/** The status of a job; `done` and `cancelled` are terminal. */
export type JobStatus = 'pending' | 'running' | 'done' | 'cancelled';

/** The state of a job, as a query returns it. */
export interface JobState {
  readonly id: string;
  readonly status: JobStatus;
  /** Number of completed tasks, for display. */
  readonly done?: number;
  /** Number of tasks that are on a machine, for display. */
  readonly running?: number;
}

const JOB_ID = /^j-[0-9]{1,32}$/;

/** Whether a value is a valid job id: `j-` and 1 to 32 digits. */
export function isJobId(id: unknown): id is string {
  return typeof id === 'string' && JOB_ID.test(id);
}
