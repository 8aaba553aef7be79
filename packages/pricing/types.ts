import type { Micros } from '#wire';

export interface Amounts {
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
export interface WaitingJob {
  id: string;
  team: string;
  need: Amounts;
  /** Rank and waiting time as one number; the higher, the sooner. */
  priority: number;
  /** Order of acceptance, for ties. */
  order: number;
  waiting: number;
  taskCount: number;
  /** All that waits is placed in one round, or nothing is. */
  gang: boolean;
  /** It has waited for longer than a machine takes to come up. */
  isOverdue?: boolean;
  machineTypes: readonly string[] | null;
  zone: string | null;
  singleZone: boolean;
  spreadZones: boolean;
  spot: boolean;
  image: string;
  /** Tasks of the job that are on machines now, by zone. */
  placedByZone: ReadonlyMap<string, number>;
}

export interface RoomyMachine {
  host: string;
  machineType: string;
  zone: string;
  spot: boolean;
  total: Amounts;
  /** Room as last reported, less starts sent since. */
  room: Amounts;
  /** Images that it has. */
  warm: readonly string[];
  /** Time until all that is on it should have ended. */
  busyFor: () => Micros;
  /** Time until its worker is likely to report next, and so to be told of a start. */
  toldIn: Micros;
  /** What the machine costs per hour and CPU; decides only between shapes of equal utility. */
  upkeep: number;
}

export interface TeamBooks {
  name: string;
  used: Amounts;
  guaranteed: { cpus: number; gpus: number };
  most: { cpus: number; gpus: number };
}

export interface RoundOptions {
  passes: number;
  /** Step for a whole machine's worth of a resource at full gap, as a part of top priority. */
  step: number;
  /** Extra cost of a GPU shape to a task that needs no GPU, as a part of top priority. */
  gpuShapeCost: number;
  /** Raise of the rank of a task that needs GPUs, as a part of its priority. */
  gpuTaskWeight: number;
  /** Raise for what lies within a team's guarantee, as a part of top priority. */
  guaranteeWeight: number;
  mostStarts: number;
  /** Random roomy machines that are looked at for each task; the fullest of them gets it. */
  choices: number;
}

export interface RoundInput {
  jobs: readonly WaitingJob[];
  machines: readonly RoomyMachine[];
  teams: readonly TeamBooks[];
  prices: ReadonlyMap<string, Price>;
  options: RoundOptions;
  /** Uniform in [0, 1). */
  random: () => number;
}

export interface RoundResult {
  starts: { job: string; host: string }[];
  prices: Map<string, Price>;
  /** Tasks within their team's limit that found no roomy machine. */
  unmet: Map<string, number>;
  /** By gang that found no room and has to lie in one zone: the zone that serves it best. */
  gatheringZones: Map<string, string>;
  /** Room left on each machine. */
  left: Map<string, Amounts>;
  /** Machines that are kept for tasks which need more room than they have yet. */
  kept: ReadonlySet<string>;
}
