/**
 * The edge cases of docs/duties.md: a role holder that is suspended between a decision and its effect, requests that are
 * executed long after its term, clocks that disagree, and hand-offs during faults. The role history checker throws on every effect
 * that no term and no record allows. Each test asserts that the case in question did occur.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LEADER_KEY, LOG_PREFIX } from '#cluster';
import { type WireFields, isWireFields, SECOND } from '#wire';
import { loadProductionVersion } from './production-version.js';
import { randomArray } from './random-jobs.js';
import { scheduleRandomFaults, submitRandomJobs } from './random-runs.js';
import { sampleJob } from './sample-job.js';
import { CLOUD_ENDPOINT } from './sample-settings.js';
import { SimCluster } from './sim-cluster.js';
import type { SimClusterOptions } from './sim-cluster-options.js';

const TEAMS = ['blue', 'green', 'red'].map((name) => ({ name, cpus: 8, cpusMax: 24, gpus: 0, gpusMax: 2 }));
/** Longer than the lease of a node, on which all its roles depend, and than a worker's lease. */
const LONGER_THAN_LEASE = 12 * SECOND;

/** Creates a cluster in which jobs of three teams start and end continuously, so that it scales out and in all the time. */
function createBusyCluster(options: SimClusterOptions): SimCluster {
  const cluster = new SimCluster({ ...options, settings: { teams: TEAMS, ...options.settings } });
  const { random, clock } = cluster;
  let jobCount = 0;
  const arrive = (): void => {
    if (clock.time > 150 * SECOND) return;
    const team = TEAMS[jobCount % TEAMS.length]?.name ?? '';
    const taskCount = 2 + Math.floor(random() * 6);
    cluster.submit(sampleJob(`j-${jobCount++}`, { team, taskCount, estimateS: 5 + random() * 20 }));
    clock.at((4 + random() * 8) * SECOND, arrive);
  };
  clock.at(SECOND, arrive);
  return cluster;
}

/** Returns the node that is the leader, or -1 if there is none. */
function leaderOf(cluster: SimCluster): number {
  const row = cluster.store.rows.get(LEADER_KEY);
  return row ? Number(String(row.value['Member']).slice('node-'.length)) : -1;
}

/** Returns the leader's term, or 0 if there is no leader. */
function termOf(cluster: SimCluster): number {
  return cluster.store.rows.get(LEADER_KEY)?.revision ?? 0;
}

/** Calls the callback when, after 25 s, a record with the given field is first committed to the leader's log. */
function onFirstRecord(cluster: SimCluster, field: keyof WireFields, callback: () => void): void {
  const { afterApply } = cluster.store;
  let hasOccurred = false;
  cluster.store.afterApply = (writes) => {
    afterApply(writes);
    const isInRecord = (write: WireFields): boolean => {
      const isInLeaderLog = String(write['Set'] ?? '').startsWith(`${LOG_PREFIX}lead/`);
      return isInLeaderLog && isWireFields(write['V']) && write['V'][field] !== undefined;
    };
    if (hasOccurred || cluster.clock.time < 25 * SECOND || !writes.some(isInRecord)) return;
    hasOccurred = true;
    callback();
  };
}

/** Runs on without faults, and asserts that all jobs have ended. */
async function assertAllJobsEnd(cluster: SimCluster): Promise<void> {
  cluster.invariants.faultsEnded(cluster.clock.time);
  await cluster.run(160 * SECOND);
  assert.ok(cluster.invariants.starts > 20, `only ${cluster.invariants.starts} starts`);
  assert.deepEqual(cluster.invariants.unfinishedJobs(), []);
}

test('cloud requests of a replaced leader that arrive late violate no invariant, after one successor and after two', async () => {
  for (const [seed, successors] of [
    [201, 1],
    [202, 2],
    [203, 1],
    [204, 2],
  ] as const) {
    const cluster = createBusyCluster({ seed });
    await cluster.run(30 * SECOND);
    const firstLeader = leaderOf(cluster);
    const name = `node-${firstLeader}`;
    cluster.net.hold(name, CLOUD_ENDPOINT);
    await cluster.run(20 * SECOND);
    for (let i = 0; i < successors; i++) {
      const leader = leaderOf(cluster);
      const term = termOf(cluster);
      cluster.suspendNode(leader, LONGER_THAN_LEASE);
      await cluster.run(LONGER_THAN_LEASE + SECOND);
      assert.notEqual(termOf(cluster), term, 'no new term began');
    }
    const held = cluster.net.release(name, CLOUD_ENDPOINT);
    assert.ok(held > 0, 'no request was held back');
    await cluster.run(40 * SECOND);
    await assertAllJobsEnd(cluster);
  }
});

test('the successor completes the intent of a leader that was suspended between its record and its request', async () => {
  for (const [seed, field] of [
    [211, 'rentals'],
    [212, 'rentals'],
    [213, 'moves'],
    [214, 'moves'],
  ] as const) {
    const cluster = createBusyCluster({ seed });
    let suspended = -1;
    let term = 0;
    onFirstRecord(cluster, field, () => {
      suspended = leaderOf(cluster);
      term = termOf(cluster);
      cluster.suspendNode(suspended, LONGER_THAN_LEASE);
    });
    await cluster.run(100 * SECOND);
    assert.ok(suspended >= 0, `no ${field} were recorded`);
    assert.notEqual(termOf(cluster), term, 'no new term began');
    await assertAllJobsEnd(cluster);
    const openIntents = cluster.controller(leaderOf(cluster))?.roleStatus().roles[0]?.openIntents;
    assert.deepEqual(openIntents?.scaleOutRequests, [], 'a scale-out request is still open');
  }
});

test('a leader that is suspended between request and record and leads again later records nothing of its old term', async () => {
  for (const seed of [221, 222, 223]) {
    const cluster = createBusyCluster({ seed });
    const { cloud } = cluster;
    const { onScaleOut: originalOnScaleOut } = cloud;
    const suspended: { node: number; term: number }[] = [];
    cloud.onScaleOut = (name, sender) => {
      originalOnScaleOut(name, sender);
      if (suspended.length > 0) return;
      const node = leaderOf(cluster);
      suspended.push({ node, term: termOf(cluster) });
      cluster.suspendNode(node, LONGER_THAN_LEASE);
    };
    await cluster.run(60 * SECOND);
    const [oldLeader] = suspended;
    assert.ok(oldLeader, 'no scale-out was requested');
    assert.notEqual(termOf(cluster), oldLeader.term, 'no new term began');
    // The other nodes are killed, so that the old leader leads again under a later term.
    for (let i = 0; i < cluster.nodeCount; i++) if (i !== oldLeader.node) cluster.killNode(i);
    await cluster.run(10 * SECOND);
    assert.equal(leaderOf(cluster), oldLeader.node);
    assert.ok(termOf(cluster) > oldLeader.term);
    for (let i = 0; i < cluster.nodeCount; i++) cluster.startNode(i);
    await cluster.run(30 * SECOND);
    await assertAllJobsEnd(cluster);
  }
});

test('wall clocks that are hours apart cause delays but never the deletion of a machine in use', async () => {
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
    // Wall-clock times in the records can make waits as long as the clock differences, so the end of jobs is not asserted.
    await cluster.run(200 * SECOND);
    assert.ok(cluster.invariants.starts > 20, `only ${cluster.invariants.starts} starts`);
  }
});

test('a leader whose monotonic clock runs far too slowly or too fast is still fenced', async () => {
  for (const [seed, drift] of [
    [241, -0.6],
    [242, -0.9],
    [243, 0.6],
  ] as const) {
    // Only one node's clock is wrong, and only leaders get faults, because proofs of expired worker leases rely on clocks.
    const clockError = (index: number): { drift: number; wallClockOffset: number } => ({
      drift: index === 0 ? drift : 0,
      wallClockOffset: 0,
    });
    const cluster = createBusyCluster({ seed, clockError });
    const terms = new Set<number>();
    for (let i = 0; i < 5; i++) {
      await cluster.run(15 * SECOND);
      terms.add(termOf(cluster));
      cluster.suspendNode(leaderOf(cluster), 5 * SECOND);
    }
    await cluster.run(60 * SECOND);
    assert.ok(terms.size > 2, 'the leader did not change');
    await assertAllJobsEnd(cluster);
  }
});

test('a late commit of an old leader has no effect', async () => {
  for (const seed of [251, 252, 253]) {
    const cluster = createBusyCluster({ seed });
    await cluster.run(30 * SECOND);
    const oldLeader = leaderOf(cluster);
    const isInLeaderLog = (write: WireFields): boolean =>
      String(write['Set'] ?? '').startsWith(`${LOG_PREFIX}lead/`);
    let delayed = 0;
    cluster.store.delaysCommit = (writes) => {
      if (!writes.some(isInLeaderLog)) return false;
      delayed++;
      return true;
    };
    for (let i = 0; i < 60 && delayed === 0; i++) await cluster.run(0.5 * SECOND);
    assert.ok(delayed > 0, 'the leader recorded nothing');
    cluster.suspendNode(oldLeader, LONGER_THAN_LEASE);
    cluster.store.delaysCommit = () => false;
    await cluster.run(LONGER_THAN_LEASE + SECOND);
    assert.ok(cluster.store.lateCommits.executed > 0, 'no commit arrived late');
    await assertAllJobsEnd(cluster);
  }
});

test('a renewal that arrives after its lease has expired does not restore the leadership', async () => {
  const cluster = createBusyCluster({ seed: 261 });
  await cluster.run(30 * SECOND);
  const oldLeader = leaderOf(cluster);
  const term = termOf(cluster);
  cluster.net.hold(`node-${oldLeader}`, '10.2.0.1:2379');
  await cluster.run(5 * SECOND);
  assert.notEqual(termOf(cluster), term, 'the lease did not expire');
  assert.ok(cluster.net.release(`node-${oldLeader}`, '10.2.0.1:2379') > 0, 'no message was held back');
  await cluster.run(5 * SECOND);
  assert.notEqual(termOf(cluster), term);
  await assertAllJobsEnd(cluster);
});

test('a leader that the state service refuses before an outage is replaced, and no effect occurs twice', async () => {
  for (const seed of [271, 272]) {
    const cluster = createBusyCluster({ seed });
    await cluster.run(30 * SECOND);
    const oldLeader = leaderOf(cluster);
    cluster.store.refusedNodes.add(`node-${oldLeader}`);
    await cluster.run(2 * SECOND);
    cluster.store.setOutage(true);
    await cluster.run(20 * SECOND);
    cluster.store.setOutage(false);
    await cluster.run(5 * SECOND);
    assert.notEqual(leaderOf(cluster), oldLeader, 'the refused node is still the leader');
    cluster.store.refusedNodes.clear();
    await cluster.run(20 * SECOND);
    await assertAllJobsEnd(cluster);
  }
});

test('invariants hold when a leader is partitioned from only the cloud, its workers or its peers', async () => {
  const partitions: ((cluster: SimCluster, leader: number) => string[])[] = [
    (_cluster, leader) => [`node-${leader}>${CLOUD_ENDPOINT}`],
    (cluster, leader) => [...cluster.workers.keys()].map((host) => `${host}>10.0.0.${leader}:80`),
    (cluster, leader) =>
      [...Array(cluster.nodeCount).keys()].flatMap((i) => [
        `node-${leader}>10.0.0.${i}:81`,
        `node-${i}>10.0.0.${leader}:81`,
      ]),
  ];
  for (const [i, linksOf] of partitions.entries()) {
    const cluster = createBusyCluster({ seed: 281 + i });
    await cluster.run(30 * SECOND);
    const links = linksOf(cluster, leaderOf(cluster));
    for (const link of links) cluster.net.refusedLinks.add(link);
    await cluster.run(40 * SECOND);
    for (const link of links) cluster.net.refusedLinks.delete(link);
    await cluster.run(20 * SECOND);
    await assertAllJobsEnd(cluster);
  }
});

test('leadership is handed off to another node on request', async () => {
  const cluster = createBusyCluster({ seed: 291 });
  await cluster.run(30 * SECOND);
  const oldLeader = leaderOf(cluster);
  const term = termOf(cluster);
  const results: string[] = [];
  void cluster
    .controller(oldLeader)
    ?.resignRole('lead')
    .then((result) => results.push(result.kind));
  await cluster.run(6 * SECOND);
  assert.deepEqual(results, ['handed_over']);
  assert.ok(termOf(cluster) > term);
  assert.notEqual(leaderOf(cluster), oldLeader);
  await assertAllJobsEnd(cluster);
});

test('a shard is handed off on request: the leader assigns it to another node under a higher fencing token', async () => {
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
  await assertAllJobsEnd(cluster);
});

test('a node that is shut down hands off its roles in less time than its lease would take to expire', async () => {
  for (const seed of [297, 298]) {
    const cluster = createBusyCluster({ seed });
    await cluster.run(30 * SECOND);
    const oldLeader = leaderOf(cluster);
    const ownedBy = (node: number): number[] =>
      [0, 1, 2].filter(
        (shard) => cluster.store.rows.get(`mw/now/share/${shard}`)?.value['Member'] === `node-${node}`,
      );
    void cluster.controller(oldLeader)?.retire();
    // Half of the lease duration.
    await cluster.run(1.5 * SECOND);
    assert.ok(leaderOf(cluster) >= 0 && leaderOf(cluster) !== oldLeader, 'no node is the leader');
    assert.equal(cluster.store.rows.has(`mw/now/member/node-${oldLeader}`), false);
    assert.equal(
      [0, 1, 2].filter((node) => node !== oldLeader).flatMap(ownedBy).length,
      3,
      'a shard has no owner',
    );
    cluster.killNode(oldLeader);
    await cluster.run(5 * SECOND);
    cluster.startNode(oldLeader);
    await cluster.run(20 * SECOND);
    await assertAllJobsEnd(cluster);
  }
});

test('a hand-off that is not safe is refused with the reason', async () => {
  const reasons: string[] = [];
  const handOff = async (cluster: SimCluster, node: number, role: 'lead' | number): Promise<string> => {
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
  assert.match(await handOff(cluster, other, 'lead'), /not held here: node-\d holds it/);
  cluster.store.setOutage(true);
  await cluster.run(5 * SECOND);
  assert.match(await handOff(cluster, leader, 'lead'), /state service/);
  cluster.store.setOutage(false);
  await cluster.run(10 * SECOND);
  const currentLeader = leaderOf(cluster);
  for (let i = 0; i < cluster.nodeCount; i++) if (i !== currentLeader) cluster.killNode(i);
  await cluster.run(8 * SECOND);
  assert.match(await handOff(cluster, currentLeader, 'lead'), /no other member/);
  for (let i = 0; i < cluster.nodeCount; i++) cluster.startNode(i);
  await cluster.run(10 * SECOND);
  await assertAllJobsEnd(cluster);
});

test('shards are handed off only once every node has announced the hand-off capability', async () => {
  const version = await loadProductionVersion();
  const cluster = createBusyCluster({ seed: 294, production: { version } });
  for (const node of [0, 1]) cluster.upgradeNode(node, SECOND);
  await cluster.run(40 * SECOND);
  const shard = [0, 1, 2].find(
    (s) => cluster.store.rows.get(`mw/now/share/${s}`)?.value['Member'] === 'node-0',
  );
  assert.ok(shard !== undefined, 'node-0 owns no shard');
  let reason = '';
  void cluster
    .controller(0)
    ?.resignRole(shard)
    .then((result) => (reason = result.kind === 'refused' ? result.reason : result.kind));
  await cluster.run(2 * SECOND);
  assert.match(reason, /not every node has announced/);
  const members = [...cluster.store.rows].filter(([key]) => key.startsWith('mw/now/member/'));
  for (const [key, { value }] of members) assert.equal(value['Resigned'], undefined, key);
  cluster.upgradeNode(2, SECOND);
  await cluster.run(40 * SECOND);
  await assertAllJobsEnd(cluster);
});

test('an unreadable row of a role blocks only that role, is logged and crashes no node', async () => {
  const errors: string[] = [];
  const recordKey = (fields: object): void => {
    if ('key' in fields) errors.push(String(fields.key));
  };
  const log = { debug: () => undefined, info: () => undefined, error: recordKey };
  const cluster = createBusyCluster({ seed: 295, log });
  await cluster.run(30 * SECOND);
  const leader = leaderOf(cluster);
  const corruptRow = (key: string, value: WireFields): void => {
    // Simulates a write by another program that keeps the lease of the row.
    const Permit = cluster.store.rows.get(key)?.leaseId ?? null;
    cluster.store.writeUnguarded({ Set: key, V: value, Permit });
  };
  corruptRow(LEADER_KEY, { Member: 7 });
  corruptRow('mw/now/share/1', { Member: 'node-0', Nonce: 'x', Token: 'many' });
  await cluster.run(5 * SECOND);
  assert.ok(errors.includes(LEADER_KEY) && errors.includes('mw/now/share/1'), errors.join(' '));
  for (let i = 0; i < cluster.nodeCount; i++) {
    assert.equal(
      cluster.controller(i)?.leaderTerm(),
      null,
      'a node leads although the leader row is unreadable',
    );
    assert.equal(cluster.health(i), 200);
  }
  // The lease of the row expires with the process that created it. After that the leadership is vacant again.
  cluster.killNode(leader);
  await cluster.run(10 * SECOND);
  cluster.startNode(leader);
  await cluster.run(20 * SECOND);
  assert.ok(leaderOf(cluster) >= 0);
  assert.notEqual(
    cluster.store.rows.get('mw/now/share/1')?.value['Token'],
    'many',
    'the shard was not reassigned',
  );
  await assertAllJobsEnd(cluster);
});

test('while the fencing token is unreadable no worker is answered and no shard assigned; both resume once it is readable', async () => {
  const cluster = createBusyCluster({ seed: 296 });
  await cluster.run(30 * SECOND);
  const row = cluster.store.rows.get('mw/now/token');
  assert.ok(row);
  cluster.store.writeUnguarded({ Set: 'mw/now/token', V: { Token: 'many' } });
  await cluster.run(3 * SECOND);
  const answeredHeartbeats = (): number => [0, 1, 2].reduce((sum, i) => sum + cluster.heartbeatCount(i), 0);
  const before = answeredHeartbeats();
  cluster.killNode(leaderOf(cluster));
  await cluster.run(8 * SECOND);
  assert.equal(answeredHeartbeats(), before, 'workers were answered without a fencing token');
  assert.deepEqual(cluster.store.rows.get('mw/now/token')?.value, { Token: 'many' });
  cluster.store.writeUnguarded({ Set: 'mw/now/token', V: row.value });
  for (let i = 0; i < cluster.nodeCount; i++) cluster.startNode(i);
  await cluster.run(20 * SECOND);
  assert.ok(answeredHeartbeats() > before);
  await assertAllJobsEnd(cluster);
});

test('all jobs end although controllers crash in pairs during hand-offs and restart within a second', async () => {
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
    await assertAllJobsEnd(cluster);
  }
});

test('next to the production version, which has no records or hand-offs, the current version records every effect first', async () => {
  const version = await loadProductionVersion();
  for (const seed of [311, 312, 313]) {
    const cluster = new SimCluster({ seed, production: { version } });
    const { clock, cloud } = cluster;
    cloud.lateRequestRate = 0.2;
    cloud.slowBootRate = 0.2;
    submitRandomJobs(cluster, { until: 140 * SECOND, maxGapS: 5, createJob: randomArray });
    scheduleRandomFaults(cluster, { from: 20 * SECOND, until: 140 * SECOND, minGapS: 5, extraGapS: 20 });
    // Two nodes are upgraded; the third runs the production version until the end of the run.
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
    assert.ok(cluster.history.counts.deletions > 0, 'no machine was deleted');
    assert.deepEqual(cluster.invariants.unfinishedJobs(), []);
  }
});
