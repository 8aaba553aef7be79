import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, SECOND } from '#wire';
import { REACHABILITY_CHECK_INTERVAL, WorkerReachability } from './worker-reachability.js';

const LIMITS = { heartbeatInterval: 2 * SECOND, workerLease: 9 * SECOND };

/** Steps of a node that owns shares, while peers send it so many machines' workers. */
function pass(contact: WorkerReachability, duration: Micros, referred: number, from = 0): void {
  for (let at = REACHABILITY_CHECK_INTERVAL; at <= duration; at += REACHABILITY_CHECK_INTERVAL) {
    contact.onPeerRedirects(referred);
    contact.check(true, from + at);
  }
}

test('a node whose workers are all sent to it and never arrive is out of their reach, for a while', () => {
  const contact = new WorkerReachability(LIMITS);
  contact.onHeartbeat();
  pass(contact, 2 * SECOND, 5);
  assert.equal(contact.state, 'reached');
  pass(contact, 4 * SECOND, 5);
  assert.equal(contact.state, 'unreachable');
  for (let s = 1; s < 120 && contact.state === 'unreachable'; s++) contact.check(false, s * SECOND);
  assert.equal(contact.state, 'reached');
});

test('a broken machine, an idle node, a first worker on its way, and silence everywhere are told apart', () => {
  const oneMachine = new WorkerReachability(LIMITS);
  pass(oneMachine, 60 * SECOND, 1);
  assert.equal(oneMachine.state, 'reached');

  const allAreSilent = new WorkerReachability(LIMITS);
  pass(allAreSilent, 60 * SECOND, 0);
  assert.equal(allAreSilent.state, 'reached');

  const withoutShares = new WorkerReachability(LIMITS);
  for (let i = 0; i < 60; i++) {
    withoutShares.onPeerRedirects(9);
    withoutShares.check(false, i * REACHABILITY_CHECK_INTERVAL);
  }
  assert.equal(withoutShares.state, 'reached');

  const newOwner = new WorkerReachability(LIMITS);
  pass(newOwner, 8 * SECOND, 0);
  newOwner.onPeerRedirects(9);
  newOwner.check(true, 9 * SECOND);
  newOwner.onHeartbeat();
  pass(newOwner, 2 * SECOND, 9);
  assert.equal(newOwner.state, 'reached');
});

test('what happened while the process stood still counts for no more than one step', () => {
  const contact = new WorkerReachability(LIMITS);
  contact.onHeartbeat();
  contact.onPeerRedirects(9);
  contact.check(true, 60 * SECOND);
  contact.onPeerRedirects(9);
  contact.check(true, 60 * SECOND + REACHABILITY_CHECK_INTERVAL);
  assert.equal(contact.state, 'reached');
});

test('a node that fails again at once is tried again later each time, and one that was heard is trusted', () => {
  const contact = new WorkerReachability(LIMITS);
  const pauses: Micros[] = [];
  let now = 0;
  const failOnce = (): void => {
    while (contact.state === 'reached')
      pass(contact, REACHABILITY_CHECK_INTERVAL, 5, (now += REACHABILITY_CHECK_INTERVAL));
    const since = now;
    while (contact.state === 'unreachable') contact.check(false, (now += REACHABILITY_CHECK_INTERVAL));
    pauses.push(now - since);
  };
  failOnce();
  failOnce();
  contact.onHeartbeat();
  failOnce();
  assert.ok((pauses[1] ?? 0) > 1.8 * (pauses[0] ?? 0), pauses.join());
  assert.equal(pauses[2], pauses[0]);
});

test('machines that were sent to their owner count for a few seconds, each once', () => {
  const contact = new WorkerReachability(LIMITS);
  contact.onRedirect('node-1', 'n-1', 0);
  contact.onRedirect('node-1', 'n-1', SECOND);
  contact.onRedirect('node-1', 'n-2', SECOND);
  contact.onRedirect('node-2', 'n-3', 2 * SECOND);
  assert.deepEqual(contact.redirectCounts(2 * SECOND), { 'node-1': 2, 'node-2': 1 });
  assert.deepEqual(contact.redirectCounts(4.5 * SECOND), { 'node-2': 1 });
});
