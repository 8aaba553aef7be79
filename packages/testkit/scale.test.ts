import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { sampleJob } from './rules.js';
import { SimWorld } from './sim-world.js';

test('a job of 100,000 tasks is taken and worked on, and a small one beside it is not held up', async () => {
  const world = new SimWorld({ seed: 77 });
  world.clock.at(2 * SECOND, () => {
    world.submit(sampleJob('j-1', { Pieces: 100_000, Cpus: 1, ExpectS: 1, Crew: 'blue' }));
  });
  world.clock.at(30 * SECOND, () => {
    world.submit(sampleJob('j-2', { Pieces: 2, ExpectS: 2, Crew: 'green' }));
  });
  await world.run(120 * SECOND);
  assert.equal(world.told.get('j-1'), 'running');
  assert.equal(world.told.get('j-2'), 'done');
  assert.ok(world.rules.starts > 300, `only ${world.rules.starts} starts`);
});
