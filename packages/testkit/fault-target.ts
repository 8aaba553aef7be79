/** The target of an injected fault, and helpers that the faults share. */
import { SECOND } from '#wire';
import type { SimCluster } from './sim-cluster.js';
import type { CloudHost } from './sim-cloud.js';
import type { SimWorker } from './sim-worker.js';

/** A kind of fault that can be injected into a simulated cluster. */
export interface Fault {
  readonly name: string;
  /** Starts the fault. A temporary fault ends after a random time. */
  readonly inject: (target: FaultTarget) => void;
}

/** The cluster and the randomly chosen parts of it that a fault acts on. */
export class FaultTarget {
  private constructor(
    readonly cluster: SimCluster,
    readonly nodeIndex: number,
    /** Undefined if no worker is running. */
    readonly worker: SimWorker | undefined,
  ) {}

  /** Chooses a node and a worker at random. */
  static choose(cluster: SimCluster): FaultTarget {
    const { random, nodeCount, workers } = cluster;
    const nodeIndex = Math.floor(random() * nodeCount);
    const worker = [...workers.values()][Math.floor(random() * workers.size)];
    return new FaultTarget(cluster, nodeIndex, worker);
  }

  /** Returns a random number of seconds from `least` up to `least + spread`. */
  randomSeconds(least: number, spread: number): number {
    return least + this.cluster.random() * spread;
  }

  /** Member name of the chosen node. */
  get nodeName(): string {
    return `node-${this.nodeIndex}`;
  }

  /** The indexes of all nodes. */
  get nodeIndexes(): number[] {
    return [...Array(this.cluster.nodeCount).keys()];
  }

  /** The machine of the chosen worker; undefined if the cloud no longer has it. */
  get host(): CloudHost | undefined {
    return this.worker && this.cluster.cloud.hosts.get(this.worker.machine.host);
  }

  /** Starts a fault immediately and ends it after the given number of seconds. */
  during(seconds: number, start: () => void, end: () => void): void {
    start();
    this.cluster.clock.at(seconds * SECOND, end);
  }

  /** Kills a node's process and starts it again after `downSeconds`. */
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

  /** Refuses connections on these links (`from>endpoint`) for the given number of seconds. */
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

  /** Makes the state service answer every request with an error for the given number of seconds. */
  failStore(seconds: number): void {
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

  /** Makes the state service answer the chosen node's requests with an error for the given number of seconds. */
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
