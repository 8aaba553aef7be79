import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planStops, type Victim } from './preempt.js';
import type { WaitingJob } from './types.js';

const NEED = { cpus: 4, gpus: 0, memGb: 8 };
const JOB: WaitingJob = {
  id: 'j-1',
  team: 'blue',
  need: NEED,
  priority: 4,
  order: 1,
  waiting: 1,
  taskCount: 1,
  gang: false,
  machineTypes: null,
  zone: null,
  singleZone: false,
  spreadZones: false,
  spot: true,
  image: 'i',
  placedByZone: new Map(),
};

function victim(taskName: string, change: Partial<Victim> = {}): Victim {
  return {
    taskName,
    host: 'n-1',
    rank: 0,
    beyond: false,
    saves: true,
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
  return planStops({ requests, machines, victims, most: 5 }).map((v) => v.taskName);
}

test('work of lower rank makes room, on the machine where the fewest tasks have to', () => {
  const two = [victim('a/0'), victim('a/1')];
  assert.deepEqual(stopped([...two, victim('b/0', { host: 'n-2', cpus: 4 })]), ['b/0']);
  assert.deepEqual(stopped(two), ['a/0', 'a/1']);
});

test('equal or higher rank stays, and so does what would lose its work', () => {
  assert.deepEqual(stopped([victim('a/0', { rank: 2 }), victim('a/1', { rank: 3 })]), []);
  assert.deepEqual(stopped([victim('a/0', { saves: false }), victim('a/1')]), []);
});

test('for a team within its guarantee, what runs beyond another guarantee makes room at any rank', () => {
  const high = [victim('a/0', { rank: 3, beyond: true }), victim('a/1', { rank: 3, beyond: true })];
  assert.deepEqual(stopped(high, { rank: 1 }), []);
  assert.deepEqual(stopped(high, { rank: 1, guaranteed: true }), ['a/0', 'a/1']);
});
