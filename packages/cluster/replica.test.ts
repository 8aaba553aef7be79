import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Change, Row, StoreClient } from '#store';
import { SimClock } from '#testkit';
import { type Micros, MS, SECOND } from '#wire';
import { logKey, type LogId } from './keys.js';
import type { PlacementRecord, StartGroup } from './placement.js';
import { Replica } from './replica.js';
import { encodeRecord, encodeRecordDraft } from './stored/record-codec.js';

const SILENT_LOGGER = { debug: () => undefined, info: () => undefined, error: () => undefined };

interface Commit {
  log: LogId;
  record: PlacementRecord;
}

function startOn(machine: string): StartGroup[] {
  return [{ job: 'j-1', team: 'blue', image: 'img', taskResources: [1, 0, 1], tasks: [[0, machine, 1]] }];
}

/**
 * Commits in which a task runs on a machine of shard 0, is stopped there, and starts again on a machine of shard 1. In
 * between, the owner of shard 0 releases a machine and the owner of shard 1 acquires it.
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
  { log: 0, record: { sequence: 1, recordedAtMs: 1, starts: startOn('n-1') } },
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
  { log: 1, record: { sequence: 2, recordedAtMs: 3, acquisitions: ['n-3'], starts: startOn('n-2') } },
];

/** A state service with one row per page. `betweenPages` is called before each page but the first, and may commit. */
class PagedStore {
  revision = 0;
  private readonly rows = new Map<string, Row>();
  private readonly history: Change[] = [];
  private resolveWatch: () => void = () => undefined;

  constructor(private readonly betweenPages: () => void) {}

  commit({ log, record }: Commit): void {
    const path = logKey(log, record.sequence);
    const row = { path, value: encodeRecord(encodeRecordDraft(record), record), revision: ++this.revision };
    this.rows.set(path, row);
    this.history.push(row);
    this.resolveWatch();
  }

  list(_prefix: string, after: string): Promise<{ rows: Row[]; more: boolean; revision: number }> {
    if (after !== '') this.betweenPages();
    const remaining = [...this.rows.values()].filter((r) => r.path > after);
    remaining.sort((a, b) => (a.path < b.path ? -1 : 1));
    return Promise.resolve({
      rows: remaining.slice(0, 1),
      more: remaining.length > 1,
      revision: this.revision,
    });
  }

  async watch(_prefix: string, after: number): Promise<{ revision: number; changes: Change[] }> {
    if (this.revision <= after) await new Promise<void>((resolve) => (this.resolveWatch = resolve));
    return { revision: this.revision, changes: this.history.filter((change) => change.revision > after) };
  }
}

/** Advances the simulated time in steps, so that pending promises can settle in between. */
async function advanceInSteps(clock: SimClock, duration: Micros): Promise<void> {
  for (let at = 0; at < duration; at += 100 * MS) clock.at(at, () => undefined);
  await clock.run(clock.time + duration, () => undefined);
}

/**
 * Returns a replica whose complete read overlaps with commits. The first `initialCommits` commits precede the read. Of
 * the others, `burst` are made before each page but the first `quietPages`, and the rest after the read.
 */
async function readWhileCommitting(
  initialCommits: number,
  quietPages: number,
  burst: number,
): Promise<Replica> {
  const later = COMMITS.slice(initialCommits);
  let pagesRead = 0;
  const store = new PagedStore(() => {
    if (++pagesRead < quietPages) return;
    for (const next of later.splice(0, burst)) store.commit(next);
  });
  for (const commit of COMMITS.slice(0, initialCommits)) store.commit(commit);
  const clock = new SimClock();
  const view = clock.createProcessClock(
    (step) => {
      step();
    },
    0,
    0,
  );
  const replica = new Replica({
    store: store as unknown as StoreClient,
    clock: view,
    log: SILENT_LOGGER,
    stateRps: 1000,
  });
  void replica.run();
  await advanceInSteps(clock, 5 * SECOND);
  for (const commit of later) store.commit(commit);
  await advanceInSteps(clock, 5 * SECOND);
  replica.stop();
  return replica;
}

// Guards against a task that is started twice. Pages are read one after the other, so a page can contain a record whose
// predecessor in another log was committed after that log's page was read. If the record is applied at once, a start
// comes before the completion that it relies on and has no effect.
test('applies commits made during the complete read in commit order', async () => {
  for (let initialCommits = 0; initialCommits <= COMMITS.length; initialCommits++) {
    for (let quietPages = 1; quietPages <= COMMITS.length; quietPages++) {
      for (const burst of [1, 2, 3]) {
        const { ledger } = await readWhileCommitting(initialCommits, quietPages, burst);
        const scenario = `${initialCommits} commits before the read, ${burst} per page after page ${quietPages}`;
        assert.equal(ledger.totalRecords, COMMITS.length, scenario);
        assert.equal(ledger.placement('j-1', 0)?.host, 'n-2', scenario);
        assert.equal(ledger.machines.get('n-3')?.shard, 1, scenario);
      }
    }
  }
});
