import type { Micros } from '#wire';

export interface Resources {
  cpus: number;
  gpus: number;
  memGb: number;
}

export interface Price {
  cpu: number;
  gpu: number;
  mem: number;
}

/** What of a job waits for machines. */
export interface PendingJob {
  id: string;
  team: string;
  need: Resources;
  /** Rank and waiting time as one number; the higher, the sooner. */
  priority: number;
  /** Order of acceptance, for ties. */
  acceptanceOrder: number;
  pendingTasks: number;
  taskCount: number;
  /** All that waits is placed in one round, or nothing is. */
  isGang: boolean;
  /** It has waited for longer than a machine takes to come up. */
  isOverdue?: boolean;
  machineTypes: readonly string[] | null;
  zone: string | null;
  singleZone: boolean;
  spreadZones: boolean;
  allowsSpot: boolean;
  image: string;
  /** Tasks of the job that are on machines now, by zone. */
  placedByZone: ReadonlyMap<string, number>;
}

export interface CandidateMachine {
  host: string;
  machineType: string;
  zone: string;
  spot: boolean;
  total: Resources;
  /** Room as last reported, less starts sent since. */
  free: Resources;
  /** Images that it has. */
  cachedImages: readonly string[];
  /** Time until all that is on it should have ended. */
  busyFor: () => Micros;
  /** Time until its worker is likely to report next, and so to be told of a start. */
  nextHeartbeatIn: Micros;
  /** What the machine costs per hour and CPU; decides only between shapes of equal utility. */
  hourlyCostPerCpu: number;
}

export interface TeamUsage {
  name: string;
  used: Resources;
  guaranteed: { cpus: number; gpus: number };
  limit: { cpus: number; gpus: number };
}

export interface PricingOptions {
  passes: number;
  /** Step for a whole machine's worth of a resource at full gap, as a part of top priority. */
  step: number;
  /** Extra cost of a GPU shape to a task that needs no GPU, as a part of top priority. */
  gpuShapeCost: number;
  /** Raise of the rank of a task that needs GPUs, as a part of its priority. */
  gpuTaskWeight: number;
  /** Raise for what lies within a team's guarantee, as a part of top priority. */
  guaranteeWeight: number;
  maxStarts: number;
  /** Random roomy machines that are looked at for each task; the fullest of them gets it. */
  choices: number;
}

export interface PricingRoundInput {
  jobs: readonly PendingJob[];
  machines: readonly CandidateMachine[];
  teams: readonly TeamUsage[];
  prices: ReadonlyMap<string, Price>;
  options: PricingOptions;
  /** Uniform in [0, 1). */
  random: () => number;
}

export interface PricingRoundResult {
  starts: { job: string; host: string }[];
  prices: Map<string, Price>;
  /** Tasks within their team's limit that found no roomy machine. */
  unmet: Map<string, number>;
  /** By gang that found no room and has to lie in one zone: the zone that serves it best. */
  gatheringZones: Map<string, string>;
  /** Room left on each machine. */
  free: Map<string, Resources>;
  /** Machines that are kept for tasks which need more room than they have yet. */
  reservedHosts: ReadonlySet<string>;
}
