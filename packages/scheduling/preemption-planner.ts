/** Selects running tasks to preempt for work of higher rank, or for work that its team's guarantee covers. */
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
} from '#pricing';
import type { Settings } from '#settings';
import { type Clock, type JobSpec, type Micros, MS, RANKS, SECOND } from '#wire';
import type { WorkerRegistry } from '#workers';
import type { RunTimeEstimator } from './run-time-estimator.js';

/** Tasks of a job may preempt others once the job is this old. */
const PREEMPTION_MIN_WAIT: Micros = 4 * SECOND;
/** A task is preempted only after it has run for this long: its user would count an earlier stop as no start. */
const VICTIM_MIN_RUN_TIME: Micros = 45 * SECOND;
/** A task that is expected to end sooner than this is not preempted. */
const VICTIM_MIN_REMAINING: Micros = 12 * SECOND;
/** Tasks that one round may preempt, at most. */
const MAX_PREEMPTIONS = 6;
/** Only jobs above this rank preempt tasks beyond their team's guarantee. */
const NORMAL_RANK = RANKS.indexOf('normal');

/** A running task that is to be preempted. */
export interface PreemptedTask {
  readonly placement: Placement;
  /** Seconds that it gets to save its progress. */
  readonly graceS: number;
}

/** What a preemption planner works with. */
export interface PreemptionPlannerOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly replica: Replica;
  readonly workers: WorkerRegistry;
  readonly runTimeEstimator: RunTimeEstimator;
}

/** The result of the scheduling round that preemptions are planned for. */
export interface PreemptionRound {
  /** Tasks that found no machine, most urgent first. */
  readonly unmetDemand: readonly UnmetDemand[];
  readonly machines: readonly CandidateMachine[];
  /** By host: free capacity that the round leaves. */
  readonly free: ReadonlyMap<string, Resources>;
  /** By team: CPUs by which the round's starts and completions change its usage. */
  readonly usageChanges: ReadonlyMap<string, number>;
}

/** By team: CPUs that it is guaranteed. */
type Guarantees = ReadonlyMap<string, number>;

/** A task that may be preempted, as the planner compares it and as it would be stopped. */
type PreemptionCandidate = Victim & PreemptedTask;

/** Plans the preemptions of this node's scheduling rounds. */
export class PreemptionPlanner {
  constructor(private readonly options: PreemptionPlannerOptions) {}

  /** Tasks to preempt for demand that has been unmet for long enough. */
  planPreemptions(round: PreemptionRound): PreemptedTask[] {
    const guarantees = new Map(this.options.settings.teams.map(({ name, cpus }) => [name, cpus]));
    const requests = this.requests(round, guarantees);
    if (requests.length === 0) return [];
    const candidates = this.candidates(round.machines, guarantees);
    const chosen = planPreemptions({
      requests,
      machines: round.machines.map((machine) => preemptibleMachine(machine, round.free)),
      victims: [...candidates.values()],
      maxPreemptions: MAX_PREEMPTIONS,
    });
    return chosen.flatMap(({ taskName }) => candidates.get(taskName) ?? []);
  }

  private requests(round: PreemptionRound, guarantees: Guarantees): PreemptionRequest[] {
    const { ledger, jobs } = this.options.replica;
    const wall = this.options.clock.wall();
    const requests: PreemptionRequest[] = [];
    const beingFreed = this.capacityBeingFreed();
    // What this round's starts, and the team's more urgent demand once it is met, use of the guarantee. Otherwise what
    // was preempted for them would claim that part again, and further tasks would be preempted for it.
    const usageChanges = new Map(round.usageChanges);
    for (const { job, count } of round.unmetDemand) {
      const { team, need } = job;
      const usageChange = usageChanges.get(team) ?? 0;
      usageChanges.set(team, usageChange + count * need.cpus);
      const entry = jobs.get(job.id);
      if (!entry || wall - entry.acceptedAtMs * MS < PREEMPTION_MIN_WAIT) continue;
      // Tasks that were preempted before are still saving: no more of them for the same demand meanwhile.
      const remaining = count - allocatePending(beingFreed, job, count);
      const unusedGuarantee = (guarantees.get(team) ?? 0) - (ledger.teamUsage(team).cpus + usageChange);
      addRequests(requests, { job, count: remaining, spec: entry.spec, unusedGuarantee });
    }
    return requests;
  }

  /** By task name: tasks on these machines that may be preempted. */
  private candidates(
    machines: readonly CandidateMachine[],
    guarantees: Guarantees,
  ): Map<string, PreemptionCandidate> {
    const { ledger, jobs } = this.options.replica;
    const wall = this.options.clock.wall();
    const candidates = new Map<string, PreemptionCandidate>();
    for (const { host } of machines) {
      for (const placement of ledger.placementsOn(host)) {
        const spec = jobs.get(placement.job)?.spec;
        if (!spec || !this.isPreemptible(placement, spec, wall)) continue;
        const { team, taskName } = placement;
        const isAboveGuarantee = ledger.teamUsage(team).cpus > (guarantees.get(team) ?? 0);
        candidates.set(taskName, preemptionCandidate(placement, spec, isAboveGuarantee));
      }
    }
    return candidates;
  }

  private isPreemptible(placement: Placement, spec: JobSpec, wall: Micros): boolean {
    // Preempting one task of a gang would stop all of them for the capacity of one.
    if (placement.gangSize !== null || spec.checkpointS <= 0) return false;
    if (wall - placement.startedAtMs * MS < VICTIM_MIN_RUN_TIME) return false;
    return this.options.runTimeEstimator.remaining(placement) >= VICTIM_MIN_REMAINING;
  }

  /** Machines of this node on which tasks are being preempted, with the free capacity that this will leave. */
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
      capacities.push({ machineType, zone, spot, free });
    }
    return capacities;
  }
}

/** Unmet demand of one job that may lead to preemptions. */
interface EligibleDemand {
  readonly job: PendingJob;
  readonly count: number;
  readonly spec: JobSpec;
  /** CPUs that the team may still use within its guarantee; negative if it is above. */
  readonly unusedGuarantee: number;
}

/** Adds a request for the tasks within the guarantee, and one for the others if the rank of the job allows that. */
function addRequests(requests: PreemptionRequest[], demand: EligibleDemand): void {
  const { job, count, spec, unusedGuarantee } = demand;
  const cpusOnly = { ...job.need, gpus: 0, memGb: 0 };
  const fitting = countFitting(cpusOnly, { cpus: unusedGuarantee, gpus: 0, memGb: 0 });
  const guaranteed = Math.min(count, fitting);
  const rank = RANKS.indexOf(spec.rank);
  if (guaranteed > 0) requests.push({ job, count: guaranteed, rank, guaranteed: true });
  if (count > guaranteed && rank > NORMAL_RANK) {
    requests.push({ job, count: count - guaranteed, rank, guaranteed: false });
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
    freeResources: free.get(machine.host) ?? machine.free,
    isAllowed: (job) => isFeasible(job, machine) && fits(job.need, machine.total),
  };
}
