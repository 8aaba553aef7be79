import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Replica } from '#cluster';
import { shardForZone } from './machine-rebalancer.js';
import { ZoneReachability } from './zone-reachability.js';

interface MachineStub {
  readonly shard: number | null;
  readonly destination: number | 'scale_in' | null;
}

/** A replica with member a in zone east, which owns shard 0, and member b in zone west, which owns shard 1. */
function replicaWith(machines: readonly MachineStub[], unreachableFromA: readonly string[] = []): Replica {
  const members = [
    { member: 'a', zone: 'east', unreachable: unreachableFromA },
    { member: 'b', zone: 'west', unreachable: [] },
  ];
  const stub = {
    members: new Map(members.map((entry) => [entry.member, entry])),
    shardOwners: new Map([
      [0, { member: 'a' }],
      [1, { member: 'b' }],
    ]),
    ledger: { machines: new Map(machines.map((machine, i) => [`machine-${i}`, machine])) },
  };
  return stub as unknown as Replica;
}

test('assigns a machine to the shard with the fewest machines, counting transfers at their target', () => {
  const replica = replicaWith([
    { shard: 0, destination: null },
    { shard: 0, destination: 1 },
    { shard: 0, destination: 1 },
  ]);
  assert.equal(shardForZone(replica, 2, 'west'), 0);
});

test('assigns a machine during a partition to a shard whose owner reaches its zone, even if it is larger', () => {
  const replica = replicaWith([{ shard: 1, destination: null }], ['b']);
  assert.equal(shardForZone(replica, 2, 'west'), 1);
  assert.equal(shardForZone(replica, 2, 'east'), 0);
});

test('prefers the lower of two shards with equally many machines, and includes shards without an owner', () => {
  assert.equal(shardForZone(replicaWith([]), 3, 'west'), 0);
  const replica = replicaWith([
    { shard: 0, destination: null },
    { shard: 1, destination: null },
  ]);
  assert.equal(shardForZone(replica, 3, 'west'), 2);
});

test('applies a partition that one side published to both zones, but not to a third zone', () => {
  const reachability = new ZoneReachability(replicaWith([], ['b']));
  assert.equal(reachability.hasPartition, true);
  assert.equal(reachability.canReach('a', 'west'), false);
  assert.equal(reachability.canReach('b', 'east'), false);
  assert.equal(reachability.canReach('a', 'east'), true);
  assert.equal(reachability.canReach('a', 'north'), true);
  assert.equal(reachability.canReach('unknown', 'west'), true);
  assert.equal(reachability.isPartitioned('west'), true);
  assert.equal(reachability.isPartitioned('north'), false);
});
