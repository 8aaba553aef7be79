import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Ledger } from './ledger.js';
import type { MachineRow, StartGroup } from './placement.js';
import { encodeCheckpointRows } from './stored/checkpoint-codec.js';
import { encodeRecordDraft } from './stored/record-codec.js';
import { splitDraft } from './stored/record-splitter.js';

const ATTEMPT = 3072;
const HOSTS = ['n-1', 'n-2', 'n-3'];

function ledgerWithMachines(): Ledger {
  const ledger = new Ledger();
  const machines = HOSTS.map((host): MachineRow => [host, 'small', 'east', false, 0, 0]);
  ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines });
  return ledger;
}

function part(indices: number[], attempt = ATTEMPT): StartGroup {
  const tasks = indices.map((i): StartGroup['tasks'][number] => [i, HOSTS[i]!, 1]);
  return { job: 'j-1', team: 'blue', image: 'i', need: [2, 0, 4], gang: { attempt, size: 3 }, tasks };
}

function wholeness(ledger: Ledger): boolean[] {
  return [...(ledger.jobs.get('j-1')?.placements.values() ?? [])].map((p) => ledger.isGangComplete(p));
}

function reread(ledger: Ledger): Ledger {
  const copy = new Ledger();
  copy.restore(
    ledger.allPositions(),
    encodeCheckpointRows(ledger, () => true),
  );
  return copy;
}

test('a start in several records counts only once all of it has come, also after a checkpoint between them', () => {
  let ledger = ledgerWithMachines();
  ledger.apply(0, { sequence: 1, recordedAtMs: 0, starts: [part([0])] });
  ledger = reread(ledger);
  assert.deepEqual(wholeness(ledger), [false]);
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, starts: [part([1, 2])] });
  assert.deepEqual(wholeness(ledger), [true, true, true]);
  assert.deepEqual(wholeness(reread(ledger)), [true, true, true]);
  const attempts = [...(reread(ledger).jobs.get('j-1')?.placements.values() ?? [])].map((p) => p.attempt);
  assert.deepEqual(attempts, [ATTEMPT, ATTEMPT, ATTEMPT]);
});

test('the parts of a start that is cut to fit its values bear one attempt', () => {
  const parts = splitDraft(encodeRecordDraft({ starts: [part([0, 1, 2])] }), 100);
  assert.ok(parts.length > 1);
  for (const { starts } of parts) assert.deepEqual(starts?.[0]?.gang, { attempt: ATTEMPT, size: 3 });
});

test('once a task has ended, the attempt is over for the others, and no other attempt joins them', () => {
  const ledger = ledgerWithMachines();
  ledger.apply(0, { sequence: 1, recordedAtMs: 0, starts: [part([0, 1, 2])] });
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, completions: [['j-1', 0, ATTEMPT, 'lost']] });
  assert.deepEqual(wholeness(ledger), [false, false]);
  ledger.apply(0, { sequence: 3, recordedAtMs: 0, starts: [part([0], 9 * 1024)] });
  assert.equal(ledger.placement('j-1', 0), undefined);
});

test('one task that is done makes the whole gang done, also one whose machine is lost then', () => {
  const ledger = ledgerWithMachines();
  ledger.apply(0, { sequence: 1, recordedAtMs: 0, starts: [part([0, 1, 2])] });
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, completions: [['j-1', 1, ATTEMPT, 'done']] });
  ledger.apply(0, { sequence: 3, recordedAtMs: 0, completions: [['j-1', 2, ATTEMPT, 'lost']] });
  assert.equal(ledger.jobs.get('j-1')?.done.count, 3);
});
