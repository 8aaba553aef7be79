/** What the tests of lost state share. */
import assert from 'node:assert/strict';
import type { DataLossReport } from '#recovery';
import { SECOND } from '#wire';
import { randomJob } from './random-jobs.js';
import { SimWorld, type WorldOptions } from './sim-world.js';

/** A world whose nodes watch for lost state, with jobs that come for 100 s. */
export function watchfulWorld(options: WorldOptions): SimWorld {
  const world = new SimWorld({ ...options, tuning: { detectsDataLoss: true, ...options.tuning } });
  const { random, clock } = world;
  let jobs = 0;
  const arrive = (): void => {
    if (clock.time > 100 * SECOND) return;
    world.submit(randomJob(random, jobs++), random() < 0.2 ? random() * 30 * SECOND : null);
    clock.at(random() * 4 * SECOND, arrive);
  };
  clock.at(SECOND, arrive);
  return world;
}

export function lossOf(world: SimWorld, node: number): DataLossReport {
  const loss = world.controller(node)?.dataLossReport().loss;
  assert.ok(loss, `node ${node} is down, or does not watch`);
  return loss;
}

export function assertStates(world: SimWorld, state: DataLossReport['state']): void {
  for (let i = 0; i < world.nodeCount; i++) {
    const loss = lossOf(world, i);
    assert.equal(loss.state, state, `node ${i}: ${JSON.stringify(loss)}`);
  }
}

/** The service comes back with all that it had before the loss; then all work has to end. */
export async function finish(world: SimWorld): Promise<void> {
  world.rules.troublesOver(world.clock.time);
  await world.run(200 * SECOND);
  assertStates(world, 'serving');
  assert.ok(world.rules.starts > 20, `only ${world.rules.starts} starts`);
  assert.deepEqual(world.rules.unfinished(), []);
}
