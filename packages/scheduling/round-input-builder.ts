/** What a pricing round looks at: the machines with room, and the jobs that wait. */
import {
  JOB_FAILURE_THRESHOLD,
  type JobProgress,
  type MachineEntry,
  type Placement,
  type Replica,
} from '#cluster';
import { resourcesOf } from '#fleet';
import { type CandidateMachine, subtractResources, type PendingJob } from '#pricing';
import type { Settings, Tuning } from '#settings';
import { type Clock, fromSeconds, type JobSpec, type Micros, MS, type Rank, SECOND } from '#wire';
import { findPlacement, type TrackedWorker, type WorkerRegistry } from '#workers';
import type { RunTimeEstimator } from './run-time-estimator.js';

/**
 * Utility is priority less what the demand costs, so a task of twice the size needs twice the priority to rank
 * alike: from `urgent` on the steps are wide enough that one which needs a whole machine still comes first.
 */
export const RANK_PRIORITY: Record<Rank, number> = { best_effort: 1, normal: 2, urgent: 8, prod: 24 };
/** A machine that failed a task gets none for so long, twice as long with each further failure in a row. */
const FAILURE_BACKOFF: Micros = 20 * SECOND;
const MOST_DOUBLINGS = 4;
/** A job at fault is tried again at least so often: what failed it may be over, and nothing waits without reason. */
const MAX_JOB_BACKOFF: Micros = 45 * SECOND;
/** A machine that takes longer than so many times its nominal boot time is not counted on. */
const BOOT_PATIENCE = 2.2;
/** Waiting for so many times what doubles a priority is long. */
const LONG_WAIT = 2;

export class RoundInputBuilder {
  /** Teams without a guarantee. */
  private readonly teamsWithoutGuarantee: ReadonlySet<string>;
  /** By class: within what time its tasks should have started. */
  private readonly startObjectives = new Map<string, Micros>();

  constructor(
    settings: Settings,
    private readonly tuning: Tuning,
    private readonly clock: Clock,
    private readonly replica: Replica,
    private readonly workers: WorkerRegistry,
    private readonly runTimes: RunTimeEstimator,
  ) {
    for (const { kind, jobClass, within } of settings.objectives) {
      if (kind !== 'wait' || jobClass === null || within === null) continue;
      this.startObjectives.set(jobClass, Math.min(within, this.startObjective(jobClass)));
    }
    this.teamsWithoutGuarantee = new Set(
      settings.teams.filter((t) => t.cpus === 0 && t.gpus === 0).map((t) => t.name),
    );
  }

  /** The machines that this node owns and hears, with room as reported, less starts sent. */
  reachableMachines(completion: ReadonlySet<Placement>): CandidateMachine[] {
    const now = this.clock.now();
    const machines: CandidateMachine[] = [];
    for (const [host, session] of this.workers.trackedWorkers) {
      if (session.liveness !== 'reporting' || session.avoidedUntil > now) continue;
      if (session.unreachableSince !== null) continue;
      // What a stop frees is for the task it was stopped for: the most urgent one, once all of it is free.
      if (this.workers.isPreempting(host, this.replica.ledger)) continue;
      const machine = this.candidateMachine(host, completion);
      // Something on it that the log doesn't have is being stopped; until it is gone the room is unknown.
      if (machine && !this.hasUnrecordedTask(host, session)) machines.push(machine);
    }
    return machines;
  }

  /** The machines of some shares with room as the log has it. */
  recordedMachines(shards: ReadonlySet<number>): CandidateMachine[] {
    const machines: CandidateMachine[] = [];
    for (const entry of this.replica.ledger.machines.values()) {
      if (entry.shard === null || !shards.has(entry.shard) || entry.status !== 'up') continue;
      const machine = this.candidateMachine(entry.host, new Set());
      if (machine) machines.push(machine);
    }
    return machines;
  }

  /** The jobs of these teams that have tasks to be placed. */
  pendingJobs(teams: ReadonlySet<string>, completion: ReadonlySet<Placement>): PendingJob[] {
    const { ledger, jobs } = this.replica;
    const wall = this.clock.wall();
    const bootPatience = this.bootPatience();
    const out: PendingJob[] = [];
    for (const [id, job] of jobs) {
      const { spec } = job;
      if (!teams.has(spec.team)) continue;
      const entry = ledger.jobs.get(id);
      const count = this.pendingTaskCount(spec, entry);
      if (count <= 0) continue;
      const placedByZone = new Map<string, number>();
      for (const p of entry?.placements.values() ?? []) {
        if (completion.has(p)) continue;
        const zone = this.zoneOf(p.host);
        placedByZone.set(zone, (placedByZone.get(zone) ?? 0) + 1);
      }
      const age = Math.max(0, wall - job.acceptedAtMs * MS);
      const waited = age / this.priorityDoublingTime(spec);
      // Spare room is what guests are for: what has begun of their work is not raised above that of others.
      const begun = entry !== undefined && (entry.placements.size > 0 || entry.done.count > 0);
      const raised = this.teamsWithoutGuarantee.has(spec.team) && begun ? 1 : waitingBoost(waited);
      out.push({
        id,
        team: spec.team,
        need: { cpus: spec.cpus, gpus: spec.gpus, memGb: spec.memGb },
        priority: RANK_PRIORITY[spec.rank] * raised,
        acceptanceOrder: job.acceptedRevision,
        pendingTasks: count,
        taskCount: spec.taskCount,
        isGang: spec.shape === 'gang',
        isOverdue: age > bootPatience,
        machineTypes: spec.machineTypes,
        zone: spec.zone,
        singleZone: spec.singleZone,
        spreadZones: spec.spreadZones,
        allowsSpot: spec.allowsSpot,
        image: spec.image,
        placedByZone,
      });
    }
    return out;
  }

  /** How long a machine may take to come up, whichever type it is. */
  private bootPatience(): Micros {
    const boots = [...this.replica.machineTypes.values()].map((type) => fromSeconds(type.bootS));
    return Math.max(0, ...boots) * BOOT_PATIENCE;
  }

  /** Within what time the tasks of a class should have started; Infinity if its users say nothing of it. */
  startObjective(jobClass: string): Micros {
    return this.startObjectives.get(jobClass) ?? Infinity;
  }

  /** The waiting time that doubles a job's priority: no longer than its users want to wait for its starts. */
  private priorityDoublingTime(spec: JobSpec): Micros {
    return Math.min(this.tuning.priorityDoublingTime, this.startObjective(spec.jobClass));
  }

  private candidateMachine(host: string, completion: ReadonlySet<Placement>): CandidateMachine | null {
    const { ledger, machineTypes: types } = this.replica;
    const entry = ledger.machines.get(host);
    const type = entry && types.get(entry.machineType);
    if (!type || entry.destination !== null || this.isAvoided(entry)) return null;
    const room = resourcesOf(type);
    for (const p of ledger.placementsOn(host)) if (!completion.has(p)) subtractResources(room, p, 1);
    const { machineType, zone, spot } = entry;
    const upkeep = (spot ? type.spotPrice : type.price) / Math.max(type.cpus, 1);
    const busyFor = (): Micros => this.runTimes.busyFor(host);
    return {
      ...{
        host,
        machineType,
        zone,
        spot,
        total: resourcesOf(type),
        free: room,
        busyFor,
        hourlyCostPerCpu: upkeep,
      },
      cachedImages: entry.cachedImages,
      nextHeartbeatIn: this.workers.nextHeartbeatIn(host, this.clock.now()),
    };
  }

  /** It failed tasks: each failure in a row doubles the time for which it gets none. */
  private isAvoided(entry: MachineEntry): boolean {
    if (entry.consecutiveFailures === 0) return false;
    return (
      this.clock.wall() <
      entry.lastFailureAtMs * MS +
        FAILURE_BACKOFF * 2 ** Math.min(MOST_DOUBLINGS, entry.consecutiveFailures - 1)
    );
  }

  /**
   * How many tasks of a job are to be placed. One that fails on machine after machine tries with a single task, ever
   * more rarely: it takes next to no room, and a first success sets it free.
   */
  private pendingTaskCount(spec: JobSpec, entry: JobProgress | undefined): number {
    const placed = entry?.placements.size ?? 0;
    // A new attempt of a gang may begin only once every task of the old one is proven off its machine.
    if (spec.shape === 'gang' && placed > 0) return 0;
    const count = spec.taskCount - (entry?.done.count ?? 0) - placed;
    if (!entry || entry.consecutiveFailures < JOB_FAILURE_THRESHOLD) return count;
    const rest = Math.min(MAX_JOB_BACKOFF, 2 ** entry.consecutiveFailures * SECOND);
    const resting = this.clock.wall() < entry.lastFailureAtMs * MS + rest;
    if (resting || placed > 0) return 0;
    return spec.shape === 'gang' ? count : Math.min(count, 1);
  }

  private hasUnrecordedTask(host: string, session: TrackedWorker): boolean {
    const { ledger } = this.replica;
    return session.heartbeat.tasks.some(
      (p) => p.state !== 'exited' && findPlacement(ledger, host, p) === null,
    );
  }

  private zoneOf(host: string): string {
    return (
      this.replica.ledger.machines.get(host)?.zone ??
      this.workers.trackedWorkers.get(host)?.heartbeat.zone ??
      '?'
    );
  }
}

/**
 * What waiting does to a priority, by the time that doubles it: in proportion at first. On a fleet that stays full
 * best-effort work would then begin only once all normal work has, minutes after its users gave it up, so what has
 * waited for long rises by the square.
 */
export function waitingBoost(waited: number): number {
  return 1 + waited + Math.max(0, waited - LONG_WAIT) ** 2;
}
