/** One owner's rounds: turns what is known into a round's input, and its result into a placement record. */
import {
  attemptNumber,
  type Logger,
  type Placement,
  type Replica,
  type ShapePrice,
  type StartGroup,
} from '#cluster';
import type { UnmetDemand } from '#fleet';
import {
  type Resources,
  runPricingRound,
  type CandidateMachine,
  type PricingOptions,
  type PricingRoundResult,
  subtractResources,
} from '#pricing';
import type { Settings, Tuning } from '#settings';
import type { JobSpec } from '#wire';
import { type TaskCompletion, findPlacement, type WorkerRegistry } from '#workers';
import type { Preemption, PreemptedTask } from './preemption-planner.js';
import type { RoundInputBuilder } from './round-input-builder.js';

/** What a round decides, to be recorded before any of it is done. */
export interface RoundPlan {
  /** By share of the machine. */
  starts: Map<number, StartGroup[]>;
  prices: Record<string, [number, number, number]>;
  unmetCpus: Record<string, number>;
  /** Running tasks that are to make room. */
  preemptions: PreemptedTask[];
}

/** Starts in one round at the most, so that its records stay small. */
const MAX_STARTS = 300;

export interface SchedulerOptions {
  settings: Settings;
  tuning: Tuning;
  random: () => number;
  replica: Replica;
  workers: WorkerRegistry;
  input: RoundInputBuilder;
  preemption: Preemption;
  log: Logger;
}

export class Scheduler {
  private readonly options: PricingOptions;
  private readonly shardByTeam: ReadonlyMap<string, number>;
  private readonly settings: Settings;
  private readonly replica: Replica;
  private readonly workers: WorkerRegistry;
  /** The attempts of the gangs that this round starts, by job: all parts of a start bear the same. */
  private readonly gangAttempts = new Map<string, number>();

  constructor(private readonly parts: SchedulerOptions) {
    const { settings, tuning, replica, workers } = parts;
    this.settings = settings;
    this.replica = replica;
    this.workers = workers;
    this.options = { ...tuning, maxStarts: MAX_STARTS };
    this.shardByTeam = new Map(settings.teams.map((t, i) => [t.name, i % settings.initialSize]));
  }

  /** The share that a team belongs to: teams are dealt out in the order of the settings. */
  shardOfTeam(team: string): number {
    return this.shardByTeam.get(team) ?? -1;
  }

  /** The newest report of this worker shows the end of a task that the log doesn't know of yet. */
  hasUnrecordedCompletion(host: string): boolean {
    const session = this.workers.trackedWorkers.get(host);
    if (!session) return false;
    const { ledger } = this.replica;
    return session.heartbeat.tasks.some(
      (p) => p.state === 'exited' && findPlacement(ledger, host, p) !== null,
    );
  }

  /** An owner's round over all its shares: its teams' tasks on its machines. */
  plan(completions: readonly TaskCompletion[], shards: ReadonlySet<number>): RoundPlan {
    const completion = new Set(completions.map((e) => e.placement));
    const machines = this.parts.input.reachableMachines(completion);
    const result = this.simulateRound(shards, machines, completion);
    const unmet: Record<string, number> = {};
    for (const { job, count } of result.needs)
      unmet[job.team] = (unmet[job.team] ?? 0) + count * job.need.cpus;
    const prices: RoundPlan['prices'] = {};
    for (const [shape, p] of result.prices) prices[shape] = [digits(p.cpu), digits(p.gpu), digits(p.mem)];
    if (result.starts.length > 0 || result.needs.length > 0) {
      this.parts.log.debug(
        { starts: result.starts.length, unmet, prices, machines: machines.length },
        'round',
      );
    }
    const starts = this.group(result.starts);
    const changes = this.changes(result.starts, completion);
    return {
      starts,
      prices,
      unmetCpus: unmet,
      preemptions: this.parts.preemption.planPreemptions(result.needs, machines, result.free, changes),
    };
  }

  /** A round of the teams of some shares on these machines; nothing is done with its result here. */
  simulateRound(
    shards: ReadonlySet<number>,
    machines: CandidateMachine[],
    completion: ReadonlySet<Placement>,
  ): PricingRoundResult & { needs: UnmetDemand[] } {
    const { ledger } = this.replica;
    const teams = this.settings.teams.filter((t) => shards.has(this.shardOfTeam(t.name)));
    const jobs = this.parts.input.pendingJobs(new Set(teams.map((t) => t.name)), completion);
    const used = new Map(teams.map((t) => [t.name, { ...ledger.teamUsage(t.name) }]));
    for (const p of completion) {
      const u = used.get(p.team);
      if (u) subtractResources(u, p, 1);
    }
    const first = Math.min(...shards);
    const result = runPricingRound({
      jobs,
      machines,
      teams: teams.map((t) => ({
        name: t.name,
        used: used.get(t.name) as Resources,
        guaranteed: { cpus: t.cpus, gpus: t.gpus },
        limit: { cpus: t.cpusMax, gpus: t.gpusMax },
      })),
      prices: ledger.prices.get(first) ?? new Map<string, ShapePrice>(),
      options: this.options,
      random: this.parts.random,
    });
    const needs = jobs
      .filter((j) => (result.unmet.get(j.id) ?? 0) > 0)
      .sort((a, b) => b.priority - a.priority || a.acceptanceOrder - b.acceptanceOrder)
      .map((job): UnmetDemand => {
        const count = result.unmet.get(job.id) ?? 0;
        const zone = result.gatheringZones.get(job.id);
        return zone === undefined
          ? { job, count }
          : { job: { ...job, zone }, count, zoneIsOpen: job.zone === null };
      });
    return { ...result, needs };
  }

  /** CPUs by which a round's starts and ends change what teams use. */
  private changes(
    starts: readonly { job: string }[],
    completion: ReadonlySet<Placement>,
  ): Map<string, number> {
    const changes = new Map<string, number>();
    const add = (team: string, cpus: number): void => {
      changes.set(team, (changes.get(team) ?? 0) + cpus);
    };
    for (const { job } of starts) {
      const spec = this.replica.jobs.get(job)?.spec;
      if (spec) add(spec.team, spec.cpus);
    }
    for (const p of completion) add(p.team, -p.cpus);
    return changes;
  }

  /** Gives each start its task and sorts them by the share of their machine. */
  private group(starts: readonly { job: string; host: string }[]): Map<number, StartGroup[]> {
    const byShare = new Map<number, StartGroup[]>();
    this.gangAttempts.clear();
    const open = new Map<string, Iterator<number>>();
    for (const { job, host } of starts) {
      const spec = this.replica.jobs.get(job)?.spec;
      const session = this.workers.trackedWorkers.get(host);
      const shard = this.replica.ledger.machines.get(host)?.shard ?? null;
      if (!spec || !session || shard === null) continue;
      let indices = open.get(job);
      if (!indices) open.set(job, (indices = this.openIndices(job, spec.taskCount)));
      const index = indices.next();
      if (index.done === true) continue;
      let groups = byShare.get(shard);
      if (!groups) byShare.set(shard, (groups = []));
      let group = groups.find((g) => g.job === job);
      if (!group) {
        const { team, image, cpus, gpus, memGb } = spec;
        group = { job, team, image, need: [cpus, gpus, memGb], ...this.gangOf(spec, shard), tasks: [] };
        groups.push(group);
      }
      group.tasks.push([index.value, host, session.heartbeat.incarnation]);
    }
    return byShare;
  }

  /** What the parts of a gang's start have in common; nothing for independent tasks. */
  private gangOf(spec: JobSpec, shard: number): Pick<StartGroup, 'gang'> {
    if (spec.shape !== 'gang') return {};
    let attempt = this.gangAttempts.get(spec.id);
    if (attempt === undefined) {
      attempt = attemptNumber(shard, this.replica.ledger.position(shard) + 1);
      this.gangAttempts.set(spec.id, attempt);
    }
    return { gang: { attempt, size: spec.taskCount } };
  }

  private *openIndices(job: string, taskCount: number): Generator<number> {
    const entry = this.replica.ledger.jobs.get(job);
    for (let i = entry?.done.firstOpen ?? 0; i < taskCount; i++) {
      if (!entry?.done.has(i) && !entry?.placements.has(i)) yield i;
    }
  }
}

function digits(price: number): number {
  return Math.round(price * 1e4) / 1e4;
}
