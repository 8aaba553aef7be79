/** Builds the input of a scheduling round: the candidate machines and the jobs with pending tasks. */
import { type JobProgress, type LiveJob, type MachineEntry, type Placement, type Replica } from '#cluster';
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
import { tasksToRetry } from './job-retries.js';
import { OvertakingTasks } from './overtaking-tasks.js';
import type { RunTimeEstimator } from './run-time-estimator.js';

/**
 * Base priority of a job by its rank. The utility of a task is its priority minus the cost of its resources, so a task
 * of twice the size needs twice the priority to be placed equally early. From `urgent` on, the steps are wide enough
 * that a task which needs a whole machine is still placed before smaller tasks of lower rank.
 */
export const RANK_PRIORITY: Readonly<Record<Rank, number>> = {
  best_effort: 1,
  normal: 2,
  urgent: 8,
  prod: 24,
};
/** Backoff of a machine after a task failed on it. It doubles with each further consecutive failure. */
const FAILURE_BACKOFF: Micros = 20 * SECOND;
const MAX_BACKOFF_DOUBLINGS = 4;
/** A machine that is not up after this multiple of its nominal boot time is no longer expected to come up. */
const BOOT_TIME_TOLERANCE = 2.2;
/** Multiple of the priority doubling time beyond which a longer wait raises the priority quadratically. */
const QUADRATIC_WAIT_THRESHOLD = 2;
/** Zone of a machine that appears neither in the log nor in a heartbeat. */
const UNKNOWN_ZONE = '?';

/** Dependencies of {@link RoundInputBuilder}. */
export interface RoundInputBuilderOptions {
  readonly settings: Settings;
  readonly tuning: Tuning;
  readonly clock: Clock;
  readonly replica: Replica;
  readonly workers: WorkerRegistry;
  readonly runTimeEstimator: RunTimeEstimator;
}

/** Builds the input of the local node's scheduling rounds and of the leader's forecasts of other owners' rounds. */
export class RoundInputBuilder {
  private readonly teamsWithoutGuarantee: ReadonlySet<string>;
  /** Time within which the tasks of a job should start. Keyed by job class. */
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

  /**
   * Returns the local node's machines whose workers send heartbeats and are reachable. The capacity of completed
   * placements counts as free.
   */
  reachableMachines(completed: ReadonlySet<Placement>): CandidateMachine[] {
    const { clock, replica, workers } = this.options;
    const now = clock.now();
    const machines: CandidateMachine[] = [];
    for (const [host, worker] of workers.trackedWorkers) {
      if (worker.liveness !== 'reporting' || worker.avoidedUntil > now) continue;
      if (worker.unreachableSince !== null) continue;
      // Capacity freed by preemption is meant for the task that required it. The machine takes no task until all of
      // that capacity is free; then the most urgent task gets it.
      if (workers.isPreempting(host, replica.ledger)) continue;
      const machine = this.candidateMachine(host, completed);
      // A running task without a placement in the log is being stopped. The free capacity is unknown until it exits.
      if (machine && !this.hasUnrecordedTask(host, worker)) machines.push(machine);
    }
    return machines;
  }

  /** Returns the machines of the shards that are up, with their free capacity according to the log. */
  recordedMachines(shards: ReadonlySet<number>): CandidateMachine[] {
    const machines: CandidateMachine[] = [];
    for (const { host, shard, status } of this.options.replica.ledger.machines.values()) {
      if (shard === null || !shards.has(shard) || status !== 'up') continue;
      const machine = this.candidateMachine(host, new Set());
      if (machine) machines.push(machine);
    }
    return machines;
  }

  /**
   * Returns the jobs of the teams that have tasks to place. Completed placements do not count as placed in a zone. In a
   * forecast the jobs are told which tasks overtook them.
   */
  pendingJobs(
    teams: ReadonlySet<string>,
    { completed, isForecast }: { readonly completed: ReadonlySet<Placement>; readonly isForecast: boolean },
  ): PendingJob[] {
    const { replica, clock } = this.options;
    const wallTime = clock.wall();
    const maxBootTime = this.maxBootTime();
    const pending: PendingJob[] = [];
    const overtakingTasks = isForecast ? new OvertakingTasks(replica) : null;
    for (const [id, job] of replica.jobs) {
      if (!teams.has(job.spec.team)) continue;
      const progress = replica.ledger.jobs.get(id);
      const pendingTaskCount = this.pendingTaskCount(job.spec, progress);
      if (pendingTaskCount <= 0) continue;
      const placedByZone = this.placedByZone(progress, completed);
      const age = Math.max(0, wallTime - job.acceptedAtMs * MS);
      const priority = this.priority(job.spec, progress, age);
      const isOverdue = age > maxBootTime;
      const input = pendingJob({ id, job, priority, pendingTaskCount, age, isOverdue, placedByZone });
      if (overtakingTasks) input.overtakenBy = () => overtakingTasks.usedAheadOf(job);
      pending.push(input);
    }
    return pending;
  }

  /** Returns the number of independent failures of each job that is limited because of them. Keyed by job. */
  failingJobs(): Record<string, number> {
    const { jobs, failures } = this.options.replica.ledger;
    const suspects = [...jobs.keys()].filter((job) => failures.isSuspect(job));
    return Object.fromEntries(suspects.map((job) => [job, failures.ofJob(job)?.independentCount ?? 0]));
  }

  /** Returns the time within which tasks of a job class should start; Infinity if no objective sets one. */
  startObjective(jobClass: string): Micros {
    return this.startObjectives.get(jobClass) ?? Infinity;
  }

  /** Returns the longest time that a machine of any type is expected to take to boot. */
  private maxBootTime(): Micros {
    const bootTimes = [...this.options.replica.machineTypes.values()].map((type) => fromSeconds(type.bootS));
    return Math.max(0, ...bootTimes) * BOOT_TIME_TOLERANCE;
  }

  /** Returns the number of the job's tasks that are on machines. Keyed by zone. */
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

  /** Returns the job's priority, computed from its rank and from its age, the time since it was accepted. */
  private priority(spec: JobSpec, progress: JobProgress | undefined, age: Micros): number {
    const basePriority = RANK_PRIORITY[spec.rank];
    // Teams without a guarantee use spare capacity only. Once a job of theirs has begun, waiting no longer raises its
    // priority above that of other teams' jobs.
    const hasBegun = progress !== undefined && (progress.placements.size > 0 || progress.done.count > 0);
    if (hasBegun && this.teamsWithoutGuarantee.has(spec.team)) return basePriority;
    return basePriority * waitingBoost(age / this.priorityDoublingTime(spec));
  }

  /** Returns the waiting time that doubles a job's priority: at most the time within which its tasks should start. */
  private priorityDoublingTime(spec: JobSpec): Micros {
    return Math.min(this.options.tuning.priorityDoublingTime, this.startObjective(spec.jobClass));
  }

  /** Returns the machine as a candidate for new tasks; null if no task may be placed on it. */
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

  /** True if the machine's last tasks failed and the backoff, which doubles with each such failure, has not ended. */
  private isInFailureBackoff({ consecutiveFailures, lastFailureAtMs }: MachineEntry): boolean {
    if (consecutiveFailures === 0) return false;
    const doublings = Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures - 1);
    return this.options.clock.wall() < lastFailureAtMs * MS + FAILURE_BACKOFF * 2 ** doublings;
  }

  /** Returns the number of the job's tasks to place. */
  private pendingTaskCount(spec: JobSpec, progress: JobProgress | undefined): number {
    const placedCount = progress?.placements.size ?? 0;
    // A new attempt of a gang may begin only once every task of the old attempt is proven stopped.
    if (spec.shape === 'gang' && placedCount > 0) return 0;
    const count = spec.taskCount - (progress?.done.count ?? 0) - placedCount;
    const { ledger } = this.options.replica;
    if (!progress || !ledger.failures.isSuspect(spec.id)) return count;
    return tasksToRetry(count, {
      spec,
      progress,
      failures: ledger.failures,
      wallTime: this.options.clock.wall(),
    });
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

/** A job and the values that {@link RoundInputBuilder} derives from it for one round. */
interface PendingJobParts extends Required<
  Pick<PendingJob, 'id' | 'priority' | 'pendingTaskCount' | 'age' | 'isOverdue' | 'placedByZone'>
> {
  readonly job: LiveJob;
}

function pendingJob(parts: PendingJobParts): PendingJob {
  const { spec, acceptedRevision } = parts.job;
  return {
    id: parts.id,
    team: spec.team,
    taskResources: { cpus: spec.cpus, gpus: spec.gpus, memGb: spec.memGb },
    priority: parts.priority,
    acceptanceOrder: acceptedRevision,
    pendingTaskCount: parts.pendingTaskCount,
    taskCount: spec.taskCount,
    isGang: spec.shape === 'gang',
    age: parts.age,
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
 * Returns the factor by which waiting raises a priority. It grows linearly at first and quadratically later. On a
 * fleet that stays full, a linear factor would let best-effort tasks start only after all normal ones, minutes after
 * their users had abandoned them.
 * @param waitMultiple - waiting time as a multiple of the time that doubles the priority
 */
export function waitingBoost(waitMultiple: number): number {
  return 1 + waitMultiple + Math.max(0, waitMultiple - QUADRATIC_WAIT_THRESHOLD) ** 2;
}
