import assert from 'node:assert/strict';
import { test } from 'node:test';
import { waitingBoost, RANK_PRIORITY } from './round-input-builder.js';

// At 1.5 times the size best-effort work once began after six minutes, behind a stream of normal work.
test('rank decides at first; best-effort work that waits for minutes comes before normal work of the last one', () => {
  const { best_effort: low, normal, urgent } = RANK_PRIORITY;
  assert.ok(low * waitingBoost(1) <= normal * waitingBoost(0));
  assert.ok(low * waitingBoost(4) > normal * waitingBoost(2));
  assert.ok(low * waitingBoost(4) > urgent * waitingBoost(0));
  // Per CPU, an urgent task of a whole machine against a normal one of half.
  assert.ok(urgent / 4 > normal / 2);
  assert.ok(urgent * waitingBoost(0.5) > low * waitingBoost(4));
});
