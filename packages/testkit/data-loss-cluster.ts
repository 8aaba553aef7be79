/** Set-up and assertions that the tests of data loss have in common. */
import assert from 'node:assert/strict';
import type { DataLossStatus } from '#recovery';
import { SECOND } from '#wire';
import { submitRandomJobs } from './random-runs.js';
import { SimCluster } from './sim-cluster.js';
import type { SimClusterOptions } from './sim-cluster-options.js';

/** A cluster whose nodes watch for lost state, with jobs that come for 100 s. */
export function createDataLossCluster(options: SimClusterOptions): SimCluster {
  const cluster = new SimCluster({ ...options, tuning: { detectsDataLoss: true, ...options.tuning } });
  submitRandomJobs(cluster, { until: 100 * SECOND, maxGapS: 4, cancellation: { rate: 0.2, withinS: 30 } });
  return cluster;
}

/** The data loss report of a node that is up and runs the detection. */
export function dataLossStatusOf(cluster: SimCluster, node: number): DataLossStatus {
  const loss = cluster.controller(node)?.dataLossStatus().dataLoss;
  assert.ok(loss, `node ${node} is down, or does not watch`);
  return loss;
}

/** Asserts that every node is in this state. */
export function assertDataLossStates(cluster: SimCluster, state: DataLossStatus['state']): void {
  for (let i = 0; i < cluster.nodeCount; i++) {
    const loss = dataLossStatusOf(cluster, i);
    assert.equal(loss.state, state, `node ${i}: ${JSON.stringify(loss)}`);
  }
}

/** The service comes back with all that it had before the loss; then all work has to end. */
export async function finishAllJobs(cluster: SimCluster): Promise<void> {
  cluster.invariants.faultsEnded(cluster.clock.time);
  await cluster.run(200 * SECOND);
  assertDataLossStates(cluster, 'serving');
  assert.ok(cluster.invariants.starts > 20, `only ${cluster.invariants.starts} starts`);
  assert.deepEqual(cluster.invariants.unfinishedJobs(), []);
}
