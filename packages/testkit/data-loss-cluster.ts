/** Setup and assertions that the data loss tests share. */
import assert from 'node:assert/strict';
import type { DataLossStatus } from '#recovery';
import { SECOND } from '#wire';
import { submitRandomJobs } from './random-runs.js';
import { SimCluster } from './sim-cluster.js';
import type { SimClusterOptions } from './sim-cluster-options.js';

/** Creates a cluster with data loss detection in which jobs arrive for 100 s. */
export function createDataLossCluster(options: SimClusterOptions): SimCluster {
  const cluster = new SimCluster({ ...options, tuning: { detectsDataLoss: true, ...options.tuning } });
  submitRandomJobs(cluster, { until: 100 * SECOND, maxGapS: 4, cancellation: { rate: 0.2, withinS: 30 } });
  return cluster;
}

/** Returns the data loss status of a node; fails if the node is down or does not run the detection. */
export function dataLossStatusOf(cluster: SimCluster, node: number): DataLossStatus {
  const loss = cluster.controller(node)?.dataLossStatus().dataLoss;
  assert.ok(loss, `node ${node} is down or does not run data loss detection`);
  return loss;
}

/** Asserts that the data loss detector of every node is in the given state. */
export function assertDataLossStates(cluster: SimCluster, state: DataLossStatus['state']): void {
  for (let i = 0; i < cluster.nodeCount; i++) {
    const loss = dataLossStatusOf(cluster, i);
    assert.equal(loss.state, state, `node ${i}: ${JSON.stringify(loss)}`);
  }
}

/** Runs a cluster whose state service has been restored, and asserts that all nodes serve and all jobs end. */
export async function finishAllJobs(cluster: SimCluster): Promise<void> {
  cluster.invariants.faultsEnded(cluster.clock.time);
  await cluster.run(200 * SECOND);
  assertDataLossStates(cluster, 'serving');
  assert.ok(cluster.invariants.starts > 20, `only ${cluster.invariants.starts} starts`);
  assert.deepEqual(cluster.invariants.unfinishedJobs(), []);
}
