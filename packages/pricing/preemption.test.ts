import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planPreemptions, type Victim } from './preemption.js';
import type { PendingJob } from './types.js';

const NEED = { cpus: 4, gpus: 0, memGb: 8 };
const JOB: PendingJob = {
  id: 'j-1',
  team: 'blue',
  need: NEED,
  priority: 4,
  acceptanceOrder: 1,
  pendingTasks: 1,
  taskCount: 1,
  isGang: false,
  machineTypes: null,
  zone: null,
  singleZone: false,
  spreadZones: false,
  allowsSpot: true,
  image: 'i',
  placedByZone: new Map(),
};

function victim(taskName: string, change: Partial<Victim> = {}): Victim {
  return {
    taskName,
    host: 'n-1',
    rank: 0,
    isAboveGuarantee: false,
    canCheckpoint: true,
    cpus: 2,
    gpus: 0,
    memGb: 4,
    ...change,
  };
}

function stopped(victims: Victim[], claim: { rank?: number; guaranteed?: boolean } = {}): string[] {
  const left = { cpus: 0, gpus: 0, memGb: 8 };
  const machines = ['n-1', 'n-2'].map((host) => ({ host, left, allowed: () => true }));
  const requests = [{ job: JOB, count: 1, rank: 2, guaranteed: false, ...claim }];
  return planPreemptions({ requests, machines, victims, maxPreemptions: 5 }).map((v) => v.taskName);
}

test('work of lower rank makes room, on the machine where the fewest tasks have to', () => {
  const two = [victim('a/0'), victim('a/1')];
  assert.deepEqual(stopped([...two, victim('b/0', { host: 'n-2', cpus: 4 })]), ['b/0']);
  assert.deepEqual(stopped(two), ['a/0', 'a/1']);
});

test('equal or higher rank stays, and so does what would lose its work', () => {
  assert.deepEqual(stopped([victim('a/0', { rank: 2 }), victim('a/1', { rank: 3 })]), []);
  assert.deepEqual(stopped([victim('a/0', { canCheckpoint: false }), victim('a/1')]), []);
});

test('for a team within its guarantee, what runs beyond another guarantee makes room at any rank', () => {
  const high = [
    victim('a/0', { rank: 3, isAboveGuarantee: true }),
    victim('a/1', { rank: 3, isAboveGuarantee: true }),
  ];
  assert.deepEqual(stopped(high, { rank: 1 }), []);
  assert.deepEqual(stopped(high, { rank: 1, guaranteed: true }), ['a/0', 'a/1']);
});
