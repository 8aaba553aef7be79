/** Roles under random faults and late requests: late actions of a replaced role holder violate no invariant. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { scheduleRandomFaults, submitRandomJobs } from './random-runs.js';
import { SimCluster } from './sim-cluster.js';

/**
 * Longest delay of a cloud request. It is shorter than a run but longer than any retry, boot or lease, so that late
 * requests arrive when even the successor of their sender has been replaced.
 */
const MAX_REQUEST_DELAY = 300 * SECOND;

/** Runs a cluster with random faults while the cloud executes requests up to five minutes late and boots machines slowly. */
async function runWithLateRequests(seed: number): Promise<SimCluster> {
  const cluster = new SimCluster({ seed });
  const { clock, cloud } = cluster;
  cloud.lateRequestRate = 0.3;
  cloud.maxRequestDelay = MAX_REQUEST_DELAY;
  cloud.slowBootRate = 0.3;
  submitRandomJobs(cluster, { until: 150 * SECOND, maxGapS: 5, cancellation: { rate: 0.15, withinS: 20 } });
  scheduleRandomFaults(cluster, { from: 20 * SECOND, until: 150 * SECOND, minGapS: 4, extraGapS: 20 });
  await cluster.run(220 * SECOND);
  cloud.lateRequestRate = 0;
  // Slow boots count as a fault: a job that fits one machine type only can get four of them in a row (seed 108).
  cloud.slowBootRate = 0;
  cluster.invariants.faultsEnded(clock.time);
  await cluster.run(160 * SECOND);
  return cluster;
}

const [FROM, RUNS] = [Number(process.env['DUTIES_FROM'] ?? 1), Number(process.env['DUTIES_RUNS'] ?? 6)];
for (let seed = FROM; seed < FROM + RUNS; seed++) {
  test(`late scale-out and deletion requests harm no machine in use, seed ${seed}`, async () => {
    const cluster = await runWithLateRequests(seed);
    assert.ok(cluster.invariants.starts > 20, `only ${cluster.invariants.starts} starts`);
    assert.ok(cluster.history.counts.deletions > 0, 'no machine was deleted');
    assert.deepEqual(cluster.invariants.unfinishedJobs(), []);
  });
}
