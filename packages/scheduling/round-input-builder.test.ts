import assert from 'node:assert/strict';
import { test } from 'node:test';
import { waitingBoost, RANK_PRIORITY } from './round-input-builder.js';

// Guards against starvation of best-effort tasks: in a run at 1.5 times the usual size, behind a steady stream of
// normal tasks, they started only after six minutes.
test('ranks by job rank at first, and raises best-effort jobs that wait for minutes above recent normal jobs', () => {
  const { best_effort: low, normal, urgent } = RANK_PRIORITY;
  assert.ok(low * waitingBoost(1) <= normal * waitingBoost(0));
  assert.ok(low * waitingBoost(4) > normal * waitingBoost(2));
  assert.ok(low * waitingBoost(4) > urgent * waitingBoost(0));
  // Priority per CPU of an urgent task that needs a whole machine, and of a normal task that needs half of one.
  assert.ok(urgent / 4 > normal / 2);
  assert.ok(urgent * waitingBoost(0.5) > low * waitingBoost(4));
});
