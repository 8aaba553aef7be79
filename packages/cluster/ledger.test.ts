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

const ROW = { spot: true, since: 0 };

/** A script of random steps, turned into records that the leader and two owners might write. */
function records(steps: readonly (readonly [number, number, number])[]): Step[] {
  const ledger = new Ledger();
  const out: Step[] = [];
  for (const [kind, a, b] of steps) {
    const job = `j-${a % 3}`;
    const host = `n-${b % 4}`;
    const placed = ledger.placement(job, b);
    const draft: Partial<PlacementRecord> = {};
    let log: LogId = a % 2;
    if (kind === 0) {
      draft.starts = [{ job, team: 'blue', image: `i-${a}`, need: [1, 0, 2], tasks: [[b, host, 1]] }];
      draft.prices = { small: [0.1 * a, 0, 0] };
    } else if (kind === 1 && placed) {
      draft.completions = [[job, b, placed.attempt, (['done', 'lost', 'failed'] as const)[a % 3] ?? 'done']];
    } else if (kind === 2) draft.releases = [[host, [1, b]]];
    else if (kind === 3) draft.acquisitions = [host];
    else if (kind === 4) draft.statuses = [[host, 'up']];
    else {
      log = 'lead';
      if (a === 0) draft.removed = [host];
      else if (a === 1) draft.scaleOuts = [[`h-${b}`, 'small', 'east', false, 2, 1]];
      else if (a === 2) draft.settledScaleOuts = [`h-${b}`];
      else if (a < 5) draft.transferTargets = [[host, b % 2]];
      else draft.machines = [[host, 'small', 'east', ROW.spot, ROW.since, b % 2]];
    }
    const record: PlacementRecord = {
      ...draft,
      sequence: ledger.position(log) + 1,
      recordedAtMs: 1000 + out.length,
    };
    ledger.apply(log, record);
    out.push([log, record]);
  }
  return out;
}

const steps = fc.array(fc.tuple(fc.nat(6), fc.nat(6), fc.nat(12)), { maxLength: 120 });

/** All that a ledger holds, in an order of its own. */
function picture(ledger: Ledger): unknown {
  const sorted = (rows: Iterable<object>): string[] =>
    [...rows].map((row) => JSON.stringify(Object.entries(row).sort())).sort();
  const entries = [...ledger.jobs].filter(([, b]) => b.placements.size > 0 || b.done.count > 0);
  return {
    positions: ledger.allPositions(),
    // A job's failures in a row are left out of a checkpoint, so who is to blame for one more may differ.
    hosts: sorted(
      [...ledger.machines.values()].map((host) => ({ ...host, consecutiveFailures: 0, lastFailureAtMs: 0 })),
    ),
    rentals: sorted(ledger.pendingScaleOuts.values()),
    prices: sorted([...ledger.prices].map(([shard, shapes]) => [shard, ...shapes])),
    placed: sorted([...ledger.placementsByHost.values()].flatMap((there) => [...there.values()])),
    done: sorted(
      entries.map(([job, entry]) => [job, entry.done.ranges(), [...entry.placements.keys()].sort()]),
    ),
  };
}

test('a checkpoint at any point plus the records after it gives the same state as all records', () => {
  fc.assert(
    fc.property(steps, fc.nat(120), (script, cut) => {
      const all = records(script);
      const whole = new Ledger();
      for (const [log, r] of all) whole.apply(log, r);
      const first = new Ledger();
      for (const [log, r] of all.slice(0, cut)) first.apply(log, r);
      const second = new Ledger();
      second.restore(
        first.allPositions(),
        encodeCheckpointRows(first, () => true),
      );
      for (const [log, r] of all) second.apply(log, r);
      assert.deepEqual(picture(second), picture(whole));
      assert.equal(second.teamUsage('blue').cpus, whole.teamUsage('blue').cpus);
    }),
    { seed: 3, numRuns: 200 },
  );
});

test('a checkpoint of a thousand machines and two thousand tasks takes few values', () => {
  const ledger = new Ledger();
  const hosts = [...Array(1000).keys()].map((i) => `n-${String(i).padStart(6, '0')}`);
  const Hosts = hosts.map((host, i): MachineRow => [host, 'small', 'east', i % 2 === 0, 1.7e12 + i, i % 3]);
  ledger.apply('lead', { sequence: 1, recordedAtMs: 1.7e12, machines: Hosts });
  for (let shard = 0; shard < 3; shard++) {
    const tasks = hosts.flatMap((host, i): StartGroup['tasks'] => [
      [2 * i, host, 1],
      [2 * i + 1, host, 1],
    ]);
    const starts: StartGroup[] = [];
    for (let i = 0; i < tasks.length; i += 25) {
      const part = tasks.slice(i, i + 25);
      starts.push({ job: `j-${i}`, team: 'blue', image: `img-${i % 7}`, need: [2, 0, 7.1], tasks: part });
    }
    ledger.apply(shard, { sequence: 1, recordedAtMs: 1.7e12 + 500, starts });
  }
  const rows = encodeCheckpointRows(ledger, () => true);
  const chunks = packIntoChunks(rows, 4096 - 200);
  assert.ok(chunks.every((chunk) => jsonBytes({ Rows: chunk }) <= 4096));
  assert.ok(chunks.length <= 25, `${chunks.length} values`);
});

test('usage is what is placed, after whatever records', () => {
  fc.assert(
    fc.property(steps, (script) => {
      const ledger = new Ledger();
      for (const [log, r] of records(script)) {
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

const HOST = (host: string, shard: number): MachineRow => [host, 'small', 'east', false, 0, shard];
const START = { job: 'j-1', team: 'blue', image: 'i', need: [1, 0, 1] as [number, number, number] };

test('a record that is not the next of its log is refused, one already applied changes nothing', () => {
  const ledger = new Ledger();
  assert.equal(ledger.apply('lead', { sequence: 2, recordedAtMs: 0 }), false);
  assert.equal(ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines: [HOST('n-1', 0)] }), true);
  assert.equal(ledger.apply('lead', { sequence: 1, recordedAtMs: 0, removed: ['n-1'] }), true);
  assert.equal(ledger.machines.size, 1);
});

test('a completion names its attempt: that of an earlier one leaves the present one alone', () => {
  const ledger = new Ledger();
  ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines: [HOST('n-1', 0), HOST('n-2', 0)] });
  ledger.apply(0, { sequence: 1, recordedAtMs: 0, starts: [{ ...START, tasks: [[0, 'n-1', 1]] }] });
  const first = ledger.placement('j-1', 0)?.attempt ?? -1;
  ledger.apply(0, {
    sequence: 2,
    recordedAtMs: 0,
    completions: [['j-1', 0, first, 'lost']],
    starts: [{ ...START, tasks: [[0, 'n-2', 1]] }],
  });
  ledger.apply(0, { sequence: 3, recordedAtMs: 0, completions: [['j-1', 0, first, 'done']] });
  assert.equal(ledger.placement('j-1', 0)?.host, 'n-2');
  assert.equal(ledger.jobs.get('j-1')?.done.count, 0);
});

test('a machine has one owner: only between a release and the next acquisition does it change hands, and steps of any other shard have no effect', () => {
  const ledger = new Ledger();
  ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines: [HOST('n-1', 0)] });
  ledger.apply(1, {
    sequence: 1,
    recordedAtMs: 0,
    acquisitions: ['n-1'],
    starts: [{ ...START, tasks: [[0, 'n-1', 1]] }],
  });
  assert.equal(ledger.placement('j-1', 0), undefined);
  ledger.apply(0, {
    sequence: 1,
    recordedAtMs: 0,
    starts: [{ ...START, tasks: [[0, 'n-1', 1]] }],
    releases: [['n-1', null]],
  });
  assert.equal(ledger.machines.get('n-1')?.shard, 0, 'no transfer target was named');
  ledger.apply('lead', { sequence: 2, recordedAtMs: 0, transferTargets: [['n-1', 1]] });
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, releases: [['n-1', [1, 7]]] });
  assert.equal(ledger.machines.get('n-1')?.shard, null);
  ledger.apply(0, { sequence: 3, recordedAtMs: 0, starts: [{ ...START, tasks: [[1, 'n-1', 1]] }] });
  assert.equal(ledger.placement('j-1', 1), undefined);
  ledger.apply(1, { sequence: 2, recordedAtMs: 0, acquisitions: ['n-1'] });
  assert.equal(ledger.machines.get('n-1')?.shard, 1);
  const { attempt } = ledger.placement('j-1', 0) ?? { attempt: -1 };
  ledger.apply(0, { sequence: 4, recordedAtMs: 0, completions: [['j-1', 0, attempt, 'done']] });
  assert.ok(ledger.placement('j-1', 0), 'the old owner has no more say');
  ledger.apply(1, { sequence: 3, recordedAtMs: 0, completions: [['j-1', 0, attempt, 'done']] });
  assert.equal(ledger.placement('j-1', 0), undefined);
});

test('a set of done tasks survives being written out', () => {
  fc.assert(
    fc.property(fc.uniqueArray(fc.nat(400)), (indices) => {
      const set = new DoneSet();
      for (const i of indices) set.add(i);
      const copy = new DoneSet();
      copy.addRanges(set.ranges().join(','));
      assert.equal(copy.count, indices.length);
      for (let i = 0; i <= 401; i++) assert.equal(copy.has(i), indices.includes(i));
      let open = 0;
      while (indices.includes(open)) open++;
      assert.equal(copy.firstOpen, open);
    }),
    { seed: 5, numRuns: 200 },
  );
});

test('a draft of any size is cut into values within the limit, nothing lost, no start before an end', () => {
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
      let started = false;
      for (const part of parts) {
        assert.ok(jsonBytes(part) <= limit, `${jsonBytes(part)} bytes`);
        if (part.ends) assert.ok(!started);
        if (part.starts) started = true;
      }
      assert.deepEqual(
        parts.flatMap((p) => p.ends ?? []),
        draft.ends,
      );
      const on = (job: string): unknown[] =>
        parts.flatMap((p) => (p.starts ?? []).filter((g) => g.job === job).flatMap((g) => g.tasks));
      assert.deepEqual(on('j-1'), draft.starts?.[0]?.tasks);
      assert.deepEqual(on('j-2'), draft.starts?.[1]?.tasks);
    }),
    { seed: 6, numRuns: 100 },
  );
});
