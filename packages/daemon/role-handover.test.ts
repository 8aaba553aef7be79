/** The reasons that operators are told when a duty is not handed over. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Member, Membership, Replica, ShardOwner } from '#cluster';
import { type RoleHolder, type RoleName, RoleRegistry, FencedStore } from '#roles';
import type { CommitResult } from '#store';
import { type Clock, type Micros, SECOND } from '#wire';
import type { StateFreshness } from './state-freshness.js';
import { RoleHandover, type RoleHandoverOptions } from './role-handover.js';

/** A clock on which whatever waits is done at once, and time has passed by then. */
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

/** What a node that hands over is like: a member of two that is served, unless changed. */
interface Standing {
  isServed: boolean;
  members: string[];
  supportsHandOver: boolean;
  commit: CommitResult;
  /** Shares that stay with this node, and those that have an owner. */
  kept: number[];
  owned: number[];
}

const WELL: Standing = {
  isServed: true,
  members: ['node-1', 'node-2'],
  supportsHandOver: true,
  commit: { kind: 'applied', epoch: 9 },
  kept: [],
  owned: [1],
};

interface Trial {
  clock: Clock;
  handOver: RoleHandover;
  duties: RoleRegistry;
  /** Names that this node has given to the others as resigned, in their order. */
  told: string[];
}

function trialOf(change: Partial<Standing> = {}): Trial {
  const standing = { ...WELL, ...change };
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
  const told: string[] = [];
  const replica: Partial<Replica> = {
    members: new Map(standing.members.map((member) => [member, {} as Member])),
    shardOwners: new Map(standing.owned.map((shard) => [shard, {} as ShardOwner])),
    allSupport: () => standing.supportsHandOver,
  };
  const membership: Partial<Membership> = {
    roles,
    resignedShards: [],
    ownedShards: () => new Map(standing.kept.map((shard) => [shard, {} as ShardOwner])),
    withdrawCandidacy: () => undefined,
    publishStatus: ({ resignedShards: resigned }) => {
      told.push(String(resigned));
      return Promise.resolve();
    },
  };
  const freshness: Partial<StateFreshness> = { isFresh: () => standing.isServed };
  const parts: RoleHandoverOptions = {
    clock,
    replica: replica as Replica,
    membership: membership as Membership,
    store: new FencedStore({ compareAndSwap: () => Promise.resolve(standing.commit) }, roles),
    freshness: freshness as StateFreshness,
    allNodes: ['node-1', 'node-2'],
  };
  return { clock, handOver: new RoleHandover(parts), duties: roles, told };
}

/** The answer of a node to the request to hand a duty over, as text. */
async function answerOf(role: RoleName, change: Partial<Standing> = {}): Promise<string> {
  return JSON.stringify(await trialOf(change).handOver.resign(role));
}

function refusal(reason: string): string {
  return `{"kind":"refused","reason":"${reason}"}`;
}

test('the lead and a share are handed over', async () => {
  assert.equal(await answerOf('lead'), '{"kind":"handed_over"}');
  assert.equal(await answerOf(1), '{"kind":"handed_over"}');
});

test('a node that may not, or can not, hand a duty over tells why', async () => {
  assert.equal(
    await answerOf('lead', { isServed: false }),
    refusal('the state service does not serve this node'),
  );
  assert.equal(await answerOf(2), refusal('share/2 is not held here: node-2 holds it'));
  assert.equal(await answerOf(7), refusal('share/7 is not held here: nobody is known to hold it'));
  assert.equal(
    await answerOf('lead', { members: ['node-1'] }),
    refusal('no other member is alive to take it'),
  );
  assert.equal(
    await answerOf(1, { supportsHandOver: false }),
    refusal('not every node has announced that it knows the hand-over of shares'),
  );
  assert.equal(await answerOf('lead', { supportsHandOver: false }), '{"kind":"handed_over"}');
});

test('a duty that is being handed over, or is in doubt, is not handed over anew', async () => {
  const resigning = trialOf();
  assert.ok(resigning.duties.resign('lead'));
  assert.equal(JSON.stringify(await resigning.handOver.resign('lead')), refusal('lead is being handed over'));
  const doubtful = trialOf();
  // Time passes beyond the life of the lease.
  doubtful.clock.after(700 * SECOND, () => undefined);
  assert.equal(
    JSON.stringify(await doubtful.handOver.resign('lead')),
    refusal('lead is not held for certain'),
  );
});

test('what did not land in time is held as before', async () => {
  const reason = 'it could not be handed over in time; it is held as before';
  assert.equal(
    await answerOf('lead', { commit: { kind: 'refused', failed: [], epoch: 0 } }),
    refusal(reason),
  );
  assert.equal(await answerOf(1, { kept: [1] }), refusal(reason));
  assert.equal(await answerOf(1, { owned: [] }), refusal(reason));
});
