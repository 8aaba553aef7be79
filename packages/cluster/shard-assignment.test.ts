import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  planShardAssignments,
  type AssignableMember,
  type ShardAssignment,
  type ShardHolder,
} from './shard-assignment.js';

const member = (name: string): AssignableMember => ({ member: name, nonce: `${name}.1`, zone: 'east' });

function plan(
  shardCount: number,
  owners: ReadonlyMap<number, ShardHolder>,
  members: readonly AssignableMember[],
): ShardAssignment[] {
  return planShardAssignments({ shardCount, owners, members, weights: new Map() });
}

test('repeated assignment converges to an even distribution of all shards over the living members', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 6 }),
      fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'), { minLength: 1 }),
      fc.array(fc.constantFrom('a', 'b', 'c', 'd', 'gone'), { maxLength: 6 }),
      (count, names, previousOwners) => {
        const members = names.map((n) => member(n));
        const owners = new Map<number, ShardHolder>(
          previousOwners.map((n, i) => [i, { member: n, nonce: `${n}.1` }]),
        );
        for (let round = 0; round < 20; round++) {
          for (const { shard, member: name } of plan(count, owners, members)) {
            owners.set(shard, { member: name, nonce: `${name}.1` });
          }
        }
        assert.deepEqual(plan(count, owners, members), []);
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

test('reassigns the shards of a member that rejoined under another nonce', () => {
  const owners = new Map([[0, { member: 'a', nonce: 'a.0' }]]);
  assert.deepEqual(plan(1, owners, [member('a')]), [{ shard: 0, member: 'a' }]);
});
