/**
 * The environment of the nodes of a cluster under test: state service, cloud, machines and workers. The invariants and
 * the effects of each role are checked as they occur. Simulated clusters and clusters on loopback share this module.
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
import type { MachineCapacity, ResponseCopies } from './sim-cluster-options.js';

/** Options of one worker. */
export interface WorkerSetup {
  /** Name and address of each node. */
  readonly nodes: { member: string; endpoint: string }[];
  /** Creates the HTTP client of the worker. */
  readonly createClient: (gate: Gate) => HttpClient;
  readonly limits: WorkerLimits;
  readonly capacity: WorkerCapacity;
  /** True if a task that starts on this worker now will fail. */
  readonly isFaulty: () => boolean;
  readonly responseCopies: ResponseCopies | null;
}

/** Dependencies and limits of {@link SimServices}. */
export interface SimServicesOptions {
  readonly clock: SimulationClock;
  readonly random: () => number;
  readonly storeLimits: StoreLimits;
  readonly cloud: {
    readonly types: readonly MachineType[];
    readonly capacity: MachineCapacity;
    readonly listLag: Micros;
  };
  readonly gangTimes: GangTimes;
  readonly teamLimits: TeamLimits;
  readonly cancellationDeadline: Micros;
  /** Called with the writes of each transaction that the state service has applied, unless it has lost data. */
  readonly onCommit: (writes: WireFields[]) => void;
  /** Returns the options of the worker on a machine that has booted. */
  readonly setUpWorker: (host: CloudHost) => WorkerSetup;
}

/** State service, cloud and workers of a cluster under test. */
export class SimServices {
  readonly store: SimStore;
  readonly cloud: SimCloud;
  readonly invariants: InvariantChecker;
  readonly gangs: SimGangs;
  /** Commits, task starts, scale-outs and deletions, checked against the term under which each was requested. */
  readonly history: RoleHistory;
  /** Workers of all running machines. Keyed by host. */
  readonly workers = new Map<string, SimWorker>();
  /** Specifications of submitted jobs. Keyed by job id. */
  readonly specs = new Map<string, JobSpec>();
  /** The first failure in a callback. */
  readonly firstFailure = new FirstFailure();

  constructor(private readonly options: SimServicesOptions) {
    const { clock, random } = options;
    this.store = new SimStore(clock, random, options.storeLimits);
    this.history = new RoleHistory((key) => this.store.rows.get(key)?.revision ?? 0);
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
      // Commits after a data loss do not follow from the commits that are recorded here.
      if (this.store.hasLostData) return;
      this.history.afterCommit(writes, this.store.revision);
      this.options.onCommit(writes);
    };
  }

  private observeCloud(): void {
    this.cloud.onScaleOut = (name, sender) => {
      this.firstFailure.guard(() => {
        this.history.scaledOut(name, sender);
      });
    };
    this.cloud.onDeletion = ({ host, state }, sender) => {
      this.firstFailure.guard(() => {
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
      findJob: (id) => this.specs.get(id),
      ...this.options.setUpWorker(host),
      onLaunch: (...launch) => {
        this.firstFailure.guard(() => {
          this.history.launched(...launch);
        });
      },
    });
    this.workers.set(host.host, worker);
  }
}
