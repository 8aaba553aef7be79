/**
 * The hard cases of docs/duties.md: a holder that stands still at the worst moment, requests that are carried out long
 * after its term, clocks that disagree, and hand-overs in the middle of failures. The checker of histories throws
 * on every effect that no term and no record covers; each test asserts that what it is about did occur.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LEADER_KEY, LOG_PREFIX } from '#cluster';
import { type WireFields, isWireFields, SECOND } from '#wire';
import { loadProductionVersion } from './production-version.js';
import { randomArray } from './random-jobs.js';
import { scheduleRandomFaults, submitRandomJobs } from './random-runs.js';
import { sampleJob } from './sample-job.js';
import { CLOUD } from './sample-settings.js';
import { SimCluster } from './sim-cluster.js';
import type { SimClusterOptions } from './sim-cluster-options.js';

const TEAMS = ['blue', 'green', 'red'].map((name) => ({ name, cpus: 8, cpusMax: 24, gpus: 0, gpusMax: 2 }));
/** Longer than the life of the grant on which all duties hang, and than a worker's lease. */
const OVER_A_TERM = 12 * SECOND;

/** Three teams whose jobs come and go, so that machines are rented and returned all the time. */
function createBusyCluster(options: SimClusterOptions): SimCluster {
  const cluster = new SimCluster({ ...options, settings: { teams: TEAMS, ...options.settings } });
  const { random, clock } = cluster;
  let jobs = 0;
  const arrive = (): void => {
    if (clock.time > 150 * SECOND) return;
    const team = TEAMS[jobs % TEAMS.length]?.name ?? '';
    const taskCount = 2 + Math.floor(random() * 6);
    cluster.submit(sampleJob(`j-${jobs++}`, { team, taskCount, estimateS: 5 + random() * 20 }));
    clock.at((4 + random() * 8) * SECOND, arrive);
  };
  clock.at(SECOND, arrive);
  return cluster;
}

function leaderOf(cluster: SimCluster): number {
  const row = cluster.store.rows.get(LEADER_KEY);
  return row ? Number(String(row.value['Member']).slice('node-'.length)) : -1;
}

function termOf(cluster: SimCluster): number {
  return cluster.store.rows.get(LEADER_KEY)?.revision ?? 0;
}

/** Calls once, when the leader's log takes a record with one of these fields. */
function onceRecorded(cluster: SimCluster, field: keyof WireFields, act: () => void): void {
  const { afterApply } = cluster.store;
  let isOver = false;
  cluster.store.afterApply = (writes) => {
    afterApply(writes);
    const isIt = (write: WireFields): boolean => {
      const isLeaders = String(write['Set'] ?? '').startsWith(`${LOG_PREFIX}lead/`);
      return isLeaders && isWireFields(write['V']) && write['V'][field] !== undefined;
    };
    if (isOver || cluster.clock.time < 25 * SECOND || !writes.some(isIt)) return;
    isOver = true;
    act();
  };
}

/** Runs on until all work is over, and demands that nothing was lost. */
async function finish(cluster: SimCluster): Promise<void> {
  cluster.invariants.faultsEnded(cluster.clock.time);
  await cluster.run(160 * SECOND);
  assert.ok(cluster.invariants.starts > 20, `only ${cluster.invariants.starts} starts`);
  assert.deepEqual(cluster.invariants.unfinishedJobs(), []);
}

test('requests to the cloud that stay behind with a replaced leader harm nobody, after one successor and after two', async () => {
  for (const [seed, successors] of [
    [201, 1],
    [202, 2],
    [203, 1],
    [204, 2],
  ] as const) {
    const cluster = createBusyCluster({ seed });
    await cluster.run(30 * SECOND);
    const first = leaderOf(cluster);
    const name = `node-${first}`;
    cluster.net.hold(name, CLOUD);
    await cluster.run(20 * SECOND);
    for (let i = 0; i < successors; i++) {
      const leader = leaderOf(cluster);
      const term = termOf(cluster);
      cluster.freezeNode(leader, OVER_A_TERM);
      await cluster.run(OVER_A_TERM + SECOND);
      assert.notEqual(termOf(cluster), term, 'nobody took over');
    }
    const held = cluster.net.release(name, CLOUD);
    assert.ok(held > 0, 'nothing was held');
    await cluster.run(40 * SECOND);
    await finish(cluster);
  }
});

test('a leader that stands still between its record and its request leaves an intent that the successor finishes', async () => {
  for (const [seed, field] of [
    [211, 'rentals'],
    [212, 'rentals'],
    [213, 'moves'],
    [214, 'moves'],
  ] as const) {
    const cluster = createBusyCluster({ seed });
    let frozen = -1;
    let term = 0;
    onceRecorded(cluster, field, () => {
      frozen = leaderOf(cluster);
      term = termOf(cluster);
      cluster.freezeNode(frozen, OVER_A_TERM);
    });
    await cluster.run(100 * SECOND);
    assert.ok(frozen >= 0, `no ${field} were recorded`);
    assert.notEqual(termOf(cluster), term, 'nobody took over');
    await finish(cluster);
    const open = cluster.controller(leaderOf(cluster))?.roleStatus().roles[0]?.openIntents;
    assert.deepEqual(open?.scaleOutRequests, [], 'a rental was left open');
  }
});

test('a leader that stands still between act and record, and is leader again later, records nothing of its old term', async () => {
  for (const seed of [221, 222, 223]) {
    const cluster = createBusyCluster({ seed });
    const { cloud } = cluster;
    const { onScaleOut: onRented } = cloud;
    const frozen: { node: number; term: number }[] = [];
    cloud.onScaleOut = (name, sender) => {
      onRented(name, sender);
      if (frozen.length > 0) return;
      const node = leaderOf(cluster);
      frozen.push({ node, term: termOf(cluster) });
      cluster.freezeNode(node, OVER_A_TERM);
    };
    await cluster.run(60 * SECOND);
    const [old] = frozen;
    assert.ok(old, 'nothing was rented');
    assert.notEqual(termOf(cluster), old.term, 'nobody took over');
    // The others end, so that the old leader leads again, under a later term.
    for (let i = 0; i < cluster.nodeCount; i++) if (i !== old.node) cluster.killNode(i);
    await cluster.run(10 * SECOND);
    assert.equal(leaderOf(cluster), old.node);
    assert.ok(termOf(cluster) > old.term);
    for (let i = 0; i < cluster.nodeCount; i++) cluster.startNode(i);
    await cluster.run(30 * SECOND);
    await finish(cluster);
  }
});

test('clocks that are hours apart cost time, never a machine in use', async () => {
  for (const seed of [231, 232, 233]) {
    const hours = [-2, 0, 3];
    const clockError = (index: number): { drift: number; wallClockOffset: number } => ({
      drift: (index - 1) * 0.0002,
      wallClockOffset: (hours[index] ?? 0) * 3600 * SECOND,
    });
    const cluster = createBusyCluster({ seed, clockError });
    cluster.cloud.slowBootRate = 0.3;
    cluster.cloud.lateRequestRate = 0.2;
    scheduleRandomFaults(cluster, { from: 25 * SECOND, until: 130 * SECOND, minGapS: 6, extraGapS: 20 });
    await cluster.run(200 * SECOND);
    cluster.cloud.lateRequestRate = 0;
    cluster.cloud.slowBootRate = 0;
    // Times of day in the records make some waits as long as the clocks are apart: nothing is asked of those.
    await cluster.run(200 * SECOND);
    assert.ok(cluster.invariants.starts > 20, `only ${cluster.invariants.starts} starts`);
  }
});

test('a holder whose monotonic clock runs far too slowly or too fast is fenced all the same', async () => {
  for (const [seed, drift] of [
    [241, -0.6],
    [242, -0.9],
    [243, 0.6],
  ] as const) {
    // One node's clock is wrong; nothing but leaders is troubled, since proofs of workers' leases do rest on clocks.
    const clockError = (index: number): { drift: number; wallClockOffset: number } => ({
      drift: index === 0 ? drift : 0,
      wallClockOffset: 0,
    });
    const cluster = createBusyCluster({ seed, clockError });
    const terms = new Set<number>();
    for (let i = 0; i < 5; i++) {
      await cluster.run(15 * SECOND);
      terms.add(termOf(cluster));
      cluster.freezeNode(leaderOf(cluster), 5 * SECOND);
    }
    await cluster.run(60 * SECOND);
    assert.ok(terms.size > 2, 'the lead did not change hands');
    await finish(cluster);
  }
});

test('the commit of an old leader that lands late has no effect', async () => {
  for (const seed of [251, 252, 253]) {
    const cluster = createBusyCluster({ seed });
    await cluster.run(30 * SECOND);
    const old = leaderOf(cluster);
    const isLeaders = (write: WireFields): boolean =>
      String(write['Set'] ?? '').startsWith(`${LOG_PREFIX}lead/`);
    let delayed = 0;
    cluster.store.isLate = (writes) => {
      if (!writes.some(isLeaders)) return false;
      delayed++;
      return true;
    };
    for (let i = 0; i < 60 && delayed === 0; i++) await cluster.run(0.5 * SECOND);
    assert.ok(delayed > 0, 'the leader recorded nothing');
    cluster.freezeNode(old, OVER_A_TERM);
    cluster.store.isLate = () => false;
    await cluster.run(OVER_A_TERM + SECOND);
    assert.ok(cluster.store.lateCommits.came > 0, 'no commit came late');
    await finish(cluster);
  }
});

test('a renewal that arrives after its lease has expired revives nothing', async () => {
  const cluster = createBusyCluster({ seed: 261 });
  await cluster.run(30 * SECOND);
  const old = leaderOf(cluster);
  const term = termOf(cluster);
  cluster.net.hold(`node-${old}`, '10.2.0.1:2379');
  await cluster.run(5 * SECOND);
  assert.notEqual(termOf(cluster), term, 'the grant did not end');
  assert.ok(cluster.net.release(`node-${old}`, '10.2.0.1:2379') > 0, 'nothing was under way');
  await cluster.run(5 * SECOND);
  assert.notEqual(termOf(cluster), term);
  await finish(cluster);
});

test('a leader that is refused alone, then with all, keeps or loses the lead, and nothing is done twice', async () => {
  for (const seed of [271, 272]) {
    const cluster = createBusyCluster({ seed });
    await cluster.run(30 * SECOND);
    const old = leaderOf(cluster);
    cluster.store.refusedNodes.add(`node-${old}`);
    await cluster.run(2 * SECOND);
    cluster.store.setOutage(true);
    await cluster.run(20 * SECOND);
    cluster.store.setOutage(false);
    await cluster.run(5 * SECOND);
    assert.notEqual(leaderOf(cluster), old, 'it still leads though it is refused');
    cluster.store.refusedNodes.clear();
    await cluster.run(20 * SECOND);
    await finish(cluster);
  }
});

test('a leader partitioned from the cloud, its peers or its workers only keeps the invariants', async () => {
  const cuts: ((cluster: SimCluster, leader: number) => string[])[] = [
    (_cluster, leader) => [`node-${leader}>${CLOUD}`],
    (cluster, leader) => [...cluster.workers.keys()].map((host) => `${host}>10.0.0.${leader}:80`),
    (cluster, leader) =>
      [...Array(cluster.nodeCount).keys()].flatMap((i) => [
        `node-${leader}>10.0.0.${i}:81`,
        `node-${i}>10.0.0.${leader}:81`,
      ]),
  ];
  for (const [i, linksOf] of cuts.entries()) {
    const cluster = createBusyCluster({ seed: 281 + i });
    await cluster.run(30 * SECOND);
    const links = linksOf(cluster, leaderOf(cluster));
    for (const link of links) cluster.net.refusedLinks.add(link);
    await cluster.run(40 * SECOND);
    for (const link of links) cluster.net.refusedLinks.delete(link);
    await cluster.run(20 * SECOND);
    await finish(cluster);
  }
});

test('leadership is handed over on request, to another node and within a second', async () => {
  const cluster = createBusyCluster({ seed: 291 });
  await cluster.run(30 * SECOND);
  const old = leaderOf(cluster);
  const term = termOf(cluster);
  const results: string[] = [];
  void cluster
    .controller(old)
    ?.resignRole('lead')
    .then((result) => results.push(result.kind));
  await cluster.run(6 * SECOND);
  assert.deepEqual(results, ['handed_over']);
  assert.ok(termOf(cluster) > term);
  assert.notEqual(leaderOf(cluster), old);
  await finish(cluster);
});

test('a shard is handed over on request: the leader assigns it to another node under a higher fencing token', async () => {
  const cluster = createBusyCluster({ seed: 292 });
  await cluster.run(30 * SECOND);
  const ownerOf = (shard: number): unknown =>
    cluster.store.rows.get(`mw/now/share/${shard}`)?.value['Member'];
  const tokenOf = (): number => Number(cluster.store.rows.get('mw/now/token')?.value['Token']);
  const owner = ownerOf(1);
  const fencingToken = tokenOf();
  const node = Number(String(owner).slice('node-'.length));
  const results: string[] = [];
  void cluster
    .controller(node)
    ?.resignRole(1)
    .then((result) => results.push(result.kind));
  await cluster.run(7 * SECOND);
  assert.deepEqual(results, ['handed_over']);
  assert.notEqual(ownerOf(1), owner);
  assert.ok(tokenOf() > fencingToken);
  await finish(cluster);
});

test('a node that is stopped on purpose leaves nothing vacant for as long as a grant lives', async () => {
  for (const seed of [297, 298]) {
    const cluster = createBusyCluster({ seed });
    await cluster.run(30 * SECOND);
    const old = leaderOf(cluster);
    const ownedBy = (node: number): number[] =>
      [0, 1, 2].filter(
        (shard) => cluster.store.rows.get(`mw/now/share/${shard}`)?.value['Member'] === `node-${node}`,
      );
    void cluster.controller(old)?.retire();
    // Half of what a grant lives after its last renewal.
    await cluster.run(1.5 * SECOND);
    assert.ok(leaderOf(cluster) >= 0 && leaderOf(cluster) !== old, 'nobody leads');
    assert.equal(cluster.store.rows.has(`mw/now/member/node-${old}`), false);
    assert.equal([0, 1, 2].filter((node) => node !== old).flatMap(ownedBy).length, 3, 'a shard has no owner');
    cluster.killNode(old);
    await cluster.run(5 * SECOND);
    cluster.startNode(old);
    await cluster.run(20 * SECOND);
    await finish(cluster);
  }
});

test('a hand-over is refused with the reason where it can not be done safely', async () => {
  const reasons: string[] = [];
  const ask = async (cluster: SimCluster, node: number, role: 'lead' | number): Promise<string> => {
    let reason = '';
    void cluster
      .controller(node)
      ?.resignRole(role)
      .then((result) => (reason = result.kind === 'refused' ? result.reason : result.kind));
    await cluster.run(7 * SECOND);
    reasons.push(reason);
    return reason;
  };
  const cluster = createBusyCluster({ seed: 293 });
  await cluster.run(30 * SECOND);
  const leader = leaderOf(cluster);
  const other = (leader + 1) % cluster.nodeCount;
  assert.match(await ask(cluster, other, 'lead'), /not held here: node-\d holds it/);
  cluster.store.setOutage(true);
  await cluster.run(5 * SECOND);
  assert.match(await ask(cluster, leader, 'lead'), /state service/);
  cluster.store.setOutage(false);
  await cluster.run(10 * SECOND);
  const present = leaderOf(cluster);
  for (let i = 0; i < cluster.nodeCount; i++) if (i !== present) cluster.killNode(i);
  await cluster.run(8 * SECOND);
  assert.match(await ask(cluster, present, 'lead'), /no other member/);
  for (let i = 0; i < cluster.nodeCount; i++) cluster.startNode(i);
  await cluster.run(10 * SECOND);
  await finish(cluster);
});

test('shards are handed over only once every node has announced the hand-over capability', async () => {
  const version = await loadProductionVersion();
  const cluster = createBusyCluster({ seed: 294, production: { version } });
  for (const node of [0, 1]) cluster.upgradeNode(node, SECOND);
  await cluster.run(40 * SECOND);
  const shard = [0, 1, 2].find(
    (s) => cluster.store.rows.get(`mw/now/share/${s}`)?.value['Member'] === 'node-0',
  );
  assert.ok(shard !== undefined, 'node-0 owns nothing');
  let reason = '';
  void cluster
    .controller(0)
    ?.resignRole(shard)
    .then((result) => (reason = result.kind === 'refused' ? result.reason : result.kind));
  await cluster.run(2 * SECOND);
  assert.match(reason, /not every node has announced/);
  const members = [...cluster.store.rows].filter(([path]) => path.startsWith('mw/now/member/'));
  for (const [path, { value }] of members) assert.equal(value['Resigned'], undefined, path);
  cluster.upgradeNode(2, SECOND);
  await cluster.run(40 * SECOND);
  await finish(cluster);
});

test('an unreadable row of a role blocks that role alone, is logged and ends no node', async () => {
  const errors: string[] = [];
  const note = (fields: object): void => {
    if ('key' in fields) errors.push(String(fields.key));
  };
  const log = { debug: () => undefined, info: () => undefined, error: note };
  const cluster = createBusyCluster({ seed: 295, log });
  await cluster.run(30 * SECOND);
  const leader = leaderOf(cluster);
  const spoil = (path: string, value: WireFields): void => {
    // As if a foreign hand had written it, with the grant that the row had.
    const Permit = cluster.store.rows.get(path)?.leaseId ?? null;
    cluster.store.spoil({ Set: path, V: value, Permit });
  };
  spoil(LEADER_KEY, { Member: 7 });
  spoil('mw/now/share/1', { Member: 'node-0', Nonce: 'x', Token: 'many' });
  await cluster.run(5 * SECOND);
  assert.ok(errors.includes(LEADER_KEY) && errors.includes('mw/now/share/1'), errors.join(' '));
  for (let i = 0; i < cluster.nodeCount; i++) {
    assert.equal(
      cluster.controller(i)?.leaderTerm(),
      null,
      'somebody leads under a row that nobody can read',
    );
    assert.equal(cluster.health(i), 200);
  }
  // Its grant ends with the process that wrote it before: then the lead is free again.
  cluster.killNode(leader);
  await cluster.run(10 * SECOND);
  cluster.startNode(leader);
  await cluster.run(20 * SECOND);
  assert.ok(leaderOf(cluster) >= 0);
  assert.notEqual(cluster.store.rows.get('mw/now/share/1')?.value['Token'], 'many', 'it was not dealt anew');
  await finish(cluster);
});

test('while the fencing token is unreadable no worker is answered and no shard assigned; all resumes once it is readable', async () => {
  const cluster = createBusyCluster({ seed: 296 });
  await cluster.run(30 * SECOND);
  const row = cluster.store.rows.get('mw/now/token');
  assert.ok(row);
  cluster.store.spoil({ Set: 'mw/now/token', V: { Token: 'many' } });
  await cluster.run(3 * SECOND);
  const answered = (): number => [0, 1, 2].reduce((sum, i) => sum + cluster.heartbeatCount(i), 0);
  const before = answered();
  cluster.killNode(leaderOf(cluster));
  await cluster.run(8 * SECOND);
  assert.equal(answered(), before, 'workers were answered under no token');
  assert.deepEqual(cluster.store.rows.get('mw/now/token')?.value, { Token: 'many' });
  cluster.store.spoil({ Set: 'mw/now/token', V: row.value });
  for (let i = 0; i < cluster.nodeCount; i++) cluster.startNode(i);
  await cluster.run(20 * SECOND);
  assert.ok(answered() > before);
  await finish(cluster);
});

test('controllers end in pairs in the middle of a hand-over and are back within a fraction of a second', async () => {
  for (const seed of [301, 302, 303, 304]) {
    const cluster = createBusyCluster({ seed });
    const { random, clock } = cluster;
    for (let round = 0; round < 6; round++) {
      await cluster.run((8 + random() * 8) * SECOND);
      const leader = leaderOf(cluster);
      void cluster.controller(leader)?.resignRole(random() < 0.5 ? 'lead' : Math.floor(random() * 3));
      const pair = [leader, (leader + 1 + Math.floor(random() * 2)) % cluster.nodeCount];
      for (const node of pair) {
        clock.at(random() * 0.4 * SECOND, () => {
          cluster.killNode(node);
        });
        clock.at((0.45 + random() * 0.3) * SECOND, () => {
          cluster.startNode(node);
        });
      }
    }
    await cluster.run(60 * SECOND);
    await finish(cluster);
  }
});

test('beside the version in production, which knows neither records nor hand-overs, nothing of ours goes unrecorded', async () => {
  const version = await loadProductionVersion();
  for (const seed of [311, 312, 313]) {
    const cluster = new SimCluster({ seed, production: { version } });
    const { clock, cloud } = cluster;
    cloud.lateRequestRate = 0.2;
    cloud.slowBootRate = 0.2;
    submitRandomJobs(cluster, { until: 140 * SECOND, maxGapS: 5, createJob: randomArray });
    scheduleRandomFaults(cluster, { from: 20 * SECOND, until: 140 * SECOND, minGapS: 5, extraGapS: 20 });
    // Two nodes are upgraded, and one comes back old only at the end of the run.
    clock.at(40 * SECOND, () => {
      cluster.upgradeNode(0, SECOND);
    });
    clock.at(70 * SECOND, () => {
      cluster.upgradeNode(1, SECOND);
    });
    await cluster.run(210 * SECOND);
    cloud.lateRequestRate = 0;
    cloud.slowBootRate = 0;
    cluster.invariants.faultsEnded(clock.time);
    await cluster.run(160 * SECOND);
    assert.ok(cluster.history.counts.deletions > 0, 'nothing was deleted');
    assert.deepEqual(cluster.invariants.unfinishedJobs(), []);
  }
});
