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

/** Returns the roles of a process that leads under term 1 and owns these shards. `shards`: terms, keyed by shard. */
function rolesOf(clock: Clock, shards: ReadonlyMap<number, number>): RoleRegistry {
  const holder = (term: number): RoleHolder => ({ member: 'node-0', nonce: 'ours', term });
  const holders = new Map<RoleName, RoleHolder>([['lead', holder(1)]]);
  for (const [shard, term] of shards) holders.set(shard, holder(term));
  const source = { holders: () => holders, isOurs: () => true };
  return new RoleRegistry({ source, clock, keyOf: ownershipKey, leaseDuration: SECOND });
}

const SILENT_LOGGER = { debug: () => undefined, info: () => undefined, error: () => undefined };

// Guards against slow scheduling rounds of the leader. When checkpoints and records shared one limiter, the leader
// planned one round every two seconds at 900 machines, while the other nodes planned four per second.
test('a large checkpoint is paced by its own limiter and does not delay the scheduling rounds of the leader', async () => {
  const clock = new SimClock();
  const view = clock.createProcessClock(
    (step) => {
      step();
    },
    0,
    0,
  );
  const sent: { writes: number; at: number }[] = [];
  const store = {
    compareAndSwap: (_guards: unknown, writes: Write[]) => {
      sent.push({ writes: writes.length, at: clock.time });
      return Promise.resolve({ kind: 'applied', revision: sent.length });
    },
  } as unknown as StoreClient;
  const replica = new Replica({ store, clock: view, log: SILENT_LOGGER, stateRps: 70 });
  for (let seq = 1; seq <= 100; seq++) {
    const host = (i: number): MachineRow => [`n-${seq}-${i}`, 'small', 'east', true, seq, 0];
    replica.ledger.apply('lead', {
      sequence: seq,
      recordedAtMs: 0,
      machines: [...Array(20).keys()].map(host),
    });
  }
  const roles = rolesOf(view, new Map());
  const limits = new WriteLimits(2048, 6);
  const writer = new LogWriter({
    store: new FencedStore(store, roles),
    replica,
    roles,
    clock: view,
    limits,
    recordLimiter: new RateLimiter(view, () => 8),
    checkpointLimiter: new RateLimiter(view, () => 4),
    log: SILENT_LOGGER,
  });
  const maintenance = { isOver: false };
  void writer.maintain().then(() => {
    maintenance.isOver = true;
  });
  for (let i = 0; i < 600 && !maintenance.isOver; i++) {
    await clock.run(clock.time + 100 * MS, () => undefined);
    assert.equal(writer.appendDelay(), 0, `the next append is delayed after ${i / 10} s`);
  }
  assert.ok(maintenance.isOver);
  const values = sent.reduce((sum, s) => sum + s.writes, 0);
  assert.ok(values > 20, `the checkpoint has only ${values} values`);
  const elapsed = (sent.at(-1)?.at ?? 0) - (sent[0]?.at ?? 0);
  assert.ok(elapsed > ((values - 10) / 4) * SECOND, `${values} values in ${elapsed / SECOND} s`);
});

interface RecordingWriter {
  readonly writer: LogWriter;
  readonly replica: Replica;
  readonly sent: { guards: Guard[]; writes: Write[] }[];
}

/** Returns a writer of a node that leads and owns shard 0. The state service records and refuses every commit. */
function recordingWriter(): RecordingWriter {
  const clock = new SimClock();
  const view = clock.createProcessClock(
    (step) => {
      step();
    },
    0,
    0,
  );
  const sent: { guards: Guard[]; writes: Write[] }[] = [];
  const store = {
    compareAndSwap: (guards: Guard[], writes: Write[]) => {
      sent.push({ guards, writes });
      return Promise.resolve({ kind: 'refused', failed: [], revision: 0 });
    },
    get: () => Promise.reject(new Error('away')),
  } as unknown as StoreClient;
  const replica = new Replica({ store, clock: view, log: SILENT_LOGGER, stateRps: 70 });
  const roles = rolesOf(view, new Map([[0, 7]]));
  const limiter = new RateLimiter(view, () => 10);
  const writer = new LogWriter({
    store: new FencedStore(store, roles),
    replica,
    roles,
    clock: view,
    limits: new WriteLimits(2048, 6),
    recordLimiter: limiter,
    checkpointLimiter: limiter,
    log: SILENT_LOGGER,
  });
  return { writer, replica, sent };
}

// Guards against a job that is both cancelled and done. The second of the two commits must fail on the changed key.
test('guards the completion of a job by the revision of its key and by the ownership of its shard', () => {
  const { writer, sent } = recordingWriter();
  void writer.completeJobs([['j-1', { spec: sampleJob('j-1'), acceptedAtMs: 0, acceptedRevision: 31 }]], [0]);
  assert.deepEqual(sent[0]?.guards, [
    { path: ownershipKey(0), revision: 7 },
    { path: jobKey('j-1'), revision: 31 },
  ]);
  assert.deepEqual(sent[0].writes, [{ set: jobKey('j-1'), value: { Status: 'done' } }]);
});

test('archives a terminal job only at the revision that was read', async () => {
  const { writer, replica, sent } = recordingWriter();
  replica.terminalJobs.set('j-1', { status: 'cancelled', revision: 32 });
  await writer.maintain();
  assert.deepEqual(sent[0]?.guards, [
    { path: LEADER_KEY, revision: 1 },
    { path: jobKey('j-1'), revision: 32 },
  ]);
  const value = { Status: 'cancelled' };
  assert.deepEqual(sent[0].writes, [{ remove: jobKey('j-1') }, { set: terminalKey('j-1'), value }]);
});
