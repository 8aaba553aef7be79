/** Input and result types of a pricing round. */
import type { Micros } from '#wire';

/** Resources that a task requires or a machine provides. The number of CPUs may be fractional. */
export interface Resources {
  cpus: number;
  gpus: number;
  /** Memory in GB. */
  memGb: number;
  /**
   * Number of tasks that a machine can still take, since a worker's heartbeat can report a limited number. Absent: a task
   * takes one, and a capacity has no limit.
   */
  taskSlots?: number;
}

/** Price of one CPU, one GPU and one GB of memory on a shape, in units of priority. */
export interface Price {
  cpu: number;
  gpu: number;
  mem: number;
}

/** A job with pending tasks. */
export interface PendingJob {
  id: string;
  team: string;
  taskResources: Resources;
  /** Priority computed from rank and waiting time; a higher one is placed sooner. */
  priority: number;
  /** Position in the order of acceptance; breaks ties between equal priorities. */
  acceptanceOrder: number;
  /** Number of tasks that have no machine. */
  pendingTaskCount: number;
  /** Number of all tasks of the job, in whatever state. */
  taskCount: number;
  /** True if all pending tasks have to be placed in the same round. */
  isGang: boolean;
  /** Time since the job was accepted; 0 if absent. */
  age?: Micros;
  /**
   * Returns the resources of the team's running tasks that rank below the job and started while it waited. In a forecast
   * they count as free for the job; absent in a round that starts tasks.
   */
  overtakenBy?: () => Resources;
  /** True if the job has waited for longer than a machine takes to boot. */
  isOverdue?: boolean;
  /** Machine types that the job is limited to; null if any type is allowed. */
  machineTypes: readonly string[] | null;
  /** Zone that the job is limited to; null if any zone is allowed. */
  zone: string | null;
  /** True if all tasks of the job have to run in the same zone. */
  singleZone: boolean;
  /** True if no zone may run more than half of the job's tasks. */
  spreadZones: boolean;
  /** True if the job may run on spot machines. */
  allowsSpot: boolean;
  image: string;
  /** Number of the job's tasks that are on machines. Keyed by zone. */
  placedByZone: ReadonlyMap<string, number>;
}

/** A machine that may be given tasks in the round. */
export interface CandidateMachine {
  host: string;
  machineType: string;
  zone: string;
  spot: boolean;
  total: Resources;
  /** Total capacity minus the resources of the placements on the machine that have not completed. */
  free: Resources;
  /** Names of the images in the machine's cache. */
  cachedImages: readonly string[];
  /** Returns the expected time until all tasks on the machine have ended. */
  busyFor: () => Micros;
  /** Time until the worker's next heartbeat. Only a heartbeat response can command the worker to start a task. */
  nextHeartbeatIn: Micros;
  /** Cost of the machine per hour and CPU. It only decides between shapes of equal utility. */
  hourlyCostPerCpu: number;
}

/** A team's quota and its current usage. */
export interface TeamUsage {
  name: string;
  /** Resources of the team's tasks on machines. */
  used: Resources;
  /** Resources that the team is guaranteed. */
  guaranteed: { cpus: number; gpus: number };
  /** Maximum resources that the team may use. */
  limit: { cpus: number; gpus: number };
  /**
   * True if jobs of the team have been held back for too long by what others claim of the limit. Each of them may then
   * start one task, or its gang, within the limit.
   */
  isHeldTooLong?: boolean;
}

/** Parameters of pricing and placement. Operators set all of them in the settings except `maxStarts`. */
export interface PricingOptions {
  /** Number of price passes in a round. */
  passes: number;
  /** Price step for a whole machine's worth of a resource at the maximum gap, as a fraction of the highest priority. */
  step: number;
  /** Extra cost of a GPU shape for a task that needs no GPU, as a fraction of the highest priority. */
  gpuShapeCost: number;
  /** Increase in priority for a task that needs GPUs, as a fraction of its own priority. */
  gpuTaskWeight: number;
  /** Increase in priority for tasks within their team's guarantee, as a fraction of the highest priority. */
  guaranteeWeight: number;
  /** Maximum number of tasks started in one round. A larger gang is started alone in a round. */
  maxStarts: number;
  /** Number of random machines compared for each task. The fullest of them gets the task. */
  choices: number;
}

/** Input of a pricing round. */
export interface PricingRoundInput {
  jobs: readonly PendingJob[];
  machines: readonly CandidateMachine[];
  teams: readonly TeamUsage[];
  /** Prices at the end of the last round. Keyed by shape; the prices of a shape without an entry start at zero. */
  prices: ReadonlyMap<string, Price>;
  options: PricingOptions;
  /** Returns uniformly distributed numbers in [0, 1). */
  random: () => number;
}

/** Result of a pricing round. */
export interface PricingRoundResult {
  /** One entry for each task to start, in the order of placement. */
  starts: { job: string; host: string }[];
  /** Prices at the end of the round. Keyed by shape. */
  prices: Map<string, Price>;
  /** Number of tasks within their team's limit for which no machine had enough free capacity. Keyed by job. */
  unmetTaskCounts: Map<string, number>;
  /** Number of pending tasks that the team's limit, or what other jobs claim of it, left out. Keyed by job. */
  heldTaskCounts: Map<string, number>;
  /** Teams of which a job started nothing only because other jobs claim the rest of the limit. */
  heldTeams: ReadonlySet<string>;
  /** The most suitable zone of each unplaced gang whose tasks must run in the same zone. Keyed by job. */
  preferredZones: Map<string, string>;
  /**
   * Number of tasks in each zone that the zone constraints count, for each job with such constraints and unmet tasks: tasks
   * on machines, and for a gang that must be spread also those that free capacity could take. Keyed by job, then by zone.
   */
  tasksByZone: ReadonlyMap<string, ReadonlyMap<string, number>>;
  /** Capacity that the round leaves free on each machine. Keyed by host. */
  free: Map<string, Resources>;
  /** Hosts of machines reserved for tasks that need more capacity than is free there at present. */
  reservedHosts: ReadonlySet<string>;
}
