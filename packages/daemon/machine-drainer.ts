/** Selects underused machines to drain, and keeps those that latency-sensitive jobs use as a warm pool. */
import type { Replica } from '#cluster';
import {
  type DrainCandidate,
  type DrainOptions,
  planDrains,
  resourcesOf,
  utilization,
  WarmPool,
} from '#fleet';
import type { Resources } from '#pricing';
import type { Forecaster, OwnerForecast } from '#scheduling';
import { type Clock, fromSeconds, type Micros, SECOND } from '#wire';

/** Conditions under which a machine is drained. */
const DRAIN_OPTIONS: DrainOptions = { maxUtilization: 0.6, minUnderusedTime: 6 * SECOND, spareFactor: 2 };

/** Dependencies of {@link MachineDrainer}. */
export interface MachineDrainerOptions {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly forecaster: Forecaster;
}

/** Decides which machines get no new tasks, so that they can be scaled in once empty. Runs on the leader. */
export class MachineDrainer {
  private readonly warmPool = new WarmPool();
  /** Monotonic time at which a machine became underused. Keyed by host. */
  private readonly underusedSince = new Map<string, Micros>();

  constructor(private readonly options: MachineDrainerOptions) {}

  /** Clears the observations of an earlier term. */
  beginTerm(): void {
    this.underusedSince.clear();
    this.warmPool.clear();
  }

  /** True if the machine is kept ready for jobs that can't wait for a machine to boot. */
  isInWarmPool(host: string): boolean {
    return this.warmPool.contains(host);
  }

  /** Records which machines run latency-sensitive jobs now. */
  observeWarmPool(): void {
    this.warmPool.observe(this.hostsOfLatencySensitiveJobs(), this.options.clock.now());
  }

  /** Returns the hosts of the machines to drain. Machines of the warm pool are never among them. */
  selectDrains(forecasts: readonly OwnerForecast[]): readonly string[] {
    const candidates: DrainCandidate[] = [];
    for (const [host, free] of forecasts.flatMap((forecast) => [...forecast.free])) {
      const candidate = this.candidate(host, free);
      if (candidate) candidates.push(candidate);
    }
    this.forgetRemovedMachines();
    return planDrains(candidates, DRAIN_OPTIONS);
  }

  /** Returns the machine as a candidate for a drain; null if it is unknown or in the warm pool. */
  private candidate(host: string, free: Resources): DrainCandidate | null {
    const { replica } = this.options;
    const machine = replica.ledger.machines.get(host);
    const type = machine && replica.machineTypes.get(machine.machineType);
    if (!type || this.warmPool.contains(host)) return null;
    const total = resourcesOf(type);
    return {
      host,
      spot: machine.spot,
      price: machine.spot ? type.spotPrice : type.price,
      total,
      free,
      underusedFor: this.observeUtilization(host, utilization({ total, free })),
    };
  }

  /** Records the utilization of the machine and returns how long the machine has been underused. */
  private observeUtilization(host: string, usedFraction: number): Micros {
    const now = this.options.clock.now();
    if (usedFraction > DRAIN_OPTIONS.maxUtilization) this.underusedSince.delete(host);
    else if (!this.underusedSince.has(host)) this.underusedSince.set(host, now);
    return now - (this.underusedSince.get(host) ?? now);
  }

  private forgetRemovedMachines(): void {
    const { machines } = this.options.replica.ledger;
    for (const host of this.underusedSince.keys()) {
      if (!machines.has(host)) this.underusedSince.delete(host);
    }
  }

  /** Yields the hosts of tasks whose jobs have a start objective shorter than the shortest boot time. */
  private *hostsOfLatencySensitiveJobs(): Generator<string> {
    const { replica, forecaster } = this.options;
    const bootTimes = [...replica.machineTypes.values()].map((type) => fromSeconds(type.bootS));
    const shortestBootTime = Math.min(...bootTimes);
    for (const [id, { placements }] of replica.ledger.jobs) {
      const spec = replica.jobs.get(id)?.spec;
      if (!spec || forecaster.startObjective(spec.jobClass) >= shortestBootTime) continue;
      for (const { host } of placements.values()) yield host;
    }
  }
}
