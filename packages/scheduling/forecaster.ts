/** The leader's forecast of every owner's next scheduling round, from the replicated log alone. */
import type { Replica } from '#cluster';
import type { PendingCapacity, UnmetDemand } from '#fleet';
import { noResources, type Resources, subtractResources } from '#pricing';
import type { Objective, Settings } from '#settings';
import { fromSeconds, type JobSpec, type Micros, SECOND } from '#wire';
import type { RoundInputBuilder } from './round-input-builder.js';
import type { RunTimeEstimator } from './run-time-estimator.js';
import type { Scheduler } from './scheduler.js';

/** The capacity of tasks that are expected to end within this time counts as pending capacity. */
const PENDING_CAPACITY_HORIZON: Micros = 10 * SECOND;

/** How an owner's teams stand to their guarantees. */
export interface GuaranteeBalance {
  /** CPUs that its teams lack of their guarantees, less those that are about to come free or are being transferred. */
  readonly guaranteeDeficit: number;
  /** CPUs that its teams use beyond their guarantees. */
  readonly usageAboveGuarantee: number;
}

/** The forecast of one owner's next round. */
export interface OwnerForecast extends GuaranteeBalance {
  readonly member: string;
  readonly shards: readonly number[];
  /** Tasks that will find no machine, most urgent first. */
  readonly unmetDemand: readonly UnmetDemand[];
  /** By host: free capacity that the round will leave on each of its machines. */
  readonly free: ReadonlyMap<string, Resources>;
  /** Hosts of machines that are reserved for tasks which need more than is free there yet. */
  readonly reservedHosts: ReadonlySet<string>;
  /** Capacity that its running tasks are about to free. */
  readonly pendingCapacity: readonly PendingCapacity[];
  /** Highest price of a CPU on any shape. */
  readonly price: number;
}

/** What a forecaster works with. */
export interface ForecasterOptions {
  readonly settings: Settings;
  readonly replica: Replica;
  readonly input: RoundInputBuilder;
  readonly runTimeEstimator: RunTimeEstimator;
  readonly scheduler: Scheduler;
}

/** Simulates the next round of every owner. Nothing is recorded or sent. */
export class Forecaster {
  /** By job class: its objectives that name a time. */
  private readonly objectives = new Map<string, Objective[]>();

  constructor(private readonly options: ForecasterOptions) {
    for (const objective of options.settings.objectives) {
      const { jobClass, within } = objective;
      if (jobClass === null || within === null) continue;
      this.objectives.set(jobClass, [...(this.objectives.get(jobClass) ?? []), objective]);
    }
  }

  /** One forecast for each member that owns shards, in the order of their names. */
  forecast(owners: ReadonlyMap<number, { readonly member: string }>): OwnerForecast[] {
    const members = [...new Set([...owners.values()].map((owner) => owner.member))].sort();
    return members.map((member) => {
      const owned = [...owners].filter(([, owner]) => owner.member === member);
      const shards = owned.map(([shard]) => shard);
      return this.forecastOwner(member, shards);
    });
  }

  /** Time within which the tasks of a class should have started; Infinity if there is no such objective. */
  startObjective(jobClass: string): Micros {
    return this.options.input.startObjective(jobClass);
  }

  /**
   * The part of a demand that is worth scaling out for: where the job's users leave time, one slot serves several
   * short tasks in turn.
   */
  worthScalingOut(demand: UnmetDemand): UnmetDemand {
    const { job, count } = demand;
    const spec = this.options.replica.jobs.get(job.id)?.spec;
    // The tasks of a gang run at the same time, so none of them can use the slot of another.
    if (!spec || job.isGang) return demand;
    const runTime = this.options.runTimeEstimator.expected(spec);
    const timeLeft = Math.max(runTime, this.tolerableWait(spec, runTime));
    return { job, count: Math.ceil((count * runTime) / Math.max(timeLeft, 1)) };
  }

  private forecastOwner(member: string, shards: readonly number[]): OwnerForecast {
    const { input, scheduler } = this.options;
    const shardSet = new Set(shards);
    const machines = input.recordedMachines(shardSet);
    const round = scheduler.simulateRound(shardSet, machines, new Set());
    const { unmetDemand, free, reservedHosts } = round;
    const price = Math.max(0, ...[...round.prices.values()].map(({ cpu }) => cpu));
    const pendingCapacity = this.pendingCapacity(shardSet);
    const balance = this.guaranteeBalance(shardSet, unmetDemand, pendingCapacity);
    const { guaranteeDeficit, usageAboveGuarantee } = balance;
    return {
      member,
      shards,
      unmetDemand,
      free,
      reservedHosts,
      pendingCapacity,
      price,
      guaranteeDeficit,
      usageAboveGuarantee,
    };
  }

  /** Half of the waiting time that the job's objectives and its deadline allow; 0 if it has neither. */
  private tolerableWait(spec: JobSpec, runTime: Micros): Micros {
    const waits = (this.objectives.get(spec.jobClass) ?? []).map(({ kind, within }) =>
      kind === 'wait' ? (within ?? 0) : (within ?? 0) - runTime,
    );
    if (spec.deadlineS !== null) waits.push(fromSeconds(spec.deadlineS) - runTime);
    return waits.length === 0 ? 0 : Math.min(...waits) / 2;
  }

  private guaranteeBalance(
    shards: ReadonlySet<number>,
    unmetDemand: readonly UnmetDemand[],
    pendingCapacity: readonly PendingCapacity[],
  ): GuaranteeBalance {
    const { settings, replica, scheduler } = this.options;
    const unmetCpus = unmetCpusByTeam(unmetDemand);
    let guaranteeDeficit = 0;
    let usageAboveGuarantee = 0;
    for (const { name, cpus: guaranteed } of settings.teams) {
      if (!shards.has(scheduler.shardOfTeam(name))) continue;
      const used = replica.ledger.teamUsage(name).cpus;
      guaranteeDeficit += Math.min(unmetCpus.get(name) ?? 0, Math.max(0, guaranteed - used));
      usageAboveGuarantee += Math.max(0, used - guaranteed);
    }
    if (guaranteeDeficit === 0) return { guaranteeDeficit, usageAboveGuarantee };
    for (const { free } of pendingCapacity) guaranteeDeficit -= free.cpus;
    for (const cpus of this.incomingCpus(shards)) guaranteeDeficit -= cpus;
    return { guaranteeDeficit: Math.max(0, guaranteeDeficit), usageAboveGuarantee };
  }

  /** CPUs of each machine that is being transferred to these shards. */
  private *incomingCpus(shards: ReadonlySet<number>): Generator<number> {
    const { ledger, machineTypes } = this.options.replica;
    for (const { destination, shard, machineType } of ledger.machines.values()) {
      if (typeof destination === 'number' && destination !== shard && shards.has(destination))
        yield machineTypes.get(machineType)?.cpus ?? 0;
    }
  }

  /** Capacity that running tasks are about to free on the machines of these shards. */
  private pendingCapacity(shards: ReadonlySet<number>): PendingCapacity[] {
    const { replica, runTimeEstimator } = this.options;
    const { ledger } = replica;
    const capacities: PendingCapacity[] = [];
    for (const { host, machineType, zone, spot, shard, status } of ledger.machines.values()) {
      if (shard === null || !shards.has(shard) || status !== 'up') continue;
      const free = noResources();
      for (const placement of ledger.placementsOn(host)) {
        if (runTimeEstimator.remaining(placement) < PENDING_CAPACITY_HORIZON)
          subtractResources(free, placement, -1);
      }
      if (free.memGb > 0 || free.cpus > 0) capacities.push({ machineType, zone, spot, free });
    }
    return capacities;
  }
}

function unmetCpusByTeam(unmetDemand: readonly UnmetDemand[]): ReadonlyMap<string, number> {
  const unmetCpus = new Map<string, number>();
  for (const { job, count } of unmetDemand) {
    unmetCpus.set(job.team, (unmetCpus.get(job.team) ?? 0) + count * job.need.cpus);
  }
  return unmetCpus;
}
