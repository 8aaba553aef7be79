/** Gangs through the whole service: what is asked for, what fails under them, and what comes of it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LOG_PREFIX } from '#cluster';
import { encodeSubmission, type JobSpec, SECOND } from '#wire';
import { sampleJob } from './sample-job.js';
import { SimCluster } from './sim-cluster.js';

function gang(id: string, change: Partial<JobSpec> = {}): JobSpec {
  const shape = { shape: 'gang' as const, jobClass: 'joint', taskCount: 4, singleZone: true };
  return sampleJob(id, { ...shape, checkpointS: 4, saveS: 1, estimateS: 15, ...change });
}

/** Lets the cluster run until the job is over, and some time beyond. */
async function finish(cluster: SimCluster, id: string, within: number): Promise<void> {
  for (let second = 0; second < within && !cluster.invariants.isComplete(id); second++)
    await cluster.run(SECOND);
  await cluster.run(20 * SECOND);
  assert.equal(cluster.lastStatuses.get(id), 'done');
}

async function untilGathered(cluster: SimCluster, id: string, tasks: number): Promise<string[]> {
  for (let step = 0; step < 600 && cluster.invariants.runningTasks(id).length < tasks; step++)
    await cluster.run(SECOND / 10);
  const hosts = cluster.invariants.runningTasks(id).map(({ host }) => host);
  assert.ok(hosts.length >= tasks, `${hosts.length} tasks are on machines`);
  return hosts;
}

test('a gang that can run is accepted, one that never can gets 422, another shape 400', async () => {
  const cluster = new SimCluster({ seed: 1 });
  const answers: number[] = [];
  const specs = [
    gang('j-1'),
    gang('j-1'),
    // Four tasks of 6 CPUs against a limit of 20; one alone would do.
    gang('j-2', { cpus: 6 }),
    gang('j-3', { spreadZones: true }),
    gang('j-4', { singleZone: false, spreadZones: true, zone: 'east' }),
    gang('j-5', { gpus: 1 }),
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
  const service = { ...encodeSubmission(gang('j-6')), Shape: 'service' };
  void cluster
    .sendUserRequest('j-6', { node: 0, method: 'POST', path: '/submissions', body: service })
    .then((status) => answers.push(status));
  await cluster.run(SECOND);
  assert.deepEqual(answers, [201, 200, 422, 422, 422, 422, 400]);
});

test('all tasks of a gang start together, in one zone', async () => {
  const cluster = new SimCluster({ seed: 2 });
  cluster.submit(gang('j-1'));
  await finish(cluster, 'j-1', 120);
  assert.equal(cluster.gangs.starts, 1);
});

test('a machine that dies under a running gang costs that attempt; the next one goes on from its checkpoint', async () => {
  const cluster = new SimCluster({ seed: 3 });
  cluster.submit(gang('j-1', { estimateS: 30 }));
  const [first] = await untilGathered(cluster, 'j-1', 4);
  await cluster.run(8 * SECOND);
  assert.equal(cluster.gangs.starts, 1);
  const host = cluster.cloud.hosts.get(first ?? '');
  assert.ok(host);
  cluster.cloud.crash(host);
  await finish(cluster, 'j-1', 160);
  assert.equal(cluster.gangs.starts, 2);
});

test('a machine that dies while the gang gathers: the rest is called off, and a new attempt begins', async () => {
  const cluster = new SimCluster({ seed: 4 });
  cluster.submit(gang('j-1', { imageGb: 6 }));
  const [first] = await untilGathered(cluster, 'j-1', 1);
  const host = cluster.cloud.hosts.get(first ?? '');
  assert.ok(host && cluster.gangs.starts === 0);
  cluster.cloud.crash(host);
  await finish(cluster, 'j-1', 160);
  assert.equal(cluster.gangs.starts, 1);
});

// Every record holds a few tasks and every commit one record, so that the start of six takes several of them.
test('an owner that ends between two parts of a start leaves no half of a gang behind', async () => {
  for (const seed of [5, 6, 7]) {
    const cluster = new SimCluster({ seed, settings: { valueBytes: 560, txnOps: 4 } });
    let cuts = 0;
    const isPart = (write: Record<string, unknown>): boolean =>
      String(write['Set']).startsWith(LOG_PREFIX) && JSON.stringify(write['V']).includes('"gang"');
    // The commit that completes the start gets lost with its owner: it lands late, if it lands at all.
    cluster.store.delaysCommit = (writes) => {
      const isCut = cuts === 0 && writes.some(isPart);
      if (!isCut) return false;
      cuts++;
      const owner = [...cluster.store.rows].find(([path]) => path === 'mw/now/share/0')?.[1].value['Member'];
      const index = Number(String(owner).split('-')[1]);
      cluster.clock.at(SECOND / 5, () => {
        cluster.killNode(index);
      });
      cluster.clock.at(6 * SECOND, () => {
        cluster.startNode(index);
      });
      return true;
    };
    cluster.submit(gang('j-1', { taskCount: 6, cpus: 1, memGb: 1 }));
    await finish(cluster, 'j-1', 160);
    assert.equal(cuts, 1);
    assert.equal(cluster.gangs.starts, 1);
  }
});

test('a gang that is cancelled while it gathers is gone in time', async () => {
  const cluster = new SimCluster({ seed: 8 });
  cluster.submit(gang('j-1', { imageGb: 4 }));
  await untilGathered(cluster, 'j-1', 1);
  void cluster.cancelJob('j-1', 1);
  await cluster.run(40 * SECOND);
  assert.equal(cluster.lastStatuses.get('j-1'), 'cancelled');
  assert.deepEqual(cluster.invariants.runningTasks('j-1'), []);
});

test('large gangs are not starved by a stream of small tasks on a full fleet', async () => {
  const cluster = new SimCluster({ seed: 9, capacity: 2 });
  for (let i = 0; i < 120; i++) {
    const small = sampleJob(`j-${100 + i}`, { taskCount: 2, cpus: 1, memGb: 1, estimateS: 6, imageGb: 0.2 });
    cluster.clock.at(i * SECOND, () => {
      cluster.submit(small);
    });
  }
  cluster.clock.at(40 * SECOND, () => {
    cluster.submit(gang('j-1', { taskCount: 6, allowsSpot: true }));
  });
  await cluster.run(130 * SECOND);
  assert.ok(cluster.gangs.starts > 0, 'the gang has not begun');
});
