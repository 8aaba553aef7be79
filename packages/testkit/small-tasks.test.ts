import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_TASKS_PER_HEARTBEAT, SECOND } from '#wire';
import { sampleJob } from './sample-job.js';
import { SimCluster } from './sim-cluster.js';

// Guards against machines whose heartbeats exceed the protocol's limit of 64 KiB: every node refuses them, and all tasks
// are lost with the lease and placed there again.
test('thousands of small tasks end, and no machine has more of them than its heartbeats can report', async () => {
  const cluster = new SimCluster({ seed: 95, settings: { stateWriteRps: 200, stateRps: 400 } });
  await cluster.run(3 * SECOND);
  const tiny = { cpus: 0.004, memGb: 0.01, estimateS: 20, taskCount: 700 };
  for (const id of ['j-1', 'j-2', 'j-3']) cluster.submit(sampleJob(id, tiny));
  let most = 0;
  for (const end = cluster.clock.time + 120 * SECOND; cluster.clock.time < end;) {
    await cluster.run(SECOND);
    most = Math.max(most, ...[...cluster.workers.values()].map(({ taskCount }) => taskCount));
    if (cluster.clock.time === 40 * SECOND) cluster.killNode(0);
    if (cluster.clock.time === 45 * SECOND) cluster.startNode(0);
  }
  assert.ok(most <= MAX_TASKS_PER_HEARTBEAT, `${most} tasks on one machine`);
  assert.ok(most > MAX_TASKS_PER_HEARTBEAT / 2, `only ${most} tasks on one machine`);
  for (const id of ['j-1', 'j-2', 'j-3']) assert.equal(cluster.lastStatuses.get(id), 'done', id);
});
