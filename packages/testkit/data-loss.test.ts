/**
 * The state service loses data while machines fail: nodes that notice do nothing that the lost part would forbid, no
 * task runs twice, and all work ends once the state is back. docs/recovery.md names the cases.
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

/** Longer than any lease, and than the bound up to which leases are renewed without the state. */
const LONG = 40 * SECOND;

/** Counts the transactions that are applied from now on. */
function countCommits({ store }: SimCluster): { count: number } {
  const commits = { count: 0 };
  const { afterApply } = store;
  store.afterApply = (writes) => {
    commits.count++;
    afterApply(writes);
  };
  return commits;
}

test('after everything was lost nobody starts, ends or forgets anything, and all goes on once it is back', async () => {
  for (const seed of [601, 602]) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(50 * SECOND);
    const whole = cluster.store.backup();
    cluster.store.wipe();
    await cluster.run(4 * SECOND);
    assertDataLossStates(cluster, 'frozen');
    const { starts } = cluster.invariants;
    const commits = countCommits(cluster);
    await cluster.run(LONG);
    assert.equal(cluster.invariants.starts, starts, 'something was started');
    assert.equal(commits.count, 0, 'something was written');
    cluster.store.restore(whole);
    await finishAllJobs(cluster);
  }
});

test('after the state went back with its watches open nobody starts or forgets anything', async () => {
  for (const [seed, back] of [
    [611, 25 * SECOND],
    [613, SECOND],
  ] as const) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(30 * SECOND);
    const old = cluster.store.backup();
    await cluster.run(back);
    const whole = cluster.store.backup();
    cluster.store.restore(old);
    await cluster.run(4 * SECOND);
    assertDataLossStates(cluster, 'frozen');
    const { starts } = cluster.invariants;
    await cluster.run(LONG);
    assert.equal(cluster.invariants.starts, starts, 'something was started');
    cluster.store.restore(whole);
    await finishAllJobs(cluster);
  }
});

test('with all controllers down at the loss, the workers alone remember that there was more', async () => {
  for (const [seed, isWiped] of [
    [621, true],
    [623, false],
  ] as const) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(30 * SECOND);
    const old = cluster.store.backup();
    await cluster.run(20 * SECOND);
    const whole = cluster.store.backup();
    for (let i = 0; i < cluster.nodeCount; i++) cluster.killNode(i);
    if (isWiped) cluster.store.wipe();
    else cluster.store.restore(old);
    const commits = countCommits(cluster);
    for (let i = 0; i < cluster.nodeCount; i++) cluster.startNode(i);
    await cluster.run(10 * SECOND);
    assertDataLossStates(cluster, 'frozen');
    assert.equal(commits.count, 0, 'something was written');
    cluster.store.restore(whole);
    await finishAllJobs(cluster);
  }
});

test('a controller that starts anew during the loss learns of it from its peers', async () => {
  for (const seed of [632, 633]) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(45 * SECOND);
    const old = cluster.store.backup();
    await cluster.run(5 * SECOND);
    const whole = cluster.store.backup();
    assert.ok(whole.revision > old.revision, 'nothing was lost');
    cluster.store.restore(old);
    cluster.killNode(0);
    // The first request of each of the others to what is left may be a commit, which it then doesn't believe.
    await cluster.run(3 * SECOND);
    const commits = countCommits(cluster);
    cluster.startNode(0);
    await cluster.run(8 * SECOND);
    assertDataLossStates(cluster, 'frozen');
    assert.equal(commits.count, 0, 'something was written');
    cluster.store.restore(whole);
    await finishAllJobs(cluster);
  }
});

test('keys that no node removes are missed, and all goes on once they are there again', async () => {
  const cases: [number, string, (path: string) => boolean][] = [
    [641, 'token', (path) => path === FENCING_TOKEN_KEY],
    [
      642,
      'the middle of a log',
      (path) => path.startsWith(`${LOG_PREFIX}0/`) && Number(path.slice(-4)) % 5 === 2,
    ],
    [643, 'jobs', (path) => path.startsWith(JOB_PREFIX)],
    [644, 'what became of jobs', (path) => path.startsWith(TERMINAL_PREFIX)],
  ];
  for (const [seed, what, isLost] of cases) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(50 * SECOND);
    const whole = cluster.store.backup();
    const lost = cluster.store.loseKeys(isLost, true);
    assert.ok(lost.length > 0, `${what}: nothing to lose`);
    await cluster.run(4 * SECOND);
    assertDataLossStates(cluster, 'frozen');
    const { starts } = cluster.invariants;
    await cluster.run(LONG);
    assert.equal(cluster.invariants.starts, starts, `${what}: something was started`);
    cluster.store.restoreKeys(whole, lost);
    await finishAllJobs(cluster);
  }
});

test('a loss while the state service refuses one node alone is noticed by that node, too', async () => {
  for (const seed of [651, 652]) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(50 * SECOND);
    const old = cluster.store.backup();
    cluster.store.refusedNodes.add('node-1');
    await cluster.run(8 * SECOND);
    const whole = cluster.store.backup();
    assert.ok(whole.revision > old.revision, 'nothing was lost');
    cluster.store.restore(old);
    await cluster.run(10 * SECOND);
    cluster.store.refusedNodes.clear();
    await cluster.run(4 * SECOND);
    assertDataLossStates(cluster, 'frozen');
    cluster.store.restore(whole);
    await finishAllJobs(cluster);
  }
});

test('a node that starts anew beside a checkpoint whose parts are gone does nothing until it can be read whole', async () => {
  for (const seed of [671, 672]) {
    const cluster = createDataLossCluster({ seed });
    await cluster.run(90 * SECOND);
    const whole = cluster.store.backup();
    const lost = cluster.store.loseKeys((path) => path.startsWith(CHECKPOINT_CHUNK_PREFIX), false);
    assert.ok(lost.length > 0, 'there is no checkpoint');
    cluster.killNode(1);
    await cluster.run(SECOND);
    cluster.startNode(1);
    await cluster.run(5 * SECOND);
    const { state, evidence } = dataLossStatusOf(cluster, 1);
    assert.notEqual(state, 'serving');
    assert.equal(evidence[0]?.inconsistency.kind, 'state_incomplete');
    // Those that have it all in memory go on: no change has told them of the loss.
    assert.equal(dataLossStatusOf(cluster, 0).state, 'serving');
    cluster.store.restoreKeys(whole, lost);
    await finishAllJobs(cluster);
  }
});

test('a node of the version in production, which does not watch, starts nothing after a total loss, as little as the others', async () => {
  const version = await loadProductionVersion();
  // Only jobs that are known and last: the old node would take repeated submissions for new ones (docs/recovery.md).
  const cluster = new SimCluster({ seed: 661, production: { version }, tuning: { detectsDataLoss: true } });
  for (const node of [0, 1]) cluster.upgradeNode(node, SECOND);
  for (let i = 0; i < 8; i++) cluster.submit(sampleJob(`j-${i}`, { taskCount: 4, estimateS: 400 }));
  await cluster.run(50 * SECOND);
  assert.ok(cluster.isOld(2) && cluster.invariants.starts > 0);
  cluster.store.wipe();
  await cluster.run(4 * SECOND);
  for (const node of [0, 1]) assert.equal(dataLossStatusOf(cluster, node).state, 'frozen');
  const { starts } = cluster.invariants;
  await cluster.run(LONG);
  assert.equal(cluster.invariants.starts, starts, 'something was started');
  for (const node of [0, 1]) assert.equal(dataLossStatusOf(cluster, node).state, 'frozen');
});
