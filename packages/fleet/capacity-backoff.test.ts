import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Clock, SECOND } from '#wire';
import { CapacityBackoff } from './capacity-backoff.js';

const OFFER = { machineType: 'small', zone: 'east', spot: true };

/** Returns a backoff, and a function that lets time pass. */
function createBackoff(): { backoff: CapacityBackoff; wait: (seconds: number) => void } {
  let now = 0;
  const clock: Clock = { now: () => now, wall: () => now, after: () => ({ cancel: () => undefined }) };
  const wait = (seconds: number): void => {
    now += seconds * SECOND;
  };
  return { backoff: new CapacityBackoff(clock), wait };
}

// Guards against work that waits although capacity has come: a large demand is several requests, and the refusal of
// each doubled the time until the next attempt.
test('the refusals of several requests sent at the same time back off as long as one refusal', () => {
  const { backoff, wait } = createBackoff();
  for (let i = 0; i < 7; i++) backoff.onInsufficientCapacity(OFFER);
  wait(11);
  assert.equal(backoff.isBackedOff(OFFER), false);
});

test('the backoff doubles with each refusal after its end, up to 40 seconds, until a request is fulfilled', () => {
  const { backoff, wait } = createBackoff();
  for (const seconds of [10, 20, 40, 40]) {
    backoff.onInsufficientCapacity(OFFER);
    wait(seconds - 1);
    assert.equal(backoff.isBackedOff(OFFER), true, `${seconds} s`);
    wait(1);
    assert.equal(backoff.isBackedOff(OFFER), false, `${seconds} s`);
  }
  backoff.onRequestFulfilled(OFFER);
  backoff.onInsufficientCapacity(OFFER);
  wait(10);
  assert.equal(backoff.isBackedOff(OFFER), false);
});
