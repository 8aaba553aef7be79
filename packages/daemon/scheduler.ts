import {
  type MachineEntry,
  JOB_AT_FAULT,
  type JobEntry,
  type Logger,
  type Placement,
  type Replica,
  type ShapePrice,
  type StartGroup,
} from '#cluster';
import { amountsOf, type Coming, type NeedRow, serve, suits } from '#fleet';
import {
  type Amounts,
  type PreemptionRequest,
  fits,
  planStops,
  playRound,
  type RoomyMachine,
  type RoundOptions,
  slots,
  take,
  type Victim,
  type WaitingJob,
} from '#pricing';
import type { Objective, Settings, Tuning } from '#settings';
import { type Clock, fromSeconds, type Micros, MS, type Rank, RANKS, SECOND, type JobSpec } from '#wire';
import { attemptKey, type Ending, placementOf, type WorkerRegistry, type Session } from '#workers';

export interface RoundPlan {
  /** By share of the machine. */
  starts: Map<number, StartGroup[]>;
  prices: Record<string, [number, number, number]>;
  unmet: Record<string, number>;
  /** Running tasks that are to make room. */
  stops: { placement: Placement; graceS: number }[];
}

/** What the leader foresees of one owner's next round. */
export interface OwnerForecast {
  member: string;
  shares: number[];
  /** What will find no room, most urgent first. */
  needs: NeedRow[];
  /** Room that the round will leave on each of its machines. */
  left: Map<string, Amounts>;
  /** Machines that it keeps for tasks which need more room than they have yet. */
  kept: ReadonlySet<string>;
  /** Room that its running tasks are about to leave. */
  soon: Coming[];
  price: number;
  /** CPUs that its teams lack of their guarantees, less those that are about to come free or on their way. */
  owed: number;
  /** CPUs that its teams use beyond their guarantees. */
  borrowed: number;
}

/**
 * Utility is priority less what the demand costs, so a task of twice the size needs twice the priority to rank
 * alike: from `urgent` on the steps are wide enough that one which needs a whole machine still comes first.
 */
export const RANK_PRIORITY: Record<Rank, number> = { best_effort: 1, normal: 2, urgent: 8, prod: 24 };
/** A machine whose room comes free within this time counts as on its way. */
const SOON: Micros = 10 * SECOND;
const AVOID_FOR: Micros = 20 * SECOND;
/** A task that waits this long may have others stopped. */
const PREEMPT_AFTER: Micros = 4 * SECOND;
/** A task is stopped only after it has been on its machine for so long, and not when it is almost done. */
const SETTLED: Micros = 45 * SECOND;
const ALMOST_DONE: Micros = 12 * SECOND;
const MOST_STOPS = 6;
/** A job at fault is tried again at least so often: what failed it may be over, and nothing waits without reason. */
const LONGEST_REST: Micros = 45 * SECOND;
/** Waiting for so many times what doubles a priority is long. */
const LONG_WAIT = 2;
const KEPT_RESULT = 0.1;

/** Starts in one round at the most, so that its records stay small. */
const MOST_STARTS = 300;

/** Turns the ledger, the reports and the live jobs into a round's input, and its result into a record. */
export class Scheduler {
  /** By class: how long its tasks really run against the owners' estimates. */
  private ratios = new Map<string, number>();

  private readonly options: RoundOptions;
  private readonly shares: ReadonlyMap<string, number>;
  /** Teams without a guarantee. */
  private readonly guests: ReadonlySet<string>;
  /** By class: its aims that name a time. */
  private readonly objectives = new Map<string, Objective[]>();

  constructor(
    private readonly settings: Settings,
    private readonly tuning: Tuning,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly replica: Replica,
    private readonly workers: WorkerRegistry,
    private readonly log: Logger,
  ) {
    this.options = { ...tuning, mostStarts: MOST_STARTS };
    this.shares = new Map(settings.teams.map((t, i) => [t.name, i % settings.initialSize]));
    this.guests = new Set(settings.teams.filter((t) => t.cpus === 0 && t.gpus === 0).map((t) => t.name));
    for (const o of settings.objectives) {
      if (o.jobClass === null || o.within === null) continue;
      this.objectives.set(o.jobClass, [...(this.objectives.get(o.jobClass) ?? []), o]);
    }
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

  learn({ placement, outcome }: Ending): void {
    const now = this.clock.now();
    const session = this.workers.sessions.get(placement.host);
    const job = this.replica.jobs.get(placement.job);
    const began = session?.runningSince.get(attemptKey(placement.taskName, placement.attempt)) ?? null;
    session?.runningSince.delete(attemptKey(placement.taskName, placement.attempt));
    if (outcome === 'refused' && session) {
      session.avoidedUntil = Math.max(session.avoidedUntil, now + 5 * SECOND);
    } else if (outcome === 'done' && job && began !== null && job.spec.estimateS > 0) {
      const ratio = (now - began) / fromSeconds(job.spec.estimateS);
      // A task whose result was kept from an earlier attempt ends at once and tells nothing of its class.
      if (ratio < KEPT_RESULT) return;
      const old = this.ratios.get(job.spec.jobClass) ?? 1;
      this.ratios.set(job.spec.jobClass, old + 0.1 * (Math.min(5, ratio) - old));
      const beganMs = Math.round((this.clock.wall() - now + began) / MS - placement.at);
      this.log.debug(
        { taskName: placement.taskName, beganMs, ranMs: Math.round((now - began) / MS) },
        'task done',
      );
    }
  }

  /** An owner's round over all its shares: its teams' tasks on its machines. */
  plan(endings: readonly Ending[], shares: ReadonlySet<number>): RoundPlan {
    const ending = new Set(endings.map((e) => e.placement));
    const machines = this.machines(ending);
    const result = this.play(shares, machines, ending);
    const unmet: Record<string, number> = {};
    for (const { job, count } of result.needs)
      unmet[job.team] = (unmet[job.team] ?? 0) + count * job.need.cpus;
    const prices: RoundPlan['prices'] = {};
    for (const [shape, p] of result.prices) prices[shape] = [digits(p.cpu), digits(p.gpu), digits(p.mem)];
    if (result.starts.length > 0 || result.needs.length > 0) {
      this.log.debug({ starts: result.starts.length, unmet, prices, machines: machines.length }, 'round');
    }
    const starts = this.group(result.starts);
    const changes = this.changes(result.starts, ending);
    return { starts, prices, unmet, stops: this.stops(result.needs, machines, result.left, changes) };
  }

  /** The leader's view of every owner's next round, from the log alone. */
  forecast(owners: ReadonlyMap<number, { member: string }>): OwnerForecast[] {
    const members = [...new Set([...owners.values()].map((o) => o.member))].sort();
    return members.map((member) => {
      const shares = [...owners].filter(([, o]) => o.member === member).map(([share]) => share);
      const mine = new Set(shares);
      const machines = this.booked(mine);
      const { needs, left, prices, kept } = this.play(mine, machines, new Set());
      const price = Math.max(0, ...[...prices.values()].map((p) => p.cpu));
      const soon = this.soon(mine);
      return { member, shares, needs, left, kept, soon, price, ...this.balance(mine, needs, soon) };
    });
  }

  /** How an owner's teams stand to their guarantees. */
  private balance(shares: ReadonlySet<number>, needs: readonly NeedRow[], soon: readonly Coming[]) {
    const { ledger, types } = this.replica;
    const waiting = new Map<string, number>();
    for (const { job, count } of needs) {
      waiting.set(job.team, (waiting.get(job.team) ?? 0) + count * job.need.cpus);
    }
    let owed = 0;
    let borrowed = 0;
    for (const { name, cpus } of this.settings.teams) {
      if (!shares.has(this.shareOf(name))) continue;
      const used = ledger.used(name).cpus;
      owed += Math.min(waiting.get(name) ?? 0, Math.max(0, cpus - used));
      borrowed += Math.max(0, used - cpus);
    }
    if (owed === 0) return { owed, borrowed };
    for (const { room } of soon) owed -= room.cpus;
    for (const { destination: destination, share, machineType: machineType } of ledger.hosts.values()) {
      if (typeof destination === 'number' && destination !== share && shares.has(destination))
        owed -= types.get(machineType)?.cpus ?? 0;
    }
    return { owed: Math.max(0, owed), borrowed };
  }

  /** Run time of a task: its owner's estimate, put right by what was seen of its class. */
  private expected(spec: JobSpec): Micros {
    return fromSeconds(spec.estimateS) * (this.ratios.get(spec.jobClass) ?? 1);
  }

  /** Expected time a running task still takes; 0 if it should be over. */
  remaining(placement: Placement): Micros {
    const job = this.replica.jobs.get(placement.job);
    if (!job) return 0;
    const session = this.workers.sessions.get(placement.host);
    const began = session?.runningSince.get(attemptKey(placement.taskName, placement.attempt)) ?? null;
    const whole = this.expected(job.spec);
    // On another owner's machine only the time of the start is known.
    if (began === null) return Math.max(0, placement.at * MS + whole - this.clock.wall());
    return Math.max(0, began + whole - this.clock.now());
  }

  /**
   * How many machines' worth of a need is worth renting: where its users leave time, one slot serves several
   * short tasks in turn.
   */
  worthRenting({ job, count }: NeedRow): NeedRow {
    const spec = this.replica.jobs.get(job.id)?.spec;
    if (!spec) return { job, count };
    const run = this.expected(spec);
    const patience = Math.max(run, this.patience(spec, run));
    return { job, count: Math.ceil((count * run) / Math.max(patience, 1)) };
  }

  /** Half of the time that a job's users leave for waiting; 0 if they tell of none. */
  private patience(spec: JobSpec, run: Micros): Micros {
    const aims = (this.objectives.get(spec.jobClass) ?? []).map((o) =>
      o.kind === 'wait' ? (o.within ?? 0) : (o.within ?? 0) - run,
    );
    if (spec.deadlineS !== null) aims.push(fromSeconds(spec.deadlineS) - run);
    return aims.length === 0 ? 0 : Math.min(...aims) / 2;
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

  /** Tasks that have to make room, once what waits has done so for long enough to be worth it. */
  private stops(
    needs: readonly NeedRow[],
    machines: readonly RoomyMachine[],
    left: ReadonlyMap<string, Amounts>,
    changes: ReadonlyMap<string, number>,
  ) {
    const { ledger, jobs } = this.replica;
    const wall = this.clock.wall();
    const guarantee = new Map(this.settings.teams.map((t) => [t.name, t.cpus]));
    const requests: PreemptionRequest[] = [];
    const freeing = this.freeing();
    // What this round's starts, and the team's more urgent needs once their room is free, take of its guarantee:
    // otherwise what was stopped for them claims that part again, and further tasks are stopped for it.
    const promised = new Map(changes);
    for (const { job, count: wanted } of needs) {
      const { team: team, need } = job;
      const used = ledger.used(team).cpus + (promised.get(team) ?? 0);
      promised.set(team, (promised.get(team) ?? 0) + wanted * need.cpus);
      const spec = jobs.get(job.id)?.spec;
      if (!spec || wall - (jobs.get(job.id)?.at ?? 0) * MS < PREEMPT_AFTER) continue;
      // What was stopped before is still saving: more must not be stopped for the same claim meanwhile.
      const count = wanted - serve(freeing, job, wanted);
      const within = slots({ ...need, gpus: 0, memGb: 0 }, amounts((guarantee.get(team) ?? 0) - used));
      const safe = Math.min(count, within);
      const rank = RANKS.indexOf(spec.rank);
      if (safe > 0) requests.push({ job, count: safe, rank, guaranteed: true });
      if (count > safe && rank > RANKS.indexOf('normal')) {
        requests.push({ job, count: count - safe, rank, guaranteed: false });
      }
    }
    if (requests.length === 0) return [];
    const victims = new Map<string, Victim & { placement: Placement; graceS: number }>();
    for (const { host } of machines) {
      for (const p of ledger.placementsOn(host)) {
        const spec = jobs.get(p.job)?.spec;
        // A start that is stopped too soon was no start to its user.
        if (!spec || spec.checkpointS <= 0 || wall - p.at * MS < SETTLED) continue;
        if (this.remaining(p) < ALMOST_DONE) continue;
        const { cpus, gpus, memGb, taskName: taskName } = p;
        const beyond = ledger.used(p.team).cpus > (guarantee.get(p.team) ?? 0);
        const row = { cpus, gpus, memGb, taskName, host, rank: RANKS.indexOf(spec.rank), beyond };
        const graceS = Math.ceil(spec.saveS) + 1;
        victims.set(taskName, { ...row, saves: true, placement: p, graceS });
      }
    }
    const rows = machines.map((m) => ({
      host: m.host,
      left: left.get(m.host) ?? m.room,
      allowed: (job: WaitingJob) => suits(job, m) && fits(job.need, m.total),
    }));
    const chosen = planStops({ requests, machines: rows, victims: [...victims.values()], most: MOST_STOPS });
    return chosen.flatMap((v) => victims.get(v.taskName) ?? []);
  }

  /** Machines of this node on which tasks are being stopped, with the room that this will leave. */
  private freeing(): Coming[] {
    const { ledger } = this.replica;
    const out: Coming[] = [];
    for (const host of this.workers.sessions.keys()) {
      const entry = ledger.hosts.get(host);
      const type = entry && this.replica.types.get(entry.machineType);
      if (!type || !this.isMakingRoom(host)) continue;
      const room = amountsOf(type);
      for (const p of ledger.placementsOn(host)) if (!this.workers.isStopping(p)) take(room, p, 1);
      out.push({ machineType: entry.machineType, zone: entry.zone, spot: entry.spot, room });
    }
    return out;
  }

  private isMakingRoom(host: string): boolean {
    if (!this.workers.stopsAny) return false;
    for (const p of this.replica.ledger.placementsOn(host)) if (this.workers.isStopping(p)) return true;
    return false;
  }

  private play(shares: ReadonlySet<number>, machines: RoomyMachine[], ending: ReadonlySet<Placement>) {
    const { ledger } = this.replica;
    const teams = this.settings.teams.filter((t) => shares.has(this.shareOf(t.name)));
    const jobs = this.waiting(new Set(teams.map((t) => t.name)), ending);
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
      random: this.random,
    });
    const needs = jobs
      .filter((j) => (result.unmet.get(j.id) ?? 0) > 0)
      .sort((a, b) => b.priority - a.priority || a.order - b.order)
      .map((job) => ({ job, count: result.unmet.get(job.id) ?? 0 }));
    return { ...result, needs };
  }

  /** The machines that this node owns and hears, with room as reported, less starts sent. */
  private machines(ending: ReadonlySet<Placement>): RoomyMachine[] {
    const now = this.clock.now();
    const machines: RoomyMachine[] = [];
    for (const [host, session] of this.workers.sessions) {
      if (session.state !== 'reporting' || session.avoidedUntil > now) continue;
      if (session.unreachableSince !== null) continue;
      // What a stop frees is for the task it was stopped for: the most urgent one, once all of it is free.
      if (this.isMakingRoom(host)) continue;
      const machine = this.roomy(host, ending);
      // Something on it that the log doesn't have is being stopped; until it is gone the room is unknown.
      if (machine && !this.hasStranger(host, session)) machines.push(machine);
    }
    return machines;
  }

  /** The machines of some shares with room as the log has it. */
  private booked(shares: ReadonlySet<number>): RoomyMachine[] {
    const machines: RoomyMachine[] = [];
    for (const entry of this.replica.ledger.hosts.values()) {
      if (entry.share === null || !shares.has(entry.share) || entry.status !== 'up') continue;
      const machine = this.roomy(entry.host, new Set());
      if (machine) machines.push(machine);
    }
    return machines;
  }

  private roomy(host: string, ending: ReadonlySet<Placement>): RoomyMachine | null {
    const { ledger, types } = this.replica;
    const entry = ledger.hosts.get(host);
    const type = entry && types.get(entry.machineType);
    if (!type || entry.destination !== null || this.isAvoided(entry)) return null;
    const room = amountsOf(type);
    for (const p of ledger.placementsOn(host)) if (!ending.has(p)) take(room, p, 1);
    const { machineType: machineType, zone: zone, spot: spot } = entry;
    const upkeep = (spot ? type.spotPrice : type.price) / Math.max(type.cpus, 1);
    const busyFor = (): Micros => this.busyFor(host);
    return {
      ...{ host, machineType, zone, spot, total: amountsOf(type), room, busyFor, upkeep },
      warm: entry.images,
    };
  }

  /** Time until all that is on the machine should have ended. */
  busyFor(host: string): Micros {
    let longest = 0;
    for (const p of this.replica.ledger.placementsOn(host)) longest = Math.max(longest, this.remaining(p));
    return longest;
  }

  /** It failed tasks: each failure in a row doubles the time for which it gets none. */
  private isAvoided(entry: MachineEntry): boolean {
    if (entry.errors === 0) return false;
    return this.clock.wall() < entry.failedAt * MS + AVOID_FOR * 2 ** Math.min(4, entry.errors - 1);
  }

  /**
   * How many tasks of a job are to be placed. One that fails on machine after machine tries with a single task, ever
   * more rarely: it takes next to no room, and a first success sets it free.
   */
  private wanted(spec: JobSpec, entry: JobEntry | undefined): number {
    const count = spec.taskCount - (entry?.done.count ?? 0) - (entry?.placed.size ?? 0);
    if (!entry || entry.errors < JOB_AT_FAULT) return count;
    const rest = Math.min(LONGEST_REST, 2 ** entry.errors * SECOND);
    const resting = this.clock.wall() < entry.failedAt * MS + rest;
    return resting || entry.placed.size > 0 ? 0 : Math.min(count, 1);
  }

  private hasStranger(host: string, session: Session): boolean {
    const { ledger } = this.replica;
    return session.report.tasks.some((p) => p.state !== 'exited' && placementOf(ledger, host, p) === null);
  }

  private waiting(teams: ReadonlySet<string>, ending: ReadonlySet<Placement>): WaitingJob[] {
    const { ledger, jobs } = this.replica;
    const wall = this.clock.wall();
    const out: WaitingJob[] = [];
    for (const [id, job] of jobs) {
      const { spec } = job;
      if (!teams.has(spec.team)) continue;
      const entry = ledger.jobEntries.get(id);
      const count = this.wanted(spec, entry);
      if (count <= 0) continue;
      const placedByZone = new Map<string, number>();
      for (const p of entry?.placed.values() ?? []) {
        if (ending.has(p)) continue;
        const zone = this.hallOf(p.host);
        placedByZone.set(zone, (placedByZone.get(zone) ?? 0) + 1);
      }
      const waited = Math.max(0, wall - job.at * MS) / this.tuning.waitDoubles;
      // Spare room is what guests are for: what has begun of their work is not raised above that of others.
      const begun = entry !== undefined && (entry.placed.size > 0 || entry.done.count > 0);
      const raised = this.guests.has(spec.team) && begun ? 1 : raise(waited);
      out.push({
        id,
        team: spec.team,
        need: { cpus: spec.cpus, gpus: spec.gpus, memGb: spec.memGb },
        priority: RANK_PRIORITY[spec.rank] * raised,
        order: job.revision,
        waiting: count,
        taskCount: spec.taskCount,
        machineTypes: spec.machineTypes,
        zone: spec.zone,
        singleZone: spec.singleZone,
        spreadZones: spec.spreadZones,
        spot: spec.allowsSpot,
        image: spec.image,
        placedByZone,
      });
    }
    return out;
  }

  private hallOf(host: string): string {
    return this.replica.ledger.hosts.get(host)?.zone ?? this.workers.sessions.get(host)?.report.zone ?? '?';
  }

  /** Gives each start its task and sorts them by the share of their machine. */
  private group(starts: readonly { job: string; host: string }[]): Map<number, StartGroup[]> {
    const byShare = new Map<number, StartGroup[]>();
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
      let group = groups.find((g) => g.Job === job);
      if (!group) {
        const { team, image, cpus, gpus, memGb } = spec;
        groups.push((group = { Job: job, team, image, Need: [cpus, gpus, memGb], On: [] }));
      }
      group.On.push([index.value, host, session.report.session]);
    }
    return byShare;
  }

  private *openIndices(job: string, taskCount: number): Generator<number> {
    const entry = this.replica.ledger.jobEntries.get(job);
    for (let i = entry?.done.firstOpen ?? 0; i < taskCount; i++) {
      if (!entry?.done.has(i) && !entry?.placed.has(i)) yield i;
    }
  }

  private soon(shares: ReadonlySet<number>): Coming[] {
    const { ledger } = this.replica;
    const out: Coming[] = [];
    for (const {
      host,
      machineType: machineType,
      zone: zone,
      spot: spot,
      share,
      status,
    } of ledger.hosts.values()) {
      if (share === null || !shares.has(share) || status !== 'up') continue;
      const room: Amounts = { cpus: 0, gpus: 0, memGb: 0 };
      for (const p of ledger.placementsOn(host)) if (this.remaining(p) < SOON) take(room, p, -1);
      if (room.memGb > 0 || room.cpus > 0) out.push({ machineType, zone, spot, room });
    }
    return out;
  }
}

/**
 * What waiting does to a priority, by the time that doubles it: in proportion at first. On a fleet that stays full
 * best-effort work would then begin only once all normal work has, minutes after its users gave it up, so what has
 * waited for long rises by the square.
 */
export function raise(waited: number): number {
  return 1 + waited + Math.max(0, waited - LONG_WAIT) ** 2;
}

function amounts(cpus: number): Amounts {
  return { cpus, gpus: 0, memGb: 0 };
}

function digits(price: number): number {
  return Math.round(price * 1e4) / 1e4;
}
