import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { sampleJob } from './sample-job.js';
import { SimCluster } from './sim-cluster.js';

// Guards against accepted jobs that never start: no run time, and so no machine, was expected of an estimate of zero.
test('a job with an estimate of zero gets machines on an empty fleet, with and without an objective', async () => {
  for (const jobClass of ['batch', 'class without objective']) {
    const cluster = new SimCluster({ seed: 94 });
    await cluster.run(3 * SECOND);
    cluster.submit(sampleJob('j-1', { jobClass, estimateS: 0, taskCount: 8 }));
    await cluster.run(60 * SECOND);
    assert.equal(cluster.lastStatuses.get('j-1'), 'done', jobClass);
  }
});
