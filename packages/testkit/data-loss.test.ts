/**
 * The state service loses data. Nodes that detect the loss do nothing that the lost data would forbid, no task runs
 * twice, and all jobs end once the state is restored. docs/recovery.md lists the cases.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CHECKPOINT_CHUNK_PREFIX,
  JOB_PREFIX,
  LOG_PREFIX,
  TERMINAL_PREFIX,
  FENCING_TOKEN_KEY,
} from '#cluster';
import { SECOND } from '#wire';
import { loadProductionVersion } from './production-version.js';
import { sampleJob } from './sample-job.js';
import { SimCluster } from './sim-cluster.js';
import {
  assertDataLossStates,
  finishAllJobs,
  dataLossStatusOf,
  createDataLossCluster,
} from './data-loss-cluster.js';

/** Longer than any lease, and than the bound up to which leases are renewed without the state service. */
const LONGER_THAN_LEASES = 40 * SECOND;

/** Returns a counter of the transactions that are applied from now on. */
function countCommits({ store }: SimCluster): { count: number } {
  const commits = { count: 0 };
  const { afterApply } = store;
  store.afterApply = (writes) => {
    commits.count++;
    afterApply(writes);
  };
  return commits;
}

test('after a total loss no node starts a task or commits, and all jobs end once the state is restored', async () => {
  for (const seed of [601, 602]) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(50 * SECOND);
    const fullBackup = cluster.store.backup();
    cluster.store.wipe();
    await cluster.run(4 * SECOND);
    assertDataLossStates(cluster, 'frozen');
    const { starts } = cluster.invariants;
    const commits = countCommits(cluster);
    await cluster.run(LONGER_THAN_LEASES);
    assert.equal(cluster.invariants.starts, starts, 'a task was started');
    assert.equal(commits.count, 0, 'a transaction was applied');
    cluster.store.restore(fullBackup);
    await finishAllJobs(cluster);
  }
});

test('after the state is rolled back while watches are open no node starts a task or forgets a job', async () => {
  for (const [seed, rewoundTime] of [
    [611, 25 * SECOND],
    [613, SECOND],
  ] as const) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(30 * SECOND);
    const olderBackup = cluster.store.backup();
    await cluster.run(rewoundTime);
    const fullBackup = cluster.store.backup();
    cluster.store.restore(olderBackup);
    await cluster.run(4 * SECOND);
    assertDataLossStates(cluster, 'frozen');
    const { starts } = cluster.invariants;
    await cluster.run(LONGER_THAN_LEASES);
    assert.equal(cluster.invariants.starts, starts, 'a task was started');
    cluster.store.restore(fullBackup);
    await finishAllJobs(cluster);
  }
});

test('with all controllers down at the loss, the heartbeats of the workers reveal it', async () => {
  for (const [seed, isWiped] of [
    [621, true],
    [623, false],
  ] as const) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(30 * SECOND);
    const olderBackup = cluster.store.backup();
    await cluster.run(20 * SECOND);
    const fullBackup = cluster.store.backup();
    for (let i = 0; i < cluster.nodeCount; i++) cluster.killNode(i);
    if (isWiped) cluster.store.wipe();
    else cluster.store.restore(olderBackup);
    const commits = countCommits(cluster);
    for (let i = 0; i < cluster.nodeCount; i++) cluster.startNode(i);
    await cluster.run(10 * SECOND);
    assertDataLossStates(cluster, 'frozen');
    assert.equal(commits.count, 0, 'a transaction was applied');
    cluster.store.restore(fullBackup);
    await finishAllJobs(cluster);
  }
});

test('a controller that restarts during the loss learns of it from its peers', async () => {
  for (const seed of [632, 633]) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(45 * SECOND);
    const olderBackup = cluster.store.backup();
    await cluster.run(5 * SECOND);
    const fullBackup = cluster.store.backup();
    assert.ok(
      fullBackup.revision > olderBackup.revision,
      'no transaction was applied since the older backup',
    );
    cluster.store.restore(olderBackup);
    cluster.killNode(0);
    // The first request of each other node after the loss may be a commit. The node rejects its result.
    await cluster.run(3 * SECOND);
    const commits = countCommits(cluster);
    cluster.startNode(0);
    await cluster.run(8 * SECOND);
    assertDataLossStates(cluster, 'frozen');
    assert.equal(commits.count, 0, 'a transaction was applied');
    cluster.store.restore(fullBackup);
    await finishAllJobs(cluster);
  }
});

test('the loss of keys that no node ever removes is detected, and all jobs end once they are restored', async () => {
  const cases: [number, string, (key: string) => boolean][] = [
    [641, 'token', (key) => key === FENCING_TOKEN_KEY],
    [
      642,
      'the middle of a log',
      (key) => key.startsWith(`${LOG_PREFIX}0/`) && Number(key.slice(-4)) % 5 === 2,
    ],
    [643, 'jobs', (key) => key.startsWith(JOB_PREFIX)],
    [644, 'the statuses of ended jobs', (key) => key.startsWith(TERMINAL_PREFIX)],
  ];
  for (const [seed, lostData, isLost] of cases) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(50 * SECOND);
    const fullBackup = cluster.store.backup();
    const lostKeys = cluster.store.loseKeys(isLost, true);
    assert.ok(lostKeys.length > 0, `${lostData}: no such key is stored`);
    await cluster.run(4 * SECOND);
    assertDataLossStates(cluster, 'frozen');
    const { starts } = cluster.invariants;
    await cluster.run(LONGER_THAN_LEASES);
    assert.equal(cluster.invariants.starts, starts, `${lostData}: a task was started`);
    cluster.store.restoreKeys(fullBackup, lostKeys);
    await finishAllJobs(cluster);
  }
});

test('a loss while the state service refuses one node is detected by that node, too', async () => {
  for (const seed of [651, 652]) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(50 * SECOND);
    const olderBackup = cluster.store.backup();
    cluster.store.refusedNodes.add('node-1');
    await cluster.run(8 * SECOND);
    const fullBackup = cluster.store.backup();
    assert.ok(
      fullBackup.revision > olderBackup.revision,
      'no transaction was applied since the older backup',
    );
    cluster.store.restore(olderBackup);
    await cluster.run(10 * SECOND);
    cluster.store.refusedNodes.clear();
    await cluster.run(4 * SECOND);
    assertDataLossStates(cluster, 'frozen');
    cluster.store.restore(fullBackup);
    await finishAllJobs(cluster);
  }
});

test('a node that restarts while chunks of the checkpoint are missing does not serve until they are restored', async () => {
  for (const seed of [671, 672]) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(90 * SECOND);
    const fullBackup = cluster.store.backup();
    const lostKeys = cluster.store.loseKeys((key) => key.startsWith(CHECKPOINT_CHUNK_PREFIX), false);
    assert.ok(lostKeys.length > 0, 'there is no checkpoint');
    cluster.killNode(1);
    await cluster.run(SECOND);
    cluster.startNode(1);
    await cluster.run(5 * SECOND);
    const { state, evidence } = dataLossStatusOf(cluster, 1);
    assert.notEqual(state, 'serving');
    assert.equal(evidence[0]?.inconsistency.kind, 'state_incomplete');
    // Nodes with the complete state in memory go on serving, because no change event has revealed the loss to them.
    assert.equal(dataLossStatusOf(cluster, 0).state, 'serving');
    cluster.store.restoreKeys(fullBackup, lostKeys);
    await finishAllJobs(cluster);
  }
});

test('after a total loss a node of the production version, which has no data loss detection, starts no task either', async () => {
  const version = await loadProductionVersion();
  // All jobs are accepted before the loss and outlast the test, because the old node would take repeated submissions
  // for new jobs (docs/recovery.md).
  const cluster = new SimCluster({ seed: 661, production: { version }, tuning: { detectsDataLoss: true } });
  for (const node of [0, 1]) cluster.upgradeNode(node, SECOND);
  for (let i = 0; i < 8; i++) cluster.submit(sampleJob(`j-${i}`, { taskCount: 4, estimateS: 400 }));
  await cluster.run(50 * SECOND);
  assert.ok(cluster.runsProductionVersion(2) && cluster.invariants.starts > 0);
  cluster.store.wipe();
  await cluster.run(4 * SECOND);
  for (const node of [0, 1]) assert.equal(dataLossStatusOf(cluster, node).state, 'frozen');
  const { starts } = cluster.invariants;
  await cluster.run(LONGER_THAN_LEASES);
  assert.equal(cluster.invariants.starts, starts, 'a task was started');
  for (const node of [0, 1]) assert.equal(dataLossStatusOf(cluster, node).state, 'frozen');
});
