import assert from 'node:assert/strict';
import { test } from 'node:test';
import { samplePendingJob } from '#testkit';
import { planPreemptions, type Victim } from './preemption.js';
import { ZoneConstraint } from './zone-constraint.js';

const NEED = { cpus: 4, gpus: 0, memGb: 8 };
const JOB = samplePendingJob({ taskResources: NEED, priority: 4, pendingTaskCount: 1, taskCount: 1 });

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

function preempted(victims: Victim[], change: { rank?: number; isWithinGuarantee?: boolean } = {}): string[] {
  const freeResources = { cpus: 0, gpus: 0, memGb: 8 };
  const machines = ['n-1', 'n-2'].map((host) => ({
    host,
    zone: 'east',
    freeResources,
    isAllowed: () => true,
  }));
  const zones = new ZoneConstraint(JOB);
  const requests = [{ job: JOB, zones, count: 1, rank: 2, isWithinGuarantee: false, ...change }];
  return planPreemptions({ requests, machines, victims, maxPreemptions: 5 }).map(({ taskName }) => taskName);
}

test('preempts tasks of lower rank on the machine that needs the fewest victims', () => {
  const two = [victim('a/0'), victim('a/1')];
  assert.deepEqual(preempted([...two, victim('b/0', { host: 'n-2', cpus: 4 })]), ['b/0']);
  assert.deepEqual(preempted(two), ['a/0', 'a/1']);
});

test('does not preempt tasks of equal or higher rank, or tasks without checkpoints', () => {
  assert.deepEqual(preempted([victim('a/0', { rank: 2 }), victim('a/1', { rank: 3 })]), []);
  assert.deepEqual(preempted([victim('a/0', { canCheckpoint: false }), victim('a/1')]), []);
});

test("preempts tasks above another team's guarantee at any rank for a team within its guarantee", () => {
  const high = [
    victim('a/0', { rank: 3, isAboveGuarantee: true }),
    victim('a/1', { rank: 3, isAboveGuarantee: true }),
  ];
  assert.deepEqual(preempted(high, { rank: 1 }), []);
  assert.deepEqual(preempted(high, { rank: 1, isWithinGuarantee: true }), ['a/0', 'a/1']);
});

// Guards against a round that takes seconds: all machines were looked at again for each task of a large request.
test('looks at each machine once for a request of 100,000 tasks', () => {
  let looks = 0;
  const machines = [...Array(200).keys()].map((i) => ({
    host: `n-${i}`,
    zone: 'east',
    freeResources: { cpus: 4, gpus: 0, memGb: 8 },
    isAllowed: () => ++looks > 0,
  }));
  const victims = machines.map(({ host }) => victim(`a/${host}`, { host }));
  const zones = new ZoneConstraint(JOB);
  const requests = [{ job: JOB, zones, count: 100_000, rank: 2, isWithinGuarantee: false }];
  assert.deepEqual(planPreemptions({ requests, machines, victims, maxPreemptions: 6 }), []);
  assert.equal(looks, machines.length);
});
