/**
 * Writes a snapshot of a large fleet line by line and reads it back completely. The part that is captured synchronously delays
 * the node's scheduling rounds; its duration is printed.
 */
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
const TERMINAL_STATUSES = 20_000;
const PAGE_SIZE = 1_000;

type Writable<T> = { -readonly [K in keyof T]: T[K] };

/** Returns a replica with {@link MACHINES} machines that run {@link TASKS} tasks of {@link JOBS} jobs. */
function largeReplica(): Replica {
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
    taskResources: [1, 0, 1],
    tasks: [...Array(TASKS / JOBS).keys()].map((i) => [i, host((job * 8 + i) % MACHINES), 1]),
  }));
  ledger.apply(0, { sequence: 1, recordedAtMs: 1, starts });
  const jobs = new Map(
    [...Array(JOBS).keys()].map((i) => [
      `j-${i}`,
      { spec: sampleJob(`j-${i}`), acceptedAtMs: i, acceptedRevision: i },
    ]),
  );
  const replica = Object.create(Replica.prototype) as Writable<Replica>;
  replica.ledger = ledger;
  replica.appliedRevision = 9;
  replica.fencingToken = { value: 3, revision: 1 };
  replica.jobs = jobs;
  replica.terminalJobs = new Map();
  replica.machineTypes = new Map();
  return replica as Replica;
}

test('writes and reads back a fleet of 4,000 machines and 100,000 tasks line by line', async (t) => {
  const replica = largeReplica();
  const origin = { member: 'node-0', nodes: ['node-0'], takenAt: 0, dataLossState: null };
  const fetchTerminalStatusPage = (after: string): Promise<{ id: string; status: 'done' }[]> => {
    const from = after === '' ? 0 : Number(after.slice(2)) + 1;
    const count = Math.max(0, Math.min(PAGE_SIZE, TERMINAL_STATUSES - from));
    return Promise.resolve([...Array(count).keys()].map((i) => ({ id: `o-${from + i}`, status: 'done' })));
  };
  const lines = writeSnapshot(replica, origin, fetchTerminalStatusPage);
  const startedAt = performance.now();
  // The first line waits until the whole state is captured; the other lines are formatted one by one.
  const first = await lines.next();
  const captureMs = performance.now() - startedAt;
  assert.ok(first.done !== true && first.value.includes('micaworks-snapshot'));
  let bytes = 0;
  async function* allLines(): AsyncGenerator<string> {
    yield String(first.value);
    yield* lines;
  }
  const compressed = Readable.from(allLines(), { objectMode: false }).pipe(createGzip());
  compressed.on('data', (chunk: Buffer) => (bytes += chunk.length));
  const restored = new Ledger();
  const summary = await readSnapshot(compressed, (line: SnapshotLine) => {
    if (line.kind === 'ledger' && line.row[0] === 's') restored.jobProgress(line.row[1]);
  });
  t.diagnostic(
    `captured in ${captureMs.toFixed(0)} ms, written and read in ${(performance.now() - startedAt).toFixed(0)} ms, ${bytes} bytes`,
  );
  assert.equal(summary.tasks, TASKS);
  assert.equal(summary.machines, MACHINES);
  assert.equal(summary.terminalStatuses, TERMINAL_STATUSES);
  assert.equal(restored.jobs.size, JOBS);
  assert.ok(summary.hasAllTerminalStatuses);
});

test('records in the trailer that terminal statuses could not be fetched', async () => {
  const lines = writeSnapshot(
    largeReplica(),
    { member: 'node-0', nodes: [], takenAt: 0, dataLossState: null },
    () => Promise.reject(new Error('state service: 503')),
  );
  const source = Readable.from(lines, { objectMode: false }).pipe(createGzip());
  assert.equal((await readSnapshot(source)).hasAllTerminalStatuses, false);
});
