import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, SECOND } from '#wire';
import { CONTACT_STEP, WorkerContact } from './worker-contact.js';

const LIMITS = { report: 2 * SECOND, lease: 9 * SECOND };

/** Steps of a node that owns shares, while peers send it so many machines' workers. */
function pass(contact: WorkerContact, duration: Micros, referred: number, from = 0): void {
  for (let at = CONTACT_STEP; at <= duration; at += CONTACT_STEP) {
    contact.expect(referred);
    contact.step(true, from + at);
  }
}

test('a node whose workers are all sent to it and never arrive is out of their reach, for a while', () => {
  const contact = new WorkerContact(LIMITS);
  contact.heard();
  pass(contact, 2 * SECOND, 5);
  assert.equal(contact.state, 'reached');
  pass(contact, 4 * SECOND, 5);
  assert.equal(contact.state, 'unreachable');
  for (let s = 1; s < 120 && contact.state === 'unreachable'; s++) contact.step(false, s * SECOND);
  assert.equal(contact.state, 'reached');
});

test('a broken machine, an idle node, a first worker on its way, and silence everywhere are told apart', () => {
  const oneMachine = new WorkerContact(LIMITS);
  pass(oneMachine, 60 * SECOND, 1);
  assert.equal(oneMachine.state, 'reached');

  const allAreSilent = new WorkerContact(LIMITS);
  pass(allAreSilent, 60 * SECOND, 0);
  assert.equal(allAreSilent.state, 'reached');

  const withoutShares = new WorkerContact(LIMITS);
  for (let i = 0; i < 60; i++) {
    withoutShares.expect(9);
    withoutShares.step(false, i * CONTACT_STEP);
  }
  assert.equal(withoutShares.state, 'reached');

  const newOwner = new WorkerContact(LIMITS);
  pass(newOwner, 8 * SECOND, 0);
  newOwner.expect(9);
  newOwner.step(true, 9 * SECOND);
  newOwner.heard();
  pass(newOwner, 2 * SECOND, 9);
  assert.equal(newOwner.state, 'reached');
});

test('what happened while the process stood still counts for no more than one step', () => {
  const contact = new WorkerContact(LIMITS);
  contact.heard();
  contact.expect(9);
  contact.step(true, 60 * SECOND);
  contact.expect(9);
  contact.step(true, 60 * SECOND + CONTACT_STEP);
  assert.equal(contact.state, 'reached');
});

test('a node that fails again at once is tried again later each time, and one that was heard is trusted', () => {
  const contact = new WorkerContact(LIMITS);
  const pauses: Micros[] = [];
  let now = 0;
  const failOnce = (): void => {
    while (contact.state === 'reached') pass(contact, CONTACT_STEP, 5, (now += CONTACT_STEP));
    const since = now;
    while (contact.state === 'unreachable') contact.step(false, (now += CONTACT_STEP));
    pauses.push(now - since);
  };
  failOnce();
  failOnce();
  contact.heard();
  failOnce();
  assert.ok((pauses[1] ?? 0) > 1.8 * (pauses[0] ?? 0), pauses.join());
  assert.equal(pauses[2], pauses[0]);
});

test('machines that were sent to their owner count for a few seconds, each once', () => {
  const contact = new WorkerContact(LIMITS);
  contact.sentTo('node-1', 'n-1', 0);
  contact.sentTo('node-1', 'n-1', SECOND);
  contact.sentTo('node-1', 'n-2', SECOND);
  contact.sentTo('node-2', 'n-3', 2 * SECOND);
  assert.deepEqual(contact.referrals(2 * SECOND), { 'node-1': 2, 'node-2': 1 });
  assert.deepEqual(contact.referrals(4.5 * SECOND), { 'node-2': 1 });
});
