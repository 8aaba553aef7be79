import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ListedMachine } from '#wire';
import { RoleStateMachine, formatRoleName, openIntents, parseRoleName, ScaleInIntent } from './index.js';

const HOLDER = { member: 'node-1', nonce: 'p1', term: 7 };

test('each transition of the role state machine leads to the expected state and acting term', () => {
  const machine = new RoleStateMachine(0);
  const name = (): string => machine.state.name;
  assert.equal(name(), 'vacant');
  machine.acquire(1);
  assert.equal(name(), 'acquiring');
  machine.acquisitionFailed(2);
  assert.equal(name(), 'vacant');
  machine.acquire(3);
  machine.observe(HOLDER, true, 4);
  assert.deepEqual([name(), machine.actingTerm], ['held', 7]);
  machine.suspect(5);
  assert.deepEqual([name(), machine.actingTerm], ['suspected', 7]);
  assert.equal(machine.resign(6), false, 'a role whose lease may have expired can not be resigned');
  machine.confirm(7);
  assert.equal(machine.resign(8), true);
  assert.deepEqual([name(), machine.actingTerm], ['resigning', null]);
  machine.observe(HOLDER, true, 9);
  assert.equal(name(), 'resigning', 'observing the same term changes nothing');
  machine.resignationFailed(10);
  assert.equal(name(), 'held');
  machine.observe(null, false, 11);
  assert.deepEqual([name(), machine.actingTerm], ['lost', null]);
  machine.observe({ ...HOLDER, member: 'node-2', nonce: 'p2', term: 9 }, false, 12);
  assert.deepEqual([name(), machine.actingTerm], ['held', null]);
  machine.observe(null, false, 13);
  assert.equal(name(), 'vacant', 'the end of a term of another node is not a loss on this node');
});

test('a transition that does not apply to the current state has no effect', () => {
  const machine = new RoleStateMachine(0);
  machine.suspect(1);
  machine.confirm(2);
  machine.acquisitionFailed(3);
  machine.resignationFailed(4);
  assert.equal(machine.resign(5), false);
  assert.deepEqual(machine.state, { name: 'vacant', since: 0 });
  machine.observe(HOLDER, false, 6);
  machine.suspect(7);
  machine.acquire(8);
  assert.equal(machine.state.name, 'held');
  assert.equal(machine.actingTerm, null, 'another node holds the role');
});

test('a machine may be deleted only if it is recorded for scale-in, and released, stopped or not listed', () => {
  const intent = (shard: number | null, destination: number | 'scale_in' | null, listing: 'failed' | null) =>
    ScaleInIntent.fromRecord({ host: 'n-1', shard, destination }, listing)?.reason ?? null;
  assert.equal(intent(0, null, 'failed'), null, 'not recorded for scale-in');
  assert.equal(intent(null, 1, null), null, 'being transferred to another shard');
  assert.equal(intent(0, 'scale_in', null), null, 'not released');
  assert.equal(intent(null, 'scale_in', null), 'released');
  assert.equal(intent(0, 'scale_in', 'failed'), 'failed');
  const listed = (state: ListedMachine['state']): ListedMachine => ({
    host: 'n-2',
    address: '',
    machineType: 'small',
    zone: 'east',
    spot: false,
    ageS: 1,
    state,
  });
  assert.equal(ScaleInIntent.fromStoppedMachine(listed('running')), null);
  assert.equal(ScaleInIntent.fromStoppedMachine(listed('failed'))?.host, 'n-2');
});

test('a new leader finds every open intent in the ledger', () => {
  const scaleOut = { id: 'hire-1', machineType: 'small', zone: 'east', spot: true, count: 2 };
  const hosts = [
    { host: 'n-1', shard: 0, destination: 'scale_in' as const },
    { host: 'n-2', shard: null, destination: 'scale_in' as const },
    { host: 'n-3', shard: 1, destination: null },
  ];
  const ledger = {
    pendingScaleOuts: new Map([[scaleOut.id, scaleOut]]),
    machines: new Map(hosts.map((h) => [h.host, h])),
  };
  assert.deepEqual(openIntents(ledger), { scaleOutRequests: ['hire-1'], scaleInHosts: ['n-1', 'n-2'] });
});

test('parses every role name that it formats, and rejects other names', () => {
  for (const role of ['lead', 0, 17] as const) assert.equal(parseRoleName(formatRoleName(role)), role);
  for (const text of ['', 'leader', 'share/', 'share/-1', 'share/1.5', 'share/x', 'share/12345678']) {
    assert.equal(parseRoleName(text), null, text);
  }
});
