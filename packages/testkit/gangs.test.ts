/** End-to-end tests of gangs: validation, simultaneous start, and behaviour when machines or controllers fail. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LOG_PREFIX } from '#cluster';
import { encodeSubmission, type JobSpec, SECOND } from '#wire';
import { sampleJob } from './sample-job.js';
import { SimCluster } from './sim-cluster.js';

/** Returns the specification of a gang of four tasks in one zone. */
function gangJob(id: string, overrides: Partial<JobSpec> = {}): JobSpec {
  const shape = { shape: 'gang' as const, jobClass: 'joint', taskCount: 4, singleZone: true };
  return sampleJob(id, { ...shape, checkpointS: 4, saveS: 1, estimateS: 15, ...overrides });
}

/**
 * Runs until the job's tasks are done, for `maxSeconds` at most, and then for 20 s. Asserts that its user received the
 * status `done`.
 */
async function runUntilDone(cluster: SimCluster, id: string, maxSeconds: number): Promise<void> {
  for (let second = 0; second < maxSeconds && !cluster.invariants.isJobComplete(id); second++)
    await cluster.run(SECOND);
  await cluster.run(20 * SECOND);
  assert.equal(cluster.lastStatuses.get(id), 'done');
}

/** Runs until the given number of the gang's tasks are on machines, for 60 s at most, and returns their hosts. */
async function runUntilGathered(cluster: SimCluster, id: string, taskCount: number): Promise<string[]> {
  for (let step = 0; step < 600 && cluster.invariants.runningTasks(id).length < taskCount; step++)
    await cluster.run(SECOND / 10);
  const hosts = cluster.invariants.runningTasks(id).map(({ host }) => host);
  assert.ok(hosts.length >= taskCount, `${hosts.length} tasks are on machines`);
  return hosts;
}

test('a feasible gang is accepted, an infeasible one is answered 422, an unknown shape 400', async () => {
  const cluster = new SimCluster({ seed: 1 });
  const answers: number[] = [];
  const specs = [
    gangJob('j-1'),
    gangJob('j-1'),
    // Four tasks of 6 CPUs exceed the limit of 20 CPUs; a single task would not.
    gangJob('j-2', { cpus: 6 }),
    gangJob('j-3', { spreadZones: true }),
    gangJob('j-4', { singleZone: false, spreadZones: true, zone: 'east' }),
    gangJob('j-5', { gpus: 1 }),
  ];
  await cluster.run(15 * SECOND);
  for (const spec of specs) {
    cluster.specs.set(spec.id, spec);
    cluster.invariants.jobSubmitted(spec, cluster.clock.time);
    void cluster
      .sendUserRequest(spec.id, {
        node: 0,
        method: 'POST',
        path: '/submissions',
        body: encodeSubmission(spec),
      })
      .then((status) => answers.push(status));
    await cluster.run(SECOND);
  }
  const unknownShapeBody = { ...encodeSubmission(gangJob('j-6')), Shape: 'service' };
  void cluster
    .sendUserRequest('j-6', { node: 0, method: 'POST', path: '/submissions', body: unknownShapeBody })
    .then((status) => answers.push(status));
  await cluster.run(SECOND);
  assert.deepEqual(answers, [201, 200, 422, 422, 422, 422, 400]);
});

test('all tasks of a gang start together, in one zone', async () => {
  const cluster = new SimCluster({ seed: 2 });
  cluster.submit(gangJob('j-1'));
  await runUntilDone(cluster, 'j-1', 120);
  assert.equal(cluster.gangs.starts, 1);
});

test('when a machine of a running gang dies, the next attempt resumes from the checkpoint', async () => {
  const cluster = new SimCluster({ seed: 3 });
  cluster.submit(gangJob('j-1', { estimateS: 30 }));
  const [firstHost] = await runUntilGathered(cluster, 'j-1', 4);
  await cluster.run(8 * SECOND);
  assert.equal(cluster.gangs.starts, 1);
  const host = cluster.cloud.hosts.get(firstHost ?? '');
  assert.ok(host);
  cluster.cloud.crash(host);
  await runUntilDone(cluster, 'j-1', 160);
  assert.equal(cluster.gangs.starts, 2);
});

test('when a machine dies while the gang gathers, a new attempt replaces the old one', async () => {
  const cluster = new SimCluster({ seed: 4 });
  cluster.submit(gangJob('j-1', { imageGb: 6 }));
  const [firstHost] = await runUntilGathered(cluster, 'j-1', 1);
  const host = cluster.cloud.hosts.get(firstHost ?? '');
  assert.ok(host && cluster.gangs.starts === 0);
  cluster.cloud.crash(host);
  await runUntilDone(cluster, 'j-1', 160);
  assert.equal(cluster.gangs.starts, 1);
});

// With these limits a record holds only a few tasks and a commit only one record, so the start of six tasks takes
// several commits.
test('a shard owner that crashes between two commits of a gang start leaves no partial gang behind', async () => {
  for (const seed of [5, 6, 7]) {
    const cluster = new SimCluster({ seed, settings: { valueBytes: 560, txnOps: 4 } });
    let lostCommitCount = 0;
    const isGangRecord = (write: Record<string, unknown>): boolean =>
      String(write['Set']).startsWith(LOG_PREFIX) && JSON.stringify(write['V']).includes('"gang"');
    // The commit that completes the start loses its response, and its sender crashes. It is applied late or never.
    cluster.store.delaysCommit = (writes) => {
      const isLost = lostCommitCount === 0 && writes.some(isGangRecord);
      if (!isLost) return false;
      lostCommitCount++;
      const owner = [...cluster.store.rows].find(([key]) => key === 'mw/now/share/0')?.[1].value['Member'];
      const index = Number(String(owner).split('-')[1]);
      cluster.clock.at(SECOND / 5, () => {
        cluster.killNode(index);
      });
      cluster.clock.at(6 * SECOND, () => {
        cluster.startNode(index);
      });
      return true;
    };
    cluster.submit(gangJob('j-1', { taskCount: 6, cpus: 1, memGb: 1 }));
    await runUntilDone(cluster, 'j-1', 160);
    assert.equal(lostCommitCount, 1);
    assert.equal(cluster.gangs.starts, 1);
  }
});

test('a gang that is cancelled while it gathers stops within the cancellation deadline', async () => {
  const cluster = new SimCluster({ seed: 8 });
  cluster.submit(gangJob('j-1', { imageGb: 4 }));
  await runUntilGathered(cluster, 'j-1', 1);
  void cluster.cancelJob('j-1', 1);
  await cluster.run(40 * SECOND);
  assert.equal(cluster.lastStatuses.get('j-1'), 'cancelled');
  assert.deepEqual(cluster.invariants.runningTasks('j-1'), []);
});

test('large gangs are not starved by a stream of small tasks on a full fleet', async () => {
  const cluster = new SimCluster({ seed: 9, capacity: 2 });
  for (let i = 0; i < 120; i++) {
    const smallJob = sampleJob(`j-${100 + i}`, {
      taskCount: 2,
      cpus: 1,
      memGb: 1,
      estimateS: 6,
      imageGb: 0.2,
    });
    cluster.clock.at(i * SECOND, () => {
      cluster.submit(smallJob);
    });
  }
  cluster.clock.at(40 * SECOND, () => {
    cluster.submit(gangJob('j-1', { taskCount: 6, allowsSpot: true }));
  });
  await cluster.run(130 * SECOND);
  assert.ok(cluster.gangs.starts > 0, 'the gang has not started');
});
