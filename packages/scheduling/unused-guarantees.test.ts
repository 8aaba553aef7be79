import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PendingJob } from '#pricing';
import { samplePendingJob } from '#testkit';
import { UnusedGuarantees } from './unused-guarantees.js';

function job(team: string, change: Partial<PendingJob> = {}): PendingJob {
  return samplePendingJob({ team, ...change });
}

test('counts the tasks within what their team leaves unused of its guarantee, a gang as a whole', () => {
  const teams = [
    { name: 'blue', cpus: 20, cpusMax: 40, gpus: 1, gpusMax: 1 },
    { name: 'guest', cpus: 0, cpusMax: Infinity, gpus: 0, gpusMax: Infinity },
  ];
  const used = { cpus: 4, gpus: 0, memGb: 8 };
  const guarantees = new UnusedGuarantees(teams, { teamUsage: () => ({ ...used }) });
  const gpuTask = job('blue', { taskResources: { cpus: 0, gpus: 1, memGb: 8 } });
  assert.equal(guarantees.allocate(gpuTask, 5), 1);
  assert.equal(guarantees.allocate(job('blue', { isGang: true }), 5), 0);
  assert.equal(guarantees.allocate(job('blue'), 3), 3);
  assert.equal(guarantees.allocate(job('blue'), 3), 1);
  assert.equal(guarantees.allocate(job('guest'), 100_000), 0);
  assert.equal(guarantees.allocate(job('nobody'), 1), 0);
});
