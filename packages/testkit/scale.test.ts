import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobKey, terminalKey } from '#cluster';
import { SECOND } from '#wire';
import { sampleJob } from './sample-job.js';
import { SAMPLE_TYPES } from './sample-settings.js';
import { SimCluster } from './sim-cluster.js';

test('a job of 100,000 tasks is accepted and runs, and does not delay a small job next to it', async () => {
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

test('a fleet of three hundred machines stays within the rate limits of the state service', async () => {
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
  let jobCount = 0;
  const submitNext = (): void => {
    if (cluster.clock.time > 30 * SECOND) return;
    const team = ['blue', 'green', 'red'][jobCount % 3] as string;
    cluster.submit(
      sampleJob(`j-${jobCount++}`, { team, taskCount: 60, estimateS: 15, image: `img-${jobCount % 5}` }),
    );
    cluster.clock.at(SECOND, submitNext);
  };
  cluster.clock.at(2 * SECOND, submitNext);
  let maxMachines = 0;
  for (let i = 0; i < 9; i++) {
    await cluster.run(10 * SECOND);
    maxMachines = Math.max(maxMachines, cluster.workers.size);
  }
  assert.ok(maxMachines >= 240, `only ${maxMachines} machines`);
  assert.ok(cluster.invariants.starts > 1500, `only ${cluster.invariants.starts} starts`);
  assert.deepEqual(cluster.invariants.unfinishedJobs(), []);
  const { requestCount: asked, refusedRequestCount: refused } = cluster.store;
  assert.ok(refused < asked * 0.02, `${refused} of ${asked} requests refused`);
});

test('no further task is preempted for a task whose capacity is already being freed', async () => {
  // Guards against this failure, seen with two of these seeds: preempted tasks, being within the guaranteed quota of
  // their team, reclaimed the capacity that they had been preempted for.
  for (const seed of [71, 79, 80]) assert.equal(await countPreemptionsForTwoTasks(seed), 4);
});

/**
 * Returns the number of tasks that are preempted for two new tasks. Each new task needs a whole machine, and every
 * machine runs two preemptible tasks.
 */
async function countPreemptionsForTwoTasks(seed: number): Promise<number> {
  const types = SAMPLE_TYPES.filter((t) => t.name === 'small');
  const cluster = new SimCluster({ seed, capacity: 1, types });
  cluster.clock.at(2 * SECOND, () => {
    const checkpointing = { rank: 'best_effort' as const, checkpointS: 2, saveS: 8, estimateS: 400, cpus: 2 };
    cluster.submit(sampleJob('j-0', { ...checkpointing, team: 'blue', taskCount: 6, memGb: 7 }));
    cluster.submit(sampleJob('j-1', { ...checkpointing, team: 'green', taskCount: 2, memGb: 7 }));
  });
  await cluster.run(100 * SECOND);
  const overrides = { rank: 'prod' as const, team: 'green', taskCount: 2, cpus: 4, memGb: 14 };
  cluster.submit(sampleJob('j-9', { ...overrides, estimateS: 10 }));
  await cluster.run(60 * SECOND);
  assert.equal(cluster.lastStatuses.get('j-9'), 'done');
  return [...cluster.workers.values()].reduce((sum, w) => sum + w.stopCount, 0);
}

// Guards against this failure: a new machine received its first task only one heartbeat interval after its first
// heartbeat.
test('a machine that comes up while tasks wait receives a task with the response to its first heartbeat', async () => {
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
  const startDelays: number[] = [];
  while (startDelays.length < 8 && cluster.clock.time < 60 * SECOND) {
    await cluster.run(SECOND / 4);
    for (const [host, worker] of cluster.workers) {
      const since = upAt.get(host) ?? cluster.clock.time;
      upAt.set(host, since);
      if (worker.taskCount === 0 || since < 0) continue;
      startDelays.push(cluster.clock.time - since);
      upAt.set(host, -1);
    }
  }
  assert.equal(startDelays.length, 8);
  // Two of the eight may take longer: the first node that a worker contacts may not own its shard, and a machine may
  // come up between two scheduling rounds.
  startDelays.sort((a, b) => a - b);
  assert.ok((startDelays[5] ?? Infinity) < 4 * SECOND, startDelays.map((w) => w / SECOND).join());
});

// Guards against this failure: the end of each job took two writes, and the write budget was divided evenly among the
// nodes. On a shard with hundreds of small jobs, job ends and scheduling rounds were minutes late, while the other
// nodes used almost none of their budget.
test('hundreds of small jobs of one team end in time and are archived', async () => {
  const teams = ['blue', 'green', 'red'].map((name) => ({
    ...{ name, cpus: 0, cpusMax: Infinity, gpus: 0, gpusMax: Infinity },
  }));
  const cluster = new SimCluster({ seed: 81, capacity: 10, settings: { teams, stateWriteRps: 20 } });
  const smallJob = { team: 'blue', taskCount: 1, cpus: 0.25, memGb: 0.5, estimateS: 12 };
  const ids = [...Array(150).keys()].map((i) => `j-${i}`);
  ids.forEach((id, i) => {
    cluster.clock.at(SECOND * (2 + i / 5), () => {
      cluster.submit(sampleJob(id, smallJob));
    });
  });
  const isEndStored = (id: string): boolean =>
    cluster.store.rows.get(jobKey(id))?.value['Status'] !== undefined ||
    cluster.store.rows.has(terminalKey(id));
  const endedAt = new Map<string, number>();
  const lags = new Map<string, number>();
  while (lags.size < ids.length && cluster.clock.time < 120 * SECOND) {
    await cluster.run(SECOND / 4);
    for (const id of ids.filter((job) => !lags.has(job) && cluster.invariants.isJobComplete(job))) {
      if (!endedAt.has(id)) endedAt.set(id, cluster.clock.time);
      if (isEndStored(id)) lags.set(id, cluster.clock.time - (endedAt.get(id) ?? 0));
    }
  }
  assert.equal(lags.size, ids.length);
  const longest = Math.max(...lags.values());
  assert.ok(longest < 5 * SECOND, `the end of a job was recorded ${longest / SECOND} s late`);
  await cluster.run(90 * SECOND);
  const notArchived = ids.filter((id) => cluster.store.rows.has(jobKey(id)));
  assert.deepEqual(
    notArchived,
    [],
    'ended jobs are not archived, so that every starting process still reads them',
  );
  for (let node = 0; node < 3; node++) cluster.killNode(node);
  for (let node = 0; node < 3; node++) cluster.startNode(node);
  await cluster.run(10 * SECOND);
  for (const id of ids.slice(0, 10))
    void cluster.sendUserRequest(id, { node: 1, method: 'GET', path: `/submissions/${id}` });
  await cluster.run(3 * SECOND);
  for (const id of ids) assert.equal(cluster.lastStatuses.get(id), 'done');
});

// Guards against this failure: a large guest job that had started while there was free capacity, and had been waiting
// since, took precedence over the teams' jobs on a full fleet.
test('a partly started guest job takes no capacity from a later job of a team with guaranteed quota', async () => {
  const noQuota = { cpus: 0, cpusMax: Infinity, gpus: 0, gpusMax: Infinity };
  const teams = [
    { name: 'blue', cpus: 4, cpusMax: 200, gpus: 0, gpusMax: 0 },
    { name: 'guest', ...noQuota },
  ];
  const cluster = new SimCluster({ seed: 82, nodes: 1, capacity: 1, settings: { teams } });
  const lowRankJob = { rank: 'best_effort' as const, estimateS: 15, cpus: 2 };
  cluster.clock.at(2 * SECOND, () => {
    cluster.submit(sampleJob('j-1', { ...lowRankJob, team: 'guest', taskCount: 300 }));
  });
  await cluster.run(150 * SECOND);
  assert.ok(cluster.invariants.runningTasks('j-1').length > 8, 'the guest job has no capacity');
  cluster.submit(sampleJob('j-2', { ...lowRankJob, team: 'blue', taskCount: 24 }));
  await cluster.run(60 * SECOND);
  assert.equal(cluster.lastStatuses.get('j-2'), 'done');
  assert.equal(cluster.invariants.isJobComplete('j-1'), false);
  assert.ok(
    cluster.invariants.runningTasks('j-1').length > 8,
    'the guest job does not get the spare capacity',
  );
});
