/** Plans scheduling rounds: builds a round's input from the replica, and the plan to record from the round's result. */
import {
  attemptNumber,
  type GangAttempt,
  type Logger,
  type Placement,
  type Replica,
  type ShapePrice,
  type StartGroup,
} from '#cluster';
import type { UnmetDemand } from '#fleet';
import {
  type CandidateMachine,
  type Price,
  type PricingOptions,
  type PricingRoundResult,
  runPricingRound,
  subtractResources,
  type TeamUsage,
} from '#pricing';
import type { Settings, Tuning } from '#settings';
import type { Clock, JobSpec } from '#wire';
import { findPlacement, type TaskCompletion, type WorkerRegistry } from '#workers';
import { LimitHolds } from './limit-holds.js';
import { unmetCpusByTeam, unmetDemandOf } from './unmet-demand.js';
import type { PreemptedTask, PreemptionPlanner } from './preemption-planner.js';
import type { RoundInputBuilder } from './round-input-builder.js';

/** Maximum number of tasks that one round starts, which limits the size of its log records. */
const MAX_STARTS_PER_ROUND = 300;
/** Recorded prices are rounded to a multiple of 1 / PRICE_PRECISION. */
const PRICE_PRECISION = 1e4;

/** Decisions of a scheduling round. They are recorded in the log before any of them is carried out. */
export interface RoundPlan {
  /** Keyed by the shard that the machine belongs to. */
  readonly starts: ReadonlyMap<number, StartGroup[]>;
  /** Rounded prices of a CPU, a GPU and a GB of memory, in this order. Keyed by shape. */
  readonly prices: Record<string, [number, number, number]>;
  /** CPUs required by tasks for which no machine had capacity. Keyed by team. */
  readonly unmetCpus: Record<string, number>;
  /** Running tasks to preempt. */
  readonly preemptions: readonly PreemptedTask[];
}

/** Result of a scheduling round together with the unmet demand that it leaves. */
export interface SimulatedRound extends PricingRoundResult {
  /** Pending tasks for which no machine had capacity, most urgent first. */
  readonly unmetDemand: readonly UnmetDemand[];
}

/** What a round takes into account beyond the replica. */
export interface RoundConditions {
  /** Completed placements that are not recorded yet. They no longer count as usage of their teams. */
  readonly completed: ReadonlySet<Placement>;
  /** True if claims on the team's limit have held back its jobs for too long. */
  readonly isHeldTooLong: (team: string) => boolean;
  /** True if the round only shows the demand: a job then has the share of the limit that tasks took which overtook it. */
  readonly isForecast: boolean;
}

/** Dependencies of {@link Scheduler}. */
export interface SchedulerOptions {
  readonly settings: Settings;
  readonly tuning: Tuning;
  /** Returns uniformly distributed numbers in [0, 1). */
  readonly random: () => number;
  readonly clock: Clock;
  readonly replica: Replica;
  readonly workers: WorkerRegistry;
  readonly inputBuilder: RoundInputBuilder;
  readonly preemptionPlanner: PreemptionPlanner;
  readonly log: Logger;
}

/** One task start that a round decided on: the job and the host. */
type Start = PricingRoundResult['starts'][number];

/** Plans the local node's scheduling rounds, and simulates other owners' rounds for the leader's forecasts. */
export class Scheduler {
  private readonly pricingOptions: PricingOptions;
  private readonly shardByTeam: ReadonlyMap<string, number>;
  /** Attempt numbers of the gangs that the current round starts; all start groups of a gang share one. Keyed by job. */
  private readonly gangAttempts = new Map<string, number>();
  private readonly limitHolds: LimitHolds;

  constructor(private readonly options: SchedulerOptions) {
    const { settings, tuning, clock } = options;
    this.limitHolds = new LimitHolds(clock);
    this.pricingOptions = { ...tuning, maxStarts: MAX_STARTS_PER_ROUND };
    this.shardByTeam = new Map(settings.teams.map((team, i) => [team.name, i % settings.initialSize]));
  }

  /** Returns the shard of a team, assigned round-robin in the order of the settings; -1 for an unknown team. */
  shardOfTeam(team: string): number {
    return this.shardByTeam.get(team) ?? -1;
  }

  /** True if the worker's latest heartbeat reports a task as exited that the log still records as placed. */
  hasUnrecordedCompletion(host: string): boolean {
    const worker = this.options.workers.trackedWorkers.get(host);
    if (!worker) return false;
    const { ledger } = this.options.replica;
    return worker.heartbeat.tasks.some(
      (task) => task.state === 'exited' && findPlacement(ledger, host, task) !== null,
    );
  }

  /** Plans a round for all shards of the local node: places their teams' tasks on the node's reachable machines. */
  plan(completions: readonly TaskCompletion[], shards: ReadonlySet<number>): RoundPlan {
    const { inputBuilder, preemptionPlanner } = this.options;
    const completed = new Set(completions.map(({ placement }) => placement));
    const machines = inputBuilder.reachableMachines(completed);
    const round = this.simulateRound(shards, machines, {
      completed,
      isHeldTooLong: (team) => this.limitHolds.isHeldTooLong(team),
      isForecast: false,
    });
    this.limitHolds.observe(round.heldTeams);
    const { starts, prices, unmetDemand, free } = round;
    const unmetCpus = Object.fromEntries(unmetCpusByTeam(unmetDemand));
    const recordedPrices = pricesToRecord(prices);
    this.logRound(round, { unmetCpus, prices: recordedPrices, machines: machines.length });
    const startsByShard = this.groupStarts(starts);
    const usageChanges = this.usageChanges(starts, completed);
    return {
      starts: startsByShard,
      prices: recordedPrices,
      unmetCpus,
      preemptions: preemptionPlanner.planPreemptions({ unmetDemand, machines, free, usageChanges }),
    };
  }

  /** Runs a round for the teams of the shards on the given machines, without side effects. */
  simulateRound(
    shards: ReadonlySet<number>,
    machines: readonly CandidateMachine[],
    conditions: RoundConditions,
  ): SimulatedRound {
    const { settings, replica, inputBuilder, random } = this.options;
    const teams = settings.teams.filter(({ name }) => shards.has(this.shardOfTeam(name)));
    const jobs = inputBuilder.pendingJobs(new Set(teams.map(({ name }) => name)), conditions);
    const firstShard = Math.min(...shards);
    const result = runPricingRound({
      jobs,
      machines,
      teams: this.teamUsage(teams, conditions),
      prices: replica.ledger.prices.get(firstShard) ?? new Map<string, ShapePrice>(),
      options: this.pricingOptions,
      random,
    });
    return { ...result, unmetDemand: unmetDemandOf(jobs, result) };
  }

  /** Logs a round that starts tasks, or that leaves tasks waiting for capacity, for their team's limit or after failures. */
  private logRound(
    { starts, unmetDemand, heldTaskCounts }: SimulatedRound,
    summary: { unmetCpus: Record<string, number>; prices: RoundPlan['prices']; machines: number },
  ): void {
    if (starts.length === 0 && unmetDemand.length === 0 && heldTaskCounts.size === 0) return;
    const heldTasks = this.tasksByTeam(heldTaskCounts);
    const failingJobs = this.options.inputBuilder.failingJobs();
    this.options.log.debug(
      { starts: starts.length, ...summary, heldTasks, failingJobs },
      'scheduling round planned',
    );
  }

  /** Sums numbers of tasks, which are keyed by job, by team. */
  private tasksByTeam(taskCounts: ReadonlyMap<string, number>): Record<string, number> {
    const byTeam: Record<string, number> = {};
    for (const [job, count] of taskCounts) {
      const team = this.options.replica.jobs.get(job)?.spec.team ?? '';
      byTeam[team] = (byTeam[team] ?? 0) + count;
    }
    return byTeam;
  }

  /** Returns the quotas of the teams, and their usage without the completed placements. */
  private teamUsage(teams: Settings['teams'], { completed, isHeldTooLong }: RoundConditions): TeamUsage[] {
    const { ledger } = this.options.replica;
    const usage = teams.map(({ name, cpus, gpus, cpusMax, gpusMax }) => ({
      name,
      used: { ...ledger.teamUsage(name) },
      guaranteed: { cpus, gpus },
      limit: { cpus: cpusMax, gpus: gpusMax },
      isHeldTooLong: isHeldTooLong(name),
    }));
    const usedByTeam = new Map(usage.map(({ name, used }) => [name, used]));
    for (const placement of completed) {
      const used = usedByTeam.get(placement.team);
      if (used) subtractResources(used, placement, 1);
    }
    return usage;
  }

  /** Returns the CPUs by which a round's starts and completions change each team's usage. Keyed by team. */
  private usageChanges(starts: readonly Start[], completed: ReadonlySet<Placement>): Map<string, number> {
    const changes = new Map<string, number>();
    const add = (team: string, cpus: number): void => {
      changes.set(team, (changes.get(team) ?? 0) + cpus);
    };
    for (const { job } of starts) {
      const spec = this.options.replica.jobs.get(job)?.spec;
      if (spec) add(spec.team, spec.cpus);
    }
    for (const { team, cpus } of completed) add(team, -cpus);
    return changes;
  }

  /** Assigns a task index to each start, and groups the starts by the shard of their machine, then by job. */
  private groupStarts(starts: readonly Start[]): Map<number, StartGroup[]> {
    const { replica, workers } = this.options;
    const groupsByShard = new Map<number, StartGroup[]>();
    this.gangAttempts.clear();
    const openIndicesByJob = new Map<string, Iterator<number>>();
    for (const { job, host } of starts) {
      const spec = replica.jobs.get(job)?.spec;
      const worker = workers.trackedWorkers.get(host);
      const shard = replica.ledger.machines.get(host)?.shard ?? null;
      if (!spec || !worker || shard === null) continue;
      let openIndices = openIndicesByJob.get(job);
      if (!openIndices) openIndicesByJob.set(job, (openIndices = this.openIndices(job, spec.taskCount)));
      const index = openIndices.next();
      if (index.done === true) continue;
      let groups = groupsByShard.get(shard);
      if (!groups) groupsByShard.set(shard, (groups = []));
      let group = groups.find((candidate) => candidate.job === job);
      if (!group) groups.push((group = this.createStartGroup(job, spec, shard)));
      group.tasks.push([index.value, host, worker.heartbeat.incarnation]);
    }
    return groupsByShard;
  }

  /** Returns a start group of the job without tasks. */
  private createStartGroup(job: string, spec: JobSpec, shard: number): StartGroup {
    const { team, image, cpus, gpus, memGb } = spec;
    const taskResources: StartGroup['taskResources'] = [cpus, gpus, memGb];
    if (spec.shape !== 'gang') return { job, team, image, taskResources, tasks: [] };
    return { job, team, image, taskResources, gang: this.gangAttempt(spec, shard), tasks: [] };
  }

  /** Returns the attempt of a gang. The number comes from the shard of the first of its tasks in the round. */
  private gangAttempt(spec: JobSpec, shard: number): GangAttempt {
    let attempt = this.gangAttempts.get(spec.id);
    if (attempt === undefined) {
      attempt = attemptNumber(shard, this.options.replica.ledger.position(shard) + 1);
      this.gangAttempts.set(spec.id, attempt);
    }
    return { attempt, size: spec.taskCount };
  }

  /** Yields the indices of the job's tasks that are neither done nor placed, in ascending order. */
  private *openIndices(job: string, taskCount: number): Generator<number> {
    const progress = this.options.replica.ledger.jobs.get(job);
    for (let i = progress?.done.firstIncomplete ?? 0; i < taskCount; i++) {
      if (!progress?.done.has(i) && !progress?.placements.has(i)) yield i;
    }
  }
}

/** Converts prices to the rounded form in which they are recorded. */
function pricesToRecord(prices: ReadonlyMap<string, Price>): RoundPlan['prices'] {
  const recorded: RoundPlan['prices'] = {};
  for (const [shape, { cpu, gpu, mem }] of prices) {
    recorded[shape] = [roundPrice(cpu), roundPrice(gpu), roundPrice(mem)];
  }
  return recorded;
}

function roundPrice(price: number): number {
  return Math.round(price * PRICE_PRECISION) / PRICE_PRECISION;
}
