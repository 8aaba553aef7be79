/** One owner's rounds: turns what is known into a round's input, and its result into a placement record. */
import {
  attemptNumber,
  type Logger,
  type Placement,
  type Replica,
  type ShapePrice,
  type StartGroup,
} from '#cluster';
import type { NeedRow } from '#fleet';
import {
  type Amounts,
  playRound,
  type RoomyMachine,
  type RoundOptions,
  type RoundResult,
  take,
} from '#pricing';
import type { Settings, Tuning } from '#settings';
import type { JobSpec } from '#wire';
import { type Ending, placementOf, type WorkerRegistry } from '#workers';
import type { Preemption, Stop } from './preemption.js';
import type { RoundInput } from './round-input.js';

/** What a round decides, to be recorded before any of it is done. */
export interface RoundPlan {
  /** By share of the machine. */
  starts: Map<number, StartGroup[]>;
  prices: Record<string, [number, number, number]>;
  unmet: Record<string, number>;
  /** Running tasks that are to make room. */
  stops: Stop[];
}

/** Starts in one round at the most, so that its records stay small. */
const MOST_STARTS = 300;

export interface SchedulerParts {
  settings: Settings;
  tuning: Tuning;
  random: () => number;
  replica: Replica;
  workers: WorkerRegistry;
  input: RoundInput;
  preemption: Preemption;
  log: Logger;
}

export class Scheduler {
  private readonly options: RoundOptions;
  private readonly shares: ReadonlyMap<string, number>;
  private readonly settings: Settings;
  private readonly replica: Replica;
  private readonly workers: WorkerRegistry;
  /** The attempts of the gangs that this round starts, by job: all parts of a start bear the same. */
  private readonly gangAttempts = new Map<string, number>();

  constructor(private readonly parts: SchedulerParts) {
    const { settings, tuning, replica, workers } = parts;
    this.settings = settings;
    this.replica = replica;
    this.workers = workers;
    this.options = { ...tuning, mostStarts: MOST_STARTS };
    this.shares = new Map(settings.teams.map((t, i) => [t.name, i % settings.initialSize]));
  }

  /** The share that a team belongs to: teams are dealt out in the order of the settings. */
  shareOf(team: string): number {
    return this.shares.get(team) ?? -1;
  }

  /** The newest report of this worker shows the end of a task that the log doesn't know of yet. */
  hasNews(host: string): boolean {
    const session = this.workers.sessions.get(host);
    if (!session) return false;
    const { ledger } = this.replica;
    return session.report.tasks.some((p) => p.state === 'exited' && placementOf(ledger, host, p) !== null);
  }

  /** An owner's round over all its shares: its teams' tasks on its machines. */
  plan(endings: readonly Ending[], shares: ReadonlySet<number>): RoundPlan {
    const ending = new Set(endings.map((e) => e.placement));
    const machines = this.parts.input.machines(ending);
    const result = this.play(shares, machines, ending);
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
    const changes = this.changes(result.starts, ending);
    return {
      starts,
      prices,
      unmet,
      stops: this.parts.preemption.stops(result.needs, machines, result.left, changes),
    };
  }

  /** A round of the teams of some shares on these machines; nothing is done with its result here. */
  play(
    shares: ReadonlySet<number>,
    machines: RoomyMachine[],
    ending: ReadonlySet<Placement>,
  ): RoundResult & { needs: NeedRow[] } {
    const { ledger } = this.replica;
    const teams = this.settings.teams.filter((t) => shares.has(this.shareOf(t.name)));
    const jobs = this.parts.input.waiting(new Set(teams.map((t) => t.name)), ending);
    const used = new Map(teams.map((t) => [t.name, { ...ledger.used(t.name) }]));
    for (const p of ending) {
      const u = used.get(p.team);
      if (u) take(u, p, 1);
    }
    const first = Math.min(...shares);
    const result = playRound({
      jobs,
      machines,
      teams: teams.map((t) => ({
        name: t.name,
        used: used.get(t.name) as Amounts,
        guaranteed: { cpus: t.cpus, gpus: t.gpus },
        most: { cpus: t.cpusMax, gpus: t.gpusMax },
      })),
      prices: ledger.prices.get(first) ?? new Map<string, ShapePrice>(),
      options: this.options,
      random: this.parts.random,
    });
    const needs = jobs
      .filter((j) => (result.unmet.get(j.id) ?? 0) > 0)
      .sort((a, b) => b.priority - a.priority || a.order - b.order)
      .map((job): NeedRow => {
        const count = result.unmet.get(job.id) ?? 0;
        const zone = result.gatheringZones.get(job.id);
        return zone === undefined
          ? { job, count }
          : { job: { ...job, zone }, count, zoneIsOpen: job.zone === null };
      });
    return { ...result, needs };
  }

  /** CPUs by which a round's starts and ends change what teams use. */
  private changes(starts: readonly { job: string }[], ending: ReadonlySet<Placement>): Map<string, number> {
    const changes = new Map<string, number>();
    const add = (team: string, cpus: number): void => {
      changes.set(team, (changes.get(team) ?? 0) + cpus);
    };
    for (const { job } of starts) {
      const spec = this.replica.jobs.get(job)?.spec;
      if (spec) add(spec.team, spec.cpus);
    }
    for (const p of ending) add(p.team, -p.cpus);
    return changes;
  }

  /** Gives each start its task and sorts them by the share of their machine. */
  private group(starts: readonly { job: string; host: string }[]): Map<number, StartGroup[]> {
    const byShare = new Map<number, StartGroup[]>();
    this.gangAttempts.clear();
    const open = new Map<string, Iterator<number>>();
    for (const { job, host } of starts) {
      const spec = this.replica.jobs.get(job)?.spec;
      const session = this.workers.sessions.get(host);
      const share = this.replica.ledger.hosts.get(host)?.share ?? null;
      if (!spec || !session || share === null) continue;
      let indices = open.get(job);
      if (!indices) open.set(job, (indices = this.openIndices(job, spec.taskCount)));
      const index = indices.next();
      if (index.done === true) continue;
      let groups = byShare.get(share);
      if (!groups) byShare.set(share, (groups = []));
      let group = groups.find((g) => g.job === job);
      if (!group) {
        const { team, image, cpus, gpus, memGb } = spec;
        group = { job, team, image, need: [cpus, gpus, memGb], ...this.gangOf(spec, share), tasks: [] };
        groups.push(group);
      }
      group.tasks.push([index.value, host, session.report.session]);
    }
    return byShare;
  }

  /** What the parts of a gang's start have in common; nothing for independent tasks. */
  private gangOf(spec: JobSpec, share: number): Pick<StartGroup, 'gang'> {
    if (spec.shape !== 'gang') return {};
    let attempt = this.gangAttempts.get(spec.id);
    if (attempt === undefined) {
      attempt = attemptNumber(share, this.replica.ledger.seq(share) + 1);
      this.gangAttempts.set(spec.id, attempt);
    }
    return { gang: { attempt, size: spec.taskCount } };
  }

  private *openIndices(job: string, taskCount: number): Generator<number> {
    const entry = this.replica.ledger.jobEntries.get(job);
    for (let i = entry?.done.firstOpen ?? 0; i < taskCount; i++) {
      if (!entry?.done.has(i) && !entry?.placed.has(i)) yield i;
    }
  }
}

function digits(price: number): number {
  return Math.round(price * 1e4) / 1e4;
}
