/** What a scheduling round decides on, and what it decides. */
import type { Micros } from '#wire';

/** Resources that a task demands or a machine has. CPUs may be fractions. */
export interface Resources {
  cpus: number;
  gpus: number;
  /** Memory in GB. */
  memGb: number;
}

/** Price of one CPU, one GPU and one GB of memory on a shape, in units of priority. */
export interface Price {
  cpu: number;
  gpu: number;
  mem: number;
}

/** The pending tasks of a job. */
export interface PendingJob {
  id: string;
  team: string;
  taskResources: Resources;
  /** Rank and waiting time as one number; the higher, the sooner. */
  priority: number;
  /** Order of acceptance, for ties. */
  acceptanceOrder: number;
  /** Tasks without a machine. */
  pendingTaskCount: number;
  /** Tasks of the whole job. */
  taskCount: number;
  /** All pending tasks are placed in one round, or none is. */
  isGang: boolean;
  /** It has waited for longer than a machine takes to boot. */
  isOverdue?: boolean;
  /** Types that it is limited to; null: any. */
  machineTypes: readonly string[] | null;
  /** The zone that it is limited to; null: any. */
  zone: string | null;
  /** All of its tasks have to lie in one zone. */
  singleZone: boolean;
  /** No zone may hold more than half of its tasks. */
  spreadZones: boolean;
  /** It may run on spot machines. */
  allowsSpot: boolean;
  image: string;
  /** Tasks of the job that are on machines now, by zone. */
  placedByZone: ReadonlyMap<string, number>;
}

/** A machine that may take tasks in this round. */
export interface CandidateMachine {
  host: string;
  machineType: string;
  zone: string;
  spot: boolean;
  total: Resources;
  /** Free capacity by the last heartbeat, less starts sent since. */
  free: Resources;
  /** Names of the images that it has. */
  cachedImages: readonly string[];
  /** Time until all that is on it should have ended. */
  busyFor: () => Micros;
  /** Time until its worker's next heartbeat, whose response can carry a start. */
  nextHeartbeatIn: Micros;
  /** What the machine costs per hour and CPU; decides only between shapes of equal utility. */
  hourlyCostPerCpu: number;
}

/** A team's quota and its use. */
export interface TeamUsage {
  name: string;
  /** What its tasks on machines take up. */
  used: Resources;
  guaranteed: { cpus: number; gpus: number };
  /** Its limit. */
  limit: { cpus: number; gpus: number };
}

/** Parameters of the design that are set by the operators. */
export interface PricingOptions {
  /** Price passes of a round. */
  passes: number;
  /** Step for a whole machine's worth of a resource at full gap, as a part of the highest priority. */
  step: number;
  /** Extra cost of a GPU shape to a task that needs no GPU, as a part of the highest priority. */
  gpuShapeCost: number;
  /** Raise of the rank of a task that needs GPUs, as a part of its priority. */
  gpuTaskWeight: number;
  /** Raise for what lies within a team's guarantee, as a part of the highest priority. */
  guaranteeWeight: number;
  /** Tasks started in one round, at most; a gang that is larger has a round to itself. */
  maxStarts: number;
  /** Random candidate machines that are looked at for each task; the fullest of them gets it. */
  choices: number;
}

/** The state that a round begins with. */
export interface PricingRoundInput {
  jobs: readonly PendingJob[];
  machines: readonly CandidateMachine[];
  teams: readonly TeamUsage[];
  /** By shape, as the last round left them; a shape that is new begins at zero. */
  prices: ReadonlyMap<string, Price>;
  options: PricingOptions;
  /** Uniform in [0, 1). */
  random: () => number;
}

/** What a round decided. */
export interface PricingRoundResult {
  /** One for each task, in the order of placement. */
  starts: { job: string; host: string }[];
  /** By shape. */
  prices: Map<string, Price>;
  /** By job: tasks within their team's limit that found no machine with enough free capacity. */
  unmetTaskCounts: Map<string, number>;
  /** By gang that found no capacity and has to lie in one zone: the zone that serves it best. */
  gatheringZones: Map<string, string>;
  /** By host: capacity left free on each machine. */
  free: Map<string, Resources>;
  /** Hosts of machines reserved for tasks that need more capacity than is free on them yet. */
  reservedHosts: ReadonlySet<string>;
}
