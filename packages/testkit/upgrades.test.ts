/** The version in production and the present one side by side, and a state service whose limits fall. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encodeSubmission, SECOND } from '#wire';
import { loadProductionVersion } from './production-version.js';
import { randomArray, randomJob } from './random-jobs.js';
import { trouble } from './random-troubles.js';
import { sampleJob } from './rules.js';
import { SimWorld } from './sim-world.js';

const version = await loadProductionVersion();

/** Jobs come until the given second; gangs only once every node has the present version, as users promise. */
function submitJobs(world: SimWorld, until: number): void {
  const { random, clock } = world;
  let jobs = 0;
  const arrive = (): void => {
    if (clock.time > until * SECOND) return;
    const isUpgraded = ![...Array(world.nodeCount).keys()].some((i) => world.isOld(i));
    const spec = (isUpgraded ? randomJob : randomArray)(random, jobs++);
    world.submit(spec, random() < 0.15 ? random() * 20 * SECOND : null);
    clock.at(random() * 5 * SECOND, arrive);
  };
  clock.at(SECOND, arrive);
}

/** Upgrades one node after the other; whoever is down at its turn comes back with the present version. */
function rollUpgrade(world: SimWorld, at: number, every: number, downFor: number): void {
  for (let i = 0; i < world.nodeCount; i++) {
    world.clock.at((at + i * every) * SECOND, () => {
      world.upgradeNode(i, downFor * SECOND);
    });
  }
}

const [FROM, RUNS] = [Number(process.env['UPGRADE_FROM'] ?? 1), Number(process.env['UPGRADE_RUNS'] ?? 6)];
for (let seed = FROM; seed < FROM + RUNS; seed++) {
  test(`an upgrade among random troubles keeps the rules, and the limits fall, seed ${seed}`, async () => {
    const old = { valueBytes: 1400, txnOps: 6, stateWriteRps: 40 };
    const settings = { valueBytes: 700, txnOps: 4, stateWriteRps: 28 };
    const world = new SimWorld({ seed, settings, production: { version, settings: old } });
    world.store.lowerLimits({ valueBytes: old.valueBytes, txnOps: old.txnOps, writeRps: old.stateWriteRps });
    const { random, clock } = world;
    submitJobs(world, 170);
    rollUpgrade(world, 40 + random() * 10, 6 + random() * 12, 1 + random() * 6);
    clock.at((100 + random() * 10) * SECOND, () => {
      world.store.lowerLimits({ valueBytes: 700, txnOps: 4, writeRps: 28 });
    });
    const harm = (): void => {
      if (clock.time > 170 * SECOND) return;
      trouble(world);
      clock.at((4 + random() * 22) * SECOND, harm);
    };
    clock.at(25 * SECOND, harm);
    await world.run(250 * SECOND);
    world.rules.troublesOver(clock.time);
    await world.run(150 * SECOND);
    assert.ok(world.rules.starts > 20, `only ${world.rules.starts} starts`);
    assert.ok(world.gangs.starts > 0, 'no gang came together');
    assert.equal(world.store.tooLarge, 0, 'nothing is written beyond limits that were announced');
    assert.deepEqual(world.rules.unfinished(), []);
    assert.deepEqual(world.rules.neglected(), []);
  });
}

test('a gang is refused with 503 while a node may run the old version, and taken once none does', async () => {
  const world = new SimWorld({ seed: 5, production: { version } });
  const gang = sampleJob('j-000001', { shape: 'gang', taskCount: 3 });
  const submit = (node: number): Promise<number> =>
    world.ask(gang.id, node, 'POST', '/submissions', encodeSubmission(gang));
  world.specs.set(gang.id, gang);
  world.rules.submitted(gang, 0);
  const answers: (string | number)[] = [];
  const at = (second: number, node: number): void => {
    world.clock.at(second * SECOND, () => void submit(node).then((status) => answers.push(status)));
  };
  const upgrade = (second: number, node: number, downFor: number): void => {
    world.clock.at(second * SECOND, () => {
      world.upgradeNode(node, downFor * SECOND);
    });
  };
  upgrade(10, 0, 2);
  upgrade(20, 1, 2);
  at(30, 0);
  // The last old node is down when asked for: it has not announced anything, and might come back old.
  upgrade(40, 2, 20);
  at(50, 1);
  at(75, 2);
  await world.run(80 * SECOND);
  assert.deepEqual(answers, [503, 503, 201]);
});

test('limits that fall unannounced are found out by the first refusal, also in an outage', async () => {
  const world = new SimWorld({ seed: 9, settings: { valueBytes: 2048, txnOps: 8 } });
  submitJobs(world, 120);
  world.clock.at(50 * SECOND, () => {
    world.store.setOutage(true);
    world.store.lowerLimits({ valueBytes: 800, txnOps: 3, writeRps: 20 });
  });
  world.clock.at(58 * SECOND, () => {
    world.store.setOutage(false);
  });
  // A new owner takes over right after it.
  world.clock.at(59 * SECOND, () => {
    world.killNode(0);
  });
  world.clock.at(64 * SECOND, () => {
    world.startNode(0);
  });
  await world.run(130 * SECOND);
  world.rules.troublesOver(world.clock.time);
  await world.run(130 * SECOND);
  assert.ok(world.store.tooLarge > 0, 'nothing was too large');
  assert.ok(world.store.tooLarge < 40, `${world.store.tooLarge} writes were too large`);
  assert.deepEqual(world.rules.unfinished(), []);
});

test('what the present version writes before all are new holds nothing that the production version does not know', async () => {
  const world = new SimWorld({ seed: 3, production: { version } });
  submitJobs(world, 60);
  world.clock.at(15 * SECOND, () => {
    world.upgradeNode(0, SECOND);
  });
  world.clock.at(30 * SECOND, () => {
    world.upgradeNode(1, SECOND);
  });
  await world.run(90 * SECOND);
  const text = JSON.stringify([...world.store.rows.values()].map((row) => row.value));
  for (const field of ['"gang"', '"gangSize"']) assert.ok(!text.includes(field), field);
  const members = [...world.store.rows].filter(([path]) => path.startsWith('mw/now/member/'));
  const announced = members.map(([, { value }]) => value['Capabilities'] !== undefined);
  assert.deepEqual(announced, [true, true, false]);
});
