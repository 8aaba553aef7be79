import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LEADER_KEY, SHARD_PREFIX } from '#cluster';
import { encodeSubmission, type Micros, SECOND, type JobSpec } from '#wire';
import { sampleJob } from './sample-job.js';
import { SimCluster } from './sim-cluster.js';
import type { SimClusterOptions } from './sim-cluster-options.js';

/** Creates a cluster and runs it until a long job of each of the two teams has running tasks. */
async function createBusyCluster(options: SimClusterOptions): Promise<SimCluster> {
  const cluster = new SimCluster(options);
  cluster.clock.at(2 * SECOND, () => {
    cluster.submit(sampleJob('j-1', { team: 'blue', taskCount: 6, estimateS: 60 }));
    cluster.submit(sampleJob('j-2', { team: 'green', taskCount: 6, estimateS: 60 }));
  });
  await cluster.run(40 * SECOND);
  assert.ok(cluster.invariants.starts >= 8, `only ${cluster.invariants.starts} starts`);
  return cluster;
}

/** Returns the index of a node with the given member name. */
function indexOf(member: unknown): number {
  return Number(String(member).slice('node-'.length));
}

function leaderOf(cluster: SimCluster): number {
  return indexOf(cluster.store.rows.get(LEADER_KEY)?.value['Member']);
}

/** Returns the nodes that own a shard. */
function ownersOf(cluster: SimCluster): Set<number> {
  const rows = [...cluster.store.rows].filter(([path]) => path.startsWith(SHARD_PREFIX));
  return new Set(rows.map(([, row]) => indexOf(row.value['Member'])));
}

/** Runs until the users of all given jobs have received the status `done`, and returns the time that it took. */
async function runUntilDone(cluster: SimCluster, jobs: readonly string[], limit: Micros): Promise<Micros> {
  const from = cluster.clock.time;
  while (!jobs.every((id) => cluster.lastStatuses.get(id) === 'done')) {
    assert.ok(cluster.clock.time - from < limit, `not done in time: ${jobs.join()}`);
    await cluster.run(SECOND);
  }
  return cluster.clock.time - from;
}

test('a machine that sends heartbeats but receives no responses is deleted, and its tasks run elsewhere', async () => {
  const cluster = await createBusyCluster({ seed: 41 });
  const unansweredWorker = [...cluster.workers.values()].find((w) => w.taskCount > 0);
  assert.ok(unansweredWorker);
  const { host } = unansweredWorker.machine;
  cluster.net.unansweredParties.add(host);
  await runUntilDone(cluster, ['j-1', 'j-2'], 170 * SECOND);
  assert.equal(cluster.workers.has(host), false, 'the machine has not been deleted');
});

test('all jobs end although duplicate heartbeats, up to several leases late, reach current and later shard owners', async () => {
  const cluster = await createBusyCluster({ seed: 42 });
  cluster.net.faults = { faultRate: 0, maxDelay: 0, duplicateRate: 1, maxDuplicateDelay: 45 * SECOND };
  for (let i = 0; i < 3; i++) {
    cluster.killNode(i);
    await cluster.run(0.3 * SECOND);
    cluster.startNode(i);
    await cluster.run(15 * SECOND);
  }
  await runUntilDone(cluster, ['j-1', 'j-2'], 150 * SECOND);
});

test('a node that the state service refuses stops answering workers once a peer has a newer fencing token', async () => {
  const cluster = await createBusyCluster({ seed: 43 });
  const isolated = [...ownersOf(cluster)].find((i) => i !== leaderOf(cluster)) ?? 0;
  cluster.store.refusedNodes.add(`node-${isolated}`);
  await cluster.run(9 * SECOND);
  const heartbeatsBefore = cluster.heartbeatCount(isolated);
  await cluster.run(6 * SECOND);
  assert.equal(cluster.heartbeatCount(isolated), heartbeatsBefore, 'the isolated node still answers workers');
  assert.equal(ownersOf(cluster).has(isolated), false);
  assert.equal(cluster.health(isolated), 503, 'the isolated node still reports healthy');
  cluster.store.refusedNodes.clear();
  await cluster.run(4 * SECOND);
  assert.equal(cluster.health(isolated), 200);
});

test('all nodes stay healthy during a state service outage, so that users are served at once afterwards', async () => {
  const cluster = await createBusyCluster({ seed: 47 });
  cluster.store.setOutage(true);
  for (let i = 0; i < 48; i++) {
    await cluster.run(SECOND / 4);
    const healths = [0, 1, 2].map((node) => cluster.health(node));
    assert.deepEqual(healths, [200, 200, 200], `after ${i / 4} s`);
  }
  cluster.store.setOutage(false);
  await runUntilDone(cluster, ['j-1', 'j-2'], 150 * SECOND);
});

test('a node without state service and peers stops answering workers within the renewal bound and later rejoins', async () => {
  const cluster = await createBusyCluster({ seed: 44 });
  const isolated = [...ownersOf(cluster)].find((i) => i !== leaderOf(cluster)) ?? 0;
  cluster.store.refusedNodes.add(`node-${isolated}`);
  cluster.refusePeers(isolated, true);
  await cluster.run(7 * SECOND);
  assert.equal(cluster.health(isolated), 503, 'the isolated node still reports healthy');
  // The two periods together are cancel_s minus lease_s of these settings.
  await cluster.run(9 * SECOND);
  const heartbeatsBefore = cluster.heartbeatCount(isolated);
  await cluster.run(10 * SECOND);
  assert.equal(cluster.heartbeatCount(isolated), heartbeatsBefore, 'the isolated node still answers workers');
  cluster.store.refusedNodes.delete(`node-${isolated}`);
  cluster.refusePeers(isolated, false);
  await runUntilDone(cluster, ['j-1', 'j-2'], 150 * SECOND);
  await cluster.run(10 * SECOND);
  assert.equal(ownersOf(cluster).has(isolated), true);
});

test('all jobs end although leaders restart within a fraction of a second, during the election that they caused', async () => {
  const cluster = await createBusyCluster({ seed: 45 });
  for (const pause of [0.05, 0.2, 0.4, 0.1]) {
    const leader = leaderOf(cluster);
    cluster.killNode(leader);
    await cluster.run(pause * SECOND);
    cluster.startNode(leader);
    // About the time at which the lease of its earlier process expires and the other nodes campaign for leadership.
    await cluster.run(3.1 * SECOND);
  }
  await cluster.run(5 * SECOND);
  assert.equal(ownersOf(cluster).size, 3);
  await runUntilDone(cluster, ['j-1', 'j-2'], 150 * SECOND);
});

test('on a full fleet a stream of small urgent jobs does not starve large jobs of low rank', async () => {
  const cluster = new SimCluster({ seed: 46, capacity: 1 });
  let nextJobNumber = 10;
  const submitSmallJob = (team: string): void => {
    const overrides: Partial<JobSpec> = { team, rank: 'urgent', taskCount: 4, cpus: 2, estimateS: 12 };
    cluster.submit(sampleJob(`j-${nextJobNumber++}`, { ...overrides, jobClass: 'patch' }));
  };
  const submitStream = (): void => {
    if (cluster.clock.time > 200 * SECOND) return;
    submitSmallJob('blue');
    submitSmallJob('green');
    cluster.clock.at(5 * SECOND, submitStream);
  };
  cluster.clock.at(2 * SECOND, submitStream);
  cluster.clock.at(20 * SECOND, () => {
    const overrides: Partial<JobSpec> = { rank: 'best_effort', taskCount: 40, cpus: 2, estimateS: 10 };
    cluster.submit(sampleJob('j-1', { ...overrides, jobClass: 'bulk', team: 'green' }));
    cluster.submit(sampleJob('j-2', { ...overrides, jobClass: 'bulk', team: 'blue' }));
  });
  await cluster.run(700 * SECOND);
  assert.deepEqual(cluster.invariants.neglectedGroups(), []);
});

test('a node that is suspended for longer than its lease answers no worker meanwhile and owns shards again afterwards', async () => {
  for (const [seed, pause] of [
    [61, 5],
    [62, 11],
    [63, 28],
  ] as const) {
    const cluster = await createBusyCluster({ seed });
    const suspended = [...ownersOf(cluster)].find((i) => i !== leaderOf(cluster)) ?? 0;
    cluster.suspendNode(suspended, pause * SECOND);
    await cluster.run(4.5 * SECOND);
    assert.equal(ownersOf(cluster).has(suspended), false, 'its shards have not been reassigned');
    const before = cluster.heartbeatCount(suspended);
    await cluster.run((pause - 4.5) * SECOND);
    assert.equal(cluster.heartbeatCount(suspended), before, 'the suspended node answered a worker');
    await cluster.run(12 * SECOND);
    assert.equal(ownersOf(cluster).has(suspended), true);
    await runUntilDone(cluster, ['j-1', 'j-2'], 150 * SECOND);
  }
});

test('during faults no invalid request is accepted, and invalid resubmissions do not affect accepted jobs', async () => {
  const cluster = await createBusyCluster({ seed: 48 });
  const acceptedJob = sampleJob('j-1', { team: 'blue', taskCount: 6, estimateS: 60 });
  const infeasible = { team: 'blue', cpus: 64 };
  const post = async (id: string, node: number, body: unknown): Promise<number> => {
    let status = 0;
    void cluster
      .sendUserRequest(id, { node, method: 'POST', path: '/submissions', body })
      .then((s) => (status = s));
    await cluster.run(2.5 * SECOND);
    return status;
  };
  const withoutRank = (spec: JobSpec): object => ({ ...encodeSubmission(spec), Rank: undefined });
  const checkAnswers = async (node: number): Promise<void> => {
    // The checker reports `forgotten` if a request for an accepted job is answered with 400 or 422.
    assert.equal(await post('j-1', node, encodeSubmission(acceptedJob)), 200);
    assert.equal(await post('j-1', node, encodeSubmission({ ...acceptedJob, ...infeasible })), 200);
    assert.equal(await post('j-1', node, withoutRank(acceptedJob)), 200);
    assert.equal(await post('j-9', node, withoutRank(sampleJob('j-9'))), 400);
    assert.equal(await post('j-9', node, encodeSubmission(sampleJob('j-9', infeasible))), 422);
    assert.equal(await post('j-9', node, encodeSubmission(sampleJob('j-9', { team: 'nobody' }))), 422);
    assert.equal(await post('j-9', node, encodeSubmission(sampleJob('j-9', { machineTypes: [] }))), 422);
    assert.equal(
      await post('j-9', node, encodeSubmission(sampleJob('j-9', { machineTypes: ['large'], zone: 'west' }))),
      422,
    );
  };
  await checkAnswers(0);
  // A process that has just started may not have loaded its state yet. It then answers 503 without delay.
  cluster.killNode(1);
  cluster.startNode(1);
  const earlyStatus = await post('j-9', 1, encodeSubmission(sampleJob('j-9', infeasible)));
  assert.ok(earlyStatus === 503 || earlyStatus === 422, `${earlyStatus}`);
  await cluster.run(3 * SECOND);
  cluster.cloud.isUnavailable = true;
  cluster.net.slowdowns.set('10.2.0.1:2379', 8);
  await checkAnswers(1);
  cluster.net.slowdowns.clear();
  cluster.store.setOutage(true);
  assert.equal(await post('j-1', 2, encodeSubmission(acceptedJob)), 503);
  assert.equal(await post('j-9', 2, encodeSubmission(sampleJob('j-9'))), 503);
  cluster.store.setOutage(false);
  cluster.cloud.isUnavailable = false;
  await cluster.run(2 * SECOND);
  await runUntilDone(cluster, ['j-1', 'j-2'], 150 * SECOND);
  await checkAnswers(2);
});

test('a job that fails on every machine is retried with one task at a time and ends with its cancellation', async () => {
  const cluster = new SimCluster({ seed: 49 });
  cluster.clock.at(2 * SECOND, () => {
    cluster.submit(
      sampleJob('j-1', { team: 'blue', taskCount: 10, estimateS: 20, jobClass: 'broken' }),
      145 * SECOND,
    );
    cluster.submit(sampleJob('j-2', { team: 'blue', taskCount: 30, estimateS: 20 }));
  });
  // By this time the first attempts have failed on all machines.
  await cluster.run(80 * SECOND);
  const before = cluster.invariants.starts;
  let maxRunning = 0;
  for (let i = 0; i < 65; i++) {
    await cluster.run(SECOND);
    maxRunning = Math.max(maxRunning, cluster.invariants.runningTasks('j-1').length);
  }
  assert.ok(cluster.invariants.starts > before, 'the job is not retried');
  assert.equal(maxRunning, 1);
  assert.equal(cluster.lastStatuses.get('j-2'), 'done');
  await cluster.run(30 * SECOND);
  assert.equal(cluster.lastStatuses.get('j-1'), 'cancelled');
});

// Guards against this failure: the node kept its shards, because its peers and the state service still reached it, and
// the other nodes referred its workers back to it until their leases expired.
test('a node that loses only its workers hands off its shards before the worker leases expire', async () => {
  const cluster = new SimCluster({ seed: 121, settings: { stateRps: 200, stateWriteRps: 80 } });
  cluster.clock.at(2 * SECOND, () => {
    cluster.submit(sampleJob('j-0', { team: 'blue', taskCount: 8, estimateS: 300 }));
    cluster.submit(sampleJob('j-1', { team: 'green', taskCount: 8, estimateS: 300 }));
  });
  await cluster.run(40 * SECOND);
  const running = (): string[] =>
    ['j-0', 'j-1'].flatMap((id) =>
      cluster.invariants.runningTasks(id).map(({ taskName, host }) => `${taskName} on ${host}`),
    );
  const before = running();
  const workerCounts = new Map<number, number>();
  for (const w of cluster.workers.values())
    workerCounts.set(w.nodeIndex, (workerCounts.get(w.nodeIndex) ?? 0) + 1);
  const [node, workers] = [...workerCounts].sort((a, b) => b[1] - a[1])[0] ?? [0, 0];
  assert.ok(workers >= 2, 'no node receives heartbeats of two workers');
  const links = [...cluster.workers.keys()].map((name) => `${name}>10.0.0.${node}:80`);
  for (const link of links) cluster.net.refusedLinks.add(link);
  await cluster.run(15 * SECOND);
  const heartbeatsBefore = cluster.heartbeatCount(node);
  await cluster.run(15 * SECOND);
  assert.equal(cluster.heartbeatCount(node), heartbeatsBefore);
  assert.equal(cluster.health(node), 200);
  const after = running();
  assert.deepEqual(
    before.filter((task) => !after.includes(task)),
    [],
  );
  // Once the workers reach the node again, it owns shards again after some time.
  for (const link of links) cluster.net.refusedLinks.delete(link);
  await cluster.run(60 * SECOND);
  assert.ok(cluster.heartbeatCount(node) > heartbeatsBefore, 'the node got no shard again');
});
