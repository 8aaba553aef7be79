/** Builds the input of a scheduling round: the candidate machines, and the jobs with pending tasks. */
import {
  JOB_FAILURE_THRESHOLD,
  type JobProgress,
  type LiveJob,
  type MachineEntry,
  type Placement,
  type Replica,
} from '#cluster';
import { resourcesOf } from '#fleet';
import { type CandidateMachine, type PendingJob, subtractResources } from '#pricing';
import type { Settings, Tuning } from '#settings';
import {
  type Clock,
  fromSeconds,
  type JobSpec,
  type MachineType,
  type Micros,
  MS,
  type Rank,
  SECOND,
} from '#wire';
import { findPlacement, type TrackedWorker, type WorkerRegistry } from '#workers';
import type { RunTimeEstimator } from './run-time-estimator.js';

/**
 * Utility is priority less what the demand costs, so a task of twice the size needs twice the priority to rank
 * alike: from `urgent` on the steps are wide enough that one which needs a whole machine still comes first.
 */
export const RANK_PRIORITY: Readonly<Record<Rank, number>> = {
  best_effort: 1,
  normal: 2,
  urgent: 8,
  prod: 24,
};
/** A machine that failed a task gets none for this long, and for twice as long with each further failure in a row. */
const FAILURE_BACKOFF: Micros = 20 * SECOND;
const MAX_BACKOFF_DOUBLINGS = 4;
/** A failing job is retried at least this often: the cause may be over, and nothing should wait without reason. */
const MAX_JOB_BACKOFF: Micros = 45 * SECOND;
/** A machine that takes more than this many times the nominal boot time is not counted on. */
const BOOT_TIME_TOLERANCE = 2.2;
/** Waiting times beyond this many doubling times of the priority raise it by the square. */
const LONG_WAIT = 2;
/** Zone of a machine that neither the log nor a heartbeat knows. */
const UNKNOWN_ZONE = '?';

/** What a round input builder works with. */
export interface RoundInputBuilderOptions {
  readonly settings: Settings;
  readonly tuning: Tuning;
  readonly clock: Clock;
  readonly replica: Replica;
  readonly workers: WorkerRegistry;
  readonly runTimeEstimator: RunTimeEstimator;
}

/** Builds the input of this node's own rounds, and of the leader's forecasts of those of others. */
export class RoundInputBuilder {
  private readonly teamsWithoutGuarantee: ReadonlySet<string>;
  /** By job class: time within which its tasks should have started. */
  private readonly startObjectives = new Map<string, Micros>();

  constructor(private readonly options: RoundInputBuilderOptions) {
    const { objectives, teams } = options.settings;
    for (const { kind, jobClass, within } of objectives) {
      if (kind !== 'wait' || jobClass === null || within === null) continue;
      this.startObjectives.set(jobClass, Math.min(within, this.startObjective(jobClass)));
    }
    const withoutGuarantee = teams.filter(({ cpus, gpus }) => cpus === 0 && gpus === 0);
    this.teamsWithoutGuarantee = new Set(withoutGuarantee.map(({ name }) => name));
  }

  /** The machines of this node whose workers it hears and reaches, with completed placements counted as free. */
  reachableMachines(completed: ReadonlySet<Placement>): CandidateMachine[] {
    const { clock, replica, workers } = this.options;
    const now = clock.now();
    const machines: CandidateMachine[] = [];
    for (const [host, worker] of workers.trackedWorkers) {
      if (worker.liveness !== 'reporting' || worker.avoidedUntil > now) continue;
      if (worker.unreachableSince !== null) continue;
      // What a preemption frees is for the task that it was made for: the most urgent one, once all of it is free.
      if (workers.isPreempting(host, replica.ledger)) continue;
      const machine = this.candidateMachine(host, completed);
      // A task that the log doesn't have is being stopped; until it is gone the free capacity is unknown.
      if (machine && !this.hasUnrecordedTask(host, worker)) machines.push(machine);
    }
    return machines;
  }

  /** The machines of these shards with the free capacity that the log shows. */
  recordedMachines(shards: ReadonlySet<number>): CandidateMachine[] {
    const machines: CandidateMachine[] = [];
    for (const { host, shard, status } of this.options.replica.ledger.machines.values()) {
      if (shard === null || !shards.has(shard) || status !== 'up') continue;
      const machine = this.candidateMachine(host, new Set());
      if (machine) machines.push(machine);
    }
    return machines;
  }

  /** The jobs of these teams that have tasks to be placed. Completed placements don't count as on their machine. */
  pendingJobs(teams: ReadonlySet<string>, completed: ReadonlySet<Placement>): PendingJob[] {
    const { replica, clock } = this.options;
    const wall = clock.wall();
    const maxBootTime = this.maxBootTime();
    const pending: PendingJob[] = [];
    for (const [id, job] of replica.jobs) {
      if (!teams.has(job.spec.team)) continue;
      const progress = replica.ledger.jobs.get(id);
      const pendingTasks = this.pendingTaskCount(job.spec, progress);
      if (pendingTasks <= 0) continue;
      const placedByZone = this.placedByZone(progress, completed);
      const age = Math.max(0, wall - job.acceptedAtMs * MS);
      const priority = this.priority(job.spec, progress, age);
      const isOverdue = age > maxBootTime;
      pending.push(pendingJob({ id, job, priority, pendingTasks, isOverdue, placedByZone }));
    }
    return pending;
  }

  /** Time within which the tasks of a class should have started; Infinity if there is no such objective. */
  startObjective(jobClass: string): Micros {
    return this.startObjectives.get(jobClass) ?? Infinity;
  }

  /** How long a machine of any type may take to boot. */
  private maxBootTime(): Micros {
    const bootTimes = [...this.options.replica.machineTypes.values()].map((type) => fromSeconds(type.bootS));
    return Math.max(0, ...bootTimes) * BOOT_TIME_TOLERANCE;
  }

  /** Number of the job's tasks on machines, by zone. */
  private placedByZone(
    progress: JobProgress | undefined,
    completed: ReadonlySet<Placement>,
  ): Map<string, number> {
    const placedByZone = new Map<string, number>();
    for (const placement of progress?.placements.values() ?? []) {
      if (completed.has(placement)) continue;
      const zone = this.zoneOf(placement.host);
      placedByZone.set(zone, (placedByZone.get(zone) ?? 0) + 1);
    }
    return placedByZone;
  }

  /** Priority by rank and by the time since the job was accepted. */
  private priority(spec: JobSpec, progress: JobProgress | undefined, age: Micros): number {
    const base = RANK_PRIORITY[spec.rank];
    // Teams without a guarantee use spare capacity: once their job has begun it isn't raised above those of others.
    const hasBegun = progress !== undefined && (progress.placements.size > 0 || progress.done.count > 0);
    if (hasBegun && this.teamsWithoutGuarantee.has(spec.team)) return base;
    return base * waitingBoost(age / this.priorityDoublingTime(spec));
  }

  /** The waiting time that doubles a job's priority: at most the time within which its tasks should have started. */
  private priorityDoublingTime(spec: JobSpec): Micros {
    return Math.min(this.options.tuning.priorityDoublingTime, this.startObjective(spec.jobClass));
  }

  /** The machine as a candidate for new tasks; null if it may get none. */
  private candidateMachine(host: string, completed: ReadonlySet<Placement>): CandidateMachine | null {
    const { clock, replica, workers, runTimeEstimator } = this.options;
    const machine = replica.ledger.machines.get(host);
    const type = machine && replica.machineTypes.get(machine.machineType);
    if (!type || machine.destination !== null || this.isInFailureBackoff(machine)) return null;
    const free = resourcesOf(type);
    for (const placement of replica.ledger.placementsOn(host)) {
      if (!completed.has(placement)) subtractResources(free, placement, 1);
    }
    return {
      host,
      machineType: machine.machineType,
      zone: machine.zone,
      spot: machine.spot,
      total: resourcesOf(type),
      free,
      busyFor: () => runTimeEstimator.busyFor(host),
      hourlyCostPerCpu: hourlyCostPerCpu(type, machine.spot),
      cachedImages: machine.cachedImages,
      nextHeartbeatIn: workers.nextHeartbeatIn(host, clock.now()),
    };
  }

  /** Its last tasks failed, and the backoff that doubles with each failure in a row is not over. */
  private isInFailureBackoff({ consecutiveFailures, lastFailureAtMs }: MachineEntry): boolean {
    if (consecutiveFailures === 0) return false;
    const doublings = Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures - 1);
    return this.options.clock.wall() < lastFailureAtMs * MS + FAILURE_BACKOFF * 2 ** doublings;
  }

  /**
   * How many tasks of a job are to be placed. A job that fails on machine after machine retries with a single task,
   * ever more rarely: that takes little capacity, and the first success ends it.
   */
  private pendingTaskCount(spec: JobSpec, progress: JobProgress | undefined): number {
    const placed = progress?.placements.size ?? 0;
    // A new attempt of a gang may begin only once every task of the old one is proven off its machine.
    if (spec.shape === 'gang' && placed > 0) return 0;
    const count = spec.taskCount - (progress?.done.count ?? 0) - placed;
    if (!progress || progress.consecutiveFailures < JOB_FAILURE_THRESHOLD) return count;
    const backoff = Math.min(MAX_JOB_BACKOFF, 2 ** progress.consecutiveFailures * SECOND);
    const isInBackoff = this.options.clock.wall() < progress.lastFailureAtMs * MS + backoff;
    if (isInBackoff || placed > 0) return 0;
    return spec.shape === 'gang' ? count : Math.min(count, 1);
  }

  private hasUnrecordedTask(host: string, worker: TrackedWorker): boolean {
    const { ledger } = this.options.replica;
    return worker.heartbeat.tasks.some(
      (task) => task.state !== 'exited' && findPlacement(ledger, host, task) === null,
    );
  }

  private zoneOf(host: string): string {
    const { replica, workers } = this.options;
    return (
      replica.ledger.machines.get(host)?.zone ??
      workers.trackedWorkers.get(host)?.heartbeat.zone ??
      UNKNOWN_ZONE
    );
  }
}

/** What the builder derives of a job for one round. */
interface PendingJobParts extends Required<
  Pick<PendingJob, 'id' | 'priority' | 'pendingTasks' | 'isOverdue' | 'placedByZone'>
> {
  readonly job: LiveJob;
}

function pendingJob(parts: PendingJobParts): PendingJob {
  const { spec, acceptedRevision } = parts.job;
  return {
    id: parts.id,
    team: spec.team,
    need: { cpus: spec.cpus, gpus: spec.gpus, memGb: spec.memGb },
    priority: parts.priority,
    acceptanceOrder: acceptedRevision,
    pendingTasks: parts.pendingTasks,
    taskCount: spec.taskCount,
    isGang: spec.shape === 'gang',
    isOverdue: parts.isOverdue,
    machineTypes: spec.machineTypes,
    zone: spec.zone,
    singleZone: spec.singleZone,
    spreadZones: spec.spreadZones,
    allowsSpot: spec.allowsSpot,
    image: spec.image,
    placedByZone: parts.placedByZone,
  };
}

function hourlyCostPerCpu(type: MachineType, spot: boolean): number {
  return (spot ? type.spotPrice : type.price) / Math.max(type.cpus, 1);
}

/**
 * Factor by which waiting raises a priority: linear at first, then by the square. On a fleet that stays full, a linear
 * factor would let best-effort work begin only once all normal work has, minutes after its users gave it up.
 * @param waited - waiting time as a multiple of the time that doubles the priority
 */
export function waitingBoost(waited: number): number {
  return 1 + waited + Math.max(0, waited - LONG_WAIT) ** 2;
}
