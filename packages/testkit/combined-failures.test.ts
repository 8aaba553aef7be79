import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FENCING_TOKEN_KEY, LEADER_KEY } from '#cluster';
import { encodeSubmission, type WireFields, isWireFields, type Micros, SECOND, type JobSpec } from '#wire';
import { BrokenRule, sampleJob } from './rules.js';
import { SAMPLE_TYPES, SimWorld, type WorldOptions } from './sim-world.js';

/** The combined failures of `docs/combined-failures.md`: each test brings one about, and asserts that it did occur. */

const TEAMS = ['blue', 'green', 'red'].map((name) => ({ name, cpus: 8, cpusMax: 24, gpus: 0, gpusMax: 2 }));

function newWorld(options: WorldOptions): SimWorld {
  return new SimWorld({ ...options, settings: { teams: TEAMS, ...options.settings } });
}

/** A world of three teams with one long job each, so that every node that owns a share has work on it. */
async function busyWorld(options: WorldOptions): Promise<SimWorld> {
  const world = newWorld(options);
  world.clock.at(2 * SECOND, () => {
    TEAMS.forEach((team, i) => {
      world.submit(sampleJob(`j-${i}`, { team: team.name, taskCount: 10, estimateS: 200 }));
    });
  });
  await world.run(40 * SECOND);
  for (let i = 0; i < 3; i++) assert.ok(world.rules.on(`j-${i}`).length > 0, `j-${i} doesn't run`);
  return world;
}

function holderOf(world: SimWorld, key: string): number {
  return Number(String(world.store.rows.get(key)?.value['Member']).slice('node-'.length));
}

/** The leader, and a job that runs on machines whose workers report to it. */
function leading(world: SimWorld): { leader: number; job: string } {
  const leader = holderOf(world, LEADER_KEY);
  const job = ['j-0', 'j-1', 'j-2'].find((id) =>
    world.rules.on(id).some(({ host }) => world.workers.get(host)?.reportsTo === leader),
  );
  assert.ok(job !== undefined, "nothing runs on the leader's machines");
  return { leader, job };
}

function otherThan(world: SimWorld, node: number): number {
  return (node + 1) % world.nodeCount;
}

async function confirmWithdrawal(world: SimWorld, job: string, node: number): Promise<void> {
  let status = 0;
  void world.withdraw(job, node).then((s) => (status = s));
  for (let i = 0; i < 15 && status === 0; i++) await world.run(0.1 * SECOND);
  assert.equal(status, 200, 'not confirmed');
  assert.equal(world.told.get(job), 'cancelled');
}

/** The state service refuses the leader alone, another node confirms a withdrawal, then it is out for all. */
async function gap(seed: number, alone: number, options: Partial<WorldOptions> = {}): Promise<void> {
  const world = await busyWorld({ seed, ...options });
  const { leader, job } = leading(world);
  world.store.refusedNodes.add(`node-${leader}`);
  await world.run(alone * SECOND);
  await confirmWithdrawal(world, job, otherThan(world, leader));
  world.store.setOutage(true);
  const before = world.workerReports(leader);
  await world.run(4 * SECOND);
  assert.ok(world.workerReports(leader) > before, 'no worker reports to the old leader any more');
  assert.ok(world.rules.on(job).length > 0, 'its tasks were gone without the bound');
  // Longer than cancel_s of these settings. The checker throws if a task is on its machine for longer.
  await world.run(30 * SECOND);
  assert.deepEqual(world.rules.on(job), []);
  const last = world.workerReports(leader);
  await world.run(2 * SECOND);
  assert.equal(world.workerReports(leader), last, 'it still answers workers');
  world.store.setOutage(false);
  await world.run(3 * SECOND);
  world.store.refusedNodes.clear();
  await world.run(60 * SECOND);
  assert.equal(world.rules.startsAfterConfirmation, 0);
}

test('the state service refuses the leader alone, a withdrawal is confirmed, then it is out for all', async () => {
  for (const [seed, alone] of [
    [71, 0.1],
    [72, 0.5],
    [73, 1],
    [75, 1.5],
  ] as const) {
    await gap(seed, alone);
  }
});

test('with a wider bound of renewal the same combination breaks the rule', async () => {
  // The controllers are told of ten seconds more than users are promised: what they add to the bound.
  const widened = { settings: { cancellationDeadline: 35 * SECOND }, promisedCancel: 25 * SECOND };
  await assert.rejects(
    gap(72, 1, widened),
    (cause) => cause instanceof BrokenRule && cause.rule === 'ran_cancelled',
  );
});

/** Work that ends within the test: one job of some tasks for each team. */
async function shortWork(world: SimWorld, change: Partial<JobSpec> = {}): Promise<string[]> {
  const ids = TEAMS.map((_, i) => `j-1${i}`);
  ids.forEach((id, i) => {
    world.submit(sampleJob(id, { team: TEAMS[i]?.name ?? '', taskCount: 3, estimateS: 25, ...change }));
  });
  await world.run(35 * SECOND);
  for (const id of ids) assert.ok(world.rules.on(id).length > 0, `${id} doesn't run`);
  return ids;
}

/** The troubles are over: from here on the checker sees to it that nothing is forgotten or left waiting. */
async function untilOver(world: SimWorld, jobs: readonly string[], most = 200): Promise<void> {
  world.rules.troublesOver(world.clock.time);
  for (let i = 0; i < most; i++) {
    if (jobs.every((id) => ['done', 'cancelled'].includes(world.told.get(id) ?? ''))) return;
    await world.run(SECOND);
  }
  assert.fail(`not over in time: ${jobs.map((id) => `${id} ${world.told.get(id)}`).join()}`);
}

/** Machines that carry tasks of any of the jobs. */
function machinesOf(world: SimWorld, jobs: readonly string[]): string[] {
  return [...new Set(jobs.flatMap((id) => world.rules.on(id).map(({ host }) => host)))];
}

function refuseAll(world: SimWorld, host: string, on: boolean): void {
  for (let i = 0; i < world.nodeCount; i++) {
    if (on) world.net.refused.add(`${host}>10.0.0.${i}:80`);
    else world.net.refused.delete(`${host}>10.0.0.${i}:80`);
  }
}

async function killFor(world: SimWorld, nodes: readonly number[], pause: Micros): Promise<void> {
  for (const node of nodes) world.killNode(node);
  await world.run(pause);
  for (const node of nodes) world.startNode(node);
}

async function untilLed(world: SimWorld, notBy: number): Promise<number> {
  for (let i = 0; i < 40; i++) {
    const leader = world.store.rows.has(LEADER_KEY) ? holderOf(world, LEADER_KEY) : notBy;
    if (leader !== notBy) return leader;
    await world.run(SECOND / 4);
  }
  return assert.fail('nobody leads');
}

test('a leader ends while its machines are out of reach, or do not hear the new answers', async () => {
  for (const [seed, unreachable] of [
    [81, false],
    [82, true],
  ] as const) {
    const world = newWorld({ seed });
    const jobs = await shortWork(world, { estimateS: 60 });
    const leader = holderOf(world, LEADER_KEY);
    const hosts = machinesOf(world, jobs);
    for (const host of hosts.slice(0, 2)) {
      if (unreachable) world.net.mute.add(host);
      else refuseAll(world, host, true);
    }
    world.killNode(leader);
    await untilLed(world, leader);
    // Well over a lease: what these machines had is proven off, and goes on elsewhere.
    await world.run(40 * SECOND);
    for (const host of hosts) refuseAll(world, host, false);
    world.net.mute.clear();
    world.startNode(leader);
    await untilOver(world, jobs);
  }
});

test('more work than room, urgent and not, over slow links', async () => {
  const world = newWorld({ seed: 83, capacity: 1 });
  for (let i = 0; i < 3; i++) world.net.slow.set(`10.0.0.${i}:80`, 150);
  const ids: string[] = [];
  world.clock.at(SECOND, () => {
    for (let i = 0; i < 12; i++) {
      const id = `j-2${i}`;
      ids.push(id);
      const Rank = i % 3 === 0 ? 'urgent' : i % 3 === 1 ? 'normal' : 'best_effort';
      world.submit(
        sampleJob(id, { team: TEAMS[i % 3]?.name ?? '', taskCount: 8, estimateS: 10, rank: Rank, memGb: 6 }),
      );
    }
  });
  await world.run(40 * SECOND);
  assert.ok(ids.some((id) => world.rules.on(id).length === 0 && world.told.get(id) !== 'done'));
  for (let i = 0; i < 3; i++) world.net.slow.set(`10.0.0.${i}:80`, 20);
  await untilOver(world, ids, 600);
});

test('orders are held up for seconds on their way, and the machine then goes on', async () => {
  const world = newWorld({ seed: 84 });
  const jobs = await shortWork(world);
  const hosts = machinesOf(world, jobs);
  for (let i = 0; i < 4; i++) {
    for (const host of hosts) world.net.slow.set(host, 300 + 300 * i);
    await world.run(3 * SECOND);
    for (const host of hosts) {
      const worker = world.workers.get(host);
      if (worker) worker.hanging = i % 2 === 0;
    }
    if (i === 1) await confirmWithdrawal(world, 'j-10', 1);
    await world.run(4 * SECOND);
  }
  for (const worker of world.workers.values()) worker.hanging = false;
  world.net.slow.clear();
  await untilOver(world, jobs);
});

test('jobs of two and three tasks end far apart across a change of leader', async () => {
  for (const seed of [85, 86]) {
    const world = newWorld({ seed });
    const jobs = await shortWork(world, { taskCount: 2, estimateS: 30 });
    let rounds = 0;
    // A change of leader at every end of a task, so that one falls between the ends of each job.
    for (let left = -1; rounds < 4; rounds++) {
      for (let i = 0; i < 60; i++) {
        const now = jobs.reduce((sum, id) => sum + world.rules.on(id).length, 0);
        if (left >= 0 && now < left) break;
        left = now;
        await world.run(SECOND / 2);
      }
      left = -1;
      await killFor(world, [holderOf(world, LEADER_KEY)], 0.3 * SECOND);
      await world.run(5 * SECOND);
    }
    await untilOver(world, jobs);
    for (const id of jobs) assert.equal(world.told.get(id), 'done');
  }
});

test('a team is at its limit as the leader changes, machines cannot be asked, and a job is cancelled', async () => {
  for (const seed of [87, 88]) {
    const teams = TEAMS.map((t) => ({ ...t, cpusMax: 12 }));
    const world = newWorld({ seed, settings: { teams } });
    const jobs = await shortWork(world, { taskCount: 6, estimateS: 80 });
    assert.equal(world.rules.on('j-10').length, 6, 'the team is not at its limit');
    world.submit(sampleJob('j-20', { team: 'blue', taskCount: 6, estimateS: 10 }));
    await world.run(3 * SECOND);
    const [mute, away] = machinesOf(world, ['j-10']);
    assert.ok(mute !== undefined && away !== undefined);
    world.net.mute.add(mute);
    refuseAll(world, away, true);
    const leader = holderOf(world, LEADER_KEY);
    world.killNode(leader);
    await untilLed(world, leader);
    await confirmWithdrawal(world, 'j-10', otherThan(world, leader));
    // Only what is proven off its machine makes room for the next job: the checker watches the limit.
    await world.run(20 * SECOND);
    world.net.mute.clear();
    refuseAll(world, away, false);
    world.startNode(leader);
    await untilOver(world, [...jobs, 'j-20']);
    assert.equal(world.told.get('j-20'), 'done');
  }
});

test('reports held back until a new owner has acted arrive there, from the same and from earlier sessions', async () => {
  for (const [seed, pause] of [
    [89, 6],
    [90, 14],
  ] as const) {
    const world = newWorld({ seed });
    const jobs = await shortWork(world, { estimateS: 60 });
    const leader = holderOf(world, LEADER_KEY);
    const hosts = machinesOf(world, jobs);
    for (const host of hosts) world.net.hold(host);
    world.killNode(leader);
    await untilLed(world, leader);
    // Less than a lease, or more: then what was held is of an earlier session.
    await world.run(pause * SECOND);
    const late = hosts.reduce((sum, host) => sum + world.net.release(host), 0);
    assert.ok(late > hosts.length, 'no report was held');
    await world.run(4 * SECOND);
    // Once more, to the owner that came back.
    for (const host of hosts) world.net.hold(host);
    world.startNode(leader);
    await killFor(world, [otherThan(world, leader)], 5 * SECOND);
    for (const host of hosts) world.net.release(host);
    await untilOver(world, jobs);
  }
});

test('jobs bound to one place lose machines, some of which cannot be asked', async () => {
  for (const seed of [91, 92]) {
    const world = newWorld({ seed });
    const kinds: Partial<JobSpec>[] = [{ singleZone: true }, { spreadZones: true }, { zone: 'west' }];
    const ids = kinds.map((kind, i) => {
      const id = `j-3${i}`;
      world.submit(sampleJob(id, { team: TEAMS[i]?.name ?? '', taskCount: 5, estimateS: 50, ...kind }));
      return id;
    });
    await world.run(35 * SECOND);
    for (const id of ids) assert.ok(world.rules.on(id).length > 1, `${id} doesn't run`);
    ids.forEach((id, i) => {
      const [first, second] = machinesOf(world, [id]);
      const dead = first === undefined ? undefined : world.cloud.hosts.get(first);
      if (dead) world.cloud.die(dead);
      if (second === undefined) return;
      if (i === 0) world.net.mute.add(second);
      else refuseAll(world, second, true);
    });
    await world.run(12 * SECOND);
    world.net.mute.clear();
    for (const host of world.workers.keys()) refuseAll(world, host, false);
    await untilOver(world, ids);
  }
});

test('leaders change ten times in two minutes, also inside an outage', async () => {
  for (const outage of [false, true]) {
    const world = newWorld({ seed: 93 });
    const jobs = await shortWork(world, { estimateS: 120 });
    const tokens: number[] = [];
    const asked = world.store.asked;
    const refused = world.store.refused;
    let changes = 0;
    world.onEvent = (event) => {
      if (event === 'lead') changes++;
    };
    for (let i = 0; i < 10; i++) {
      if (outage && i === 4) world.store.setOutage(true);
      if (outage && i === 6) world.store.setOutage(false);
      const leader = world.store.rows.has(LEADER_KEY) ? holderOf(world, LEADER_KEY) : i % 3;
      await killFor(world, [leader], (i % 2 === 0 ? 0.2 : 3.5) * SECOND);
      await world.run(8 * SECOND);
      tokens.push(Number(world.store.rows.get(FENCING_TOKEN_KEY)?.value['Token']));
    }
    assert.ok(changes >= (outage ? 7 : 10), `the lead changed ${changes} times`);
    assert.deepEqual(
      tokens,
      [...tokens].sort((a, b) => a - b),
    );
    // No storm: on the average less than half of what the state service allows, and next to nothing refused.
    assert.ok(world.store.asked - asked < 0.5 * 100 * 120, `${world.store.asked - asked} requests`);
    assert.ok(world.store.refused - refused < 60, `${world.store.refused - refused} refused`);
    await untilOver(world, jobs);
  }
});

test('the state service is slow, then refuses the leader alone, then all, while users cancel and ask', async () => {
  const world = newWorld({ seed: 94 });
  const jobs = await shortWork(world, { estimateS: 80 });
  const leader = holderOf(world, LEADER_KEY);
  world.net.slow.set('10.2.0.1:2379', 60);
  await world.run(5 * SECOND);
  void world.withdraw('j-10', leader);
  await world.run(2 * SECOND);
  world.net.slow.clear();
  // What was sent while it was slow is answered late.
  await world.run(15 * SECOND);
  world.store.refusedNodes.add(`node-${leader}`);
  await world.run(SECOND);
  await confirmWithdrawal(world, 'j-11', otherThan(world, leader));
  world.store.setOutage(true);
  for (let i = 0; i < 32; i++) {
    // Asked at every node: none may give an older answer, and none holds its refusal back.
    const from = world.clock.time;
    const statuses: number[] = [];
    for (let node = 0; node < 3; node++) {
      void world.ask('j-11', node, 'GET', '/submissions/j-11').then((s) => statuses.push(s));
    }
    await world.run(SECOND);
    assert.equal(statuses.length, 3, `no answer at ${from}`);
  }
  world.store.setOutage(false);
  world.store.refusedNodes.clear();
  await untilOver(world, jobs);
  assert.equal(world.told.get('j-11'), 'cancelled');
});

test('a leader loses state and peers, not its workers and users; jobs are cancelled through the new one', async () => {
  for (const seed of [71, 73, 75]) {
    const world = await busyWorld({ seed });
    const { leader, job } = leading(world);
    world.store.refusedNodes.add(`node-${leader}`);
    world.refusePeers(leader, true);
    const next = await untilLed(world, leader);
    const before = world.workerReports(leader);
    await confirmWithdrawal(world, job, next);
    assert.equal(await answerOf(world, job, leader), 503, 'it answers users from its old state');
    await world.run(SECOND);
    assert.ok(world.workerReports(leader) > before, 'no worker stays with the old leader');
    await world.run(26 * SECOND);
    assert.deepEqual(world.rules.on(job), []);
    world.refusePeers(leader, false);
    world.store.refusedNodes.clear();
    await world.run(30 * SECOND);
    assert.equal(world.rules.startsAfterConfirmation, 0);
  }
});

async function answerOf(world: SimWorld, job: string, node: number): Promise<number> {
  let status = 0;
  void world.ask(job, node, 'GET', `/submissions/${job}`).then((s) => (status = s));
  await world.run(2 * SECOND);
  return status;
}

test('a zone with workers and a controller is cut off for longer than a lease', async () => {
  for (const [seed, mode] of [
    [98, 'hold'],
    [99, 'reset'],
  ] as const) {
    const world = newWorld({ seed });
    const jobs = await shortWork(world, { estimateS: 50 });
    world.net.isolate('west', mode);
    await world.run(5 * SECOND);
    await confirmWithdrawal(world, 'j-10', 0);
    await world.run(25 * SECOND);
    world.net.isolate('west', null);
    await untilOver(world, jobs);
  }
});

test('all controllers are away for longer than a lease', async () => {
  const world = newWorld({ seed: 100 });
  const jobs = await shortWork(world, { estimateS: 60 });
  assert.ok(jobs.every((id) => world.rules.on(id).length > 0));
  await killFor(world, [0, 1, 2], 11 * SECOND);
  assert.deepEqual(
    jobs.flatMap((id) => world.rules.on(id)),
    [],
    'leases outlived the controllers',
  );
  await untilOver(world, jobs);
  for (const id of jobs) assert.equal(world.told.get(id), 'done');
});

test('workers reach no controller while a job is cancelled', async () => {
  const world = newWorld({ seed: 101 });
  const jobs = await shortWork(world, { estimateS: 60 });
  for (const host of world.workers.keys()) refuseAll(world, host, true);
  await confirmWithdrawal(world, 'j-10', 1);
  await world.run(6 * SECOND);
  assert.ok(world.rules.on('j-10').length > 0, 'their tasks ended before the lease');
  await world.run(14 * SECOND);
  for (const host of world.workers.keys()) refuseAll(world, host, false);
  await untilOver(world, jobs);
});

test('transactions without an answer are carried out late, after newer ones, across ends of controllers', async () => {
  for (const seed of [102, 103, 104]) {
    const world = newWorld({ seed, settings: { valueBytes: 700, txnOps: 4 } });
    const jobs = await shortWork(world, { estimateS: 30, taskCount: 6 });
    world.store.lateWrites = 0.4;
    for (let i = 0; i < 8; i++) {
      const id = `j-4${i}`;
      jobs.push(id);
      world.submit(
        sampleJob(id, { team: TEAMS[i % 3]?.name ?? '', taskCount: 4, estimateS: 8 }),
        i % 2 === 0 ? 9 * SECOND : null,
      );
      if (i % 3 === 1) await killFor(world, [i % 3], 0.2 * SECOND);
      if (i === 5) await killFor(world, [0, 1, 2], SECOND);
      await world.run(6 * SECOND);
    }
    world.store.lateWrites = 0;
    const { came, applied } = world.store.late;
    assert.ok(came >= 30 && applied > 0, `${came} came late, ${applied} landed`);
    await untilOver(world, jobs, 300);
  }
});

test('a cancellation, a question and a repeated submission meet the end of the last task', async () => {
  const world = newWorld({ seed: 105 });
  const ends = new Map<string, number[]>();
  let n = 0;
  const next = (): void => {
    const id = `j-5${n++}`;
    const spec = sampleJob(id, { team: TEAMS[n % 3]?.name ?? '', taskCount: 1 + (n % 2), estimateS: 4 });
    world.submit(spec);
    if (n < 24) world.clock.at(4 * SECOND, next);
  };
  world.clock.at(SECOND, next);
  const asked = new Set<string>();
  world.onEvent = (event) => {
    if (event !== 'last end') return;
    for (const id of [...world.specs.keys()].filter(
      (job) => !asked.has(job) && world.rules.isComplete(job),
    )) {
      asked.add(id);
      const answers: number[] = [];
      ends.set(id, answers);
      const late = world.random() * 1.5 * SECOND;
      world.clock.at(late, () => {
        const spec = world.specs.get(id);
        void world.withdraw(id, 0).then((s) => answers.push(s));
        void world.ask(id, 1, 'GET', `/submissions/${id}`).then((s) => answers.push(s));
        void world
          .ask(id, 2, 'POST', '/submissions', spec && encodeSubmission(spec))
          .then((s) => answers.push(s));
      });
    }
  };
  await world.run(140 * SECOND);
  assert.ok(ends.size >= 24, `${ends.size} ends met`);
  assert.ok([...ends.values()].every((answers) => answers.length === 3 && answers.every((s) => s === 200)));
  const told = [...ends.keys()].map((id) => world.told.get(id));
  assert.ok(told.includes('done') && told.includes('cancelled'), 'only one order of the two occurred');
  // What was said stays said, also after every process has ended.
  await killFor(world, [0, 1, 2], SECOND);
  await world.run(8 * SECOND);
  for (const id of ends.keys()) for (const node of [0, 1, 2]) await answerOf(world, id, node);
});

test('old reports arrive after newer ones, from earlier sessions and attempts, too', async () => {
  for (const seed of [106, 107]) {
    const world = newWorld({ seed });
    world.net.weather = { trouble: 0, hold: 0, copies: 1, copyAfter: 40 * SECOND };
    const jobs = await shortWork(world, { estimateS: 40 });
    const hosts = machinesOf(world, jobs);
    // Leases run out: the attempts that follow are new, and so are the sessions.
    for (const host of hosts) refuseAll(world, host, true);
    await world.run(12 * SECOND);
    for (const host of hosts) refuseAll(world, host, false);
    await world.run(10 * SECOND);
    await killFor(world, [holderOf(world, LEADER_KEY)], 4 * SECOND);
    await world.run(30 * SECOND);
    world.net.weather = { trouble: 0, hold: 0 };
    await untilOver(world, jobs);
  }
});

test('controllers hand over and back, all end, and one returns, also within a second', async () => {
  for (const [seed, pause] of [
    [108, 0.1],
    [109, 0.9],
    [110, 4],
  ] as const) {
    const world = newWorld({ seed });
    const jobs = await shortWork(world, { estimateS: 60 });
    const first = holderOf(world, LEADER_KEY);
    world.killNode(first);
    const second = await untilLed(world, first);
    world.startNode(first);
    await world.run(2 * SECOND);
    await killFor(world, [second], pause * SECOND);
    for (let i = 0; i < 3; i++) world.killNode(i);
    await world.run(pause * SECOND);
    // Alone, without state of its own, with all the workers.
    world.startNode(second);
    await world.run(10 * SECOND);
    assert.equal(holderOf(world, LEADER_KEY), second);
    for (let i = 0; i < 3; i++) world.startNode(i);
    await untilOver(world, jobs);
  }
});

/** Machines whose release a transaction holds. */
function releasedIn(writes: readonly WireFields[]): string[] {
  return writes.flatMap(({ V: record }) => {
    const releases = isWireFields(record)
      ? (record['releases'] as [string, unknown][] | undefined)
      : undefined;
    return (releases ?? []).map(([host]) => host);
  });
}

// A release names the newest report that its owner had. Answered after that, a worker might be told of a start that
// the next owner, with an older copy of a report, would take for one that never reached it.
test('a worker is not answered while the release of its machine may yet land', async () => {
  const world = newWorld({ seed: 111, types: SAMPLE_TYPES.filter((t) => t.name === 'small'), capacity: 2 });
  const leaving = new Set<string>();
  const answers: number[] = [];
  world.store.isLate = (writes) => {
    const hosts = releasedIn(writes);
    // Only the transactions of the first owner that lets machines go: their late ones decide when this is over.
    if (leaving.size > 0 && !hosts.some((host) => leaving.has(host))) return false;
    for (const host of hosts) leaving.add(host);
    return hosts.length > 0;
  };
  world.onReport = (host, _node, status) => {
    if (leaving.has(host) && world.store.late.came === 0) answers.push(status);
  };
  world.submit(sampleJob('j-1', { team: 'blue', taskCount: 6, estimateS: 20 }));
  await world.run(15 * SECOND);
  world.submit(sampleJob('j-2', { team: 'green', taskCount: 10, estimateS: 20 }));
  for (let i = 0; i < 400 && world.store.late.came === 0; i++) await world.run(0.1 * SECOND);
  assert.ok(world.store.late.came > 0, 'no machine was let go');
  assert.ok(answers.length > 2, `only ${answers.length} reports in between`);
  assert.deepEqual(
    answers.filter((status) => status === 200),
    [],
  );
  world.store.isLate = () => false;
  await untilOver(world, ['j-1', 'j-2']);
});
