/** Faults of the controllers' processes. */
import { SECOND } from '#wire';
import type { FaultTarget } from './fault-target.js';

/** One node ends and comes back. */
export function restartNode(target: FaultTarget): void {
  target.restartNode(target.nodeIndex, target.randomSeconds(0.2, 5));
}

/** All nodes end at once and come back one after the other. */
export function restartAllNodes(target: FaultTarget): void {
  for (const index of target.nodeIndexes) target.restartNode(index, target.randomSeconds(1, 6));
}

/**
 * A node ends and is back within a fraction of a second, twice, so that its earlier leases are still alive. An
 * election may be in progress.
 */
export function restartNodeTwice(target: FaultTarget): void {
  const { cluster, nodeIndex } = target;
  target.restartNode(nodeIndex, target.randomSeconds(0.05, 0.3));
  cluster.clock.at(target.randomSeconds(0.4, 3) * SECOND, () => {
    target.restartNode(nodeIndex, target.randomSeconds(0.05, 0.3));
  });
}

/** A node's process is suspended while its clocks run on, for less than its lease up to well over a worker's lease. */
export function freezeNode(target: FaultTarget): void {
  target.cluster.suspendNode(target.nodeIndex, target.randomSeconds(1, 29) * SECOND);
}
