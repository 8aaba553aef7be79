/** Faults of the controllers' processes. */
import { SECOND } from '#wire';
import type { FaultTarget } from './fault-target.js';

/** Kills one node and starts it again. */
export function restartNode(target: FaultTarget): void {
  target.restartNode(target.nodeIndex, target.randomSeconds(0.2, 5));
}

/** Kills all nodes at once and starts them again at different times. */
export function restartAllNodes(target: FaultTarget): void {
  for (const index of target.nodeIndexes) target.restartNode(index, target.randomSeconds(1, 6));
}

/**
 * Restarts a node twice, within a fraction of a second each, so that its earlier leases are still alive. An election
 * may be in progress.
 */
export function restartNodeTwice(target: FaultTarget): void {
  const { cluster, nodeIndex } = target;
  target.restartNode(nodeIndex, target.randomSeconds(0.05, 0.3));
  cluster.clock.at(target.randomSeconds(0.4, 3) * SECOND, () => {
    target.restartNode(nodeIndex, target.randomSeconds(0.05, 0.3));
  });
}

/** Suspends a node's process while its clocks run on, for 1 s to 30 s: from less than its lease to well over a worker's lease. */
export function suspendNode(target: FaultTarget): void {
  target.cluster.suspendNode(target.nodeIndex, target.randomSeconds(1, 29) * SECOND);
}
