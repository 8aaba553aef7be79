/** Rolling upgrades from the production version to the current one, and a state service that lowers its limits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encodeSubmission, SECOND } from '#wire';
import { loadProductionVersion } from './production-version.js';
import { randomArray, randomJob } from './random-jobs.js';
import { sampleJob } from './sample-job.js';
import { scheduleRandomFaults, submitRandomJobs } from './random-runs.js';
import { SimCluster } from './sim-cluster.js';

const version = await loadProductionVersion();

/** True if every node runs the current version. */
function isUpgraded(cluster: SimCluster): boolean {
  return ![...Array(cluster.nodeCount).keys()].some((i) => cluster.runsProductionVersion(i));
}

/** Submits jobs until the given second. As users promise, gangs come only once every node runs the current version. */
function submitJobs(cluster: SimCluster, until: number): void {
  submitRandomJobs(cluster, {
    until: until * SECOND,
    maxGapS: 5,
    cancellation: { rate: 0.15, withinS: 20 },
    createJob: (random, jobNumber) => (isUpgraded(cluster) ? randomJob : randomArray)(random, jobNumber),
  });
}

/** Upgrades one node after the other. A node that is down at its turn comes back with the current version. */
function scheduleRollingUpgrade(cluster: SimCluster, firstAt: number, every: number, downFor: number): void {
  for (let i = 0; i < cluster.nodeCount; i++) {
    cluster.clock.at((firstAt + i * every) * SECOND, () => {
      cluster.upgradeNode(i, downFor * SECOND);
    });
  }
}

const [FROM, RUNS] = [Number(process.env['UPGRADE_FROM'] ?? 1), Number(process.env['UPGRADE_RUNS'] ?? 6)];
for (let seed = FROM; seed < FROM + RUNS; seed++) {
  test(`invariants hold during a rolling upgrade under random faults and falling limits, seed ${seed}`, async () => {
    const productionLimits = { valueBytes: 1400, txnOps: 6, stateWriteRps: 40 };
    const settings = { valueBytes: 700, txnOps: 4, stateWriteRps: 28 };
    const cluster = new SimCluster({ seed, settings, production: { version, settings: productionLimits } });
    cluster.store.lowerLimits({
      valueBytes: productionLimits.valueBytes,
      txnOps: productionLimits.txnOps,
      writeRps: productionLimits.stateWriteRps,
    });
    const { random, clock } = cluster;
    submitJobs(cluster, 170);
    scheduleRollingUpgrade(cluster, 40 + random() * 10, 6 + random() * 12, 1 + random() * 6);
    clock.at((100 + random() * 10) * SECOND, () => {
      cluster.store.lowerLimits({ valueBytes: 700, txnOps: 4, writeRps: 28 });
    });
    scheduleRandomFaults(cluster, { from: 25 * SECOND, until: 170 * SECOND, minGapS: 4, extraGapS: 22 });
    await cluster.run(250 * SECOND);
    cluster.invariants.faultsEnded(clock.time);
    await cluster.run(150 * SECOND);
    assert.ok(cluster.invariants.starts > 20, `only ${cluster.invariants.starts} starts`);
    assert.ok(cluster.gangs.starts > 0, 'no gang started');
    assert.equal(cluster.store.oversizedWriteCount, 0, 'a write exceeded limits that had been announced');
    assert.deepEqual(cluster.invariants.unfinishedJobs(), []);
    assert.deepEqual(cluster.invariants.neglectedGroups(), []);
  });
}

test('a gang is refused with 503 while a node may run the old version, and accepted afterwards', async () => {
  const cluster = new SimCluster({ seed: 5, production: { version } });
  const gang = sampleJob('j-000001', { shape: 'gang', taskCount: 3 });
  const submit = (node: number): Promise<number> =>
    cluster.sendUserRequest(gang.id, {
      node,
      method: 'POST',
      path: '/submissions',
      body: encodeSubmission(gang),
    });
  cluster.specs.set(gang.id, gang);
  cluster.invariants.jobSubmitted(gang, 0);
  const answers: (string | number)[] = [];
  const submitAt = (second: number, node: number): void => {
    cluster.clock.at(second * SECOND, () => void submit(node).then((status) => answers.push(status)));
  };
  const scheduleUpgrade = (second: number, node: number, downFor: number): void => {
    cluster.clock.at(second * SECOND, () => {
      cluster.upgradeNode(node, downFor * SECOND);
    });
  };
  scheduleUpgrade(10, 0, 2);
  scheduleUpgrade(20, 1, 2);
  submitAt(30, 0);
  // At the second request the last old node is down. It has announced no capabilities and might come back unupgraded.
  scheduleUpgrade(40, 2, 20);
  submitAt(50, 1);
  submitAt(75, 2);
  await cluster.run(80 * SECOND);
  assert.deepEqual(answers, [503, 503, 201]);
});

test('limits that are lowered without notice, also during an outage, are detected by the first refused writes', async () => {
  const cluster = new SimCluster({ seed: 9, settings: { valueBytes: 2048, txnOps: 8 } });
  submitJobs(cluster, 120);
  cluster.clock.at(50 * SECOND, () => {
    cluster.store.setOutage(true);
    cluster.store.lowerLimits({ valueBytes: 800, txnOps: 3, writeRps: 20 });
  });
  cluster.clock.at(58 * SECOND, () => {
    cluster.store.setOutage(false);
  });
  // Another node takes over the shards of node 0 shortly after the outage.
  cluster.clock.at(59 * SECOND, () => {
    cluster.killNode(0);
  });
  cluster.clock.at(64 * SECOND, () => {
    cluster.startNode(0);
  });
  await cluster.run(130 * SECOND);
  cluster.invariants.faultsEnded(cluster.clock.time);
  await cluster.run(130 * SECOND);
  assert.ok(cluster.store.oversizedWriteCount > 0, 'no write was too large');
  assert.ok(
    cluster.store.oversizedWriteCount < 40,
    `${cluster.store.oversizedWriteCount} writes were too large`,
  );
  assert.deepEqual(cluster.invariants.unfinishedJobs(), []);
});

test('before all nodes are upgraded the current version writes no field that the production version does not know', async () => {
  const cluster = new SimCluster({ seed: 3, production: { version } });
  submitJobs(cluster, 60);
  cluster.clock.at(15 * SECOND, () => {
    cluster.upgradeNode(0, SECOND);
  });
  cluster.clock.at(30 * SECOND, () => {
    cluster.upgradeNode(1, SECOND);
  });
  await cluster.run(90 * SECOND);
  const text = JSON.stringify([...cluster.store.rows.values()].map((row) => row.value));
  for (const field of ['"gang"', '"gangSize"']) assert.ok(!text.includes(field), field);
  const members = [...cluster.store.rows].filter(([key]) => key.startsWith('mw/now/member/'));
  const announced = members.map(([, { value }]) => value['Capabilities'] !== undefined);
  assert.deepEqual(announced, [true, true, false]);
});
