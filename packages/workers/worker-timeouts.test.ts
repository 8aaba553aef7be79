/** Tests of the timeouts of worker leases. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { renewalBound } from './worker-timeouts.js';

const LIMITS = { heartbeatInterval: 2 * SECOND, workerLease: 10 * SECOND, cancellationDeadline: 30 * SECOND };

test('the renewal bound and a worker lease together end within the cancellation deadline', () => {
  const bound = renewalBound(LIMITS);
  assert.ok(bound > 0);
  assert.ok(bound * 1.001 + LIMITS.workerLease * 1.001 < LIMITS.cancellationDeadline);
});
