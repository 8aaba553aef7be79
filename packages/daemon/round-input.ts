/** What a pricing round looks at: the machines with room, and the jobs that wait. */
import { JOB_AT_FAULT, type JobEntry, type MachineEntry, type Placement, type Replica } from '#cluster';
import { amountsOf } from '#fleet';
import { type RoomyMachine, take, type WaitingJob } from '#pricing';
import type { Settings, Tuning } from '#settings';
import { type Clock, fromSeconds, type JobSpec, type Micros, MS, type Rank, SECOND } from '#wire';
import { placementOf, type Session, type WorkerRegistry } from '#workers';
import type { RunTimes } from './run-times.js';

/**
 * Utility is priority less what the demand costs, so a task of twice the size needs twice the priority to rank
 * alike: from `urgent` on the steps are wide enough that one which needs a whole machine still comes first.
 */
export const RANK_PRIORITY: Record<Rank, number> = { best_effort: 1, normal: 2, urgent: 8, prod: 24 };
/** A machine that failed a task gets none for so long, twice as long with each further failure in a row. */
const AVOID_FOR: Micros = 20 * SECOND;
const MOST_DOUBLINGS = 4;
/** A job at fault is tried again at least so often: what failed it may be over, and nothing waits without reason. */
const LONGEST_REST: Micros = 45 * SECOND;
/** A machine that takes longer than so many times its nominal boot time is not counted on. */
const BOOT_PATIENCE = 2.2;
/** Waiting for so many times what doubles a priority is long. */
const LONG_WAIT = 2;

export class RoundInput {
  /** Teams without a guarantee. */
  private readonly guests: ReadonlySet<string>;
  /** By class: within what time its tasks should have started. */
  private readonly startAims = new Map<string, Micros>();

  constructor(
    settings: Settings,
    private readonly tuning: Tuning,
    private readonly clock: Clock,
    private readonly replica: Replica,
    private readonly workers: WorkerRegistry,
    private readonly runTimes: RunTimes,
  ) {
    for (const { kind, jobClass, within } of settings.objectives) {
      if (kind !== 'wait' || jobClass === null || within === null) continue;
      this.startAims.set(jobClass, Math.min(within, this.startAim(jobClass)));
    }
    this.guests = new Set(settings.teams.filter((t) => t.cpus === 0 && t.gpus === 0).map((t) => t.name));
  }

  /** The machines that this node owns and hears, with room as reported, less starts sent. */
  machines(ending: ReadonlySet<Placement>): RoomyMachine[] {
    const now = this.clock.now();
    const machines: RoomyMachine[] = [];
    for (const [host, session] of this.workers.sessions) {
      if (session.state !== 'reporting' || session.avoidedUntil > now) continue;
      if (session.unreachableSince !== null) continue;
      // What a stop frees is for the task it was stopped for: the most urgent one, once all of it is free.
      if (this.workers.isMakingRoom(host, this.replica.ledger)) continue;
      const machine = this.roomy(host, ending);
      // Something on it that the log doesn't have is being stopped; until it is gone the room is unknown.
      if (machine && !this.hasStranger(host, session)) machines.push(machine);
    }
    return machines;
  }

  /** The machines of some shares with room as the log has it. */
  booked(shares: ReadonlySet<number>): RoomyMachine[] {
    const machines: RoomyMachine[] = [];
    for (const entry of this.replica.ledger.hosts.values()) {
      if (entry.share === null || !shares.has(entry.share) || entry.status !== 'up') continue;
      const machine = this.roomy(entry.host, new Set());
      if (machine) machines.push(machine);
    }
    return machines;
  }

  /** The jobs of these teams that have tasks to be placed. */
  waiting(teams: ReadonlySet<string>, ending: ReadonlySet<Placement>): WaitingJob[] {
    const { ledger, jobs } = this.replica;
    const wall = this.clock.wall();
    const bootPatience = this.bootPatience();
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
        const zone = this.zoneOf(p.host);
        placedByZone.set(zone, (placedByZone.get(zone) ?? 0) + 1);
      }
      const age = Math.max(0, wall - job.at * MS);
      const waited = age / this.waitDoubles(spec);
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
        gang: spec.shape === 'gang',
        isOverdue: age > bootPatience,
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

  /** How long a machine may take to come up, whichever type it is. */
  private bootPatience(): Micros {
    const boots = [...this.replica.types.values()].map((type) => fromSeconds(type.bootS));
    return Math.max(0, ...boots) * BOOT_PATIENCE;
  }

  /** Within what time the tasks of a class should have started; Infinity if its users say nothing of it. */
  startAim(jobClass: string): Micros {
    return this.startAims.get(jobClass) ?? Infinity;
  }

  /** The waiting time that doubles a job's priority: no longer than its users want to wait for its starts. */
  private waitDoubles(spec: JobSpec): Micros {
    return Math.min(this.tuning.waitDoubles, this.startAim(spec.jobClass));
  }

  private roomy(host: string, ending: ReadonlySet<Placement>): RoomyMachine | null {
    const { ledger, types } = this.replica;
    const entry = ledger.hosts.get(host);
    const type = entry && types.get(entry.machineType);
    if (!type || entry.destination !== null || this.isAvoided(entry)) return null;
    const room = amountsOf(type);
    for (const p of ledger.placementsOn(host)) if (!ending.has(p)) take(room, p, 1);
    const { machineType, zone, spot } = entry;
    const upkeep = (spot ? type.spotPrice : type.price) / Math.max(type.cpus, 1);
    const busyFor = (): Micros => this.runTimes.busyFor(host);
    return {
      ...{ host, machineType, zone, spot, total: amountsOf(type), room, busyFor, upkeep },
      warm: entry.images,
      toldIn: this.workers.nextReportIn(host, this.clock.now()),
    };
  }

  /** It failed tasks: each failure in a row doubles the time for which it gets none. */
  private isAvoided(entry: MachineEntry): boolean {
    if (entry.errors === 0) return false;
    return (
      this.clock.wall() < entry.failedAt * MS + AVOID_FOR * 2 ** Math.min(MOST_DOUBLINGS, entry.errors - 1)
    );
  }

  /**
   * How many tasks of a job are to be placed. One that fails on machine after machine tries with a single task, ever
   * more rarely: it takes next to no room, and a first success sets it free.
   */
  private wanted(spec: JobSpec, entry: JobEntry | undefined): number {
    const placed = entry?.placed.size ?? 0;
    // A new attempt of a gang may begin only once every task of the old one is proven off its machine.
    if (spec.shape === 'gang' && placed > 0) return 0;
    const count = spec.taskCount - (entry?.done.count ?? 0) - placed;
    if (!entry || entry.errors < JOB_AT_FAULT) return count;
    const rest = Math.min(LONGEST_REST, 2 ** entry.errors * SECOND);
    const resting = this.clock.wall() < entry.failedAt * MS + rest;
    if (resting || placed > 0) return 0;
    return spec.shape === 'gang' ? count : Math.min(count, 1);
  }

  private hasStranger(host: string, session: Session): boolean {
    const { ledger } = this.replica;
    return session.report.tasks.some((p) => p.state !== 'exited' && placementOf(ledger, host, p) === null);
  }

  private zoneOf(host: string): string {
    return this.replica.ledger.hosts.get(host)?.zone ?? this.workers.sessions.get(host)?.report.zone ?? '?';
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
