/** Jobs in the users' interface: the specification that is submitted, and the state that queries return. */

/** The maximum number of tasks of a job. */
export const MAX_TASKS = 100_000;

/** The priorities of jobs, from the lowest to the highest. */
export const RANKS = ['best_effort', 'normal', 'urgent', 'prod'] as const;

/** The priority of a job. */
export type Rank = (typeof RANKS)[number];

/** How a job's tasks run. `array`: independently of each other. `gang`: all at the same time, or none. */
export type JobShape = 'array' | 'gang';

/** The specification of a job, as its user submitted it. Resource amounts apply to one task and may be fractional. */
export interface JobSpec {
  /** The id that the user chose, see {@link isJobId}. */
  readonly id: string;
  /** The class of the job. The settings define service-level objectives for each class. */
  readonly jobClass: string;
  /** The team whose quota applies. */
  readonly team: string;
  readonly shape: JobShape;
  readonly rank: Rank;
  /** From 1 to {@link MAX_TASKS}. */
  readonly taskCount: number;
  readonly cpus: number;
  readonly gpus: number;
  /** In GB. */
  readonly memGb: number;
  /** The image that a machine must fetch before it can run a task of the job. */
  readonly image: string;
  /** The size of the image in GB. */
  readonly imageGb: number;
  /** The allowed machine types; null if all are allowed. */
  readonly machineTypes: readonly string[] | null;
  /** The only allowed zone; null if all are allowed. */
  readonly zone: string | null;
  /** True if all tasks must be in the same zone. */
  readonly singleZone: boolean;
  /** True if at most half of the tasks, rounded up, may be in one zone. */
  readonly spreadZones: boolean;
  /** True if tasks may run on spot machines. */
  readonly allowsSpot: boolean;
  /** The user's estimate, often wrong, of the run time of a task in seconds, without the image fetch. */
  readonly estimateS: number;
  /** The interval, in seconds of progress, at which a task saves a checkpoint by itself; 0 if it never does. */
  readonly checkpointS: number;
  /** The time in seconds that a task needs to save its progress when it is stopped. */
  readonly saveS: number;
  /** Seconds from the submission until the deadline of the job; null if it has none. */
  readonly deadlineS: number | null;
}

/** The status of a job; `done` and `cancelled` are terminal. */
export type JobStatus = 'pending' | 'running' | 'done' | 'cancelled';

/** The state of a job that a query returns. */
export interface JobState {
  readonly id: string;
  readonly status: JobStatus;
  /** The number of completed tasks, for display only. */
  readonly done?: number;
  /** The number of tasks that are on a machine, for display only. */
  readonly running?: number;
}

/** Maximum number of digits in a job id. */
export const MAX_JOB_ID_DIGITS = 32;
const JOB_ID = new RegExp(`^j-[0-9]{1,${MAX_JOB_ID_DIGITS}}$`);

/** True if a value is a valid job id: `j-` followed by 1 to 32 digits. */
export function isJobId(id: unknown): id is string {
  return typeof id === 'string' && JOB_ID.test(id);
}
