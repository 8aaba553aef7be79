/**
 * What surrounds the nodes of a cluster under test: state service, cloud, machines and their workers, with the
 * invariants and the effects of each role checked as they happen. Simulated and loopback clusters share it.
 */
import type { WireFields, HttpClient, JobSpec, MachineType, Micros } from '#wire';
import { FirstFailure } from './first-failure.js';
import { InvariantChecker, type TeamLimits } from './invariants.js';
import { RoleHistory } from './role-history.js';
import type { Gate, SimulationClock } from './sim-clock.js';
import { type CloudHost, SimCloud } from './sim-cloud.js';
import { type GangTimes, SimGangs } from './sim-gang.js';
import { SimStore, type StoreLimits } from './sim-store.js';
import { SimWorker, type WorkerCapacity, type WorkerLimits } from './sim-worker.js';

/** What differs from one worker to the next. */
export interface WorkerSetup {
  /** Addresses of the nodes by name. */
  readonly nodes: { member: string; endpoint: string }[];
  readonly caller: (gate: Gate) => HttpClient;
  readonly limits: WorkerLimits;
  readonly capacity: WorkerCapacity;
  /** Every task fails on this worker. */
  readonly isFaulty: boolean;
}

/** Parts and limits of the services. */
export interface SimServicesOptions {
  readonly clock: SimulationClock;
  readonly random: () => number;
  readonly storeLimits: StoreLimits;
  readonly cloud: {
    readonly types: readonly MachineType[];
    readonly capacity: number;
    readonly listLag: Micros;
  };
  readonly gangTimes: GangTimes;
  readonly teamLimits: TeamLimits;
  readonly cancellationDeadline: Micros;
  /** Called after each transaction that the state service applied, unless it has lost data. */
  readonly onCommit: (writes: WireFields[]) => void;
  readonly setUpWorker: (host: CloudHost) => WorkerSetup;
}

/** State service, cloud and workers of a cluster under test. */
export class SimServices {
  readonly store: SimStore;
  readonly cloud: SimCloud;
  readonly invariants: InvariantChecker;
  readonly gangs: SimGangs;
  /** The effects of each role with the term that they were asked for under. */
  readonly history: RoleHistory;
  /** By host. */
  readonly workers = new Map<string, SimWorker>();
  readonly specs = new Map<string, JobSpec>();
  /** The first failure in a callback. */
  readonly failure = new FirstFailure();

  constructor(private readonly options: SimServicesOptions) {
    const { clock, random } = options;
    this.store = new SimStore(clock, random, options.storeLimits);
    this.history = new RoleHistory((path) => this.store.rows.get(path)?.revision ?? 0);
    this.invariants = new InvariantChecker(options.teamLimits, options.cancellationDeadline);
    this.gangs = new SimGangs(clock, random, options.gangTimes);
    this.cloud = this.createCloud();
    this.observeStore();
    this.observeCloud();
  }

  private createCloud(): SimCloud {
    const { clock, random, cloud } = this.options;
    return new SimCloud({
      clock,
      random,
      ...cloud,
      boot: (host) => {
        this.bootWorker(host);
      },
      destroy: (host) => {
        this.workers.get(host.host)?.destroy();
        this.workers.delete(host.host);
      },
    });
  }

  private observeStore(): void {
    this.store.beforeApply = (guards, writes) => {
      this.history.beforeCommit(guards, writes);
    };
    this.store.afterApply = (writes) => {
      // Commits after a loss belong to another history than the one recorded here.
      if (this.store.hasLostData) return;
      this.history.afterCommit(writes, this.store.revision);
      this.options.onCommit(writes);
    };
  }

  private observeCloud(): void {
    this.cloud.onScaleOut = (name, sender) => {
      this.failure.guard(() => {
        this.history.scaledOut(name, sender);
      });
    };
    this.cloud.onDeletion = ({ host, state }, sender) => {
      this.failure.guard(() => {
        this.history.deleted(host, state === 'starting' || state === 'running', sender);
      });
    };
  }

  private bootWorker(host: CloudHost): void {
    const { clock, random } = this.options;
    const worker = new SimWorker(host, {
      clock,
      random,
      invariants: this.invariants,
      gangs: this.gangs,
      job: (id) => this.specs.get(id),
      ...this.options.setUpWorker(host),
      onLaunch: (...launch) => {
        this.failure.guard(() => {
          this.history.launched(...launch);
        });
      },
    });
    this.workers.set(host.host, worker);
  }
}
