import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { type DrainCandidate, planDrains } from './drain-planner.js';

test('drains the on-demand machine with the highest unused cost, only if other machines have spare capacity', () => {
  const total = { cpus: 16, gpus: 0, memGb: 64 };
  const underused = (host: string, change: Partial<DrainCandidate> = {}): DrainCandidate => ({
    host,
    spot: false,
    price: 11,
    total,
    free: { ...total, cpus: 12 },
    underusedFor: 9 * SECOND,
    ...change,
  });
  const options = { maxUtilization: 0.5, minUnderusedTime: 6 * SECOND, spareFactor: 2 };
  const cheap = underused('n-2', { price: 3 });
  assert.deepEqual(planDrains([cheap, underused('n-1')], options), ['n-1']);
  assert.deepEqual(planDrains([underused('n-1')], options), []);
  assert.deepEqual(
    planDrains([underused('n-1', { spot: true }), underused('n-2', { underusedFor: 0 })], options),
    [],
  );
});
