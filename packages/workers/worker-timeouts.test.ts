/** The durations of worker leases. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { renewalBound } from './worker-timeouts.js';

const LIMITS = { heartbeatInterval: 2 * SECOND, workerLease: 10 * SECOND, cancellationDeadline: 30 * SECOND };

test('leases are renewed without the store only as long as a cancellation elsewhere takes hold in time', () => {
  const bound = renewalBound(LIMITS);
  assert.ok(bound > 0);
  assert.ok(bound * 1.001 + LIMITS.workerLease * 1.001 < LIMITS.cancellationDeadline);
});
