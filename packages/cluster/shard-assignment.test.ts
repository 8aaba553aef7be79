import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { partitionedZonePairs, planShardAssignments, type ShardHolder } from './shard-assignment.js';

const member = (name: string, zone = 'east') => ({
  member: name,
  nonce: `${name}.1`,
  zone,
  unreachable: [] as string[],
});

test('dealing shares again and again ends with every share owned by a living member, evenly', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 6 }),
      fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'), { minLength: 1 }),
      fc.array(fc.constantFrom('a', 'b', 'c', 'd', 'gone'), { maxLength: 6 }),
      (count, names, before) => {
        const members = names.map((n) => member(n));
        const owners = new Map<number, ShardHolder>(
          before.map((n, i) => [i, { member: n, nonce: `${n}.1` }]),
        );
        for (let round = 0; round < 20; round++) {
          for (const { shard, member: name } of planShardAssignments(count, owners, members, new Map())) {
            owners.set(shard, { member: name, nonce: `${name}.1` });
          }
        }
        assert.deepEqual(planShardAssignments(count, owners, members, new Map()), []);
        const owned = names.map((n) => [...owners].filter(([s, o]) => s < count && o.member === n).length);
        assert.equal(
          owned.reduce((x, y) => x + y, 0),
          count,
        );
        assert.ok(Math.max(...owned) - Math.min(...owned) <= 1, owned.join());
      },
    ),
    { seed: 12, numRuns: 200 },
  );
});

test('a member that came back under another name of its start owns nothing of before', () => {
  const owners = new Map([[0, { member: 'a', nonce: 'a.0' }]]);
  assert.deepEqual(planShardAssignments(1, owners, [member('a')], new Map()), [{ shard: 0, member: 'a' }]);
});

test('a cut counts once either side tells of it, and only between zones', () => {
  const a = { ...member('a', 'east'), unreachable: ['b', 'c', 'unknown'] };
  assert.deepEqual([...partitionedZonePairs([a, member('b', 'west'), member('c', 'east')])], ['east|west']);
});
