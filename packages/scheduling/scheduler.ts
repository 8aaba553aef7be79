/** Plans an owner's scheduling rounds: from the replica to a round's input, and from its result to what is recorded. */
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
  type PendingJob,
  type Price,
  type PricingOptions,
  type PricingRoundResult,
  runPricingRound,
  subtractResources,
  type TeamUsage,
} from '#pricing';
import type { Settings, Tuning } from '#settings';
import type { JobSpec } from '#wire';
import { findPlacement, type TaskCompletion, type WorkerRegistry } from '#workers';
import type { PreemptedTask, PreemptionPlanner } from './preemption-planner.js';
import type { RoundInputBuilder } from './round-input-builder.js';

/** Starts in one round at most, so that its records stay small. */
const MAX_STARTS = 300;
/** Recorded prices are rounded to a multiple of 1 / this. */
const PRICE_PRECISION = 1e4;

/** What a round decides, to be recorded before any of it is done. */
export interface RoundPlan {
  /** By shard of the machine. */
  readonly starts: ReadonlyMap<number, StartGroup[]>;
  /** By shape, as they are recorded: price of a CPU, of a GPU and of a GB of memory. */
  readonly prices: Record<string, [number, number, number]>;
  /** By team: CPUs of its tasks that found no machine. */
  readonly unmetCpus: Record<string, number>;
  /** Running tasks that are to be preempted. */
  readonly preemptions: readonly PreemptedTask[];
}

/** The result of a round with the demand that it leaves. */
export interface SimulatedRound extends PricingRoundResult {
  /** Tasks that found no machine, most urgent first. */
  readonly unmetDemand: readonly UnmetDemand[];
}

/** What a scheduler works with. */
export interface SchedulerOptions {
  readonly settings: Settings;
  readonly tuning: Tuning;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly replica: Replica;
  readonly workers: WorkerRegistry;
  readonly input: RoundInputBuilder;
  readonly preemption: PreemptionPlanner;
  readonly log: Logger;
}

/** A start that a round decided on. */
type Start = PricingRoundResult['starts'][number];

/** Plans the rounds of this node, and simulates those of other owners for the leader's forecasts. */
export class Scheduler {
  private readonly pricingOptions: PricingOptions;
  private readonly shardByTeam: ReadonlyMap<string, number>;
  /** By job: the attempt of each gang that this round starts, which all parts of the start share. */
  private readonly gangAttempts = new Map<string, number>();

  constructor(private readonly options: SchedulerOptions) {
    const { settings, tuning } = options;
    this.pricingOptions = { ...tuning, maxStarts: MAX_STARTS };
    this.shardByTeam = new Map(settings.teams.map((team, i) => [team.name, i % settings.initialSize]));
  }

  /** The shard that a team belongs to: round-robin in the order of the settings. -1 for an unknown team. */
  shardOfTeam(team: string): number {
    return this.shardByTeam.get(team) ?? -1;
  }

  /** The newest heartbeat of this worker shows a task exited that the log still has as placed. */
  hasUnrecordedCompletion(host: string): boolean {
    const worker = this.options.workers.trackedWorkers.get(host);
    if (!worker) return false;
    const { ledger } = this.options.replica;
    return worker.heartbeat.tasks.some(
      (task) => task.state === 'exited' && findPlacement(ledger, host, task) !== null,
    );
  }

  /** Plans a round over all shards of this node: the tasks of their teams on the machines that it reaches. */
  plan(completions: readonly TaskCompletion[], shards: ReadonlySet<number>): RoundPlan {
    const { input, preemption } = this.options;
    const completed = new Set(completions.map(({ placement }) => placement));
    const machines = input.reachableMachines(completed);
    const { starts, prices, unmetDemand, free } = this.simulateRound(shards, machines, completed);
    const unmetCpus = unmetCpusByTeam(unmetDemand);
    const recordedPrices = recordPrices(prices);
    if (starts.length > 0 || unmetDemand.length > 0) {
      this.options.log.debug(
        { starts: starts.length, unmetCpus, prices: recordedPrices, machines: machines.length },
        'scheduling round planned',
      );
    }
    const startsByShard = this.groupStarts(starts);
    const usageChanges = this.usageChanges(starts, completed);
    return {
      starts: startsByShard,
      prices: recordedPrices,
      unmetCpus,
      preemptions: preemption.planPreemptions({ unmetDemand, machines, free, usageChanges }),
    };
  }

  /**
   * Runs a round of the teams of these shards on these machines; its result has no effect. Completed placements
   * no longer count as usage of their teams.
   */
  simulateRound(
    shards: ReadonlySet<number>,
    machines: readonly CandidateMachine[],
    completed: ReadonlySet<Placement>,
  ): SimulatedRound {
    const { settings, replica, input, random } = this.options;
    const teams = settings.teams.filter(({ name }) => shards.has(this.shardOfTeam(name)));
    const jobs = input.pendingJobs(new Set(teams.map(({ name }) => name)), completed);
    const firstShard = Math.min(...shards);
    const result = runPricingRound({
      jobs,
      machines,
      teams: this.teamUsage(teams, completed),
      prices: replica.ledger.prices.get(firstShard) ?? new Map<string, ShapePrice>(),
      options: this.pricingOptions,
      random,
    });
    return {
      starts: result.starts,
      prices: result.prices,
      unmet: result.unmet,
      gatheringZones: result.gatheringZones,
      free: result.free,
      reservedHosts: result.reservedHosts,
      unmetDemand: unmetDemandOf(jobs, result),
    };
  }

  /** Quotas of the teams, and their usage without the completed placements. */
  private teamUsage(teams: Settings['teams'], completed: ReadonlySet<Placement>): TeamUsage[] {
    const { ledger } = this.options.replica;
    const usage = teams.map(({ name, cpus, gpus, cpusMax, gpusMax }) => ({
      name,
      used: { ...ledger.teamUsage(name) },
      guaranteed: { cpus, gpus },
      limit: { cpus: cpusMax, gpus: gpusMax },
    }));
    const usedByTeam = new Map(usage.map(({ name, used }) => [name, used]));
    for (const placement of completed) {
      const used = usedByTeam.get(placement.team);
      if (used) subtractResources(used, placement, 1);
    }
    return usage;
  }

  /** By team: CPUs by which a round's starts and completions change its usage. */
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

  /** Assigns a task to each start and groups the starts by the shard of their machine, then by job. */
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
      if (!group) groups.push((group = this.startGroup(job, spec, shard)));
      group.tasks.push([index.value, host, worker.heartbeat.incarnation]);
    }
    return groupsByShard;
  }

  /** A group without tasks yet. */
  private startGroup(job: string, spec: JobSpec, shard: number): StartGroup {
    const { team, image, cpus, gpus, memGb } = spec;
    const need: StartGroup['need'] = [cpus, gpus, memGb];
    if (spec.shape !== 'gang') return { job, team, image, need, tasks: [] };
    return { job, team, image, need, gang: this.gangAttempt(spec, shard), tasks: [] };
  }

  /** The attempt of a gang: numbered by the shard in which the first of its parts is started. */
  private gangAttempt(spec: JobSpec, shard: number): GangAttempt {
    let attempt = this.gangAttempts.get(spec.id);
    if (attempt === undefined) {
      attempt = attemptNumber(shard, this.options.replica.ledger.position(shard) + 1);
      this.gangAttempts.set(spec.id, attempt);
    }
    return { attempt, size: spec.taskCount };
  }

  /** Indices of the job's tasks that are neither done nor placed, in ascending order. */
  private *openIndices(job: string, taskCount: number): Generator<number> {
    const progress = this.options.replica.ledger.jobs.get(job);
    for (let i = progress?.done.firstOpen ?? 0; i < taskCount; i++) {
      if (!progress?.done.has(i) && !progress?.placements.has(i)) yield i;
    }
  }
}

/** What found no machine, by priority and then by acceptance; a gang that has to lie in one zone with that zone. */
function unmetDemandOf(
  jobs: readonly PendingJob[],
  { unmet, gatheringZones }: PricingRoundResult,
): UnmetDemand[] {
  return jobs
    .filter(({ id }) => (unmet.get(id) ?? 0) > 0)
    .sort((a, b) => b.priority - a.priority || a.acceptanceOrder - b.acceptanceOrder)
    .map((job): UnmetDemand => {
      const count = unmet.get(job.id) ?? 0;
      const zone = gatheringZones.get(job.id);
      if (zone === undefined) return { job, count };
      return { job: { ...job, zone }, count, zoneIsOpen: job.zone === null };
    });
}

function unmetCpusByTeam(unmetDemand: readonly UnmetDemand[]): Record<string, number> {
  const unmetCpus: Record<string, number> = {};
  for (const { job, count } of unmetDemand) {
    unmetCpus[job.team] = (unmetCpus[job.team] ?? 0) + count * job.need.cpus;
  }
  return unmetCpus;
}

/** The prices in the form in which they are recorded. */
function recordPrices(prices: ReadonlyMap<string, Price>): RoundPlan['prices'] {
  const recorded: RoundPlan['prices'] = {};
  for (const [shape, { cpu, gpu, mem }] of prices) {
    recorded[shape] = [roundPrice(cpu), roundPrice(gpu), roundPrice(mem)];
  }
  return recorded;
}

function roundPrice(price: number): number {
  return Math.round(price * PRICE_PRECISION) / PRICE_PRECISION;
}
