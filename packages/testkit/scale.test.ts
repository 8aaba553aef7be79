import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobKey, terminalKey } from '#cluster';
import { SECOND } from '#wire';
import { sampleJob } from './sample-job.js';
import { SAMPLE_TYPES } from './sample-settings.js';
import { SimCluster } from './sim-cluster.js';

test('a job of 100,000 tasks is taken and worked on, and a small one beside it is not held up', async () => {
  const cluster = new SimCluster({ seed: 77 });
  cluster.clock.at(2 * SECOND, () => {
    cluster.submit(sampleJob('j-1', { taskCount: 100_000, cpus: 1, estimateS: 1, team: 'blue' }));
  });
  cluster.clock.at(30 * SECOND, () => {
    cluster.submit(sampleJob('j-2', { taskCount: 2, estimateS: 2, team: 'green' }));
  });
  await cluster.run(120 * SECOND);
  assert.equal(cluster.lastStatuses.get('j-1'), 'running');
  assert.equal(cluster.lastStatuses.get('j-2'), 'done');
  assert.ok(cluster.invariants.starts > 300, `only ${cluster.invariants.starts} starts`);
});

test('a fleet of three hundred machines and its tasks fit into the budgets of the state service', async () => {
  const zones = ['east', 'west'];
  const type = { name: 'small', cpus: 4, gpus: 0, memGb: 16, cacheGb: 60, fetchGbPerS: 0.5 };
  const cluster = new SimCluster({
    seed: 78,
    capacity: 80,
    types: [{ ...type, price: 0.24, spotPrice: 0.09, bootS: 10, zones }],
    settings: {
      teams: ['blue', 'green', 'red'].map((name) => ({ name, cpus: 500, cpusMax: 900, gpus: 0, gpusMax: 0 })),
      ...{ stateRps: 60, stateWriteRps: 20, valueBytes: 4096, txnOps: 8 },
    },
  });
  let n = 0;
  const arrive = (): void => {
    if (cluster.clock.time > 30 * SECOND) return;
    const team = ['blue', 'green', 'red'][n % 3] as string;
    cluster.submit(sampleJob(`j-${n++}`, { team, taskCount: 60, estimateS: 15, image: `img-${n % 5}` }));
    cluster.clock.at(SECOND, arrive);
  };
  cluster.clock.at(2 * SECOND, arrive);
  let most = 0;
  for (let i = 0; i < 9; i++) {
    await cluster.run(10 * SECOND);
    most = Math.max(most, cluster.workers.size);
  }
  assert.ok(most >= 240, `only ${most} machines`);
  assert.ok(cluster.invariants.starts > 1500, `only ${cluster.invariants.starts} starts`);
  assert.deepEqual(cluster.invariants.unfinishedJobs(), []);
  const { requestCount: asked, refusedRequestCount: refused } = cluster.store;
  assert.ok(refused < asked * 0.02, `${refused} of ${asked} requests refused`);
});

test('for a claim whose room is being freed no further task is stopped', async () => {
  // On two of these seeds those stopped used to claim, as within the guarantee, what they were stopped for.
  for (const seed of [71, 79, 80]) assert.equal(await stoppedForTwo(seed), 4);
});

/** Tasks that are stopped for two that need a machine each, of two such tasks on every machine. */
async function stoppedForTwo(seed: number): Promise<number> {
  const types = SAMPLE_TYPES.filter((t) => t.name === 'small');
  const cluster = new SimCluster({ seed, capacity: 1, types });
  cluster.clock.at(2 * SECOND, () => {
    const saving = { rank: 'best_effort' as const, checkpointS: 2, saveS: 8, estimateS: 400, cpus: 2 };
    cluster.submit(sampleJob('j-0', { ...saving, team: 'blue', taskCount: 6, memGb: 7 }));
    cluster.submit(sampleJob('j-1', { ...saving, team: 'green', taskCount: 2, memGb: 7 }));
  });
  await cluster.run(100 * SECOND);
  const change = { rank: 'prod' as const, team: 'green', taskCount: 2, cpus: 4, memGb: 14 };
  cluster.submit(sampleJob('j-9', { ...change, estimateS: 10 }));
  await cluster.run(60 * SECOND);
  assert.equal(cluster.lastStatuses.get('j-9'), 'done');
  return [...cluster.workers.values()].reduce((sum, w) => sum + w.stopCount, 0);
}

// A machine that came up used to be told of its first task a whole time between two reports later.
test('a machine that comes up while tasks wait gets one with the answer to its first report', async () => {
  const settings = {
    heartbeatInterval: 6 * SECOND,
    workerLease: 20 * SECOND,
    cancellationDeadline: 45 * SECOND,
  };
  const cluster = new SimCluster({
    seed: 80,
    settings,
    types: SAMPLE_TYPES.filter((t) => t.name === 'small'),
  });
  cluster.clock.at(2 * SECOND, () => {
    cluster.submit(sampleJob('j-1', { team: 'blue', taskCount: 10, estimateS: 60 }));
    cluster.submit(sampleJob('j-2', { team: 'green', taskCount: 8, estimateS: 60 }));
  });
  const upAt = new Map<string, number>();
  const waits: number[] = [];
  while (waits.length < 8 && cluster.clock.time < 60 * SECOND) {
    await cluster.run(SECOND / 4);
    for (const [host, worker] of cluster.workers) {
      const since = upAt.get(host) ?? cluster.clock.time;
      upAt.set(host, since);
      if (worker.taskCount === 0 || since < 0) continue;
      waits.push(cluster.clock.time - since);
      upAt.set(host, -1);
    }
  }
  assert.equal(waits.length, 8);
  // Of three nodes the first that it asks may be another's, and it may come up between two rounds.
  waits.sort((a, b) => a - b);
  assert.ok((waits[5] ?? Infinity) < 4 * SECOND, waits.map((w) => w / SECOND).join());
});

// Each end took two changes out of an even part of what the nodes may have: on a share with hundreds of small jobs
// ends came minutes late, and its rounds with them, while the other nodes used next to nothing.
test('hundreds of small jobs of one team end in time, and are put away', async () => {
  const teams = ['blue', 'green', 'red'].map((name) => ({
    ...{ name, cpus: 0, cpusMax: Infinity, gpus: 0, gpusMax: Infinity },
  }));
  const cluster = new SimCluster({ seed: 81, capacity: 10, settings: { teams, stateWriteRps: 20 } });
  const small = { team: 'blue', taskCount: 1, cpus: 0.25, memGb: 0.5, estimateS: 12 };
  const ids = [...Array(150).keys()].map((i) => `j-${i}`);
  ids.forEach((id, i) => {
    cluster.clock.at(SECOND * (2 + i / 5), () => {
      cluster.submit(sampleJob(id, small));
    });
  });
  const isOver = (id: string): boolean =>
    cluster.store.rows.get(jobKey(id))?.value['Status'] !== undefined ||
    cluster.store.rows.has(terminalKey(id));
  const endedAt = new Map<string, number>();
  const lags = new Map<string, number>();
  while (lags.size < ids.length && cluster.clock.time < 120 * SECOND) {
    await cluster.run(SECOND / 4);
    for (const id of ids.filter((job) => !lags.has(job) && cluster.invariants.isComplete(job))) {
      if (!endedAt.has(id)) endedAt.set(id, cluster.clock.time);
      if (isOver(id)) lags.set(id, cluster.clock.time - (endedAt.get(id) ?? 0));
    }
  }
  assert.equal(lags.size, ids.length);
  const longest = Math.max(...lags.values());
  assert.ok(longest < 5 * SECOND, `the last came ${longest / SECOND} s late`);
  await cluster.run(90 * SECOND);
  const left = ids.filter((id) => cluster.store.rows.has(jobKey(id)));
  assert.deepEqual(left, [], 'still read by every process that starts');
  for (let node = 0; node < 3; node++) cluster.killNode(node);
  for (let node = 0; node < 3; node++) cluster.startNode(node);
  await cluster.run(10 * SECOND);
  for (const id of ids.slice(0, 10))
    void cluster.sendUserRequest(id, { node: 1, method: 'GET', path: `/submissions/${id}` });
  await cluster.run(3 * SECOND);
  for (const id of ids) assert.equal(cluster.lastStatuses.get(id), 'done');
});

// A guest's large job, begun while there was room and waiting ever since, outranked the teams' work on a full fleet.
test('what has begun of the work of guests takes no room from work that came later', async () => {
  const none = { cpus: 0, cpusMax: Infinity, gpus: 0, gpusMax: Infinity };
  const teams = [
    { name: 'blue', cpus: 4, cpusMax: 200, gpus: 0, gpusMax: 0 },
    { name: 'guest', ...none },
  ];
  const cluster = new SimCluster({ seed: 82, nodes: 1, capacity: 1, settings: { teams } });
  const low = { rank: 'best_effort' as const, estimateS: 15, cpus: 2 };
  cluster.clock.at(2 * SECOND, () => {
    cluster.submit(sampleJob('j-1', { ...low, team: 'guest', taskCount: 300 }));
  });
  await cluster.run(150 * SECOND);
  assert.ok(cluster.invariants.runningTasks('j-1').length > 8, 'the guest has no room');
  cluster.submit(sampleJob('j-2', { ...low, team: 'blue', taskCount: 24 }));
  await cluster.run(60 * SECOND);
  assert.equal(cluster.lastStatuses.get('j-2'), 'done');
  assert.equal(cluster.invariants.isComplete('j-1'), false);
  assert.ok(cluster.invariants.runningTasks('j-1').length > 8, 'spare room is not for guests');
});
