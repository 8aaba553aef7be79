/** Gangs through the whole service: what is asked for, what fails under them, and what comes of it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LOG_PREFIX } from '#cluster';
import { encodeSubmission, type JobSpec, SECOND } from '#wire';
import { sampleJob } from './rules.js';
import { SimWorld } from './sim-world.js';

function gang(id: string, change: Partial<JobSpec> = {}): JobSpec {
  const shape = { shape: 'gang' as const, jobClass: 'joint', taskCount: 4, singleZone: true };
  return sampleJob(id, { ...shape, checkpointS: 4, saveS: 1, estimateS: 15, ...change });
}

/** Lets the world run until the job is over, and some time beyond. */
async function finish(world: SimWorld, id: string, within: number): Promise<void> {
  for (let second = 0; second < within && !world.rules.isComplete(id); second++) await world.run(SECOND);
  await world.run(20 * SECOND);
  assert.equal(world.told.get(id), 'done');
}

async function untilGathered(world: SimWorld, id: string, tasks: number): Promise<string[]> {
  for (let step = 0; step < 600 && world.rules.on(id).length < tasks; step++) await world.run(SECOND / 10);
  const hosts = world.rules.on(id).map(({ host }) => host);
  assert.ok(hosts.length >= tasks, `${hosts.length} tasks are on machines`);
  return hosts;
}

test('a gang that can run is accepted, one that never can gets 422, another shape 400', async () => {
  const world = new SimWorld({ seed: 1 });
  const answers: number[] = [];
  const specs = [
    gang('j-1'),
    gang('j-1'),
    // Four tasks of 6 CPUs against a limit of 20; one alone would do.
    gang('j-2', { cpus: 6 }),
    gang('j-3', { spreadZones: true }),
    gang('j-4', { singleZone: false, spreadZones: true, zone: 'east' }),
    gang('j-5', { gpus: 1 }),
  ];
  await world.run(15 * SECOND);
  for (const spec of specs) {
    world.specs.set(spec.id, spec);
    world.rules.submitted(spec, world.clock.time);
    void world
      .ask(spec.id, 0, 'POST', '/submissions', encodeSubmission(spec))
      .then((status) => answers.push(status));
    await world.run(SECOND);
  }
  const service = { ...encodeSubmission(gang('j-6')), Shape: 'service' };
  void world.ask('j-6', 0, 'POST', '/submissions', service).then((status) => answers.push(status));
  await world.run(SECOND);
  assert.deepEqual(answers, [201, 200, 422, 422, 422, 422, 400]);
});

test('all tasks of a gang start together, in one zone', async () => {
  const world = new SimWorld({ seed: 2 });
  world.submit(gang('j-1'));
  await finish(world, 'j-1', 120);
  assert.equal(world.gangs.starts, 1);
});

test('a machine that dies under a running gang costs that attempt; the next one goes on from its checkpoint', async () => {
  const world = new SimWorld({ seed: 3 });
  world.submit(gang('j-1', { estimateS: 30 }));
  const [first] = await untilGathered(world, 'j-1', 4);
  await world.run(8 * SECOND);
  assert.equal(world.gangs.starts, 1);
  const host = world.cloud.hosts.get(first ?? '');
  assert.ok(host);
  world.cloud.die(host);
  await finish(world, 'j-1', 160);
  assert.equal(world.gangs.starts, 2);
});

test('a machine that dies while the gang gathers: the rest is called off, and a new attempt begins', async () => {
  const world = new SimWorld({ seed: 4 });
  world.submit(gang('j-1', { imageGb: 6 }));
  const [first] = await untilGathered(world, 'j-1', 1);
  const host = world.cloud.hosts.get(first ?? '');
  assert.ok(host && world.gangs.starts === 0);
  world.cloud.die(host);
  await finish(world, 'j-1', 160);
  assert.equal(world.gangs.starts, 1);
});

// Every record holds a few tasks and every commit one record, so that the start of six takes several of them.
test('an owner that ends between two parts of a start leaves no half of a gang behind', async () => {
  for (const seed of [5, 6, 7]) {
    const world = new SimWorld({ seed, settings: { valueBytes: 560, txnOps: 4 } });
    let cuts = 0;
    const isPart = (write: Record<string, unknown>): boolean =>
      String(write['Set']).startsWith(LOG_PREFIX) && JSON.stringify(write['V']).includes('"gang"');
    // The commit that completes the start gets lost with its owner: it lands late, if it lands at all.
    world.store.isLate = (writes) => {
      const isCut = cuts === 0 && writes.some(isPart);
      if (!isCut) return false;
      cuts++;
      const owner = [...world.store.rows].find(([path]) => path === 'mw/now/share/0')?.[1].value['Member'];
      const index = Number(String(owner).split('-')[1]);
      world.clock.at(SECOND / 5, () => {
        world.killNode(index);
      });
      world.clock.at(6 * SECOND, () => {
        world.startNode(index);
      });
      return true;
    };
    world.submit(gang('j-1', { taskCount: 6, cpus: 1, memGb: 1 }));
    await finish(world, 'j-1', 160);
    assert.equal(cuts, 1);
    assert.equal(world.gangs.starts, 1);
  }
});

test('a gang that is cancelled while it gathers is gone in time', async () => {
  const world = new SimWorld({ seed: 8 });
  world.submit(gang('j-1', { imageGb: 4 }));
  await untilGathered(world, 'j-1', 1);
  void world.withdraw('j-1', 1);
  await world.run(40 * SECOND);
  assert.equal(world.told.get('j-1'), 'cancelled');
  assert.deepEqual(world.rules.on('j-1'), []);
});

test('large gangs are not starved by a stream of small tasks on a full fleet', async () => {
  const world = new SimWorld({ seed: 9, capacity: 2 });
  for (let i = 0; i < 120; i++) {
    const small = sampleJob(`j-${100 + i}`, { taskCount: 2, cpus: 1, memGb: 1, estimateS: 6, imageGb: 0.2 });
    world.clock.at(i * SECOND, () => {
      world.submit(small);
    });
  }
  world.clock.at(40 * SECOND, () => {
    world.submit(gang('j-1', { taskCount: 6, allowsSpot: true }));
  });
  await world.run(130 * SECOND);
  assert.ok(world.gangs.starts > 0, 'the gang has not begun');
});
