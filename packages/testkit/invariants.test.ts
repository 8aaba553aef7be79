import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { InvariantViolation, type MachineFacts, InvariantChecker } from './invariants.js';
import { sampleJob } from './sample-job.js';

const east: MachineFacts = { host: 'n-1', machineType: 'small', zone: 'east', spot: false };
const west: MachineFacts = { host: 'n-2', machineType: 'small', zone: 'west', spot: false };
const LIMITS = new Map([['blue', { cpus: 6, gpus: 0 }]]);

function checker(change: Parameters<typeof sampleJob>[1] = {}): InvariantChecker {
  const rules = new InvariantChecker(LIMITS, 10 * SECOND);
  rules.jobSubmitted(sampleJob('j-1', change), 0);
  rules.answerReceived('j-1', { status: 201, state: 'pending', now: 0 });
  return rules;
}

/** Each rule, broken on purpose by one step: the checker must name it. */
const BREAKS: [rule: string, step: () => void][] = [
  [
    'forgotten',
    () => {
      const rules = checker();
      rules.faultsEnded(20 * SECOND);
      rules.answerReceived('j-1', { status: 200, state: 'pending', now: 30 * SECOND });
      rules.check(104 * SECOND);
      rules.answerReceived('j-1', { status: 503, state: null, now: 104 * SECOND });
      rules.check(106 * SECOND);
    },
  ],
  [
    'ran_twice',
    () => {
      const rules = checker();
      rules.taskStarted('j-1/0', east, { now: 1 });
      rules.taskStarted('j-1/0', west, { now: 2 });
    },
  ],
  [
    'quota',
    () => {
      const rules = checker({ taskCount: 4 });
      for (const i of [0, 1, 2, 3]) rules.taskStarted(`j-1/${i}`, east, { now: 1 });
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
      const rules = checker({ singleZone: true });
      rules.taskStarted('j-1/0', east, { now: 1 });
      rules.taskStarted('j-1/1', west, { now: 1 });
    },
  ],
  [
    'wrong_place',
    () => {
      const rules = checker({ spreadZones: true, taskCount: 3 });
      for (const i of [0, 1, 2]) rules.taskStarted(`j-1/${i}`, east, { now: 1 });
    },
  ],
  [
    'ran_cancelled',
    () => {
      const rules = checker();
      rules.taskStarted('j-1/0', east, { now: 1 });
      rules.cancellationRequested('j-1');
      rules.answerReceived('j-1', { status: 200, state: 'cancelled', now: SECOND });
      rules.check(12 * SECOND);
    },
  ],
  [
    'ran_cancelled',
    () => {
      const rules = checker();
      rules.cancellationRequested('j-1');
      rules.answerReceived('j-1', { status: 200, state: 'cancelled', now: SECOND });
      rules.taskStarted('j-1/0', east, { now: 12 * SECOND });
    },
  ],
  ['forgotten', () => checker().answerReceived('j-1', { status: 404, state: null, now: 1 })],
  ['forgotten', () => checker().answerReceived('j-1', { status: 422, state: null, now: 1 })],
  ['invented', () => checker().answerReceived('j-2', { status: 200, state: 'pending', now: 1 })],
  ['not_done', () => checker().answerReceived('j-1', { status: 200, state: 'done', now: 1 })],
  [
    'went_back',
    () => {
      const rules = checker({ taskCount: 1 });
      rules.taskStarted('j-1/0', east, { now: 1 });
      rules.taskEnded('j-1/0', true);
      rules.answerReceived('j-1', { status: 200, state: 'done', now: 2 });
      rules.answerReceived('j-1', { status: 200, state: 'running', now: 3 });
    },
  ],
  ['went_back', () => checker().answerReceived('j-1', { status: 200, state: 'cancelled', now: 1 })],
  [
    'went_back',
    () => {
      const rules = checker();
      rules.cancellationRequested('j-1');
      rules.answerReceived('j-1', { status: 200, state: 'cancelled', now: 2, sentAt: 1 });
      // Asked at the very moment at which the end was told, and after it, older answers are not allowed.
      rules.answerReceived('j-1', { status: 200, state: 'pending', now: 3, sentAt: 2 });
    },
  ],
  [
    'went_back',
    () => {
      const rules = checker();
      rules.cancellationRequested('j-1');
      rules.answerReceived('j-1', { status: 200, state: 'cancelled', now: 2, sentAt: 1 });
      // Two ends can't both be true, whichever was asked for first.
      rules.taskEnded('j-1/0', true);
      rules.taskEnded('j-1/1', true);
      rules.taskEnded('j-1/2', true);
      rules.answerReceived('j-1', { status: 200, state: 'done', now: 3, sentAt: 1 });
    },
  ],
  [
    'left_waiting',
    () => {
      const rules = checker();
      rules.faultsEnded(0);
      const room = { machine: east, cpus: 2, gpus: 0, memGb: 4 };
      for (const s of [1, 50, 90, 92]) rules.checkWaitingJobs(s * SECOND, [room]);
    },
  ],
];

for (const [rule, step] of BREAKS) {
  test(`the checker catches ${rule}`, () => {
    assert.throws(step, (cause: unknown) => cause instanceof InvariantViolation && cause.invariant === rule);
  });
}

test('an answer that was asked for before the end was told may be older, and reach its user later', () => {
  const rules = checker();
  rules.cancellationRequested('j-1');
  rules.answerReceived('j-1', { status: 200, state: 'cancelled', now: 5, sentAt: 3 });
  rules.answerReceived('j-1', { status: 200, state: 'running', now: 6, sentAt: 4 });
});

test('waiting has a reason: no room that fits, the limit of the team, or trouble', () => {
  const waits = (change: Parameters<typeof sampleJob>[1], cpus: number, calm = true): void => {
    const rules = checker(change);
    if (calm) rules.faultsEnded(0);
    const room = { machine: east, cpus, gpus: 0, memGb: 16 };
    for (let s = 0; s < 200; s += 50) rules.checkWaitingJobs(s * SECOND, [room]);
  };
  waits({ cpus: 4 }, 2);
  waits({ cpus: 8 }, 12);
  waits({ zone: 'west' }, 4);
  waits({}, 4, false);
});

test('the checker lets a plain life of a job pass', () => {
  const rules = checker({ taskCount: 2 });
  for (const i of [0, 1]) rules.taskStarted(`j-1/${i}`, east, { now: 1 });
  for (const i of [0, 1]) rules.taskEnded(`j-1/${i}`, true);
  rules.answerReceived('j-1', { status: 200, state: 'done', now: 3 });
  rules.check(100 * SECOND);
  assert.deepEqual(rules.unfinishedJobs(), []);
});

test('a neglected class, team or largest job is seen, and one that was served is not', () => {
  const rules = new InvariantChecker(LIMITS, 10 * SECOND);
  const jobs = [
    sampleJob('j-1', { jobClass: 'fast', taskCount: 1 }),
    sampleJob('j-2', { jobClass: 'slow', taskCount: 4, team: 'green' }),
    sampleJob('j-3', { jobClass: 'slow', taskCount: 1 }),
  ];
  for (const job of jobs) {
    rules.jobSubmitted(job, 0);
    rules.answerReceived(job.id, { status: 201, state: 'pending', now: 0 });
  }
  for (const id of ['j-1', 'j-3']) {
    rules.taskStarted(`${id}/0`, east, { now: SECOND });
    rules.taskEnded(`${id}/0`, true);
  }
  assert.deepEqual(rules.neglectedGroups(), [
    'j-2 of slow began too late',
    'team green: 0 of 1 done',
    'largest of slow: 0 of 1 done',
  ]);
  for (let i = 0; i < 4; i++) {
    rules.taskStarted(`j-2/${i}`, east, { now: 241 * SECOND });
    rules.taskEnded(`j-2/${i}`, true);
  }
  assert.deepEqual(rules.neglectedGroups(), ['j-2 of slow began too late']);
});
