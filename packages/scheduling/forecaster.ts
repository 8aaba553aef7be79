/** Forecasts the next scheduling round of every shard owner, for the leader, from the replicated log alone. */
import type { Replica } from '#cluster';
import type { PendingCapacity, UnmetDemand } from '#fleet';
import { noResources, type Resources, subtractResources } from '#pricing';
import type { Objective, Settings } from '#settings';
import { fromSeconds, type JobSpec, type Micros, SECOND } from '#wire';
import type { RoundInputBuilder } from './round-input-builder.js';
import type { RunTimeEstimator } from './run-time-estimator.js';
import type { Scheduler } from './scheduler.js';
import { unmetCpusByTeam } from './unmet-demand.js';
import { UnusedGuarantees } from './unused-guarantees.js';

/** Capacity counts as pending if the task that uses it is expected to end within this time. */
const PENDING_CAPACITY_HORIZON: Micros = 10 * SECOND;

/** Guaranteed CPUs that the teams of a shard owner lack, and CPUs that they use above their guarantees. */
export interface GuaranteeBalance {
  /**
   * Guaranteed CPUs for which the owner's teams have unmet demand, less the CPUs that are about to become free or are
   * being transferred to the owner. Never negative.
   */
  readonly guaranteeDeficit: number;
  /** CPUs that the owner's teams use above their guarantees. */
  readonly usageAboveGuarantee: number;
}

/** Forecast of one shard owner's next scheduling round. */
export interface OwnerForecast extends GuaranteeBalance {
  readonly member: string;
  readonly shards: readonly number[];
  /** Pending tasks for which no machine has capacity, most urgent first. */
  readonly unmetDemand: readonly UnmetDemand[];
  /** Capacity that the round leaves free on each of the owner's machines. Keyed by host. */
  readonly free: ReadonlyMap<string, Resources>;
  /** Hosts of machines reserved for tasks that need more capacity than is free there at present. */
  readonly reservedHosts: ReadonlySet<string>;
  /** Hosts of machines that are to run further tasks, also once the share of the limit for these is free. */
  readonly plannedHosts: ReadonlySet<string>;
  /** Capacity that the owner's running tasks are about to free. */
  readonly pendingCapacity: readonly PendingCapacity[];
  /** Highest price of a CPU on any shape, in units of priority. */
  readonly price: number;
}

/** Dependencies of {@link Forecaster}. */
export interface ForecasterOptions {
  readonly settings: Settings;
  readonly replica: Replica;
  readonly inputBuilder: RoundInputBuilder;
  readonly runTimeEstimator: RunTimeEstimator;
  readonly scheduler: Scheduler;
}

/** Simulates the next scheduling round of every shard owner. A forecast records nothing and sends nothing. */
export class Forecaster {
  /** Service-level objectives that set a time limit. Keyed by job class. */
  private readonly timedObjectives = new Map<string, Objective[]>();

  constructor(private readonly options: ForecasterOptions) {
    for (const objective of options.settings.objectives) {
      const { jobClass, within } = objective;
      if (jobClass === null || within === null) continue;
      this.timedObjectives.set(jobClass, [...(this.timedObjectives.get(jobClass) ?? []), objective]);
    }
  }

  /** Returns one forecast for each member that owns shards, sorted by member name. `owners` is keyed by shard. */
  forecast(owners: ReadonlyMap<number, { readonly member: string }>): OwnerForecast[] {
    const members = [...new Set([...owners.values()].map((owner) => owner.member))].sort();
    return members.map((member) => {
      const owned = [...owners].filter(([, owner]) => owner.member === member);
      const shards = owned.map(([shard]) => shard);
      return this.forecastOwner(member, shards);
    });
  }

  /** Returns the time within which tasks of a job class should start; Infinity if no objective sets one. */
  startObjective(jobClass: string): Micros {
    return this.options.inputBuilder.startObjective(jobClass);
  }

  /**
   * Returns the part of each unmet demand that justifies scaling out, and how many of its tasks lie within the guarantee
   * of their team. The demands are those of one owner, most urgent first.
   */
  scaleOutDemands(demands: readonly UnmetDemand[]): UnmetDemand[] {
    const { settings, replica } = this.options;
    const unusedGuarantees = new UnusedGuarantees(settings.teams, replica.ledger);
    return demands.map((demand) => {
      const count = this.requiredSlots(demand);
      return { ...demand, count, guaranteedCount: unusedGuarantees.allocate(demand.job, count) };
    });
  }

  /**
   * Returns the number of slots that an unmet demand justifies. If the objectives or the deadline of the job allow its
   * tasks to wait, one slot can run several short tasks in sequence, so fewer slots are requested than tasks.
   */
  private requiredSlots({ job, count }: UnmetDemand): number {
    const spec = this.options.replica.jobs.get(job.id)?.spec;
    // All tasks of a gang run at the same time, so they cannot share a slot.
    if (!spec || job.isGang) return count;
    const runTime = this.options.runTimeEstimator.expectedRunTime(spec);
    // An estimate of zero says nothing about how many tasks one slot can run.
    if (runTime === 0) return count;
    const timeLeft = Math.max(runTime, this.tolerableWait(spec, runTime));
    return Math.ceil((count * runTime) / Math.max(timeLeft, 1));
  }

  private forecastOwner(member: string, shards: readonly number[]): OwnerForecast {
    const { inputBuilder, scheduler } = this.options;
    const shardSet = new Set(shards);
    const machines = inputBuilder.recordedMachines(shardSet);
    // How long the owner has held back a team is not known here. Demand for a job that has waited long enough to be
    // released is forecast as if it were released, so that it gets a machine.
    const round = scheduler.simulateRound(shardSet, machines, {
      completed: new Set(),
      isHeldTooLong: () => true,
      isForecast: true,
    });
    const { unmetDemand, free, reservedHosts } = round;
    const plannedHosts = new Set(round.starts.map(({ host }) => host));
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
      plannedHosts,
      pendingCapacity,
      price,
      guaranteeDeficit,
      usageAboveGuarantee,
    };
  }

  /** Returns half of the waiting time that the job's objectives and its deadline allow; 0 if it has neither. */
  private tolerableWait(spec: JobSpec, runTime: Micros): Micros {
    const waits = (this.timedObjectives.get(spec.jobClass) ?? []).map(({ kind, within }) =>
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

  /** Yields the number of CPUs of each machine that is being transferred to one of the shards. */
  private *incomingCpus(shards: ReadonlySet<number>): Generator<number> {
    const { ledger, machineTypes } = this.options.replica;
    for (const { destination, shard, machineType } of ledger.machines.values()) {
      if (typeof destination === 'number' && destination !== shard && shards.has(destination))
        yield machineTypes.get(machineType)?.cpus ?? 0;
    }
  }

  /** Returns the capacity that running tasks are about to free on the machines of the shards. */
  private pendingCapacity(shards: ReadonlySet<number>): PendingCapacity[] {
    const { replica, runTimeEstimator } = this.options;
    const { ledger } = replica;
    const capacities: PendingCapacity[] = [];
    for (const { host, machineType, zone, spot, shard, status } of ledger.machines.values()) {
      if (shard === null || !shards.has(shard) || status !== 'up') continue;
      const free: Resources = { ...noResources(), taskSlots: 0 };
      for (const placement of ledger.placementsOn(host)) {
        if (runTimeEstimator.remainingRunTime(placement) < PENDING_CAPACITY_HORIZON)
          subtractResources(free, placement, -1);
      }
      if (free.memGb > 0 || free.cpus > 0)
        capacities.push({ machineType, zone, spot, machineCount: 1, free });
    }
    return capacities;
  }
}
