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
import { trouble } from './random-troubles.js';
import { sampleJob } from './rules.js';
import { CLOUD, SimWorld, type WorldOptions } from './sim-world.js';

const TEAMS = ['blue', 'green', 'red'].map((name) => ({ name, cpus: 8, cpusMax: 24, gpus: 0, gpusMax: 2 }));
/** Longer than the life of the grant on which all duties hang, and than a worker's lease. */
const OVER_A_TERM = 12 * SECOND;

/** Three teams whose jobs come and go, so that machines are rented and returned all the time. */
function busyWorld(options: WorldOptions): SimWorld {
  const world = new SimWorld({ ...options, settings: { teams: TEAMS, ...options.settings } });
  const { random, clock } = world;
  let jobs = 0;
  const arrive = (): void => {
    if (clock.time > 150 * SECOND) return;
    const team = TEAMS[jobs % TEAMS.length]?.name ?? '';
    const taskCount = 2 + Math.floor(random() * 6);
    world.submit(sampleJob(`j-${jobs++}`, { team, taskCount, estimateS: 5 + random() * 20 }));
    clock.at((4 + random() * 8) * SECOND, arrive);
  };
  clock.at(SECOND, arrive);
  return world;
}

function leaderOf(world: SimWorld): number {
  const row = world.store.rows.get(LEADER_KEY);
  return row ? Number(String(row.value['Member']).slice('node-'.length)) : -1;
}

function termOf(world: SimWorld): number {
  return world.store.rows.get(LEADER_KEY)?.revision ?? 0;
}

/** Calls once, when the leader's log takes a record with one of these fields. */
function onceRecorded(world: SimWorld, field: keyof WireFields, act: () => void): void {
  const { afterApply } = world.store;
  let isOver = false;
  world.store.afterApply = (writes) => {
    afterApply(writes);
    const isIt = (write: WireFields): boolean => {
      const isLeaders = String(write['Set'] ?? '').startsWith(`${LOG_PREFIX}lead/`);
      return isLeaders && isWireFields(write['V']) && write['V'][field] !== undefined;
    };
    if (isOver || world.clock.time < 25 * SECOND || !writes.some(isIt)) return;
    isOver = true;
    act();
  };
}

/** Runs on until all work is over, and demands that nothing was lost. */
async function finish(world: SimWorld): Promise<void> {
  world.rules.troublesOver(world.clock.time);
  await world.run(160 * SECOND);
  assert.ok(world.rules.starts > 20, `only ${world.rules.starts} starts`);
  assert.deepEqual(world.rules.unfinished(), []);
}

test('requests to the cloud that stay behind with a replaced leader harm nobody, after one successor and after two', async () => {
  for (const [seed, successors] of [
    [201, 1],
    [202, 2],
    [203, 1],
    [204, 2],
  ] as const) {
    const world = busyWorld({ seed });
    await world.run(30 * SECOND);
    const first = leaderOf(world);
    const name = `node-${first}`;
    world.net.hold(name, CLOUD);
    await world.run(20 * SECOND);
    for (let i = 0; i < successors; i++) {
      const leader = leaderOf(world);
      const term = termOf(world);
      world.freezeNode(leader, OVER_A_TERM);
      await world.run(OVER_A_TERM + SECOND);
      assert.notEqual(termOf(world), term, 'nobody took over');
    }
    const held = world.net.release(name, CLOUD);
    assert.ok(held > 0, 'nothing was held');
    await world.run(40 * SECOND);
    await finish(world);
  }
});

test('a leader that stands still between its record and its request leaves an intent that the successor finishes', async () => {
  for (const [seed, field] of [
    [211, 'rentals'],
    [212, 'rentals'],
    [213, 'moves'],
    [214, 'moves'],
  ] as const) {
    const world = busyWorld({ seed });
    let frozen = -1;
    let term = 0;
    onceRecorded(world, field, () => {
      frozen = leaderOf(world);
      term = termOf(world);
      world.freezeNode(frozen, OVER_A_TERM);
    });
    await world.run(100 * SECOND);
    assert.ok(frozen >= 0, `no ${field} were recorded`);
    assert.notEqual(termOf(world), term, 'nobody took over');
    await finish(world);
    const open = world.controller(leaderOf(world))?.roleReport().duties[0]?.openIntents;
    assert.deepEqual(open?.rentals, [], 'a rental was left open');
  }
});

test('a leader that stands still between act and record, and is leader again later, records nothing of its old term', async () => {
  for (const seed of [221, 222, 223]) {
    const world = busyWorld({ seed });
    const { cloud } = world;
    const { onRented } = cloud;
    const frozen: { node: number; term: number }[] = [];
    cloud.onRented = (name, sender) => {
      onRented(name, sender);
      if (frozen.length > 0) return;
      const node = leaderOf(world);
      frozen.push({ node, term: termOf(world) });
      world.freezeNode(node, OVER_A_TERM);
    };
    await world.run(60 * SECOND);
    const [old] = frozen;
    assert.ok(old, 'nothing was rented');
    assert.notEqual(termOf(world), old.term, 'nobody took over');
    // The others end, so that the old leader leads again, under a later term.
    for (let i = 0; i < world.nodeCount; i++) if (i !== old.node) world.killNode(i);
    await world.run(10 * SECOND);
    assert.equal(leaderOf(world), old.node);
    assert.ok(termOf(world) > old.term);
    for (let i = 0; i < world.nodeCount; i++) world.startNode(i);
    await world.run(30 * SECOND);
    await finish(world);
  }
});

test('clocks that are hours apart cost time, never a machine in use', async () => {
  for (const seed of [231, 232, 233]) {
    const hours = [-2, 0, 3];
    const clockError = (index: number): { drift: number; wallOff: number } => ({
      drift: (index - 1) * 0.0002,
      wallOff: (hours[index] ?? 0) * 3600 * SECOND,
    });
    const world = busyWorld({ seed, clockError });
    world.cloud.slowBoots = 0.3;
    world.cloud.lateRequests = 0.2;
    const harm = (): void => {
      if (world.clock.time > 130 * SECOND) return;
      trouble(world);
      world.clock.at((6 + world.random() * 20) * SECOND, harm);
    };
    world.clock.at(25 * SECOND, harm);
    await world.run(200 * SECOND);
    world.cloud.lateRequests = 0;
    world.cloud.slowBoots = 0;
    // Times of day in the records make some waits as long as the clocks are apart: nothing is asked of those.
    await world.run(200 * SECOND);
    assert.ok(world.rules.starts > 20, `only ${world.rules.starts} starts`);
  }
});

test('a holder whose steady clock runs far too slowly or too fast is fenced all the same', async () => {
  for (const [seed, drift] of [
    [241, -0.6],
    [242, -0.9],
    [243, 0.6],
  ] as const) {
    // One node's clock is wrong; nothing but leaders is troubled, since proofs of workers' leases do rest on clocks.
    const clockError = (index: number): { drift: number; wallOff: number } => ({
      drift: index === 0 ? drift : 0,
      wallOff: 0,
    });
    const world = busyWorld({ seed, clockError });
    const terms = new Set<number>();
    for (let i = 0; i < 5; i++) {
      await world.run(15 * SECOND);
      terms.add(termOf(world));
      world.freezeNode(leaderOf(world), 5 * SECOND);
    }
    await world.run(60 * SECOND);
    assert.ok(terms.size > 2, 'the lead did not change hands');
    await finish(world);
  }
});

test('the commit of an old leader that lands late has no effect', async () => {
  for (const seed of [251, 252, 253]) {
    const world = busyWorld({ seed });
    await world.run(30 * SECOND);
    const old = leaderOf(world);
    const isLeaders = (write: WireFields): boolean =>
      String(write['Set'] ?? '').startsWith(`${LOG_PREFIX}lead/`);
    let delayed = 0;
    world.store.isLate = (writes) => {
      if (!writes.some(isLeaders)) return false;
      delayed++;
      return true;
    };
    for (let i = 0; i < 60 && delayed === 0; i++) await world.run(0.5 * SECOND);
    assert.ok(delayed > 0, 'the leader recorded nothing');
    world.freezeNode(old, OVER_A_TERM);
    world.store.isLate = () => false;
    await world.run(OVER_A_TERM + SECOND);
    assert.ok(world.store.late.came > 0, 'no commit came late');
    await finish(world);
  }
});

test('a renewal that arrives after its grant has ended revives nothing', async () => {
  const world = busyWorld({ seed: 261 });
  await world.run(30 * SECOND);
  const old = leaderOf(world);
  const term = termOf(world);
  world.net.hold(`node-${old}`, '10.2.0.1:2379');
  await world.run(5 * SECOND);
  assert.notEqual(termOf(world), term, 'the grant did not end');
  assert.ok(world.net.release(`node-${old}`, '10.2.0.1:2379') > 0, 'nothing was under way');
  await world.run(5 * SECOND);
  assert.notEqual(termOf(world), term);
  await finish(world);
});

test('a leader that is refused alone, then with all, keeps or loses the lead, and nothing is done twice', async () => {
  for (const seed of [271, 272]) {
    const world = busyWorld({ seed });
    await world.run(30 * SECOND);
    const old = leaderOf(world);
    world.store.refusedNodes.add(`node-${old}`);
    await world.run(2 * SECOND);
    world.store.setOutage(true);
    await world.run(20 * SECOND);
    world.store.setOutage(false);
    await world.run(5 * SECOND);
    assert.notEqual(leaderOf(world), old, 'it still leads though it is refused');
    world.store.refusedNodes.clear();
    await world.run(20 * SECOND);
    await finish(world);
  }
});

test('a leader cut from the cloud only, from its peers only or from its workers only keeps the rules', async () => {
  const cuts: ((world: SimWorld, leader: number) => string[])[] = [
    (_world, leader) => [`node-${leader}>${CLOUD}`],
    (world, leader) => [...world.workers.keys()].map((host) => `${host}>10.0.0.${leader}:80`),
    (world, leader) =>
      [...Array(world.nodeCount).keys()].flatMap((i) => [
        `node-${leader}>10.0.0.${i}:81`,
        `node-${i}>10.0.0.${leader}:81`,
      ]),
  ];
  for (const [i, linksOf] of cuts.entries()) {
    const world = busyWorld({ seed: 281 + i });
    await world.run(30 * SECOND);
    const links = linksOf(world, leaderOf(world));
    for (const link of links) world.net.refused.add(link);
    await world.run(40 * SECOND);
    for (const link of links) world.net.refused.delete(link);
    await world.run(20 * SECOND);
    await finish(world);
  }
});

test('the lead is handed over on purpose, to another node and within a second', async () => {
  const world = busyWorld({ seed: 291 });
  await world.run(30 * SECOND);
  const old = leaderOf(world);
  const term = termOf(world);
  const results: string[] = [];
  void world
    .controller(old)
    ?.resignRole('lead')
    .then((result) => results.push(result.kind));
  await world.run(6 * SECOND);
  assert.deepEqual(results, ['handed_over']);
  assert.ok(termOf(world) > term);
  assert.notEqual(leaderOf(world), old);
  await finish(world);
});

test('a share is handed over on purpose: the leader deals it to another node, under a higher token', async () => {
  const world = busyWorld({ seed: 292 });
  await world.run(30 * SECOND);
  const ownerOf = (shard: number): unknown => world.store.rows.get(`mw/now/share/${shard}`)?.value['Member'];
  const tokenOf = (): number => Number(world.store.rows.get('mw/now/token')?.value['Token']);
  const owner = ownerOf(1);
  const fencingToken = tokenOf();
  const node = Number(String(owner).slice('node-'.length));
  const results: string[] = [];
  void world
    .controller(node)
    ?.resignRole(1)
    .then((result) => results.push(result.kind));
  await world.run(7 * SECOND);
  assert.deepEqual(results, ['handed_over']);
  assert.notEqual(ownerOf(1), owner);
  assert.ok(tokenOf() > fencingToken);
  await finish(world);
});

test('a node that is stopped on purpose leaves nothing vacant for as long as a grant lives', async () => {
  for (const seed of [297, 298]) {
    const world = busyWorld({ seed });
    await world.run(30 * SECOND);
    const old = leaderOf(world);
    const ownedBy = (node: number): number[] =>
      [0, 1, 2].filter(
        (shard) => world.store.rows.get(`mw/now/share/${shard}`)?.value['Member'] === `node-${node}`,
      );
    void world.controller(old)?.retire();
    // Half of what a grant lives after its last renewal.
    await world.run(1.5 * SECOND);
    assert.ok(leaderOf(world) >= 0 && leaderOf(world) !== old, 'nobody leads');
    assert.equal(world.store.rows.has(`mw/now/member/node-${old}`), false);
    assert.equal([0, 1, 2].filter((node) => node !== old).flatMap(ownedBy).length, 3, 'a share has no owner');
    world.killNode(old);
    await world.run(5 * SECOND);
    world.startNode(old);
    await world.run(20 * SECOND);
    await finish(world);
  }
});

test('a hand-over is refused with the reason where it can not be done safely', async () => {
  const reasons: string[] = [];
  const ask = async (world: SimWorld, node: number, role: 'lead' | number): Promise<string> => {
    let reason = '';
    void world
      .controller(node)
      ?.resignRole(role)
      .then((result) => (reason = result.kind === 'refused' ? result.reason : result.kind));
    await world.run(7 * SECOND);
    reasons.push(reason);
    return reason;
  };
  const world = busyWorld({ seed: 293 });
  await world.run(30 * SECOND);
  const leader = leaderOf(world);
  const other = (leader + 1) % world.nodeCount;
  assert.match(await ask(world, other, 'lead'), /not held here: node-\d holds it/);
  world.store.setOutage(true);
  await world.run(5 * SECOND);
  assert.match(await ask(world, leader, 'lead'), /state service/);
  world.store.setOutage(false);
  await world.run(10 * SECOND);
  const present = leaderOf(world);
  for (let i = 0; i < world.nodeCount; i++) if (i !== present) world.killNode(i);
  await world.run(8 * SECOND);
  assert.match(await ask(world, present, 'lead'), /no other member/);
  for (let i = 0; i < world.nodeCount; i++) world.startNode(i);
  await world.run(10 * SECOND);
  await finish(world);
});

test('shares are handed over only once every node has announced that it knows the hand-over', async () => {
  const version = await loadProductionVersion();
  const world = busyWorld({ seed: 294, production: { version } });
  for (const node of [0, 1]) world.upgradeNode(node, SECOND);
  await world.run(40 * SECOND);
  const shard = [0, 1, 2].find(
    (s) => world.store.rows.get(`mw/now/share/${s}`)?.value['Member'] === 'node-0',
  );
  assert.ok(shard !== undefined, 'node-0 owns nothing');
  let reason = '';
  void world
    .controller(0)
    ?.resignRole(shard)
    .then((result) => (reason = result.kind === 'refused' ? result.reason : result.kind));
  await world.run(2 * SECOND);
  assert.match(reason, /not every node has announced/);
  const members = [...world.store.rows].filter(([path]) => path.startsWith('mw/now/member/'));
  for (const [path, { value }] of members) assert.equal(value['Resigned'], undefined, path);
  world.upgradeNode(2, SECOND);
  await world.run(40 * SECOND);
  await finish(world);
});

test('the row of a duty that can not be read closes that duty alone, is named in the log and ends no node', async () => {
  const errors: string[] = [];
  const note = (fields: object): void => {
    if ('key' in fields) errors.push(String(fields.key));
  };
  const log = { debug: () => undefined, info: () => undefined, error: note };
  const world = busyWorld({ seed: 295, log });
  await world.run(30 * SECOND);
  const leader = leaderOf(world);
  const spoil = (path: string, value: WireFields): void => {
    // As if a foreign hand had written it, with the grant that the row had.
    const Permit = world.store.rows.get(path)?.leaseId ?? null;
    world.store.spoil({ Set: path, V: value, Permit });
  };
  spoil(LEADER_KEY, { Member: 7 });
  spoil('mw/now/share/1', { Member: 'node-0', Nonce: 'x', Token: 'many' });
  await world.run(5 * SECOND);
  assert.ok(errors.includes(LEADER_KEY) && errors.includes('mw/now/share/1'), errors.join(' '));
  for (let i = 0; i < world.nodeCount; i++) {
    assert.equal(world.controller(i)?.leaderTerm(), null, 'somebody leads under a row that nobody can read');
    assert.equal(world.health(i), 200);
  }
  // Its grant ends with the process that wrote it before: then the lead is free again.
  world.killNode(leader);
  await world.run(10 * SECOND);
  world.startNode(leader);
  await world.run(20 * SECOND);
  assert.ok(leaderOf(world) >= 0);
  assert.notEqual(world.store.rows.get('mw/now/share/1')?.value['Token'], 'many', 'it was not dealt anew');
  await finish(world);
});

test('while the token can not be read no worker is answered and no share is dealt; all goes on once it can', async () => {
  const world = busyWorld({ seed: 296 });
  await world.run(30 * SECOND);
  const row = world.store.rows.get('mw/now/token');
  assert.ok(row);
  world.store.spoil({ Set: 'mw/now/token', V: { Token: 'many' } });
  await world.run(3 * SECOND);
  const answered = (): number => [0, 1, 2].reduce((sum, i) => sum + world.workerReports(i), 0);
  const before = answered();
  world.killNode(leaderOf(world));
  await world.run(8 * SECOND);
  assert.equal(answered(), before, 'workers were answered under no token');
  assert.deepEqual(world.store.rows.get('mw/now/token')?.value, { Token: 'many' });
  world.store.spoil({ Set: 'mw/now/token', V: row.value });
  for (let i = 0; i < world.nodeCount; i++) world.startNode(i);
  await world.run(20 * SECOND);
  assert.ok(answered() > before);
  await finish(world);
});

test('controllers end in pairs in the middle of a hand-over and are back within a fraction of a second', async () => {
  for (const seed of [301, 302, 303, 304]) {
    const world = busyWorld({ seed });
    const { random, clock } = world;
    for (let round = 0; round < 6; round++) {
      await world.run((8 + random() * 8) * SECOND);
      const leader = leaderOf(world);
      void world.controller(leader)?.resignRole(random() < 0.5 ? 'lead' : Math.floor(random() * 3));
      const pair = [leader, (leader + 1 + Math.floor(random() * 2)) % world.nodeCount];
      for (const node of pair) {
        clock.at(random() * 0.4 * SECOND, () => {
          world.killNode(node);
        });
        clock.at((0.45 + random() * 0.3) * SECOND, () => {
          world.startNode(node);
        });
      }
    }
    await world.run(60 * SECOND);
    await finish(world);
  }
});

test('beside the version in production, which knows neither records nor hand-overs, nothing of ours goes unrecorded', async () => {
  const version = await loadProductionVersion();
  for (const seed of [311, 312, 313]) {
    const world = new SimWorld({ seed, production: { version } });
    const { random, clock, cloud } = world;
    cloud.lateRequests = 0.2;
    cloud.slowBoots = 0.2;
    let jobs = 0;
    const arrive = (): void => {
      if (clock.time > 140 * SECOND) return;
      world.submit(randomArray(random, jobs++));
      clock.at(random() * 5 * SECOND, arrive);
    };
    const harm = (): void => {
      if (clock.time > 140 * SECOND) return;
      trouble(world);
      clock.at((5 + random() * 20) * SECOND, harm);
    };
    clock.at(SECOND, arrive);
    clock.at(20 * SECOND, harm);
    // Two nodes are upgraded, and one comes back old only at the end of the run.
    clock.at(40 * SECOND, () => {
      world.upgradeNode(0, SECOND);
    });
    clock.at(70 * SECOND, () => {
      world.upgradeNode(1, SECOND);
    });
    await world.run(210 * SECOND);
    cloud.lateRequests = 0;
    cloud.slowBoots = 0;
    world.rules.troublesOver(clock.time);
    await world.run(160 * SECOND);
    assert.ok(world.history.counts.deletions > 0, 'nothing was deleted');
    assert.deepEqual(world.rules.unfinished(), []);
  }
});
