/** A simulated cluster: nodes, state service, cloud, workers and users on one simulated clock, with invariants checked. */
import type { Controller } from '#daemon';
import type { Settings } from '#settings';
import { type JobSpec, type JobStatus, type MachineType, type Micros, SECOND, type WireFields } from '#wire';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { checkCheckpointIsComplete, clusterEventsOf, ReplicaChecks } from './cluster-checks.js';
import type { FreeCapacity, InvariantChecker } from './invariants.js';
import type { ReplicaFacts } from './ledger-agreement.js';
import type { RoleHistory } from './role-history.js';
import { CLOUD, peerEndpoint, SAMPLE_TYPES, sampleSettings, STATE, userEndpoint } from './sample-settings.js';
import { SimClock } from './sim-clock.js';
import type { CloudHost, SimCloud } from './sim-cloud.js';
import type { ClusterEvent, SimClusterOptions } from './sim-cluster-options.js';
import type { SimGangs } from './sim-gang.js';
import { SimNet } from './sim-net.js';
import { SimNode } from './sim-node.js';
import { SimServices, type WorkerSetup } from './sim-services.js';
import type { SimStore } from './sim-store.js';
import { SimUsers, type UserRequest } from './sim-users.js';
import type { SimWorker } from './sim-worker.js';

const NODE_COUNT = 3;

/** A cluster for tests. All randomness comes from its seed. */
export class SimCluster {
  readonly clock = new SimClock();
  readonly random: () => number;
  readonly net: SimNet;
  /** Called with events during which tests inject further faults. */
  onEvent: (event: ClusterEvent) => void = () => undefined;
  /** Called with the status of each answer of a node to a worker's heartbeat. */
  onHeartbeat: (host: string, node: number, status: number) => void = () => undefined;
  private readonly services: SimServices;
  private readonly users: SimUsers;
  private readonly replicaChecks = new ReplicaChecks();
  private readonly nodes: readonly SimNode[];
  private readonly types: readonly MachineType[];
  private processStarts = 0;
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
    this.net.serve(STATE, null, (...args) => this.services.failure.guard(() => this.store.handler(...args)));
    this.net.serve(CLOUD, null, this.cloud.handler);
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

  /** The effects of each role with the term that they were asked for under. */
  get history(): RoleHistory {
    return this.services.history;
  }

  /** By host. */
  get workers(): Map<string, SimWorker> {
    return this.services.workers;
  }

  /** Specifications of submitted jobs, by id. */
  get specs(): Map<string, JobSpec> {
    return this.services.specs;
  }

  /** By job: the last status that its user received. */
  get lastStatuses(): Map<string, JobStatus> {
    return this.users.lastStatuses;
  }

  get nodeCount(): number {
    return this.nodes.length;
  }

  /** Heartbeats that this node has answered with 200. */
  heartbeatCount(index: number): number {
    return this.nodes[index]?.heartbeatCount ?? 0;
  }

  /** A node of the present version that is up; null while it is down or of the version in production. */
  controller(index: number): Controller | null {
    return this.nodes[index]?.present ?? null;
  }

  /** Status of this node's answer to health checks; null while it is down. */
  health(index: number): number | null {
    return this.nodes[index]?.controller?.health().status ?? null;
  }

  startNode(index: number): void {
    this.node(index).start();
  }

  killNode(index: number): void {
    this.node(index).kill();
  }

  /** Ends the node's process and starts it again with the present version. */
  upgradeNode(index: number, downFor: Micros): void {
    const node = this.node(index);
    node.isOld = false;
    node.kill();
    this.clock.at(downFor, () => {
      node.start();
    });
  }

  /** The node runs the version in production, or will when it comes back. */
  isOld(index: number): boolean {
    return this.nodes[index]?.isOld ?? false;
  }

  /** Suspends the node's process: timers, answers and requests wait for it, clocks don't. */
  freezeNode(index: number, duration: Micros): void {
    this.node(index).freeze(duration);
  }

  /** Connections between this node and its peers are refused, either way. */
  refusePeers(index: number, on: boolean): void {
    const { refusedLinks } = this.net;
    for (let peer = 0; peer < this.nodeCount; peer++) {
      for (const link of [`node-${index}>${peerEndpoint(peer)}`, `node-${peer}>${peerEndpoint(index)}`]) {
        if (on) refusedLinks.add(link);
        else refusedLinks.delete(link);
      }
    }
  }

  /** Submits a job as a user does: until it is accepted, then asks for its status until it has ended. */
  submit(spec: JobSpec, cancelAfter: Micros | null = null): void {
    this.users.submit(spec, cancelAfter);
  }

  /** Requests the cancellation of a job at one node, without retry; returns the status of the answer. */
  async cancelJob(id: string, node: number): Promise<number> {
    this.invariants.cancellationRequested(id);
    return this.sendUserRequest(id, { node, method: 'POST', path: `/submissions/${id}/withdraw` });
  }

  /** Sends one request of a job's user, without retry; returns the status of the answer, 0 if none arrives in time. */
  sendUserRequest(id: string, request: UserRequest): Promise<number> {
    return this.users.send(id, request);
  }

  /** Lets simulated time pass; throws the first violation of an invariant. */
  async run(duration: Micros): Promise<void> {
    await this.clock.run(this.clock.time + duration, () => {
      this.services.failure.rethrow();
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
    const working = [...this.workers.values()].filter(
      (worker) => worker.isAlive && !worker.isFaulty && worker.reclaimInS === null,
    );
    return working.map((worker) => ({ machine: worker.machine, ...worker.freeCapacity() }));
  }

  private node(index: number): SimNode {
    const node = this.nodes[index];
    if (!node) throw new RangeError(`no node ${index} among ${this.nodeCount}`);
    return node;
  }

  private createNode(index: number): SimNode {
    const { clock, random, net, options } = this;
    return new SimNode({
      index,
      settings: sampleSettings(index, options.nodes ?? NODE_COUNT, options.settings),
      cluster: options,
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
      cloud: { types: this.types, capacity: options.capacity ?? 4, listLag: settings.machineListLag },
      gangTimes: { wait: settings.gangWait, peer: settings.gangPeer },
      teamLimits: new Map(
        settings.teams.map((team) => [team.name, { cpus: team.cpusMax, gpus: team.gpusMax }]),
      ),
      cancellationDeadline: options.promisedCancel ?? settings.cancellationDeadline,
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
    if (!type) throw new Error(`machine ${host.host} is of unknown type ${host.machineType}`);
    return {
      nodes: this.nodes.map(({ index }) => ({ member: `node-${index}`, endpoint: userEndpoint(index) })),
      caller: (gate) => this.net.caller(host.host, host.zone, gate),
      limits,
      capacity: { cpus: type.cpus, gpus: type.gpus, memGb: type.memGb },
      isFaulty: this.drawFaultyWorker(),
    };
  }

  /** No worker is faulty; the draw stays so that earlier seeds give the same runs. */
  private drawFaultyWorker(): boolean {
    return this.random() < 0;
  }
}
