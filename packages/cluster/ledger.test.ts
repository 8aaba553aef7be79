import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { jsonBytes } from '#wire';
import { DoneSet } from './done-set.js';
import type { LogId } from './keys.js';
import { Ledger } from './ledger.js';
import type { MachineRow, PlacementRecord, StartGroup } from './placement.js';
import { encodeCheckpointRows, packIntoChunks } from './stored/checkpoint-codec.js';
import type { StoredRecordDraft } from './stored/record-codec.js';
import { splitDraft } from './stored/record-splitter.js';

type Step = [log: LogId, record: PlacementRecord];

const MACHINE_DEFAULTS = { spot: true, since: 0 };

/** Converts random steps into records that the leader and the owners of two shards might write. */
function recordsFromSteps(steps: readonly (readonly [number, number, number])[]): Step[] {
  const ledger = new Ledger();
  const loggedRecords: Step[] = [];
  for (const [kind, a, b] of steps) {
    const job = `j-${a % 3}`;
    const host = `n-${b % 4}`;
    const placement = ledger.placement(job, b);
    const draft: Partial<PlacementRecord> = {};
    let log: LogId = a % 2;
    if (kind === 0) {
      draft.starts = [
        { job, team: 'blue', image: `i-${a}`, taskResources: [1, 0, 2], tasks: [[b, host, 1]] },
      ];
      draft.prices = { small: [0.1 * a, 0, 0] };
    } else if (kind === 1 && placement) {
      draft.completions = [
        [job, b, placement.attempt, (['done', 'lost', 'failed'] as const)[a % 3] ?? 'done'],
      ];
    } else if (kind === 2) draft.releases = [[host, [1, b]]];
    else if (kind === 3) draft.acquisitions = [host];
    else if (kind === 4) draft.statuses = [[host, 'up']];
    else {
      log = 'lead';
      if (a === 0) draft.removed = [host];
      else if (a === 1) draft.scaleOuts = [[`h-${b}`, 'small', 'east', false, 2, 1]];
      else if (a === 2) draft.settledScaleOuts = [`h-${b}`];
      else if (a < 5) draft.transferTargets = [[host, b % 2]];
      else draft.machines = [[host, 'small', 'east', MACHINE_DEFAULTS.spot, MACHINE_DEFAULTS.since, b % 2]];
    }
    const record: PlacementRecord = {
      ...draft,
      sequence: ledger.position(log) + 1,
      recordedAtMs: 1000 + loggedRecords.length,
    };
    ledger.apply(log, record);
    loggedRecords.push([log, record]);
  }
  return loggedRecords;
}

const steps = fc.array(fc.tuple(fc.nat(6), fc.nat(6), fc.nat(12)), { maxLength: 120 });

/** Returns the content of a ledger in an order that does not depend on the order of insertion. */
function normalizedState(ledger: Ledger): unknown {
  const sortedJson = (rows: Iterable<object>): string[] =>
    [...rows].map((row) => JSON.stringify(Object.entries(row).sort())).sort();
  const entries = [...ledger.jobs].filter(([, b]) => b.placements.size > 0 || b.done.count > 0);
  return {
    positions: ledger.allPositions(),
    // Checkpoints don't contain the consecutive failures of a job, so the failure counts of machines may differ.
    machines: sortedJson(
      [...ledger.machines.values()].map((host) => ({ ...host, consecutiveFailures: 0, lastFailureAtMs: 0 })),
    ),
    scaleOuts: sortedJson(ledger.pendingScaleOuts.values()),
    prices: sortedJson([...ledger.prices].map(([shard, shapes]) => [shard, ...shapes])),
    placed: sortedJson(
      [...ledger.placementsByHost.values()].flatMap((placements) => [...placements.values()]),
    ),
    done: sortedJson(
      entries.map(([job, entry]) => [job, entry.done.ranges(), [...entry.placements.keys()].sort()]),
    ),
  };
}

test('a checkpoint at any point plus the records after it yields the same state as all records', () => {
  fc.assert(
    fc.property(steps, fc.nat(120), (script, cut) => {
      const all = recordsFromSteps(script);
      const expected = new Ledger();
      for (const [log, r] of all) expected.apply(log, r);
      const beforeCheckpoint = new Ledger();
      for (const [log, r] of all.slice(0, cut)) beforeCheckpoint.apply(log, r);
      const restored = new Ledger();
      restored.restore(
        beforeCheckpoint.allPositions(),
        encodeCheckpointRows(beforeCheckpoint, () => true),
      );
      for (const [log, r] of all) restored.apply(log, r);
      assert.deepEqual(normalizedState(restored), normalizedState(expected));
      assert.equal(restored.teamUsage('blue').cpus, expected.teamUsage('blue').cpus);
    }),
    { seed: 3, numRuns: 200 },
  );
});

test('a checkpoint of 1000 machines and 2000 tasks fits into at most 25 values of 4 KiB', () => {
  const ledger = new Ledger();
  const hosts = [...Array(1000).keys()].map((i) => `n-${String(i).padStart(6, '0')}`);
  const machineRows = hosts.map((host, i): MachineRow => [
    host,
    'small',
    'east',
    i % 2 === 0,
    1.7e12 + i,
    i % 3,
  ]);
  ledger.apply('lead', { sequence: 1, recordedAtMs: 1.7e12, machines: machineRows });
  for (let shard = 0; shard < 3; shard++) {
    const tasks = hosts.flatMap((host, i): StartGroup['tasks'] => [
      [2 * i, host, 1],
      [2 * i + 1, host, 1],
    ]);
    const starts: StartGroup[] = [];
    for (let i = 0; i < tasks.length; i += 25) {
      const part = tasks.slice(i, i + 25);
      starts.push({
        job: `j-${i}`,
        team: 'blue',
        image: `img-${i % 7}`,
        taskResources: [2, 0, 7.1],
        tasks: part,
      });
    }
    ledger.apply(shard, { sequence: 1, recordedAtMs: 1.7e12 + 500, starts });
  }
  const rows = encodeCheckpointRows(ledger, () => true);
  const chunks = packIntoChunks(rows, 4096 - 200);
  assert.ok(chunks.every((chunk) => jsonBytes({ Rows: chunk }) <= 4096));
  assert.ok(chunks.length <= 25, `${chunks.length} values`);
});

test('the team usage equals the number of placed tasks after any sequence of records', () => {
  fc.assert(
    fc.property(steps, (script) => {
      const ledger = new Ledger();
      for (const [log, r] of recordsFromSteps(script)) {
        ledger.apply(log, r);
        let count = 0;
        for (const entry of ledger.jobs.values()) count += entry.placements.size;
        assert.equal(ledger.teamUsage('blue').cpus, count);
        assert.equal(
          [...ledger.placementsByHost.values()].reduce((n, m) => n + m.size, 0),
          count,
        );
      }
    }),
    { seed: 4, numRuns: 200 },
  );
});

const machineRow = (host: string, shard: number): MachineRow => [host, 'small', 'east', false, 0, shard];
const START_GROUP = {
  job: 'j-1',
  team: 'blue',
  image: 'i',
  taskResources: [1, 0, 1] as [number, number, number],
};

test('rejects a record after a gap in its log and ignores a record that is already applied', () => {
  const ledger = new Ledger();
  assert.equal(ledger.apply('lead', { sequence: 2, recordedAtMs: 0 }), false);
  assert.equal(
    ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines: [machineRow('n-1', 0)] }),
    true,
  );
  assert.equal(ledger.apply('lead', { sequence: 1, recordedAtMs: 0, removed: ['n-1'] }), true);
  assert.equal(ledger.machines.size, 1);
});

test('a completion of an earlier attempt does not end the current attempt', () => {
  const ledger = new Ledger();
  ledger.apply('lead', {
    sequence: 1,
    recordedAtMs: 0,
    machines: [machineRow('n-1', 0), machineRow('n-2', 0)],
  });
  ledger.apply(0, { sequence: 1, recordedAtMs: 0, starts: [{ ...START_GROUP, tasks: [[0, 'n-1', 1]] }] });
  const first = ledger.placement('j-1', 0)?.attempt ?? -1;
  ledger.apply(0, {
    sequence: 2,
    recordedAtMs: 0,
    completions: [['j-1', 0, first, 'lost']],
    starts: [{ ...START_GROUP, tasks: [[0, 'n-2', 1]] }],
  });
  ledger.apply(0, { sequence: 3, recordedAtMs: 0, completions: [['j-1', 0, first, 'done']] });
  assert.equal(ledger.placement('j-1', 0)?.host, 'n-2');
  assert.equal(ledger.jobs.get('j-1')?.done.count, 0);
});

test('a machine changes owner only by release and acquisition, and other shards cannot change it', () => {
  const ledger = new Ledger();
  ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines: [machineRow('n-1', 0)] });
  ledger.apply(1, {
    sequence: 1,
    recordedAtMs: 0,
    acquisitions: ['n-1'],
    starts: [{ ...START_GROUP, tasks: [[0, 'n-1', 1]] }],
  });
  assert.equal(ledger.placement('j-1', 0), undefined);
  ledger.apply(0, {
    sequence: 1,
    recordedAtMs: 0,
    starts: [{ ...START_GROUP, tasks: [[0, 'n-1', 1]] }],
    releases: [['n-1', null]],
  });
  assert.equal(ledger.machines.get('n-1')?.shard, 0, 'no transfer target was named');
  ledger.apply('lead', { sequence: 2, recordedAtMs: 0, transferTargets: [['n-1', 1]] });
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, releases: [['n-1', [1, 7]]] });
  assert.equal(ledger.machines.get('n-1')?.shard, null);
  ledger.apply(0, { sequence: 3, recordedAtMs: 0, starts: [{ ...START_GROUP, tasks: [[1, 'n-1', 1]] }] });
  assert.equal(ledger.placement('j-1', 1), undefined);
  ledger.apply(1, { sequence: 2, recordedAtMs: 0, acquisitions: ['n-1'] });
  assert.equal(ledger.machines.get('n-1')?.shard, 1);
  const { attempt } = ledger.placement('j-1', 0) ?? { attempt: -1 };
  ledger.apply(0, { sequence: 4, recordedAtMs: 0, completions: [['j-1', 0, attempt, 'done']] });
  assert.ok(ledger.placement('j-1', 0), 'a completion by the former owner has no effect');
  ledger.apply(1, { sequence: 3, recordedAtMs: 0, completions: [['j-1', 0, attempt, 'done']] });
  assert.equal(ledger.placement('j-1', 0), undefined);
});

test('a set of done tasks is unchanged by encoding and decoding', () => {
  fc.assert(
    fc.property(fc.uniqueArray(fc.nat(400)), (indices) => {
      const set = new DoneSet();
      for (const i of indices) set.add(i);
      const copy = new DoneSet();
      copy.addRanges(set.ranges().join(','));
      assert.equal(copy.count, indices.length);
      for (let i = 0; i <= 401; i++) assert.equal(copy.has(i), indices.includes(i));
      let firstIncomplete = 0;
      while (indices.includes(firstIncomplete)) firstIncomplete++;
      assert.equal(copy.firstIncomplete, firstIncomplete);
    }),
    { seed: 5, numRuns: 200 },
  );
});

test('splits a draft of any size into parts within the limit, losing nothing, with completions before starts', () => {
  fc.assert(
    fc.property(fc.nat(400), fc.nat(400), fc.integer({ min: 600, max: 4000 }), (ends, starts, limit) => {
      const draft: StoredRecordDraft = {
        ends: Array.from({ length: ends }, (_, i) => [`j-${i}`, i, 7, 'done']),
        starts: [
          { job: 'j-1', team: 'blue', image: 'i', need: [1, 0, 2], tasks: [] },
          { job: 'j-2', team: 'green', image: 'i', need: [2.5, 0, 2], tasks: [] },
        ],
      };
      for (let i = 0; i < starts; i++) draft.starts?.[i % 2]?.tasks.push([i, `n-${i}`, 1]);
      const parts = splitDraft(draft, limit);
      let hasSeenStarts = false;
      for (const part of parts) {
        assert.ok(jsonBytes(part) <= limit, `${jsonBytes(part)} bytes`);
        if (part.ends) assert.ok(!hasSeenStarts);
        if (part.starts) hasSeenStarts = true;
      }
      assert.deepEqual(
        parts.flatMap((p) => p.ends ?? []),
        draft.ends,
      );
      const startsOf = (job: string): unknown[] =>
        parts.flatMap((p) => (p.starts ?? []).filter((g) => g.job === job).flatMap((g) => g.tasks));
      assert.deepEqual(startsOf('j-1'), draft.starts?.[0]?.tasks);
      assert.deepEqual(startsOf('j-2'), draft.starts?.[1]?.tasks);
    }),
    { seed: 6, numRuns: 100 },
  );
});
