import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Logger } from '#cluster';
import { SECOND } from '#wire';
import { sampleJob } from './sample-job.js';
import { SimCluster } from './sim-cluster.js';

const TEAMS = [
  { name: 'blue', cpus: 8, cpusMax: 40, gpus: 0, gpusMax: 0 },
  { name: 'green', cpus: 8, cpusMax: 40, gpus: 0, gpusMax: 0 },
];

// Guards against waiting beside sound machines: failures on one machine were taken for the job's own, and none of its
// tasks was started for as long as any of them ran, which took minutes (review/7).
test('failures on faulty machines do not hold back the rest of a job that runs on others', async () => {
  for (const faultyCount of [1, 3]) {
    const faultyHosts = new Set<string>();
    const cluster = new SimCluster({
      seed: 211,
      settings: { teams: TEAMS },
      isFaulty: ({ host }) =>
        faultyHosts.has(host) || (faultyHosts.size < faultyCount && !!faultyHosts.add(host)),
    });
    cluster.invariants.faultsEnded(0);
    await cluster.run(3 * SECOND);
    cluster.submit(sampleJob('j-1', { taskCount: 30, cpus: 1, memGb: 1, estimateS: 300 }));
    // The tasks on the faulty machines fail after 36 s to 84 s.
    await cluster.run(110 * SECOND);
    assert.equal(faultyHosts.size, faultyCount);
    assert.equal(cluster.invariants.runningTasks('j-1').length, 30, `${faultyCount} faulty machines`);
  }
});

// Guards against churn: machines that a faulty job fails on are sound, and other jobs need them.
test('a job that fails everywhere is tried rarely, and costs no machine and no other job anything', async () => {
  const quarantined: object[] = [];
  const log: Logger = {
    debug: (fields) => {
      if ('reason' in fields && fields.reason === 'quarantined') quarantined.push(fields);
    },
    info: () => undefined,
    error: () => undefined,
  };
  const cluster = new SimCluster({ seed: 212, settings: { teams: TEAMS }, log });
  cluster.invariants.faultsEnded(0);
  await cluster.run(3 * SECOND);
  const failing = { taskCount: 12, cpus: 1, memGb: 1, estimateS: 20, jobClass: 'broken' };
  for (let i = 0; i < 4; i++) cluster.submit(sampleJob(`j-${i}`, failing));
  await cluster.run(60 * SECOND);
  const startsBefore = cluster.invariants.starts;
  const sound = { team: 'green', taskCount: 4, cpus: 1, memGb: 1, estimateS: 300 };
  cluster.submit(sampleJob('j-9', sound));
  await cluster.run(20 * SECOND);
  assert.equal(cluster.invariants.runningTasks('j-9').length, 4, 'another job starts soon');
  await cluster.run(160 * SECOND);
  const starts = cluster.invariants.starts - startsBefore - 4;
  assert.ok(starts >= 4 * 3, `each job is still tried: ${starts} starts`);
  assert.ok(starts <= 4 * 6, `${starts} starts of failing tasks in three minutes`);
  assert.deepEqual(quarantined, []);
});
