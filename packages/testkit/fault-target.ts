/** What an injected fault acts on, and the helpers that the faults have in common. */
import { SECOND } from '#wire';
import type { SimCluster } from './sim-cluster.js';
import type { CloudHost } from './sim-cloud.js';
import type { SimWorker } from './sim-worker.js';

/** One way in which a simulated cluster can fail. */
export interface Fault {
  readonly name: string;
  /** Starts the fault; it ends by itself after a random time. */
  readonly inject: (target: FaultTarget) => void;
}

/** The cluster and the randomly chosen parts of it that a fault acts on. */
export class FaultTarget {
  private constructor(
    readonly cluster: SimCluster,
    readonly nodeIndex: number,
    /** Undefined if no worker is up. */
    readonly worker: SimWorker | undefined,
  ) {}

  /** Chooses a node and a worker. */
  static choose(cluster: SimCluster): FaultTarget {
    const { random, nodeCount, workers } = cluster;
    const nodeIndex = Math.floor(random() * nodeCount);
    const worker = [...workers.values()][Math.floor(random() * workers.size)];
    return new FaultTarget(cluster, nodeIndex, worker);
  }

  /** A random number of seconds from `least` up to `least + spread`. */
  randomSeconds(least: number, spread: number): number {
    return least + this.cluster.random() * spread;
  }

  get nodeName(): string {
    return `node-${this.nodeIndex}`;
  }

  get nodeIndexes(): number[] {
    return [...Array(this.cluster.nodeCount).keys()];
  }

  /** The machine of the chosen worker, if the cloud still has it. */
  get host(): CloudHost | undefined {
    return this.worker && this.cluster.cloud.hosts.get(this.worker.machine.host);
  }

  /** Starts a fault at once and ends it after the given seconds. */
  during(seconds: number, start: () => void, end: () => void): void {
    start();
    this.cluster.clock.at(seconds * SECOND, end);
  }

  /** Ends a node's process and starts it again. */
  restartNode(index: number, downSeconds: number): void {
    const { cluster } = this;
    this.during(
      downSeconds,
      () => {
        cluster.killNode(index);
      },
      () => {
        cluster.startNode(index);
      },
    );
  }

  /** Refuses connections on these links (`from>endpoint`). */
  refuseLinks(links: readonly string[], seconds: number): void {
    const { refusedLinks } = this.cluster.net;
    this.during(
      seconds,
      () => {
        for (const link of links) refusedLinks.add(link);
      },
      () => {
        for (const link of links) refusedLinks.delete(link);
      },
    );
  }

  /** Answers every request of all nodes to the state service with an error. */
  stopStore(seconds: number): void {
    const { store } = this.cluster;
    this.during(
      seconds,
      () => {
        store.setOutage(true);
      },
      () => {
        store.setOutage(false);
      },
    );
  }

  /** Answers the requests of the chosen node to the state service with an error. */
  refuseNodeAtStore(seconds: number): void {
    const { refusedNodes } = this.cluster.store;
    const name = this.nodeName;
    this.during(
      seconds,
      () => {
        refusedNodes.add(name);
      },
      () => {
        refusedNodes.delete(name);
      },
    );
  }
}
