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

function partialStart(indices: number[], attempt = ATTEMPT): StartGroup {
  const tasks = indices.map((i): StartGroup['tasks'][number] => [i, HOSTS[i]!, 1]);
  return {
    job: 'j-1',
    team: 'blue',
    image: 'i',
    taskResources: [2, 0, 4],
    gang: { attempt, size: 3 },
    tasks,
  };
}

function completenessOfPlacements(ledger: Ledger): boolean[] {
  return [...(ledger.jobs.get('j-1')?.placements.values() ?? [])].map((p) => ledger.isGangComplete(p));
}

function restoreFromCheckpoint(ledger: Ledger): Ledger {
  const copy = new Ledger();
  copy.restore(
    ledger.allPositions(),
    encodeCheckpointRows(ledger, () => true),
  );
  return copy;
}

test('a gang is complete only after all records of its start, also if a checkpoint lies between them', () => {
  let ledger = ledgerWithMachines();
  ledger.apply(0, { sequence: 1, recordedAtMs: 0, starts: [partialStart([0])] });
  ledger = restoreFromCheckpoint(ledger);
  assert.deepEqual(completenessOfPlacements(ledger), [false]);
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, starts: [partialStart([1, 2])] });
  assert.deepEqual(completenessOfPlacements(ledger), [true, true, true]);
  assert.deepEqual(completenessOfPlacements(restoreFromCheckpoint(ledger)), [true, true, true]);
  const attempts = [...(restoreFromCheckpoint(ledger).jobs.get('j-1')?.placements.values() ?? [])].map(
    (p) => p.attempt,
  );
  assert.deepEqual(attempts, [ATTEMPT, ATTEMPT, ATTEMPT]);
});

test('all parts of a gang start that is split to fit the value size carry the same attempt', () => {
  const parts = splitDraft(encodeRecordDraft({ starts: [partialStart([0, 1, 2])] }), 100);
  assert.ok(parts.length > 1);
  for (const { starts } of parts) assert.deepEqual(starts?.[0]?.gang, { attempt: ATTEMPT, size: 3 });
});

test('the end of one task makes the gang incomplete, and starts of another attempt are ignored', () => {
  const ledger = ledgerWithMachines();
  ledger.apply(0, { sequence: 1, recordedAtMs: 0, starts: [partialStart([0, 1, 2])] });
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, completions: [['j-1', 0, ATTEMPT, 'lost']] });
  assert.deepEqual(completenessOfPlacements(ledger), [false, false]);
  ledger.apply(0, { sequence: 3, recordedAtMs: 0, starts: [partialStart([0], 9 * 1024)] });
  assert.equal(ledger.placement('j-1', 0), undefined);
});

test('the completion of one task completes the whole gang, including a task whose machine is lost afterwards', () => {
  const ledger = ledgerWithMachines();
  ledger.apply(0, { sequence: 1, recordedAtMs: 0, starts: [partialStart([0, 1, 2])] });
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, completions: [['j-1', 1, ATTEMPT, 'done']] });
  ledger.apply(0, { sequence: 3, recordedAtMs: 0, completions: [['j-1', 2, ATTEMPT, 'lost']] });
  assert.equal(ledger.jobs.get('j-1')?.done.count, 3);
});
