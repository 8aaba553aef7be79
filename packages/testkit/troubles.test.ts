import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LEADER_KEY, SHARD_PREFIX } from '#cluster';
import { encodeSubmission, type Micros, SECOND, type JobSpec } from '#wire';
import { sampleJob } from './rules.js';
import { SimWorld, type WorldOptions } from './sim-world.js';

/** A world in which work has begun: one long job of each team. */
async function busyWorld(options: WorldOptions): Promise<SimWorld> {
  const world = new SimWorld(options);
  world.clock.at(2 * SECOND, () => {
    world.submit(sampleJob('j-1', { team: 'blue', taskCount: 6, estimateS: 60 }));
    world.submit(sampleJob('j-2', { team: 'green', taskCount: 6, estimateS: 60 }));
  });
  await world.run(40 * SECOND);
  assert.ok(world.rules.starts >= 8, `only ${world.rules.starts} starts`);
  return world;
}

function indexOf(member: unknown): number {
  return Number(String(member).slice('node-'.length));
}

function leaderOf(world: SimWorld): number {
  return indexOf(world.store.rows.get(LEADER_KEY)?.value['Member']);
}

function ownersOf(world: SimWorld): Set<number> {
  const rows = [...world.store.rows].filter(([path]) => path.startsWith(SHARD_PREFIX));
  return new Set(rows.map(([, row]) => indexOf(row.value['Member'])));
}

/** Runs until all given jobs are told done; the time that took. */
async function untilDone(world: SimWorld, jobs: readonly string[], most: Micros): Promise<Micros> {
  const from = world.clock.time;
  while (!jobs.every((id) => world.told.get(id) === 'done')) {
    assert.ok(world.clock.time - from < most, `not done in time: ${jobs.join()}`);
    await world.run(SECOND);
  }
  return world.clock.time - from;
}

test('a machine whose reports arrive while no answer reaches it is emptied by proof, and given up', async () => {
  const world = await busyWorld({ seed: 41 });
  const mute = [...world.workers.values()].find((w) => w.taskCount > 0);
  assert.ok(mute);
  const { host } = mute.machine;
  world.net.mute.add(host);
  await untilDone(world, ['j-1', 'j-2'], 170 * SECOND);
  assert.equal(world.workers.has(host), false, 'it still costs money');
});

test('copies of reports, up to several leases late, mislead neither owners nor owners to come', async () => {
  const world = await busyWorld({ seed: 42 });
  world.net.weather = { trouble: 0, hold: 0, copies: 1, copyAfter: 45 * SECOND };
  for (let i = 0; i < 3; i++) {
    world.killNode(i);
    await world.run(0.3 * SECOND);
    world.startNode(i);
    await world.run(15 * SECOND);
  }
  await untilDone(world, ['j-1', 'j-2'], 150 * SECOND);
});

test('a node that alone lost the state service lets its workers go as soon as a peer tells of a new token', async () => {
  const world = await busyWorld({ seed: 43 });
  const cut = [...ownersOf(world)].find((i) => i !== leaderOf(world)) ?? 0;
  world.store.refusedNodes.add(`node-${cut}`);
  await world.run(9 * SECOND);
  const late = world.workerReports(cut);
  await world.run(6 * SECOND);
  assert.equal(world.workerReports(cut), late, 'it still answers workers');
  assert.equal(ownersOf(world).has(cut), false);
  assert.equal(world.health(cut), 503, 'users are still sent to it');
  world.store.refusedNodes.clear();
  await world.run(4 * SECOND);
  assert.equal(world.health(cut), 200);
});

test('in an outage for all every node stays healthy, so that users are back at once', async () => {
  const world = await busyWorld({ seed: 47 });
  world.store.setOutage(true);
  for (let i = 0; i < 48; i++) {
    await world.run(SECOND / 4);
    const healths = [0, 1, 2].map((node) => world.health(node));
    assert.deepEqual(healths, [200, 200, 200], `after ${i / 4} s`);
  }
  world.store.setOutage(false);
  await untilDone(world, ['j-1', 'j-2'], 150 * SECOND);
});

test('one that lost the peers, too, falls silent within its bound, and returns without harm', async () => {
  const world = await busyWorld({ seed: 44 });
  const cut = [...ownersOf(world)].find((i) => i !== leaderOf(world)) ?? 0;
  world.store.refusedNodes.add(`node-${cut}`);
  world.refusePeers(cut, true);
  await world.run(7 * SECOND);
  assert.equal(world.health(cut), 503, 'users are still sent to it');
  // cancel_s less lease_s of these settings, together.
  await world.run(9 * SECOND);
  const late = world.workerReports(cut);
  await world.run(10 * SECOND);
  assert.equal(world.workerReports(cut), late, 'it still answers workers');
  world.store.refusedNodes.delete(`node-${cut}`);
  world.refusePeers(cut, false);
  await untilDone(world, ['j-1', 'j-2'], 150 * SECOND);
  await world.run(10 * SECOND);
  assert.equal(ownersOf(world).has(cut), true);
});

test('a leader back within a fraction of a second, in the middle of the election it caused', async () => {
  const world = await busyWorld({ seed: 45 });
  for (const pause of [0.05, 0.2, 0.4, 0.1]) {
    const leader = leaderOf(world);
    world.killNode(leader);
    await world.run(pause * SECOND);
    world.startNode(leader);
    // About when its earlier grant ends and the others stand for the lead.
    await world.run(3.1 * SECOND);
  }
  await world.run(5 * SECOND);
  assert.equal(ownersOf(world).size, 3);
  await untilDone(world, ['j-1', 'j-2'], 150 * SECOND);
});

test('at a full fleet nothing waits for ever: a large job of low rank beside a stream of urgent ones', async () => {
  const world = new SimWorld({ seed: 46, capacity: 1 });
  let n = 10;
  const small = (team: string): void => {
    const change: Partial<JobSpec> = { team, rank: 'urgent', taskCount: 4, cpus: 2, estimateS: 12 };
    world.submit(sampleJob(`j-${n++}`, { ...change, jobClass: 'patch' }));
  };
  const stream = (): void => {
    if (world.clock.time > 200 * SECOND) return;
    small('blue');
    small('green');
    world.clock.at(5 * SECOND, stream);
  };
  world.clock.at(2 * SECOND, stream);
  world.clock.at(20 * SECOND, () => {
    const change: Partial<JobSpec> = { rank: 'best_effort', taskCount: 40, cpus: 2, estimateS: 10 };
    world.submit(sampleJob('j-1', { ...change, jobClass: 'bulk', team: 'green' }));
    world.submit(sampleJob('j-2', { ...change, jobClass: 'bulk', team: 'blue' }));
  });
  await world.run(700 * SECOND);
  assert.deepEqual(world.rules.neglected(), []);
});

test('a node that stands still for longer than its grant wakes without harm, and owns shares again', async () => {
  for (const [seed, pause] of [
    [61, 5],
    [62, 11],
    [63, 28],
  ] as const) {
    const world = await busyWorld({ seed });
    const cold = [...ownersOf(world)].find((i) => i !== leaderOf(world)) ?? 0;
    world.freezeNode(cold, pause * SECOND);
    await world.run(4.5 * SECOND);
    assert.equal(ownersOf(world).has(cold), false, 'its shares wait for it');
    const before = world.workerReports(cold);
    await world.run((pause - 4.5) * SECOND);
    assert.equal(world.workerReports(cold), before, 'it moved while it stood still');
    await world.run(12 * SECOND);
    assert.equal(ownersOf(world).has(cold), true);
    await untilDone(world, ['j-1', 'j-2'], 150 * SECOND);
  }
});

test('bad requests in the middle of trouble: known jobs stay known, nothing impossible is accepted', async () => {
  const world = await busyWorld({ seed: 48 });
  const known = sampleJob('j-1', { team: 'blue', taskCount: 6, estimateS: 60 });
  const never = { team: 'blue', cpus: 64 };
  const post = async (id: string, node: number, body: unknown): Promise<number> => {
    let status = 0;
    void world.ask(id, node, 'POST', '/submissions', body).then((s) => (status = s));
    await world.run(2.5 * SECOND);
    return status;
  };
  const without = (spec: JobSpec): object => ({ ...encodeSubmission(spec), Rank: undefined });
  const round = async (node: number): Promise<void> => {
    // The checker takes 400 and 422 for a job that was accepted as forgotten.
    assert.equal(await post('j-1', node, encodeSubmission(known)), 200);
    assert.equal(await post('j-1', node, encodeSubmission({ ...known, ...never })), 200);
    assert.equal(await post('j-1', node, without(known)), 200);
    assert.equal(await post('j-9', node, without(sampleJob('j-9'))), 400);
    assert.equal(await post('j-9', node, encodeSubmission(sampleJob('j-9', never))), 422);
    assert.equal(await post('j-9', node, encodeSubmission(sampleJob('j-9', { team: 'nobody' }))), 422);
    assert.equal(await post('j-9', node, encodeSubmission(sampleJob('j-9', { machineTypes: [] }))), 422);
    assert.equal(
      await post('j-9', node, encodeSubmission(sampleJob('j-9', { machineTypes: ['large'], zone: 'west' }))),
      422,
    );
  };
  await round(0);
  // A process that has just started may not know yet: then it says so, at once.
  world.killNode(1);
  world.startNode(1);
  const early = await post('j-9', 1, encodeSubmission(sampleJob('j-9', never)));
  assert.ok(early === 503 || early === 422, `${early}`);
  await world.run(3 * SECOND);
  world.cloud.outage = true;
  world.net.slow.set('10.2.0.1:2379', 8);
  await round(1);
  world.net.slow.clear();
  world.store.setOutage(true);
  assert.equal(await post('j-1', 2, encodeSubmission(known)), 503);
  assert.equal(await post('j-9', 2, encodeSubmission(sampleJob('j-9'))), 503);
  world.store.setOutage(false);
  world.cloud.outage = false;
  await world.run(2 * SECOND);
  await untilDone(world, ['j-1', 'j-2'], 150 * SECOND);
  await round(2);
});

test('a job that fails on every machine takes little room, and ends with its cancellation', async () => {
  const world = new SimWorld({ seed: 49 });
  world.clock.at(2 * SECOND, () => {
    world.submit(
      sampleJob('j-1', { team: 'blue', taskCount: 10, estimateS: 20, jobClass: 'broken' }),
      140 * SECOND,
    );
    world.submit(sampleJob('j-2', { team: 'blue', taskCount: 30, estimateS: 20 }));
  });
  // By then its first tasks have failed, wherever they ran.
  await world.run(75 * SECOND);
  const before = world.rules.starts;
  let most = 0;
  for (let i = 0; i < 65; i++) {
    await world.run(SECOND);
    most = Math.max(most, world.rules.on('j-1').length);
  }
  assert.ok(world.rules.starts > before, 'it is not tried again');
  assert.equal(most, 1);
  assert.equal(world.told.get('j-2'), 'done');
  await world.run(30 * SECOND);
  assert.equal(world.told.get('j-1'), 'cancelled');
});

// Such a node kept its shares, since its peers and the state service reached it: its workers were sent back to it until
// their leases ran out.
test('a node that loses only its workers hands its shares on before their leases run out', async () => {
  const world = new SimWorld({ seed: 121, settings: { stateRps: 200, stateWriteRps: 80 } });
  world.clock.at(2 * SECOND, () => {
    world.submit(sampleJob('j-0', { team: 'blue', taskCount: 8, estimateS: 300 }));
    world.submit(sampleJob('j-1', { team: 'green', taskCount: 8, estimateS: 300 }));
  });
  await world.run(40 * SECOND);
  const running = (): string[] =>
    ['j-0', 'j-1'].flatMap((id) => world.rules.on(id).map(({ taskName, host }) => `${taskName} on ${host}`));
  const before = running();
  const reportsTo = new Map<number, number>();
  for (const w of world.workers.values()) reportsTo.set(w.reportsTo, (reportsTo.get(w.reportsTo) ?? 0) + 1);
  const [node, workers] = [...reportsTo].sort((a, b) => b[1] - a[1])[0] ?? [0, 0];
  assert.ok(workers >= 2, 'no node has two workers');
  const links = [...world.workers.keys()].map((name) => `${name}>10.0.0.${node}:80`);
  for (const link of links) world.net.refused.add(link);
  await world.run(15 * SECOND);
  const reports = world.workerReports(node);
  await world.run(15 * SECOND);
  assert.equal(world.workerReports(node), reports);
  assert.equal(world.health(node), 200);
  const after = running();
  assert.deepEqual(
    before.filter((task) => !after.includes(task)),
    [],
  );
  // Back in reach it owns shares again after a while.
  for (const link of links) world.net.refused.delete(link);
  await world.run(60 * SECOND);
  assert.ok(world.workerReports(node) > reports, 'it was not tried again');
});
