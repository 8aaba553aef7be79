import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, SECOND } from '#wire';
import {
  REACHABILITY_CHECK_INTERVAL,
  WorkerReachability,
  type WorkerReachabilityState,
} from './worker-reachability.js';

const LIMITS = { heartbeatInterval: 2 * SECOND, workerLease: 9 * SECOND };

interface CheckPeriod {
  readonly duration: Micros;
  /** Number of machines whose workers a peer redirects here before each check. */
  readonly redirected: number;
  /** Time before the first check interval. */
  readonly from?: Micros;
}

/** Runs the checks of a node that owns shards, while peers redirect workers to it. */
function runChecks(reachability: WorkerReachability, { duration, redirected, from = 0 }: CheckPeriod): void {
  for (let at = REACHABILITY_CHECK_INTERVAL; at <= duration; at += REACHABILITY_CHECK_INTERVAL) {
    reachability.onPeerRedirects(redirected);
    reachability.check(true, from + at);
  }
}

test('a node is temporarily unreachable if workers are redirected to it and none arrives', () => {
  const reachability = new WorkerReachability(LIMITS);
  reachability.onHeartbeat();
  runChecks(reachability, { duration: 2 * SECOND, redirected: 5 });
  assert.equal(reachability.state, 'reached');
  runChecks(reachability, { duration: 4 * SECOND, redirected: 5 });
  assert.equal(reachability.state, 'unreachable');
  for (let s = 1; s < 120 && reachability.state === 'unreachable'; s++) reachability.check(false, s * SECOND);
  assert.equal(reachability.state, 'reached');
});

test('a node counts as reached with one broken machine, no redirects, no shards, or a first heartbeat due', () => {
  const oneMachine = new WorkerReachability(LIMITS);
  runChecks(oneMachine, { duration: 60 * SECOND, redirected: 1 });
  assert.equal(oneMachine.state, 'reached');

  const withoutRedirects = new WorkerReachability(LIMITS);
  runChecks(withoutRedirects, { duration: 60 * SECOND, redirected: 0 });
  assert.equal(withoutRedirects.state, 'reached');

  const withoutShards = new WorkerReachability(LIMITS);
  for (let i = 0; i < 60; i++) {
    withoutShards.onPeerRedirects(9);
    withoutShards.check(false, i * REACHABILITY_CHECK_INTERVAL);
  }
  assert.equal(withoutShards.state, 'reached');

  const newOwner = new WorkerReachability(LIMITS);
  runChecks(newOwner, { duration: 8 * SECOND, redirected: 0 });
  newOwner.onPeerRedirects(9);
  newOwner.check(true, 9 * SECOND);
  newOwner.onHeartbeat();
  runChecks(newOwner, { duration: 2 * SECOND, redirected: 9 });
  assert.equal(newOwner.state, 'reached');
});

test('a long pause of the process counts as no more than one check', () => {
  const reachability = new WorkerReachability(LIMITS);
  reachability.onHeartbeat();
  reachability.onPeerRedirects(9);
  reachability.check(true, 60 * SECOND);
  reachability.onPeerRedirects(9);
  reachability.check(true, 60 * SECOND + REACHABILITY_CHECK_INTERVAL);
  assert.equal(reachability.state, 'reached');
});

test('the pause grows with each immediate failure and is reset by a heartbeat', () => {
  const reachability = new WorkerReachability(LIMITS);
  const pauses: Micros[] = [];
  let now = 0;
  const stateNow = (): WorkerReachabilityState => reachability.state;
  const failOnce = (): void => {
    while (stateNow() === 'reached')
      runChecks(reachability, {
        duration: REACHABILITY_CHECK_INTERVAL,
        redirected: 5,
        from: (now += REACHABILITY_CHECK_INTERVAL),
      });
    const since = now;
    while (stateNow() === 'unreachable') reachability.check(false, (now += REACHABILITY_CHECK_INTERVAL));
    pauses.push(now - since);
  };
  failOnce();
  failOnce();
  reachability.onHeartbeat();
  failOnce();
  assert.ok((pauses[1] ?? 0) > 1.8 * (pauses[0] ?? 0), pauses.join());
  assert.equal(pauses[2], pauses[0]);
});

test('redirected machines count once each, and only for a few seconds', () => {
  const reachability = new WorkerReachability(LIMITS);
  reachability.onRedirect('node-1', 'n-1', 0);
  reachability.onRedirect('node-1', 'n-1', SECOND);
  reachability.onRedirect('node-1', 'n-2', SECOND);
  reachability.onRedirect('node-2', 'n-3', 2 * SECOND);
  assert.deepEqual(reachability.redirectCounts(2 * SECOND), { 'node-1': 2, 'node-2': 1 });
  assert.deepEqual(reachability.redirectCounts(4.5 * SECOND), { 'node-2': 1 });
});
