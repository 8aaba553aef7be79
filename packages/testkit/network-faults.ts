/** Faults of the network between nodes, workers and services. */
import { SECOND } from '#wire';
import type { FaultTarget } from './fault-target.js';
import { pick } from './random-jobs.js';
import { STATE_ENDPOINT } from './sample-settings.js';
import type { NetworkFaults } from './sim-net.js';

/** Sets random network faults for the given number of seconds. */
function withNetworkFaults(target: FaultTarget, seconds: number, faults: NetworkFaults): void {
  const { net } = target.cluster;
  target.during(
    seconds,
    () => {
      net.faults = faults;
    },
    () => {
      net.faults = { faultRate: 0, maxDelay: 0 };
    },
  );
}

/** Partitions the network between the two zones. */
export function partitionZones(target: FaultTarget): void {
  const { net } = target.cluster;
  target.during(
    target.randomSeconds(3, 30),
    () => {
      net.setPartition('east', 'west', true);
    },
    () => {
      net.setPartition('east', 'west', false);
    },
  );
}

/** Loses or delays requests and responses. */
export function loseMessages(target: FaultTarget): void {
  withNetworkFaults(target, target.randomSeconds(5, 10), { faultRate: 0.3, maxDelay: 20 * SECOND });
}

/**
 * Delivers duplicates of heartbeats from seconds to well over a lease late: to the same shard owner, to a new one, or to
 * one that was restarted.
 */
export function duplicateHeartbeats(target: FaultTarget): void {
  withNetworkFaults(target, target.randomSeconds(5, 20), {
    faultRate: 0,
    maxDelay: 0,
    duplicateRate: 0.3,
    maxDuplicateDelay: 40 * SECOND,
  });
}

/** Delivers a worker's heartbeats but loses every response to it. */
export function loseResponsesToWorker(target: FaultTarget): void {
  if (!target.worker) return;
  const { unansweredParties } = target.cluster.net;
  const { host } = target.worker.machine;
  target.during(
    target.randomSeconds(5, 40),
    () => {
      unansweredParties.add(host);
    },
    () => {
      unansweredParties.delete(host);
    },
  );
}

/** Disconnects a node from the state service and its peers, but not from its workers. */
export function isolateNodeFromStoreAndPeers(target: FaultTarget): void {
  const { nodeIndex, nodeName } = target;
  const peers = target.nodeIndexes.filter((index) => index !== nodeIndex);
  const links = peers.flatMap((peer) => [
    `${nodeName}>10.0.0.${peer}:81`,
    `node-${peer}>10.0.0.${nodeIndex}:81`,
  ]);
  const seconds = target.randomSeconds(5, 40);
  target.refuseLinks(links, seconds);
  target.refuseNodeAtStore(seconds);
}

/** Disconnects a node from its workers only. */
export function isolateNodeFromWorkers(target: FaultTarget): void {
  const links = [...target.cluster.workers.keys()].map((name) => `${name}>10.0.0.${target.nodeIndex}:80`);
  target.refuseLinks(links, target.randomSeconds(5, 40));
}

/** Refuses connections between all controllers. */
export function refuseAllPeerConnections(target: FaultTarget): void {
  const indexes = target.nodeIndexes;
  const links = indexes.flatMap((from) => indexes.map((to) => `node-${from}>10.0.0.${to}:81`));
  target.refuseLinks(links, target.randomSeconds(5, 20));
}

/** Isolates a zone from everything outside it; connections across its border hang or are reset. */
export function isolateZone(target: FaultTarget): void {
  const { net, random } = target.cluster;
  const zone = pick(random, ['east', 'west']);
  const mode = pick(random, ['hold', 'reset'] as const);
  target.during(
    target.randomSeconds(3, 30),
    () => {
      net.isolate(zone, mode);
    },
    () => {
      net.isolate(zone, null);
    },
  );
}

/** Holds back a worker's messages for shorter or longer than a lease, and then delivers them. */
export function holdWorkerMessages(target: FaultTarget): void {
  if (!target.worker) return;
  const { net } = target.cluster;
  const { host } = target.worker.machine;
  target.during(
    target.randomSeconds(2, 25),
    () => {
      net.hold(host);
    },
    () => {
      net.release(host);
    },
  );
}

/** Disconnects about half of the workers from all controllers. */
export function isolateWorkers(target: FaultTarget): void {
  const { workers, random } = target.cluster;
  const hosts = [...workers.keys()].filter(() => random() < 0.5);
  const links = hosts.flatMap((host) => target.nodeIndexes.map((index) => `${host}>10.0.0.${index}:80`));
  target.refuseLinks(links, target.randomSeconds(3, 25));
}

/** Slows down the state service or one node. */
export function slowDownEndpoint(target: FaultTarget): void {
  const { net, random } = target.cluster;
  const name = pick(random, [STATE_ENDPOINT, `10.0.0.${target.nodeIndex}:80`, target.nodeName]);
  target.during(
    target.randomSeconds(5, 30),
    () => {
      net.slowdowns.set(name, 10 + random() * 60);
    },
    () => {
      net.slowdowns.delete(name);
    },
  );
}
