/** When a role is handed over, and the reasons that operators are shown when it is not. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Member, Membership, Replica, ShardOwner } from '#cluster';
import { type RoleHolder, type RoleName, RoleRegistry, FencedStore } from '#roles';
import type { CommitResult } from '#store';
import { type Clock, type Micros, SECOND } from '#wire';
import type { StateFreshness } from './state-freshness.js';
import { RoleHandover, type RoleHandoverOptions } from './role-handover.js';

/** A clock whose timers fire at once, with their delay added to the time. */
class LeapingClock implements Clock {
  private time: Micros = 0;

  now(): Micros {
    return this.time;
  }

  wall(): Micros {
    return this.time;
  }

  after(delay: Micros, run: () => void): { cancel: () => void } {
    this.time += delay;
    queueMicrotask(run);
    return { cancel: () => undefined };
  }
}

/** The situation of the node: one of two members, with access to the state service, unless changed. */
interface Situation {
  isStoreReachable: boolean;
  members: string[];
  supportsHandover: boolean;
  commit: CommitResult;
  /** Shards that stay with this node. */
  retainedShards: number[];
  /** Shards that have an owner. */
  ownedShards: number[];
}

const HEALTHY: Situation = {
  isStoreReachable: true,
  members: ['node-1', 'node-2'],
  supportsHandover: true,
  commit: { kind: 'applied', revision: 9 },
  retainedShards: [],
  ownedShards: [1],
};

interface Trial {
  clock: Clock;
  handover: RoleHandover;
  roles: RoleRegistry;
  /** The resigned shards that this node published, in their order. */
  published: string[];
}

function trialOf(change: Partial<Situation> = {}): Trial {
  const situation = { ...HEALTHY, ...change };
  const clock = new LeapingClock();
  const holders = new Map<RoleName, RoleHolder>([
    ['lead', { member: 'node-1', nonce: 'ours', term: 41 }],
    [1, { member: 'node-1', nonce: 'ours', term: 40 }],
    [2, { member: 'node-2', nonce: 'other', term: 39 }],
  ]);
  const roles = new RoleRegistry({
    source: { holders: () => holders, isOurs: (nonce) => nonce === 'ours' },
    clock,
    keyOf: (role) => `key of ${role}`,
    leaseLife: 600 * SECOND,
  });
  roles.onLeaseRenewed(0);
  const published: string[] = [];
  const replica: Partial<Replica> = {
    members: new Map(situation.members.map((member) => [member, {} as Member])),
    shardOwners: new Map(situation.ownedShards.map((shard) => [shard, {} as ShardOwner])),
    allSupport: () => situation.supportsHandover,
  };
  const membership: Partial<Membership> = {
    roles,
    resignedShards: [],
    ownedShards: () => new Map(situation.retainedShards.map((shard) => [shard, {} as ShardOwner])),
    withdrawCandidacy: () => undefined,
    publishStatus: ({ resignedShards: resigned }) => {
      published.push(String(resigned));
      return Promise.resolve();
    },
  };
  const freshness: Partial<StateFreshness> = { isFresh: () => situation.isStoreReachable };
  const parts: RoleHandoverOptions = {
    clock,
    replica: replica as Replica,
    membership: membership as Membership,
    store: new FencedStore({ compareAndSwap: () => Promise.resolve(situation.commit) }, roles),
    freshness: freshness as StateFreshness,
    allNodes: ['node-1', 'node-2'],
  };
  return { clock, handover: new RoleHandover(parts), roles, published };
}

/** The result of handing a role over, as text. */
async function resultOf(role: RoleName, change: Partial<Situation> = {}): Promise<string> {
  return JSON.stringify(await trialOf(change).handover.resign(role));
}

function refusal(reason: string): string {
  return `{"kind":"refused","reason":"${reason}"}`;
}

test('leadership and a shard are handed over', async () => {
  assert.equal(await resultOf('lead'), '{"kind":"handed_over"}');
  assert.equal(await resultOf(1), '{"kind":"handed_over"}');
});

test('a refused hand-over gives the reason', async () => {
  assert.equal(
    await resultOf('lead', { isStoreReachable: false }),
    refusal('the state service does not serve this node'),
  );
  assert.equal(await resultOf(2), refusal('share/2 is not held here: node-2 holds it'));
  assert.equal(await resultOf(7), refusal('share/7 is not held here: nobody is known to hold it'));
  assert.equal(
    await resultOf('lead', { members: ['node-1'] }),
    refusal('no other member is alive to take it'),
  );
  assert.equal(
    await resultOf(1, { supportsHandover: false }),
    refusal('not every node has announced that it knows the hand-over of shares'),
  );
  assert.equal(await resultOf('lead', { supportsHandover: false }), '{"kind":"handed_over"}');
});

test('a role that is being handed over, or may be lost, is not handed over again', async () => {
  const resigning = trialOf();
  assert.ok(resigning.roles.resign('lead'));
  assert.equal(JSON.stringify(await resigning.handover.resign('lead')), refusal('lead is being handed over'));
  const doubtful = trialOf();
  // Time passes beyond the life of the lease.
  doubtful.clock.after(700 * SECOND, () => undefined);
  assert.equal(
    JSON.stringify(await doubtful.handover.resign('lead')),
    refusal('lead is not held for certain'),
  );
});

test('a role whose hand-over does not complete in time is held as before', async () => {
  const reason = 'it could not be handed over in time; it is held as before';
  assert.equal(
    await resultOf('lead', { commit: { kind: 'refused', failed: [], revision: 0 } }),
    refusal(reason),
  );
  assert.equal(await resultOf(1, { retainedShards: [1] }), refusal(reason));
  assert.equal(await resultOf(1, { ownedShards: [] }), refusal(reason));
});
