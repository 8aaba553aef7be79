/** Selects underused machines to be drained, and keeps those that latency-sensitive jobs use ready as a warm pool. */
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

const DRAIN: DrainOptions = { maxUtilization: 0.6, minUnderusedTime: 6 * SECOND, spareFactor: 2 };

/** What a machine drainer works with. */
export interface MachineDrainerOptions {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly forecaster: Forecaster;
}

/** Decides for the leader which machines get no new tasks, so that they can be scaled in once empty. */
export class MachineDrainer {
  private readonly warmPool = new WarmPool();
  /** By host: since when the machine has been underused. */
  private readonly underusedSince = new Map<string, Micros>();

  constructor(private readonly options: MachineDrainerOptions) {}

  /** Forgets what was observed in an earlier term. */
  beginTerm(): void {
    this.underusedSince.clear();
    this.warmPool.clear();
  }

  /** The machine is held ready for jobs that can't wait for one to boot. */
  isInWarmPool(host: string): boolean {
    return this.warmPool.contains(host);
  }

  /** Notes which machines run latency-sensitive jobs now. */
  observeWarmPool(): void {
    this.warmPool.observe(this.hostsOfLatencySensitiveJobs(), this.options.clock.now());
  }

  /** Hosts of the machines to drain. Machines of the warm pool are never among them. */
  selectDrains(forecasts: readonly OwnerForecast[]): readonly string[] {
    const candidates: DrainCandidate[] = [];
    for (const [host, free] of forecasts.flatMap((forecast) => [...forecast.free])) {
      const candidate = this.candidate(host, free);
      if (candidate) candidates.push(candidate);
    }
    this.forgetRemovedMachines();
    return planDrains(candidates, DRAIN);
  }

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

  /** Notes how much of the machine is used and returns for how long it has been underused. */
  private observeUtilization(host: string, used: number): Micros {
    const now = this.options.clock.now();
    if (used > DRAIN.maxUtilization) this.underusedSince.delete(host);
    else if (!this.underusedSince.has(host)) this.underusedSince.set(host, now);
    return now - (this.underusedSince.get(host) ?? now);
  }

  private forgetRemovedMachines(): void {
    const { machines } = this.options.replica.ledger;
    for (const host of this.underusedSince.keys()) {
      if (!machines.has(host)) this.underusedSince.delete(host);
    }
  }

  /** Machines with tasks of jobs that should start sooner than a machine boots. */
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
