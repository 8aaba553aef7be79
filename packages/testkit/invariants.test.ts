import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { InvariantViolation, type MachineFacts, InvariantChecker } from './invariants.js';
import { sampleJob } from './sample-job.js';

const east: MachineFacts = { host: 'n-1', machineType: 'small', zone: 'east', spot: false };
const west: MachineFacts = { host: 'n-2', machineType: 'small', zone: 'west', spot: false };
const LIMITS = new Map([['blue', { cpus: 6, gpus: 0 }]]);

function checker(change: Parameters<typeof sampleJob>[1] = {}): InvariantChecker {
  const checked = new InvariantChecker(LIMITS, 10 * SECOND);
  checked.jobSubmitted(sampleJob('j-1', change), 0);
  checked.answerReceived('j-1', { status: 201, state: 'pending', now: 0 });
  return checked;
}

/** Functions that each violate one invariant; the checker must report its name. */
const VIOLATIONS: [invariant: string, step: () => void][] = [
  [
    'forgotten',
    () => {
      const checked = checker();
      checked.faultsEnded(20 * SECOND);
      checked.answerReceived('j-1', { status: 200, state: 'pending', now: 30 * SECOND });
      checked.check(104 * SECOND);
      checked.answerReceived('j-1', { status: 503, state: null, now: 104 * SECOND });
      checked.check(106 * SECOND);
    },
  ],
  [
    'ran_twice',
    () => {
      const checked = checker();
      checked.taskStarted('j-1/0', east, { now: 1 });
      checked.taskStarted('j-1/0', west, { now: 2 });
    },
  ],
  [
    'quota',
    () => {
      const checked = checker({ taskCount: 4 });
      for (const i of [0, 1, 2, 3]) checked.taskStarted(`j-1/${i}`, east, { now: 1 });
    },
  ],
  ['wrong_place', () => checker({ machineTypes: ['large'] }).taskStarted('j-1/0', east, { now: 1 })],
  ['wrong_place', () => checker({ zone: 'west' }).taskStarted('j-1/0', east, { now: 1 })],
  [
    'wrong_place',
    () => checker({ allowsSpot: false }).taskStarted('j-1/0', { ...east, spot: true }, { now: 1 }),
  ],
  [
    'wrong_place',
    () => {
      const checked = checker({ singleZone: true });
      checked.taskStarted('j-1/0', east, { now: 1 });
      checked.taskStarted('j-1/1', west, { now: 1 });
    },
  ],
  [
    'wrong_place',
    () => {
      const checked = checker({ spreadZones: true, taskCount: 3 });
      for (const i of [0, 1, 2]) checked.taskStarted(`j-1/${i}`, east, { now: 1 });
    },
  ],
  [
    'ran_cancelled',
    () => {
      const checked = checker();
      checked.taskStarted('j-1/0', east, { now: 1 });
      checked.cancellationRequested('j-1');
      checked.answerReceived('j-1', { status: 200, state: 'cancelled', now: SECOND });
      checked.check(12 * SECOND);
    },
  ],
  [
    'ran_cancelled',
    () => {
      const checked = checker();
      checked.cancellationRequested('j-1');
      checked.answerReceived('j-1', { status: 200, state: 'cancelled', now: SECOND });
      checked.taskStarted('j-1/0', east, { now: 12 * SECOND });
    },
  ],
  ['forgotten', () => checker().answerReceived('j-1', { status: 404, state: null, now: 1 })],
  ['forgotten', () => checker().answerReceived('j-1', { status: 422, state: null, now: 1 })],
  ['invented', () => checker().answerReceived('j-2', { status: 200, state: 'pending', now: 1 })],
  ['not_done', () => checker().answerReceived('j-1', { status: 200, state: 'done', now: 1 })],
  [
    'went_back',
    () => {
      const checked = checker({ taskCount: 1 });
      checked.taskStarted('j-1/0', east, { now: 1 });
      checked.taskEnded('j-1/0', true);
      checked.answerReceived('j-1', { status: 200, state: 'done', now: 2 });
      checked.answerReceived('j-1', { status: 200, state: 'running', now: 3 });
    },
  ],
  ['went_back', () => checker().answerReceived('j-1', { status: 200, state: 'cancelled', now: 1 })],
  [
    'went_back',
    () => {
      const checked = checker();
      checked.cancellationRequested('j-1');
      checked.answerReceived('j-1', { status: 200, state: 'cancelled', now: 2, sentAt: 1 });
      // A request that is sent when the terminal status is received, or later, must not get an older status.
      checked.answerReceived('j-1', { status: 200, state: 'pending', now: 3, sentAt: 2 });
    },
  ],
  [
    'went_back',
    () => {
      const checked = checker();
      checked.cancellationRequested('j-1');
      checked.answerReceived('j-1', { status: 200, state: 'cancelled', now: 2, sentAt: 1 });
      // Two different terminal statuses are a contradiction, in whichever order they were requested.
      checked.taskEnded('j-1/0', true);
      checked.taskEnded('j-1/1', true);
      checked.taskEnded('j-1/2', true);
      checked.answerReceived('j-1', { status: 200, state: 'done', now: 3, sentAt: 1 });
    },
  ],
  [
    'left_waiting',
    () => {
      const checked = checker();
      checked.faultsEnded(0);
      const room = { machine: east, cpus: 2, gpus: 0, memGb: 4 };
      for (const s of [1, 50, 90, 92]) checked.checkWaitingJobs(s * SECOND, [room]);
    },
  ],
];

for (const [invariant, step] of VIOLATIONS) {
  test(`the checker reports a violation of ${invariant}`, () => {
    assert.throws(
      step,
      (cause: unknown) => cause instanceof InvariantViolation && cause.invariant === invariant,
    );
  });
}

test('the checker accepts a late answer with an older status if it was requested before the terminal status arrived', () => {
  const checked = checker();
  checked.cancellationRequested('j-1');
  checked.answerReceived('j-1', { status: 200, state: 'cancelled', now: 5, sentAt: 3 });
  checked.answerReceived('j-1', { status: 200, state: 'running', now: 6, sentAt: 4 });
});

test('the checker allows a job to wait without suitable capacity, at its team limit, or during faults', () => {
  const waits = (change: Parameters<typeof sampleJob>[1], cpus: number, calm = true): void => {
    const checked = checker(change);
    if (calm) checked.faultsEnded(0);
    const room = { machine: east, cpus, gpus: 0, memGb: 16 };
    for (let s = 0; s < 200; s += 50) checked.checkWaitingJobs(s * SECOND, [room]);
  };
  waits({ cpus: 4 }, 2);
  waits({ cpus: 8 }, 12);
  waits({ zone: 'west' }, 4);
  waits({}, 4, false);
});

test('the checker accepts a job that runs without incident', () => {
  const checked = checker({ taskCount: 2 });
  for (const i of [0, 1]) checked.taskStarted(`j-1/${i}`, east, { now: 1 });
  for (const i of [0, 1]) checked.taskEnded(`j-1/${i}`, true);
  checked.answerReceived('j-1', { status: 200, state: 'done', now: 3 });
  checked.check(100 * SECOND);
  assert.deepEqual(checked.unfinishedJobs(), []);
});

test('the checker reports neglected classes, teams and largest jobs, and no others', () => {
  const checked = new InvariantChecker(LIMITS, 10 * SECOND);
  const jobs = [
    sampleJob('j-1', { jobClass: 'fast', taskCount: 1 }),
    sampleJob('j-2', { jobClass: 'slow', taskCount: 4, team: 'green' }),
    sampleJob('j-3', { jobClass: 'slow', taskCount: 1 }),
  ];
  for (const job of jobs) {
    checked.jobSubmitted(job, 0);
    checked.answerReceived(job.id, { status: 201, state: 'pending', now: 0 });
  }
  for (const id of ['j-1', 'j-3']) {
    checked.taskStarted(`${id}/0`, east, { now: SECOND });
    checked.taskEnded(`${id}/0`, true);
  }
  assert.deepEqual(checked.neglectedGroups(), [
    'j-2 of slow started too late',
    'team green: 0 of 1 done',
    'largest of slow: 0 of 1 done',
  ]);
  for (let i = 0; i < 4; i++) {
    checked.taskStarted(`j-2/${i}`, east, { now: 241 * SECOND });
    checked.taskEnded(`j-2/${i}`, true);
  }
  assert.deepEqual(checked.neglectedGroups(), ['j-2 of slow started too late']);
});
