import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { InvariantViolation, type MachineFacts, InvariantChecker } from './invariants.js';
import { sampleJob } from './sample-job.js';

const east: MachineFacts = { host: 'n-1', machineType: 'small', zone: 'east', spot: false };
const west: MachineFacts = { host: 'n-2', machineType: 'small', zone: 'west', spot: false };
const LIMITS = new Map([['blue', { cpus: 6, gpus: 0 }]]);

/** Creates a checker that has observed the submission and acceptance of job `j-1`. */
function createChecker(overrides: Parameters<typeof sampleJob>[1] = {}): InvariantChecker {
  const checker = new InvariantChecker(LIMITS, 10 * SECOND);
  checker.jobSubmitted(sampleJob('j-1', overrides), 0);
  checker.answerReceived('j-1', { status: 201, state: 'pending', now: 0 });
  return checker;
}

/** Functions that each violate one invariant; the checker must report its name. */
const VIOLATIONS: [invariant: string, violate: () => void][] = [
  [
    'forgotten',
    () => {
      const checker = createChecker();
      checker.faultsEnded(20 * SECOND);
      checker.answerReceived('j-1', { status: 200, state: 'pending', now: 30 * SECOND });
      checker.checkDeadlines(104 * SECOND);
      checker.answerReceived('j-1', { status: 503, state: null, now: 104 * SECOND });
      checker.checkDeadlines(106 * SECOND);
    },
  ],
  [
    'ran_twice',
    () => {
      const checker = createChecker();
      checker.taskStarted('j-1/0', east, { now: 1 });
      checker.taskStarted('j-1/0', west, { now: 2 });
    },
  ],
  [
    'quota',
    () => {
      const checker = createChecker({ taskCount: 4 });
      for (const i of [0, 1, 2, 3]) checker.taskStarted(`j-1/${i}`, east, { now: 1 });
    },
  ],
  ['wrong_place', () => createChecker({ machineTypes: ['large'] }).taskStarted('j-1/0', east, { now: 1 })],
  ['wrong_place', () => createChecker({ zone: 'west' }).taskStarted('j-1/0', east, { now: 1 })],
  [
    'wrong_place',
    () => createChecker({ allowsSpot: false }).taskStarted('j-1/0', { ...east, spot: true }, { now: 1 }),
  ],
  [
    'wrong_place',
    () => {
      const checker = createChecker({ singleZone: true });
      checker.taskStarted('j-1/0', east, { now: 1 });
      checker.taskStarted('j-1/1', west, { now: 1 });
    },
  ],
  [
    'wrong_place',
    () => {
      const checker = createChecker({ spreadZones: true, taskCount: 3 });
      for (const i of [0, 1, 2]) checker.taskStarted(`j-1/${i}`, east, { now: 1 });
    },
  ],
  [
    'ran_cancelled',
    () => {
      const checker = createChecker();
      checker.taskStarted('j-1/0', east, { now: 1 });
      checker.cancellationRequested('j-1');
      checker.answerReceived('j-1', { status: 200, state: 'cancelled', now: SECOND });
      checker.checkDeadlines(12 * SECOND);
    },
  ],
  [
    'ran_cancelled',
    () => {
      const checker = createChecker();
      checker.cancellationRequested('j-1');
      checker.answerReceived('j-1', { status: 200, state: 'cancelled', now: SECOND });
      checker.taskStarted('j-1/0', east, { now: 12 * SECOND });
    },
  ],
  ['forgotten', () => createChecker().answerReceived('j-1', { status: 404, state: null, now: 1 })],
  ['forgotten', () => createChecker().answerReceived('j-1', { status: 422, state: null, now: 1 })],
  ['invented', () => createChecker().answerReceived('j-2', { status: 200, state: 'pending', now: 1 })],
  ['not_done', () => createChecker().answerReceived('j-1', { status: 200, state: 'done', now: 1 })],
  [
    'went_back',
    () => {
      const checker = createChecker({ taskCount: 1 });
      checker.taskStarted('j-1/0', east, { now: 1 });
      checker.taskEnded('j-1/0', true);
      checker.answerReceived('j-1', { status: 200, state: 'done', now: 2 });
      checker.answerReceived('j-1', { status: 200, state: 'running', now: 3 });
    },
  ],
  ['went_back', () => createChecker().answerReceived('j-1', { status: 200, state: 'cancelled', now: 1 })],
  [
    'went_back',
    () => {
      const checker = createChecker();
      checker.cancellationRequested('j-1');
      checker.answerReceived('j-1', { status: 200, state: 'cancelled', now: 2, sentAt: 1 });
      // A request that is sent when the terminal status is received, or later, must not get an older status.
      checker.answerReceived('j-1', { status: 200, state: 'pending', now: 3, sentAt: 2 });
    },
  ],
  [
    'went_back',
    () => {
      const checker = createChecker();
      checker.cancellationRequested('j-1');
      checker.answerReceived('j-1', { status: 200, state: 'cancelled', now: 2, sentAt: 1 });
      // Two different terminal statuses are a contradiction, in whichever order they were requested.
      checker.taskEnded('j-1/0', true);
      checker.taskEnded('j-1/1', true);
      checker.taskEnded('j-1/2', true);
      checker.answerReceived('j-1', { status: 200, state: 'done', now: 3, sentAt: 1 });
    },
  ],
  [
    'left_waiting',
    () => {
      const checker = createChecker();
      checker.faultsEnded(0);
      const capacity = { machine: east, cpus: 2, gpus: 0, memGb: 4 };
      for (const s of [1, 50, 90, 92]) checker.checkWaitingJobs(s * SECOND, [capacity]);
    },
  ],
];

for (const [invariant, violate] of VIOLATIONS) {
  test(`the checker reports a violation of ${invariant}`, () => {
    assert.throws(
      violate,
      (cause: unknown) => cause instanceof InvariantViolation && cause.invariant === invariant,
    );
  });
}

test('the checker accepts a late answer with an older status if it was requested before the terminal status arrived', () => {
  const checker = createChecker();
  checker.cancellationRequested('j-1');
  checker.answerReceived('j-1', { status: 200, state: 'cancelled', now: 5, sentAt: 3 });
  checker.answerReceived('j-1', { status: 200, state: 'running', now: 6, sentAt: 4 });
});

test('the checker allows a job to wait without suitable capacity, at its team limit, or during faults', () => {
  const assertMayWait = (
    overrides: Parameters<typeof sampleJob>[1],
    cpus: number,
    faultsHaveEnded = true,
  ): void => {
    const checker = createChecker(overrides);
    if (faultsHaveEnded) checker.faultsEnded(0);
    const capacity = { machine: east, cpus, gpus: 0, memGb: 16 };
    for (let s = 0; s < 200; s += 50) checker.checkWaitingJobs(s * SECOND, [capacity]);
  };
  assertMayWait({ cpus: 4 }, 2);
  assertMayWait({ cpus: 8 }, 12);
  assertMayWait({ zone: 'west' }, 4);
  assertMayWait({}, 4, false);
});

test('the checker accepts a job that runs without incident', () => {
  const checker = createChecker({ taskCount: 2 });
  for (const i of [0, 1]) checker.taskStarted(`j-1/${i}`, east, { now: 1 });
  for (const i of [0, 1]) checker.taskEnded(`j-1/${i}`, true);
  checker.answerReceived('j-1', { status: 200, state: 'done', now: 3 });
  checker.checkDeadlines(100 * SECOND);
  assert.deepEqual(checker.unfinishedJobs(), []);
});

test('the checker reports neglected classes, teams and largest jobs, and no others', () => {
  const checker = new InvariantChecker(LIMITS, 10 * SECOND);
  const jobs = [
    sampleJob('j-1', { jobClass: 'fast', taskCount: 1 }),
    sampleJob('j-2', { jobClass: 'slow', taskCount: 4, team: 'green' }),
    sampleJob('j-3', { jobClass: 'slow', taskCount: 1 }),
  ];
  for (const job of jobs) {
    checker.jobSubmitted(job, 0);
    checker.answerReceived(job.id, { status: 201, state: 'pending', now: 0 });
  }
  for (const id of ['j-1', 'j-3']) {
    checker.taskStarted(`${id}/0`, east, { now: SECOND });
    checker.taskEnded(`${id}/0`, true);
  }
  assert.deepEqual(checker.neglectedGroups(), [
    'j-2 of slow started too late',
    'team green: 0 of 1 done',
    'largest of slow: 0 of 1 done',
  ]);
  for (let i = 0; i < 4; i++) {
    checker.taskStarted(`j-2/${i}`, east, { now: 241 * SECOND });
    checker.taskEnded(`j-2/${i}`, true);
  }
  assert.deepEqual(checker.neglectedGroups(), ['j-2 of slow started too late']);
});
