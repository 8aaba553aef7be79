/** What the leader foresees of the owners' next rounds, from the log alone. */
import type { Replica } from '#cluster';
import type { PendingCapacity, UnmetDemand } from '#fleet';
import { type Resources, subtractResources } from '#pricing';
import type { Objective, Settings } from '#settings';
import { fromSeconds, type JobSpec, type Micros, SECOND } from '#wire';
import type { RoundInputBuilder } from './round-input-builder.js';
import type { RunTimeEstimator } from './run-time-estimator.js';
import type { Scheduler } from './scheduler.js';

/** A machine whose room comes free within this time counts as on its way. */
const SOON: Micros = 10 * SECOND;

/** What the leader foresees of one owner's next round. */
export interface OwnerForecast {
  member: string;
  shards: number[];
  /** What will find no room, most urgent first. */
  unmetDemand: UnmetDemand[];
  /** Room that the round will leave on each of its machines. */
  free: Map<string, Resources>;
  /** Machines that it keeps for tasks which need more room than they have yet. */
  reservedHosts: ReadonlySet<string>;
  /** Room that its running tasks are about to leave. */
  pendingCapacity: PendingCapacity[];
  price: number;
  /** CPUs that its teams lack of their guarantees, less those that are about to come free or on their way. */
  guaranteeDeficit: number;
  /** CPUs that its teams use beyond their guarantees. */
  usageAboveGuarantee: number;
}

export class Forecaster {
  /** By class: its aims that name a time. */
  private readonly objectives = new Map<string, Objective[]>();

  constructor(
    private readonly settings: Settings,
    private readonly replica: Replica,
    private readonly input: RoundInputBuilder,
    private readonly runTimes: RunTimeEstimator,
    private readonly scheduler: Scheduler,
  ) {
    for (const o of settings.objectives) {
      if (o.jobClass === null || o.within === null) continue;
      this.objectives.set(o.jobClass, [...(this.objectives.get(o.jobClass) ?? []), o]);
    }
  }

  /** Every owner's next round. */
  forecast(owners: ReadonlyMap<number, { member: string }>): OwnerForecast[] {
    const members = [...new Set([...owners.values()].map((o) => o.member))].sort();
    return members.map((member) => {
      const shards = [...owners].filter(([, o]) => o.member === member).map(([shard]) => shard);
      const mine = new Set(shards);
      const machines = this.input.recordedMachines(mine);
      const {
        needs: unmetDemand,
        free,
        prices,
        reservedHosts,
      } = this.scheduler.simulateRound(mine, machines, new Set());
      const price = Math.max(0, ...[...prices.values()].map((p) => p.cpu));
      const pendingCapacity = this.capacitySoonFree(mine);
      return {
        member,
        shards,
        unmetDemand,
        free,
        reservedHosts,
        pendingCapacity,
        price,
        ...this.balance(mine, unmetDemand, pendingCapacity),
      };
    });
  }

  /** Within what time the tasks of a class should have started; Infinity if its users say nothing of it. */
  startObjective(jobClass: string): Micros {
    return this.input.startObjective(jobClass);
  }

  /**
   * How many machines' worth of a need is worth renting: where its users leave time, one slot serves several
   * short tasks in turn.
   */
  worthScalingOut(need: UnmetDemand): UnmetDemand {
    const { job, count } = need;
    const spec = this.replica.jobs.get(job.id)?.spec;
    // A gang's tasks run at the same time: none of them takes its turn after another.
    if (!spec || job.isGang) return need;
    const run = this.runTimes.expected(spec);
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

  /** How an owner's teams stand to their guarantees. */
  private balance(
    shards: ReadonlySet<number>,
    needs: readonly UnmetDemand[],
    soon: readonly PendingCapacity[],
  ) {
    const { ledger, machineTypes: types } = this.replica;
    const waiting = new Map<string, number>();
    for (const { job, count } of needs) {
      waiting.set(job.team, (waiting.get(job.team) ?? 0) + count * job.need.cpus);
    }
    let guaranteeDeficit = 0;
    let usageAboveGuarantee = 0;
    for (const { name, cpus } of this.settings.teams) {
      if (!shards.has(this.scheduler.shardOfTeam(name))) continue;
      const used = ledger.teamUsage(name).cpus;
      guaranteeDeficit += Math.min(waiting.get(name) ?? 0, Math.max(0, cpus - used));
      usageAboveGuarantee += Math.max(0, used - cpus);
    }
    if (guaranteeDeficit === 0) return { guaranteeDeficit, usageAboveGuarantee };
    for (const { free: room } of soon) guaranteeDeficit -= room.cpus;
    for (const { destination, shard, machineType } of ledger.machines.values()) {
      if (typeof destination === 'number' && destination !== shard && shards.has(destination))
        guaranteeDeficit -= types.get(machineType)?.cpus ?? 0;
    }
    return { guaranteeDeficit: Math.max(0, guaranteeDeficit), usageAboveGuarantee };
  }

  /** Room that running tasks are about to leave on the machines of some shares. */
  private capacitySoonFree(shards: ReadonlySet<number>): PendingCapacity[] {
    const { ledger } = this.replica;
    const out: PendingCapacity[] = [];
    for (const { host, machineType, zone, spot, shard, status } of ledger.machines.values()) {
      if (shard === null || !shards.has(shard) || status !== 'up') continue;
      const room: Resources = { cpus: 0, gpus: 0, memGb: 0 };
      for (const p of ledger.placementsOn(host))
        if (this.runTimes.remaining(p) < SOON) subtractResources(room, p, -1);
      if (room.memGb > 0 || room.cpus > 0) out.push({ machineType, zone, spot, free: room });
    }
    return out;
  }
}
