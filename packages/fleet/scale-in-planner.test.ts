import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { planScaleIn } from './scale-in-planner.js';

test('scales in only machines that were idle for long enough and are older than the minimum billed time', () => {
  const idle = { idleFor: 50 * SECOND, age: 90 * SECOND, spot: true };
  const options = { onDemandIdleTime: 15 * SECOND, spotIdleTime: 40 * SECOND, minBilledTime: 55 * SECOND };
  const machines = [
    { ...idle, host: 'n-1' },
    { ...idle, host: 'n-2', idleFor: 20 * SECOND },
    { ...idle, host: 'n-3', idleFor: 20 * SECOND, spot: false },
    { ...idle, host: 'n-4', age: 30 * SECOND },
  ];
  assert.deepEqual(planScaleIn(machines, options), ['n-1', 'n-3']);
});
