import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Logger, Placement, Replica } from '#cluster';
import { type JobSpec, type Micros, SECOND } from '#wire';
import { attemptKey, type WorkerRegistry } from '#workers';
import { RunTimeEstimator } from './run-time-estimator.js';

const NOW: Micros = 1000 * SECOND;
const SPEC = { jobClass: 'batch', estimateS: 100 } as JobSpec;
const PLACEMENT = {
  job: 'j',
  taskName: 'j/0',
  attempt: 1,
  host: 'machine-1',
  startedAtMs: 990_000,
} as Placement;

/** Creates an estimator at time NOW with one worker that was first seen running PLACEMENT at `startedAt`, if at all. */
function estimatorWith(startedAt: Micros | null) {
  const worker = {
    avoidedUntil: -Infinity,
    runningSince: new Map([[attemptKey(PLACEMENT.taskName, PLACEMENT.attempt), startedAt]]),
  };
  const replica = {
    jobs: new Map([['j', { spec: SPEC }]]),
    ledger: { placementsOn: () => [PLACEMENT] },
  };
  const estimator = new RunTimeEstimator({
    clock: { now: () => NOW, wall: () => NOW, after: () => ({ cancel: () => undefined }) },
    replica: replica as unknown as Replica,
    workers: { trackedWorkers: new Map([['machine-1', worker]]) } as unknown as WorkerRegistry,
    log: { debug: () => undefined } as unknown as Logger,
  });
  return { estimator, worker };
}

test('moves the estimate of a job class a tenth of the way towards the run time of a completed task', () => {
  const { estimator, worker } = estimatorWith(NOW - 200 * SECOND);
  estimator.onCompletion({ placement: PLACEMENT, outcome: 'done' });
  assert.equal(Math.round(estimator.expectedRunTime(SPEC) / SECOND), 110);
  assert.equal(worker.runningSince.size, 0);
});

test('counts a run time of more than five times the estimate as five times the estimate', () => {
  const { estimator } = estimatorWith(NOW - 900 * SECOND);
  estimator.onCompletion({ placement: PLACEMENT, outcome: 'done' });
  assert.equal(Math.round(estimator.expectedRunTime(SPEC) / SECOND), 140);
});

test('keeps the estimate after a stored result, after a failure and after a task whose start was not observed', () => {
  const cases = [
    { startedAt: NOW - 9 * SECOND, outcome: 'done' },
    { startedAt: NOW - 200 * SECOND, outcome: 'failed' },
    { startedAt: null, outcome: 'done' },
  ] as const;
  for (const { startedAt, outcome } of cases) {
    const { estimator } = estimatorWith(startedAt);
    estimator.onCompletion({ placement: PLACEMENT, outcome });
    assert.equal(estimator.expectedRunTime(SPEC), 100 * SECOND);
  }
});

test('avoids a machine for five seconds after it refuses a task', () => {
  const { estimator, worker } = estimatorWith(null);
  estimator.onCompletion({ placement: PLACEMENT, outcome: 'refused' });
  assert.equal(worker.avoidedUntil, NOW + 5 * SECOND);
});

test('counts the remaining run time from the observed start, or from the recorded start if none was observed', () => {
  assert.equal(estimatorWith(NOW - 30 * SECOND).estimator.remainingRunTime(PLACEMENT), 70 * SECOND);
  assert.equal(estimatorWith(null).estimator.remainingRunTime(PLACEMENT), 90 * SECOND);
  assert.equal(estimatorWith(NOW - 300 * SECOND).estimator.remainingRunTime(PLACEMENT), 0);
  assert.equal(estimatorWith(NOW - 30 * SECOND).estimator.busyFor('machine-1'), 70 * SECOND);
});
