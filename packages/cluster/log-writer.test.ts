import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type RoleHolder, type RoleName, RoleRegistry, FencedStore } from '#roles';
import { type Guard, RateLimiter, type StoreClient, type Write, WriteLimits } from '#store';
import { sampleJob, SimClock } from '#testkit';
import { type Clock, MS, SECOND } from '#wire';
import { jobKey, LEADER_KEY, terminalKey, ownershipKey } from './keys.js';
import type { MachineRow } from './placement.js';
import { Replica } from './replica.js';
import { LogWriter } from './log-writer.js';

/** Duties of a process that leads under term 1 and owns these shares. */
function dutiesOf(clock: Clock, shards: ReadonlyMap<number, number>): RoleRegistry {
  const holder = (term: number): RoleHolder => ({ member: 'node-0', nonce: 'ours', term });
  const holders = new Map<RoleName, RoleHolder>([['lead', holder(1)]]);
  for (const [shard, term] of shards) holders.set(shard, holder(term));
  const source = { holders: () => holders, isOurs: () => true };
  return new RoleRegistry({ source, clock, keyOf: ownershipKey, leaseLife: SECOND });
}

const SILENT = { debug: () => undefined, info: () => undefined, error: () => undefined };

// At nine hundred machines the leader planned a round every two seconds while the others planned four a second.
test('a checkpoint of many values goes out in its own time and does not hold up the rounds of the leader', async () => {
  const clock = new SimClock();
  const view = clock.view((step) => step(), 0, 0);
  const sent: { writes: number; at: number }[] = [];
  const store = {
    compareAndSwap: (_guards: unknown, writes: Write[]) => {
      sent.push({ writes: writes.length, at: clock.time });
      return Promise.resolve({ kind: 'applied', epoch: sent.length });
    },
  } as unknown as StoreClient;
  const replica = new Replica({ store, clock: view, log: SILENT, stateRps: 70 });
  for (let seq = 1; seq <= 100; seq++) {
    const host = (i: number): MachineRow => [`n-${seq}-${i}`, 'small', 'east', true, seq, 0];
    replica.ledger.apply('lead', {
      sequence: seq,
      recordedAtMs: 0,
      machines: [...Array(20).keys()].map(host),
    });
  }
  const roles = dutiesOf(view, new Map());
  const [rounds, upkeep] = [8, 4].map((rate) => new RateLimiter(view, () => rate)) as [
    RateLimiter,
    RateLimiter,
  ];
  const limits = new WriteLimits(2048, 6);
  const fenced = new FencedStore(store, roles);
  const writer = new LogWriter(fenced, replica, roles, view, limits, rounds, upkeep, SILENT);
  let over = false;
  void writer.maintain().then(() => (over = true));
  for (let i = 0; i < 600 && !over; i++) {
    await clock.run(clock.time + 100 * MS, () => undefined);
    assert.equal(writer.appendDelay(), 0, `a round has to wait after ${i / 10} s`);
  }
  assert.ok(over);
  const values = sent.reduce((sum, s) => sum + s.writes, 0);
  assert.ok(values > 20, `only ${values} values`);
  const took = (sent.at(-1)?.at ?? 0) - (sent[0]?.at ?? 0);
  assert.ok(took > ((values - 10) / 4) * SECOND, `${values} values in ${took / SECOND} s`);
});

/** A writer over a state service that notes what it is sent and refuses it all; it owns share 0 and leads. */
function notingWriter(): {
  writer: LogWriter;
  replica: Replica;
  sent: { guards: Guard[]; writes: Write[] }[];
} {
  const clock = new SimClock();
  const view = clock.view((step) => step(), 0, 0);
  const sent: { guards: Guard[]; writes: Write[] }[] = [];
  const store = {
    compareAndSwap: (guards: Guard[], writes: Write[]) => {
      sent.push({ guards, writes });
      return Promise.resolve({ kind: 'refused', failed: [], epoch: 0 });
    },
    get: () => Promise.reject(new Error('away')),
  } as unknown as StoreClient;
  const replica = new Replica({ store, clock: view, log: SILENT, stateRps: 70 });
  const roles = dutiesOf(view, new Map([[0, 7]]));
  const pace = new RateLimiter(view, () => 10);
  const limits = new WriteLimits(2048, 6);
  return {
    writer: new LogWriter(new FencedStore(store, roles), replica, roles, view, limits, pace, pace, SILENT),
    replica,
    sent,
  };
}

// Of a withdrawal and the last end of a job only one may win: whoever comes second must find the key changed.
test('the end of a job relies on the revision of its key, and on the ownership of its share', () => {
  const { writer, sent } = notingWriter();
  void writer.completeJobs([['j-1', { spec: sampleJob('j-1'), acceptedAtMs: 0, acceptedRevision: 31 }]], [0]);
  assert.deepEqual(sent[0]?.guards, [
    { path: ownershipKey(0), revision: 7 },
    { path: jobKey('j-1'), revision: 31 },
  ]);
  assert.deepEqual(sent[0].writes, [{ set: jobKey('j-1'), value: { Status: 'done' } }]);
});

test('an ended job is put away only as it lies there', async () => {
  const { writer, replica, sent } = notingWriter();
  replica.terminalJobs.set('j-1', { status: 'cancelled', revision: 32 });
  await writer.maintain();
  assert.deepEqual(sent[0]?.guards, [
    { path: LEADER_KEY, revision: 1 },
    { path: jobKey('j-1'), revision: 32 },
  ]);
  const value = { Status: 'cancelled' };
  assert.deepEqual(sent[0].writes, [{ remove: jobKey('j-1') }, { set: terminalKey('j-1'), value }]);
});
