/** A simulated cluster on one simulated clock: nodes, services, workers and users, with the invariants checked. */
import type { Controller } from '#daemon';
import type { Settings } from '#settings';
import { type JobSpec, type JobStatus, type MachineType, type Micros, SECOND, type WireFields } from '#wire';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { checkCheckpointIsComplete, clusterEventsOf, ReplicaChecks } from './cluster-checks.js';
import type { FreeCapacity, InvariantChecker } from './invariants.js';
import type { ReplicaFacts } from './ledger-agreement.js';
import type { RoleHistory } from './role-history.js';
import {
  CLOUD_ENDPOINT,
  peerEndpoint,
  SAMPLE_TYPES,
  sampleSettings,
  STATE_ENDPOINT,
  userEndpoint,
} from './sample-settings.js';
import { SimClock } from './sim-clock.js';
import type { CloudHost, SimCloud } from './sim-cloud.js';
import type { ClusterEvent, MachineCapacity, SimClusterOptions } from './sim-cluster-options.js';
import type { SimGangs } from './sim-gang.js';
import { SimNet } from './sim-net.js';
import { SimNode } from './sim-node.js';
import { SimServices, type WorkerSetup } from './sim-services.js';
import type { SimStore } from './sim-store.js';
import { SimUsers, type UserRequest } from './sim-users.js';
import type { SimWorker } from './sim-worker.js';

const NODE_COUNT = 3;

/** A simulated cluster for tests. All randomness comes from its seed, so that a seed reproduces a run. */
export class SimCluster {
  readonly clock = new SimClock();
  readonly random: () => number;
  readonly net: SimNet;
  /** Called for each event during which tests may inject further faults. */
  onEvent: (event: ClusterEvent) => void = () => undefined;
  /** Called for each heartbeat response of a node, with its HTTP status. */
  onHeartbeat: (host: string, node: number, status: number) => void = () => undefined;
  private readonly services: SimServices;
  private readonly users: SimUsers;
  private readonly replicaChecks = new ReplicaChecks();
  private readonly nodes: readonly SimNode[];
  private readonly types: readonly MachineType[];
  /** Number of node process starts so far, from which each process gets a unique incarnation. */
  private processStarts = 0;
  /** Time of the next check for jobs that wait although capacity is free; it runs once a second. */
  private nextWaitingCheck: Micros = 0;

  constructor(private readonly options: SimClusterOptions) {
    const { clock } = this;
    const generator = xoroshiro128plus(options.seed);
    const random = (): number => (generator.next() >>> 0) / 4294967296;
    this.random = random;
    this.types = options.types ?? SAMPLE_TYPES;
    const nodeCount = options.nodes ?? NODE_COUNT;
    this.net = new SimNet(clock, random);
    this.services = this.createServices(sampleSettings(0, 1, options.settings));
    this.users = new SimUsers({ clock, random, net: this.net, services: this.services, nodeCount });
    this.invariants.onEvent = (event) => {
      this.onEvent(event);
    };
    this.net.serve(STATE_ENDPOINT, null, (...args) =>
      this.services.firstFailure.guard(() => this.store.handler(...args)),
    );
    this.net.serve(CLOUD_ENDPOINT, null, this.cloud.handler);
    this.nodes = [...Array(nodeCount).keys()].map((index) => this.createNode(index));
    for (const node of this.nodes) node.start();
  }

  get store(): SimStore {
    return this.services.store;
  }

  get cloud(): SimCloud {
    return this.services.cloud;
  }

  get invariants(): InvariantChecker {
    return this.services.invariants;
  }

  get gangs(): SimGangs {
    return this.services.gangs;
  }

  /** Commits, task starts, scale-outs and deletions, checked against the term under which each was requested. */
  get history(): RoleHistory {
    return this.services.history;
  }

  /** All workers. Keyed by host. */
  get workers(): Map<string, SimWorker> {
    return this.services.workers;
  }

  /** Specifications of submitted jobs. Keyed by job id. */
  get specs(): Map<string, JobSpec> {
    return this.services.specs;
  }

  /** The last status that each user received. Keyed by job id. */
  get lastStatuses(): Map<string, JobStatus> {
    return this.users.lastStatuses;
  }

  get nodeCount(): number {
    return this.nodes.length;
  }

  /** Returns the number of heartbeats that this node answered with 200. */
  heartbeatCount(index: number): number {
    return this.nodes[index]?.heartbeatCount ?? 0;
  }

  /** Returns a node's controller; null while the node is down or runs the production version. */
  controller(index: number): Controller | null {
    return this.nodes[index]?.currentController ?? null;
  }

  /** Returns the HTTP status of a node's response to health checks; null while the node is down. */
  health(index: number): number | null {
    return this.nodes[index]?.controller?.health().status ?? null;
  }

  /** Starts the node's process unless it is already running. */
  startNode(index: number): void {
    this.node(index).start();
  }

  /** Kills the node's process; it has no chance to hand off its roles. */
  killNode(index: number): void {
    this.node(index).kill();
  }

  /** Ends the node's process and starts it again with the current version after the downtime. */
  upgradeNode(index: number, downtime: Micros): void {
    const node = this.node(index);
    node.runsProductionVersion = false;
    node.kill();
    this.clock.at(downtime, () => {
      node.start();
    });
  }

  /** True if the node runs the production version, or will run it after its next start. */
  runsProductionVersion(index: number): boolean {
    return this.nodes[index]?.runsProductionVersion ?? false;
  }

  /** Suspends the node's process: its timers, responses and requests wait until it is resumed; its clocks continue. */
  suspendNode(index: number, duration: Micros): void {
    this.node(index).suspend(duration);
  }

  /** Starts or stops refusing connections between this node and its peers, in both directions. */
  refusePeers(index: number, isRefused: boolean): void {
    const { refusedLinks } = this.net;
    for (let peer = 0; peer < this.nodeCount; peer++) {
      for (const link of [`node-${index}>${peerEndpoint(peer)}`, `node-${peer}>${peerEndpoint(index)}`]) {
        if (isRefused) refusedLinks.add(link);
        else refusedLinks.delete(link);
      }
    }
  }

  /** Simulates a job's user: retries the submission until it is accepted, then polls the status until the job ends. */
  submit(spec: JobSpec, cancelAfter: Micros | null = null): void {
    this.users.submit(spec, cancelAfter);
  }

  /** Requests the cancellation of a job at one node, without retry; returns the status of the response. */
  async cancelJob(id: string, node: number): Promise<number> {
    this.invariants.cancellationRequested(id);
    return this.sendUserRequest(id, { node, method: 'POST', path: `/submissions/${id}/withdraw` });
  }

  /** Sends one request of a job's user, without retry; returns the response status, 0 if none arrives in time. */
  sendUserRequest(id: string, request: UserRequest): Promise<number> {
    return this.users.send(id, request);
  }

  /** Advances simulated time by this duration; throws the first violation of an invariant. */
  async run(duration: Micros): Promise<void> {
    await this.clock.run(this.clock.time + duration, () => {
      this.services.firstFailure.rethrow();
      this.invariants.checkDeadlines(this.clock.time);
      this.replicaChecks.check(this.replicas(), this.store);
      if (this.clock.time < this.nextWaitingCheck) return;
      this.nextWaitingCheck = this.clock.time + SECOND;
      this.invariants.checkWaitingJobs(this.clock.time, this.freeCapacities());
    });
  }

  private replicas(): ReplicaFacts[] {
    return this.nodes.flatMap(({ controller }) => (controller ? [controller.replicaFacts()] : []));
  }

  private freeCapacities(): FreeCapacity[] {
    const availableWorkers = [...this.workers.values()].filter(
      (worker) => worker.isAlive && !worker.isFaulty && worker.reclaimInS === null,
    );
    return availableWorkers.map((worker) => ({ machine: worker.machine, ...worker.freeCapacity() }));
  }

  private node(index: number): SimNode {
    const node = this.nodes[index];
    if (!node) throw new RangeError(`node ${index} does not exist: the cluster has ${this.nodeCount} nodes`);
    return node;
  }

  private createNode(index: number): SimNode {
    const { clock, random, net, options } = this;
    return new SimNode({
      index,
      settings: sampleSettings(index, options.nodes ?? NODE_COUNT, options.settings),
      clusterOptions: options,
      clock,
      random,
      net,
      nextIncarnation: () => `i${++this.processStarts}`,
      onHeartbeat: (host, status) => {
        this.onHeartbeat(host, index, status);
      },
    });
  }

  private createServices(settings: Settings): SimServices {
    const { clock, random, options } = this;
    return new SimServices({
      clock,
      random,
      storeLimits: {
        rps: settings.stateRps,
        writeRps: settings.stateWriteRps,
        txnOps: settings.txnOps,
        valueBytes: settings.valueBytes,
        pageRows: options.pageRows ?? 1000,
      },
      cloud: { types: this.types, capacity: machineCapacity(options), listLag: settings.machineListLag },
      gangTimes: { gatherTimeout: settings.gangWait, peerLossTimeout: settings.gangPeer },
      teamLimits: new Map(
        settings.teams.map((team) => [team.name, { cpus: team.cpusMax, gpus: team.gpusMax }]),
      ),
      cancellationDeadline: options.promisedCancellationDeadline ?? settings.cancellationDeadline,
      onCommit: (writes) => {
        this.handleCommit(writes);
      },
      setUpWorker: (host) => this.setUpWorker(host, settings),
    });
  }

  private handleCommit(writes: WireFields[]): void {
    this.replicaChecks.transactionApplied(writes);
    checkCheckpointIsComplete(this.store, writes);
    for (const event of clusterEventsOf(writes)) this.onEvent(event);
  }

  private setUpWorker(host: CloudHost, limits: Settings): WorkerSetup {
    const type = this.types.find(({ name }) => name === host.machineType);
    if (!type) throw new Error(`machine ${host.host} has the unknown machine type ${host.machineType}`);
    return {
      nodes: this.nodes.map(({ index }) => ({ member: `node-${index}`, endpoint: userEndpoint(index) })),
      createClient: (gate) => this.net.createClient(host.host, host.zone, gate),
      limits,
      capacity: { cpus: type.cpus, gpus: type.gpus, memGb: type.memGb },
      isFaulty: this.faultOf(host),
      responseCopies: this.options.responseCopies ?? null,
    };
  }

  /** Returns whether tasks fail on the machine. The random draw remains so that earlier seeds reproduce the same runs. */
  private faultOf(host: CloudHost): () => boolean {
    this.random();
    return () => this.options.isFaulty?.(host) ?? false;
  }
}

function machineCapacity({ capacity = 4 }: SimClusterOptions): MachineCapacity {
  return typeof capacity === 'number' ? () => capacity : capacity;
}
