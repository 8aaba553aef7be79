/** Tests of the conditions of a role handoff, and of the reasons that operators are shown for a refusal. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Member, Membership, Replica, ShardOwner } from '#cluster';
import { type RoleHolder, type RoleName, RoleRegistry, FencedStore } from '#roles';
import type { CommitResult } from '#store';
import { type Clock, type Micros, SECOND } from '#wire';
import type { StateFreshness } from './state-freshness.js';
import { RoleHandoff, type RoleHandoffOptions } from './role-handoff.js';

/** A clock whose timers fire at once. Each timer advances the time by its delay. */
class ImmediateTimerClock implements Clock {
  private time: Micros = 0;

  now(): Micros {
    return this.time;
  }

  wall(): Micros {
    return this.time;
  }

  after(delay: Micros, action: () => void): { cancel: () => void } {
    this.time += delay;
    queueMicrotask(action);
    return { cancel: () => undefined };
  }
}

/** The conditions of a handoff. */
interface Scenario {
  isStoreReachable: boolean;
  members: string[];
  supportsHandoff: boolean;
  commit: CommitResult;
  /** Shards that this node still owns after resigning them. */
  retainedShards: number[];
  /** Shards that have an owner. */
  ownedShards: number[];
}

/** The node is one of two members and reaches the state service. */
const HEALTHY_SCENARIO: Scenario = {
  isStoreReachable: true,
  members: ['node-1', 'node-2'],
  supportsHandoff: true,
  commit: { kind: 'applied', revision: 9 },
  retainedShards: [],
  ownedShards: [1],
};

interface HandoffFixture {
  clock: Clock;
  handoff: RoleHandoff;
  roles: RoleRegistry;
  /** The lists of resigned shards that this node published, in order. */
  published: string[];
}

/** Creates the handoff of a node that holds the leader role and shard 1; node-2 owns shard 2. */
function createFixture(overrides: Partial<Scenario> = {}): HandoffFixture {
  const scenario = { ...HEALTHY_SCENARIO, ...overrides };
  const clock = new ImmediateTimerClock();
  const holders = new Map<RoleName, RoleHolder>([
    ['lead', { member: 'node-1', nonce: 'ours', term: 41 }],
    [1, { member: 'node-1', nonce: 'ours', term: 40 }],
    [2, { member: 'node-2', nonce: 'other', term: 39 }],
  ]);
  const roles = new RoleRegistry({
    source: { holders: () => holders, isOurs: (nonce) => nonce === 'ours' },
    clock,
    keyOf: (role) => `key of ${role}`,
    leaseDuration: 600 * SECOND,
  });
  roles.onLeaseRenewed(0);
  const published: string[] = [];
  const replica: Partial<Replica> = {
    members: new Map(scenario.members.map((member) => [member, {} as Member])),
    shardOwners: new Map(scenario.ownedShards.map((shard) => [shard, {} as ShardOwner])),
    allSupport: () => scenario.supportsHandoff,
  };
  const membership: Partial<Membership> = {
    roles,
    resignedShards: [],
    ownedShards: () => new Map(scenario.retainedShards.map((shard) => [shard, {} as ShardOwner])),
    withdrawCandidacy: () => undefined,
    publishStatus: ({ resignedShards: resigned }) => {
      published.push(String(resigned));
      return Promise.resolve();
    },
  };
  const freshness: Partial<StateFreshness> = { isFresh: () => scenario.isStoreReachable };
  const options: RoleHandoffOptions = {
    clock,
    replica: replica as Replica,
    membership: membership as Membership,
    store: new FencedStore({ compareAndSwap: () => Promise.resolve(scenario.commit) }, roles),
    freshness: freshness as StateFreshness,
    allNodes: ['node-1', 'node-2'],
  };
  return { clock, handoff: new RoleHandoff(options), roles, published };
}

/** Hands a role off in a changed scenario and returns the result as JSON. */
async function handoffResult(role: RoleName, overrides: Partial<Scenario> = {}): Promise<string> {
  return JSON.stringify(await createFixture(overrides).handoff.resign(role));
}

/** The JSON of a refusal with this reason. */
function refusal(reason: string): string {
  return `{"kind":"refused","reason":"${reason}"}`;
}

test('hands off leadership and shards', async () => {
  assert.equal(await handoffResult('lead'), '{"kind":"handed_over"}');
  assert.equal(await handoffResult(1), '{"kind":"handed_over"}');
});

test('refuses a handoff with the reason', async () => {
  assert.equal(
    await handoffResult('lead', { isStoreReachable: false }),
    refusal('the state service does not serve this node'),
  );
  assert.equal(await handoffResult(2), refusal('share/2 is not held here: node-2 holds it'));
  assert.equal(await handoffResult(7), refusal('share/7 is not held here: nobody is known to hold it'));
  assert.equal(
    await handoffResult('lead', { members: ['node-1'] }),
    refusal('no other member is alive to take it'),
  );
  assert.equal(
    await handoffResult(1, { supportsHandoff: false }),
    refusal('not every node has announced that it knows the hand-over of shares'),
  );
  assert.equal(await handoffResult('lead', { supportsHandoff: false }), '{"kind":"handed_over"}');
});

test('refuses to hand off a role that is already being handed off or whose lease may have expired', async () => {
  const alreadyResigning = createFixture();
  assert.ok(alreadyResigning.roles.resign('lead'));
  assert.equal(
    JSON.stringify(await alreadyResigning.handoff.resign('lead')),
    refusal('lead is being handed over'),
  );
  const leaseExpired = createFixture();
  // Advances the time beyond the expiry of the lease.
  leaseExpired.clock.after(700 * SECOND, () => undefined);
  assert.equal(
    JSON.stringify(await leaseExpired.handoff.resign('lead')),
    refusal('lead is not held for certain'),
  );
});

test('keeps a role whose handoff does not complete in time', async () => {
  const reason = 'it could not be handed over in time; it is held as before';
  assert.equal(
    await handoffResult('lead', { commit: { kind: 'refused', failed: [], revision: 0 } }),
    refusal(reason),
  );
  assert.equal(await handoffResult(1, { retainedShards: [1] }), refusal(reason));
  assert.equal(await handoffResult(1, { ownedShards: [] }), refusal(reason));
});
