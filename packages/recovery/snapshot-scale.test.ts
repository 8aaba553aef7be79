/** A snapshot of a large fleet: read back completely, and written without delaying the node's scheduling rounds. */
import assert from 'node:assert/strict';
import { Readable } from 'node:stream';
import { test } from 'node:test';
import { createGzip } from 'node:zlib';
import { Ledger, Replica, type StartGroup } from '#cluster';
import { sampleJob } from '#testkit';
import type { SnapshotLine } from './snapshot-format.js';
import { readSnapshot } from './snapshot-reader.js';
import { writeSnapshot } from './snapshot-writer.js';

const MACHINES = 4_000;
const TASKS = 100_000;
const JOBS = 500;
const FINALS = 20_000;
const PAGE = 1_000;

type Writable<T> = { -readonly [K in keyof T]: T[K] };

/** A copy of the state with so many machines, each of which runs as many tasks. */
function largeCopy(): Replica {
  const ledger = new Ledger();
  const host = (i: number): string => `n-${String(i).padStart(6, '0')}`;
  ledger.apply('lead', {
    sequence: 1,
    recordedAtMs: 0,
    machines: [...Array(MACHINES).keys()].map((i) => [host(i), 'small', 'east', false, i, 0]),
  });
  const starts: StartGroup[] = [...Array(JOBS).keys()].map((job) => ({
    job: `j-${job}`,
    team: 'blue',
    image: 'img',
    need: [1, 0, 1],
    tasks: [...Array(TASKS / JOBS).keys()].map((i) => [i, host((job * 8 + i) % MACHINES), 1]),
  }));
  ledger.apply(0, { sequence: 1, recordedAtMs: 1, starts });
  const jobs = new Map(
    [...Array(JOBS).keys()].map((i) => [
      `j-${i}`,
      { spec: sampleJob(`j-${i}`), acceptedAtMs: i, acceptedRevision: i },
    ]),
  );
  const copy = Object.create(Replica.prototype) as Writable<Replica>;
  copy.ledger = ledger;
  copy.appliedRevision = 9;
  copy.fencingToken = { value: 3, revision: 1 };
  copy.jobs = jobs;
  copy.terminalJobs = new Map();
  copy.machineTypes = new Map();
  return copy as Replica;
}

test('a fleet of 4,000 machines and 100,000 tasks is written and read back line by line', async (t) => {
  const replica = largeCopy();
  const origin = { member: 'node-0', nodes: ['node-0'], takenAt: 0, loss: null };
  const finals = (after: string): Promise<{ id: string; status: 'done' }[]> => {
    const from = after === '' ? 0 : Number(after.slice(2)) + 1;
    const count = Math.max(0, Math.min(PAGE, FINALS - from));
    return Promise.resolve([...Array(count).keys()].map((i) => ({ id: `o-${from + i}`, status: 'done' })));
  };
  const lines = writeSnapshot(replica, origin, finals);
  const began = performance.now();
  // Only the first line waits for what is taken at once; all others are encoded one by one.
  const first = await lines.next();
  const captured = performance.now() - began;
  assert.ok(first.done !== true && first.value.includes('micaworks-snapshot'));
  let bytes = 0;
  async function* all(): AsyncGenerator<string> {
    yield String(first.value);
    yield* lines;
  }
  const compressed = Readable.from(all(), { objectMode: false }).pipe(createGzip());
  compressed.on('data', (chunk: Buffer) => (bytes += chunk.length));
  const restored = new Ledger();
  const summary = await readSnapshot(compressed, (line: SnapshotLine) => {
    if (line.kind === 'ledger' && line.row[0] === 's') restored.jobProgress(line.row[1]);
  });
  t.diagnostic(
    `taken at once in ${captured.toFixed(0)} ms, ${(performance.now() - began).toFixed(0)} ms in all, ${bytes} bytes`,
  );
  assert.equal(summary.tasks, TASKS);
  assert.equal(summary.machines, MACHINES);
  assert.equal(summary.terminalStatuses, FINALS);
  assert.equal(restored.jobs.size, JOBS);
  assert.ok(summary.hasAllTerminalStatuses);
});

test('a snapshot says so if the state service did not answer for all terminal statuses', async () => {
  const lines = writeSnapshot(largeCopy(), { member: 'node-0', nodes: [], takenAt: 0, loss: null }, () =>
    Promise.reject(new Error('state service: 503')),
  );
  const source = Readable.from(lines, { objectMode: false }).pipe(createGzip());
  assert.equal((await readSnapshot(source)).hasAllTerminalStatuses, false);
});
