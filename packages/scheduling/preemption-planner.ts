/** Selects running tasks to preempt for pending tasks of higher rank, or for tasks within their team's guarantee. */
import type { Placement, Replica } from '#cluster';
import { allocatePending, isFeasible, type PendingCapacity, resourcesOf, type UnmetDemand } from '#fleet';
import {
  type CandidateMachine,
  countFitting,
  fits,
  type PendingJob,
  planPreemptions,
  type PreemptibleMachine,
  type PreemptionRequest,
  type Resources,
  subtractResources,
  type Victim,
  ZoneConstraint,
} from '#pricing';
import type { Settings } from '#settings';
import { type Clock, type JobSpec, type Micros, MS, RANKS, SECOND } from '#wire';
import type { WorkerRegistry } from '#workers';
import type { RunTimeEstimator } from './run-time-estimator.js';

/** A job must have been accepted at least this long ago before its tasks may preempt others. */
const PREEMPTION_MIN_WAIT: Micros = 4 * SECOND;
/** Minimum run time of a task before it may be preempted: its user would not count a shorter run as a start. */
const VICTIM_MIN_RUN_TIME: Micros = 45 * SECOND;
/** A task is not preempted if it is expected to end within this time. */
const VICTIM_MIN_REMAINING: Micros = 12 * SECOND;
/** Maximum number of tasks that one scheduling round preempts. */
const MAX_PREEMPTIONS = 6;
/** Only jobs above this rank may preempt others for tasks that exceed their own team's guarantee. */
const NORMAL_RANK = RANKS.indexOf('normal');

/** A running task that a round decides to preempt. */
export interface PreemptedTask {
  readonly placement: Placement;
  /** Seconds that the task gets to write a checkpoint before it is stopped. */
  readonly graceS: number;
}

/** Dependencies of {@link PreemptionPlanner}. */
export interface PreemptionPlannerOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly replica: Replica;
  readonly workers: WorkerRegistry;
  readonly runTimeEstimator: RunTimeEstimator;
}

/** The part of a scheduling round's result that preemptions are planned from. */
export interface PreemptionRound {
  /** Pending tasks for which no machine had capacity, most urgent first. */
  readonly unmetDemand: readonly UnmetDemand[];
  readonly machines: readonly CandidateMachine[];
  /** Capacity that the round leaves free. Keyed by host. */
  readonly free: ReadonlyMap<string, Resources>;
  /** CPUs by which the round's starts and completions change each team's usage. Keyed by team. */
  readonly usageChanges: ReadonlyMap<string, number>;
}

/** Number of CPUs that each team is guaranteed. Keyed by team. */
type GuaranteedCpus = ReadonlyMap<string, number>;

/** A task that may be preempted: what victims are selected by, and the placement and grace period to stop it. */
type PreemptionCandidate = Victim & PreemptedTask;

/** Plans the preemptions of the local node's scheduling rounds. */
export class PreemptionPlanner {
  constructor(private readonly options: PreemptionPlannerOptions) {}

  /** Selects the tasks to preempt for demand of jobs that have waited for at least PREEMPTION_MIN_WAIT. */
  planPreemptions(round: PreemptionRound): PreemptedTask[] {
    const guarantees = new Map(this.options.settings.teams.map(({ name, cpus }) => [name, cpus]));
    const requests = this.buildRequests(round, guarantees);
    if (requests.length === 0) return [];
    const candidates = this.findCandidates(round.machines, guarantees);
    const chosen = planPreemptions({
      requests,
      machines: round.machines.map((machine) => preemptibleMachine(machine, round.free)),
      victims: [...candidates.values()],
      maxPreemptions: MAX_PREEMPTIONS,
    });
    return chosen.flatMap(({ taskName }) => candidates.get(taskName) ?? []);
  }

  private buildRequests(round: PreemptionRound, guarantees: GuaranteedCpus): PreemptionRequest[] {
    const { ledger, jobs } = this.options.replica;
    const wallTime = this.options.clock.wall();
    const requests: PreemptionRequest[] = [];
    const capacityBeingFreed = this.capacityBeingFreed();
    // Counts the round's starts and the team's more urgent unmet demand against the guarantee. Otherwise tasks that
    // were preempted for that demand would claim the same part of the guarantee again and cause further preemptions.
    const usageChanges = new Map(round.usageChanges);
    for (const { job, count } of round.unmetDemand) {
      const { team, taskResources } = job;
      const usageChange = usageChanges.get(team) ?? 0;
      usageChanges.set(team, usageChange + count * taskResources.cpus);
      const entry = jobs.get(job.id);
      if (!entry || wallTime - entry.acceptedAtMs * MS < PREEMPTION_MIN_WAIT) continue;
      // Tasks preempted in earlier rounds may still be writing checkpoints. The capacity that they free counts for this
      // demand, so that no further tasks are preempted for it.
      const zones = new ZoneConstraint(job);
      const remaining = count - allocatePending(capacityBeingFreed, job, { count, zones });
      const unusedGuarantee = (guarantees.get(team) ?? 0) - (ledger.teamUsage(team).cpus + usageChange);
      addRequests(requests, { job, zones, count: remaining, spec: entry.spec, unusedGuarantee });
    }
    return requests;
  }

  /** Returns the tasks on the machines that may be preempted. Keyed by task name. */
  private findCandidates(
    machines: readonly CandidateMachine[],
    guarantees: GuaranteedCpus,
  ): Map<string, PreemptionCandidate> {
    const { ledger, jobs } = this.options.replica;
    const wallTime = this.options.clock.wall();
    const candidates = new Map<string, PreemptionCandidate>();
    for (const { host } of machines) {
      for (const placement of ledger.placementsOn(host)) {
        const spec = jobs.get(placement.job)?.spec;
        if (!spec || !this.isPreemptible(placement, spec, wallTime)) continue;
        const { team, taskName } = placement;
        const isAboveGuarantee = ledger.teamUsage(team).cpus > (guarantees.get(team) ?? 0);
        candidates.set(taskName, preemptionCandidate(placement, spec, isAboveGuarantee));
      }
    }
    return candidates;
  }

  private isPreemptible(placement: Placement, spec: JobSpec, wallTime: Micros): boolean {
    // A gang cannot run without one of its tasks, so preempting one task would stop all of them.
    if (placement.gangSize !== null || spec.checkpointS <= 0) return false;
    if (wallTime - placement.startedAtMs * MS < VICTIM_MIN_RUN_TIME) return false;
    return this.options.runTimeEstimator.remainingRunTime(placement) >= VICTIM_MIN_REMAINING;
  }

  /** Returns the local node's machines on which tasks are being preempted, with their free capacity after that. */
  private capacityBeingFreed(): PendingCapacity[] {
    const { replica, workers } = this.options;
    const { ledger, machineTypes } = replica;
    const capacities: PendingCapacity[] = [];
    for (const host of workers.trackedWorkers.keys()) {
      const machine = ledger.machines.get(host);
      const type = machine && machineTypes.get(machine.machineType);
      if (!type || !workers.isPreempting(host, ledger)) continue;
      const free = resourcesOf(type);
      for (const placement of ledger.placementsOn(host)) {
        if (!workers.isStopping(placement)) subtractResources(free, placement, 1);
      }
      const { machineType, zone, spot } = machine;
      capacities.push({ machineType, zone, spot, machineCount: 1, free });
    }
    return capacities;
  }
}

/** Unmet demand of one job that has waited long enough to preempt other tasks. */
interface EligibleDemand {
  readonly job: PendingJob;
  /** What each zone may still take of the job's tasks. */
  readonly zones: ZoneConstraint;
  readonly count: number;
  readonly spec: JobSpec;
  /** CPUs that the team may still use within its guarantee; negative if its usage exceeds the guarantee. */
  readonly unusedGuarantee: number;
}

/** Adds a request for the tasks within the guarantee, and one for the other tasks if the job's rank is above normal. */
function addRequests(requests: PreemptionRequest[], demand: EligibleDemand): void {
  const { job, zones, count, spec, unusedGuarantee } = demand;
  const cpusOnly = { ...job.taskResources, gpus: 0, memGb: 0 };
  const fittingCount = countFitting(cpusOnly, { cpus: unusedGuarantee, gpus: 0, memGb: 0 });
  const guaranteedCount = Math.min(count, fittingCount);
  const rank = RANKS.indexOf(spec.rank);
  if (guaranteedCount > 0)
    requests.push({ job, zones, count: guaranteedCount, rank, isWithinGuarantee: true });
  if (count > guaranteedCount && rank > NORMAL_RANK) {
    requests.push({ job, zones, count: count - guaranteedCount, rank, isWithinGuarantee: false });
  }
}

function preemptionCandidate(
  placement: Placement,
  spec: JobSpec,
  isAboveGuarantee: boolean,
): PreemptionCandidate {
  return {
    cpus: placement.cpus,
    gpus: placement.gpus,
    memGb: placement.memGb,
    taskName: placement.taskName,
    host: placement.host,
    rank: RANKS.indexOf(spec.rank),
    isAboveGuarantee,
    canCheckpoint: true,
    placement,
    graceS: Math.ceil(spec.saveS) + 1,
  };
}

function preemptibleMachine(
  machine: CandidateMachine,
  free: ReadonlyMap<string, Resources>,
): PreemptibleMachine {
  return {
    host: machine.host,
    zone: machine.zone,
    freeResources: free.get(machine.host) ?? machine.free,
    isAllowed: (job) => isFeasible(job, machine) && fits(job.taskResources, machine.total),
  };
}
