import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Change, Row, StoreClient } from '#store';
import { SimClock } from '#testkit';
import { type Micros, MS, SECOND } from '#wire';
import { logKey, type LogId } from './keys.js';
import type { PlacementRecord, StartGroup } from './placement.js';
import { Replica } from './replica.js';
import { encodeRecord, encodeRecordDraft } from './stored/record-codec.js';

const SILENT = { debug: () => undefined, info: () => undefined, error: () => undefined };

interface Commit {
  log: LogId;
  record: PlacementRecord;
}

function start(machine: string): StartGroup[] {
  return [{ job: 'j-1', team: 'blue', image: 'img', need: [1, 0, 1], tasks: [[0, machine, 1]] }];
}

/**
 * A task runs on a machine of shard 0, is stopped there, and starts again on a machine of shard 1. In between, one
 * owner releases a machine and another acquires it.
 */
const COMMITS: Commit[] = [
  {
    log: 'lead',
    record: {
      sequence: 1,
      recordedAtMs: 0,
      machines: [
        ['n-1', 'small', 'east', false, 0, 0],
        ['n-2', 'small', 'east', false, 0, 1],
        ['n-3', 'small', 'east', false, 0, 0],
      ],
      transferTargets: [['n-3', 1]],
    },
  },
  { log: 0, record: { sequence: 1, recordedAtMs: 1, starts: start('n-1') } },
  { log: 1, record: { sequence: 1, recordedAtMs: 1, statuses: [['n-2', 'up']] } },
  {
    log: 0,
    record: {
      sequence: 2,
      recordedAtMs: 2,
      completions: [['j-1', 0, 1024, 'stopped']],
      releases: [['n-3', null]],
    },
  },
  { log: 1, record: { sequence: 2, recordedAtMs: 3, acquisitions: ['n-3'], starts: start('n-2') } },
];

/** A state service with one row a page; `betweenPages` may commit before each page but the first. */
class PagedStore {
  revision = 0;
  private readonly rows = new Map<string, Row>();
  private readonly history: Change[] = [];
  private wake: () => void = () => undefined;

  constructor(private readonly betweenPages: () => void) {}

  commit({ log, record }: Commit): void {
    const path = logKey(log, record.sequence);
    const row = { path, value: encodeRecord(encodeRecordDraft(record), record), revision: ++this.revision };
    this.rows.set(path, row);
    this.history.push(row);
    this.wake();
  }

  list(_prefix: string, after: string): Promise<{ rows: Row[]; more: boolean; revision: number }> {
    if (after !== '') this.betweenPages();
    const rest = [...this.rows.values()].filter((r) => r.path > after);
    rest.sort((a, b) => (a.path < b.path ? -1 : 1));
    return Promise.resolve({ rows: rest.slice(0, 1), more: rest.length > 1, revision: this.revision });
  }

  async watch(_prefix: string, after: number): Promise<{ revision: number; changes: Change[] }> {
    if (this.revision <= after) await new Promise<void>((resolve) => (this.wake = resolve));
    return { revision: this.revision, changes: this.history.filter((change) => change.revision > after) };
  }
}

/** Lets simulated time pass in steps, so that whatever is under way in between can settle. */
async function pass(clock: SimClock, duration: Micros): Promise<void> {
  for (let at = 0; at < duration; at += 100 * MS) clock.at(at, () => undefined);
  await clock.run(clock.time + duration, () => undefined);
}

/**
 * The copy of a node that reads all live state while the commits from `committed` on land: `burst` of them before each
 * page but the first `pages`.
 */
async function readWhileCommitting(committed: number, pages: number, burst: number): Promise<Replica> {
  const later = COMMITS.slice(committed);
  let read = 0;
  const store = new PagedStore(() => {
    if (++read < pages) return;
    for (const next of later.splice(0, burst)) store.commit(next);
  });
  for (const commit of COMMITS.slice(0, committed)) store.commit(commit);
  const clock = new SimClock();
  const view = clock.view(
    (step) => {
      step();
    },
    0,
    0,
  );
  const replica = new Replica({
    store: store as unknown as StoreClient,
    clock: view,
    log: SILENT,
    stateRps: 1000,
  });
  void replica.run();
  await pass(clock, 5 * SECOND);
  for (const commit of later) store.commit(commit);
  await pass(clock, 5 * SECOND);
  replica.stop();
  return replica;
}

// Pages of a list are read one after the other. The record of a later page used to be applied before an earlier one
// of another log that had landed meanwhile: the start of a task had no effect, since its end was not known yet, and
// the node started the task a second time.
test('commits that land while the live state is read are applied in their order', async () => {
  for (let committed = 0; committed <= COMMITS.length; committed++) {
    for (let pages = 1; pages <= COMMITS.length; pages++) {
      for (const burst of [1, 2, 3]) {
        const { ledger } = await readWhileCommitting(committed, pages, burst);
        const during = `${committed} commits before the reading, ${burst} after page ${pages}`;
        assert.equal(ledger.totalRecords, COMMITS.length, during);
        assert.equal(ledger.placement('j-1', 0)?.host, 'n-2', during);
        assert.equal(ledger.machines.get('n-3')?.shard, 1, during);
      }
    }
  }
});
