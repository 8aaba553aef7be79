/** Tests of the worker registry: task completions, commands for workers, and which heartbeats are processed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type MachineRow, Ledger, type LiveJob, type StartGroup } from '#cluster';
import { type Heartbeat, MAX_COMMANDS_PER_RESPONSE, SECOND } from '#wire';
import { sampleJob } from '#testkit';
import { withDriftMargin } from './worker-timeouts.js';
import { attemptKey } from './tracked-worker.js';
import { WorkerRegistry } from './worker-registry.js';

const LIMITS = { heartbeatInterval: 2 * SECOND, workerLease: 10 * SECOND, cancellationDeadline: 30 * SECOND };
const NOW = 100 * SECOND;
const OWNERS = new Map([[0, { member: 'a', nonce: 'x', revision: 9, fencingToken: 5 }]]);
/** The attempt number that the first record of shard 0 assigns to its starts. */
const ATTEMPT = 1024;

function heartbeat(change: Partial<Heartbeat> = {}): Heartbeat {
  return {
    host: 'n-1',
    address: '10.1.0.1:9',
    machineType: 'small',
    zone: 'east',
    spot: false,
    incarnation: 1,
    sequence: 1,
    fencingToken: 5,
    spotNoticeS: null,
    tasks: [],
    ...change,
  };
}

/** Creates a ledger with one placement: the first attempt of task j-1/0, for incarnation 1 of the worker on n-1. */
function createScenario(): { workers: WorkerRegistry; ledger: Ledger; jobs: Map<string, LiveJob> } {
  const ledger = new Ledger();
  ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines: [['n-1', 'small', 'east', false, 0, 0]] });
  ledger.apply(0, {
    sequence: 1,
    recordedAtMs: 0,
    starts: [{ job: 'j-1', team: 'blue', image: 'i', taskResources: [2, 0, 4], tasks: [[0, 'n-1', 1]] }],
  });
  const workers = new WorkerRegistry(LIMITS);
  workers.syncOwnership({ ledger, owners: OWNERS, fencingToken: 5, now: NOW });
  return {
    workers,
    ledger,
    jobs: new Map([['j-1', { spec: sampleJob('j-1'), acceptedAtMs: 0, acceptedRevision: 1 }]]),
  };
}

const running = (attempt = ATTEMPT): Heartbeat['tasks'] => [{ task: 'j-1/0', attempt, state: 'running' }];

test('does not count a start as undelivered while the heartbeat response that carries it may still arrive', () => {
  const { workers, ledger, jobs } = createScenario();
  workers.onHeartbeat(heartbeat(), NOW);
  assert.equal(workers.commands('n-1', { ledger, jobs, allowsStarts: true })[0]?.kind, 'start');
  jobs.clear();
  assert.deepEqual(workers.findCompletions(ledger, jobs, NOW + 1), []);
  // The next heartbeat shows that the response did not take effect. The worker drops the response if it arrives now.
  workers.onHeartbeat(heartbeat({ sequence: 2 }), NOW + 2);
  assert.equal(workers.findCompletions(ledger, jobs, NOW + 3)[0]?.outcome, 'undelivered');
  assert.deepEqual(workers.commands('n-1', { ledger, jobs, allowsStarts: true }), []);
});

test('does not count an absent task as ended while the worker may still accept responses of an earlier owner', () => {
  const { workers, ledger, jobs } = createScenario();
  jobs.clear();
  workers.onHeartbeat(heartbeat({ fencingToken: 4 }), NOW);
  assert.deepEqual(workers.findCompletions(ledger, jobs, NOW), []);
});

test('a newer incarnation ends the placements of an older one, and an older heartbeat is ignored', () => {
  const { workers, ledger, jobs } = createScenario();
  assert.ok(workers.onHeartbeat(heartbeat({ incarnation: 2 }), NOW));
  assert.equal(workers.findCompletions(ledger, jobs, NOW)[0]?.outcome, 'lost');
  assert.deepEqual(workers.commands('n-1', { ledger, jobs, allowsStarts: true }), []);
  assert.ok(!workers.onHeartbeat(heartbeat({ incarnation: 1, sequence: 99, tasks: running() }), NOW + 1));
});

test('forgets a task only after its completion is logged, and stops an attempt that is not in the log', () => {
  const { workers, ledger, jobs } = createScenario();
  const exited: Heartbeat['tasks'] = [{ task: 'j-1/0', attempt: ATTEMPT, state: 'exited', cause: 'done' }];
  workers.onHeartbeat(heartbeat({ tasks: exited }), NOW);
  assert.deepEqual(workers.commands('n-1', { ledger, jobs, allowsStarts: true }), []);
  const completion = workers.findCompletions(ledger, jobs, NOW)[0];
  assert.equal(completion?.outcome, 'done');
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, completions: [['j-1', 0, ATTEMPT, 'done']] });
  assert.deepEqual(workers.commands('n-1', { ledger, jobs, allowsStarts: true }), [
    { kind: 'forget', task: 'j-1/0', attempt: ATTEMPT },
  ]);
  workers.onHeartbeat(heartbeat({ sequence: 2, tasks: running(7) }), NOW);
  assert.equal(workers.commands('n-1', { ledger, jobs, allowsStarts: true })[0]?.kind, 'stop');
});

test('a lease counts as expired only when neither this owner nor an earlier one can have renewed it', () => {
  const { workers, ledger, jobs } = createScenario();
  workers.onHeartbeat(heartbeat({ fencingToken: 4, tasks: running() }), NOW);
  workers.onResponseSent('n-1', NOW);
  // The worker may not have received this owner's response. It may accept responses of an earlier owner until that
  // owner's renewal bound.
  const earlierOwnerBound = NOW + withDriftMargin(LIMITS.cancellationDeadline);
  assert.deepEqual(workers.findCompletions(ledger, jobs, earlierOwnerBound - 1), []);
  assert.equal(workers.findCompletions(ledger, jobs, earlierOwnerBound + SECOND)[0]?.outcome, 'lost');
});

test('a machine without heartbeats keeps its tasks until any lease from the previous owner has expired', () => {
  const { workers, ledger, jobs } = createScenario();
  assert.deepEqual(workers.findCompletions(ledger, jobs, NOW + LIMITS.cancellationDeadline), []);
  assert.equal(
    workers.findCompletions(ledger, jobs, NOW + withDriftMargin(LIMITS.cancellationDeadline) + 1)[0]?.outcome,
    'lost',
  );
});

test('after a transfer, ignores late heartbeats that are older than the last one the previous owner processed', () => {
  const { ledger, jobs } = createScenario();
  const workers = transferTo1(ledger, [1, 8]);
  jobs.clear();
  // This heartbeat was delayed. It was sent before the previous owner's response with the start command.
  assert.ok(!workers.onHeartbeat(heartbeat({ sequence: 7 }), NOW));
  assert.deepEqual(workers.findCompletions(ledger, jobs, NOW), []);
  assert.ok(workers.onHeartbeat(heartbeat({ sequence: 9 }), NOW));
  assert.equal(workers.findCompletions(ledger, jobs, NOW)[0]?.outcome, 'undelivered');
});

/** Transfers the machine of the scenario to shard 1 and returns the registry of its owner. */
function transferTo1(ledger: Ledger, released: [number, number] | null): WorkerRegistry {
  ledger.apply('lead', { sequence: 2, recordedAtMs: 0, transferTargets: [['n-1', 1]] });
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, releases: [['n-1', released]] });
  ledger.apply(1, { sequence: 1, recordedAtMs: 0, acquisitions: ['n-1'] });
  const workers = new WorkerRegistry(LIMITS);
  const owners = new Map([[1, { member: 'b', nonce: 'y', revision: 4, fencingToken: 5 }]]);
  workers.syncOwnership({ ledger, owners, fencingToken: 5, now: NOW });
  return workers;
}

// Guards against a proof by a heartbeat that is older than a response of an owner before the last one.
test('a release records the newest heartbeat of all owners so far, and never more than is known', () => {
  const { workers } = createScenario();
  assert.deepEqual(workers.releasePosition('n-1'), { incarnation: 0, sequence: 0 });
  workers.onHeartbeat(heartbeat({ sequence: 3 }), NOW);
  assert.deepEqual(workers.releasePosition('n-1'), { incarnation: 1, sequence: 3 });
  const secondOwner = transferTo1(createScenario().ledger, [1, 8]);
  assert.deepEqual(secondOwner.releasePosition('n-1'), { incarnation: 1, sequence: 8 });
  // A release without a position, by an older version: the worker's token shows when nothing earlier can arrive.
  const afterOldRelease = transferTo1(createScenario().ledger, null);
  assert.equal(afterOldRelease.releasePosition('n-1'), null);
  afterOldRelease.onHeartbeat(heartbeat({ sequence: 9 }), NOW);
  assert.equal(afterOldRelease.releasePosition('n-1'), null);
  afterOldRelease.onHeartbeat(heartbeat({ sequence: 10, fencingToken: 6 }), NOW);
  assert.deepEqual(afterOldRelease.releasePosition('n-1'), { incarnation: 1, sequence: 10 });
});

test('a machine that never reported to its former owner needs no later token, unless the release told nothing', () => {
  for (const [released, outcome] of [
    [[0, 0], 'undelivered'],
    [null, undefined],
  ] as const) {
    const { ledger, jobs } = createScenario();
    jobs.clear();
    const workers = transferTo1(ledger, released && [...released]);
    workers.onHeartbeat(heartbeat(), NOW);
    assert.equal(workers.findCompletions(ledger, jobs, NOW)[0]?.outcome, outcome);
  }
});

// Guards against a proof by a late heartbeat after the node has read the state anew, and forgotten what it answered.
test('ignores heartbeats older than those that it processed before it read the state anew', () => {
  const { workers, ledger, jobs } = createScenario();
  workers.onHeartbeat(heartbeat({ sequence: 5 }), NOW);
  assert.equal(workers.commands('n-1', { ledger, jobs, allowsStarts: true })[0]?.kind, 'start');
  jobs.clear();
  workers.syncOwnership({ ledger: new Ledger(), owners: new Map(), fencingToken: 5, now: NOW });
  workers.syncOwnership({ ledger, owners: OWNERS, fencingToken: 5, now: NOW });
  assert.ok(!workers.onHeartbeat(heartbeat({ sequence: 4 }), NOW));
  assert.deepEqual(workers.findCompletions(ledger, jobs, NOW), []);
  assert.deepEqual(workers.releasePosition('n-1'), { incarnation: 1, sequence: 5 });
});

test('measures the run time of a task only if this owner saw it start running', () => {
  const { workers } = createScenario();
  workers.onHeartbeat(heartbeat({ tasks: running() }), NOW);
  workers.onHeartbeat(heartbeat({ sequence: 2, tasks: running() }), NOW + SECOND);
  assert.equal(workers.trackedWorkers.get('n-1')?.runningSince.get(attemptKey('j-1/0', ATTEMPT)), null);
  const other = createScenario().workers;
  other.onHeartbeat(heartbeat(), NOW);
  other.onHeartbeat(heartbeat({ sequence: 2, tasks: running() }), NOW + SECOND);
  assert.equal(other.trackedWorkers.get('n-1')?.runningSince.get(attemptKey('j-1/0', ATTEMPT)), NOW + SECOND);
});

test('a worker whose next heartbeat skips a sequence number counts as unreachable by responses', () => {
  const { workers } = createScenario();
  const unreachable = (): boolean => workers.trackedWorkers.get('n-1')?.unreachableSince !== null;
  workers.onHeartbeat(heartbeat(), NOW);
  workers.onResponseSent('n-1', NOW);
  workers.onHeartbeat(heartbeat({ sequence: 2 }), NOW + SECOND);
  assert.equal(unreachable(), false);
  workers.onResponseSent('n-1', NOW + SECOND);
  workers.onHeartbeat(heartbeat({ sequence: 5 }), NOW + 15 * SECOND);
  assert.equal(unreachable(), true);
  // A heartbeat after an unanswered one gives no new information. The next number after a response does.
  workers.onHeartbeat(heartbeat({ sequence: 7 }), NOW + 16 * SECOND);
  assert.equal(unreachable(), true);
  workers.onResponseSent('n-1', NOW + 16 * SECOND);
  workers.onHeartbeat(heartbeat({ sequence: 8 }), NOW + 17 * SECOND);
  assert.equal(unreachable(), false);
});

/** Creates a gang of two tasks. `placed` lists the index and the host of each task that is in the log. */
function createGangScenario(placed: readonly [number, string][]): ReturnType<typeof createScenario> {
  const ledger = new Ledger();
  const machines = ['n-1', 'n-2'].map((host): MachineRow => [host, 'small', 'east', false, 0, 0]);
  ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines });
  const tasks = placed.map(([index, host]): StartGroup['tasks'][number] => [index, host, 1]);
  const gang = { attempt: ATTEMPT, size: 2 };
  const starts = [
    { job: 'j-1', team: 'blue', image: 'i', taskResources: [2, 0, 4], gang, tasks },
  ] as StartGroup[];
  ledger.apply(0, { sequence: 1, recordedAtMs: 0, starts });
  const workers = new WorkerRegistry(LIMITS);
  workers.syncOwnership({ ledger, owners: OWNERS, fencingToken: 5, now: NOW });
  const spec = sampleJob('j-1', { shape: 'gang', taskCount: 2 });
  return { workers, ledger, jobs: new Map([['j-1', { spec, acceptedAtMs: 0, acceptedRevision: 1 }]]) };
}

test('starts no task of a gang before all of its tasks are placed', () => {
  const incomplete = createGangScenario([[0, 'n-1']]);
  incomplete.workers.onHeartbeat(heartbeat(), NOW);
  assert.deepEqual(incomplete.workers.commands('n-1', { ...incomplete, allowsStarts: true }), []);
  const complete = createGangScenario([
    [0, 'n-1'],
    [1, 'n-2'],
  ]);
  complete.workers.onHeartbeat(heartbeat(), NOW);
  assert.equal(complete.workers.commands('n-1', { ...complete, allowsStarts: true })[0]?.kind, 'start');
});

// A late commit may place the second task after the completion of the first was found and before it is recorded.
// Without the stop request the gang would then be complete, and the first task would start although it is recorded as
// ended.
test('never starts a gang task that was found undelivered, even if the gang becomes complete', () => {
  const { workers, ledger, jobs } = createGangScenario([[0, 'n-1']]);
  workers.onHeartbeat(heartbeat(), NOW);
  assert.equal(workers.findCompletions(ledger, jobs, NOW + 1)[0]?.outcome, 'undelivered');
  const gang = { attempt: ATTEMPT, size: 2 };
  const lateStart = {
    job: 'j-1',
    team: 'blue',
    image: 'i',
    taskResources: [2, 0, 4],
    gang,
    tasks: [[1, 'n-2', 1]],
  };
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, starts: [lateStart as StartGroup] });
  workers.onHeartbeat(heartbeat({ sequence: 2 }), NOW + 2);
  assert.deepEqual(workers.commands('n-1', { ledger, jobs, allowsStarts: true }), []);
});

test('stops the remaining tasks of a gang that lost a task, except one that is saving a checkpoint', () => {
  for (const [state, expected] of [
    ['gathering', 1],
    ['running', 1],
    ['saving', 0],
  ] as const) {
    const { workers, ledger, jobs } = createGangScenario([
      [0, 'n-1'],
      [1, 'n-2'],
    ]);
    workers.onHeartbeat(heartbeat({ tasks: [{ task: 'j-1/0', attempt: ATTEMPT, state }] }), NOW);
    assert.deepEqual(workers.commands('n-1', { ledger, jobs, allowsStarts: true }), []);
    ledger.apply(0, { sequence: 2, recordedAtMs: 0, completions: [['j-1', 1, ATTEMPT, 'lost']] });
    const commands = workers.commands('n-1', { ledger, jobs, allowsStarts: true });
    assert.equal(commands.filter((c) => c.kind === 'stop').length, expected, state);
  }
});

test('a task of a gang that did not gather or lost a task counts as stopped, not as failed', () => {
  for (const cause of ['gang_incomplete', 'peer_gone'] as const) {
    const { workers, ledger, jobs } = createGangScenario([
      [0, 'n-1'],
      [1, 'n-2'],
    ]);
    const exited: Heartbeat['tasks'] = [{ task: 'j-1/0', attempt: ATTEMPT, state: 'exited', cause }];
    workers.onHeartbeat(heartbeat({ tasks: exited }), NOW);
    assert.equal(workers.findCompletions(ledger, jobs, NOW)[0]?.outcome, 'stopped');
  }
});

// Guards against a response that exceeds the protocol's limit of 64 KiB, which no worker needs to accept.
test('a response carries no more commands than fit into it, and the next one carries the others', () => {
  const { workers, ledger, jobs } = createScenario();
  const unknown: Heartbeat['tasks'] = [...Array(MAX_COMMANDS_PER_RESPONSE + 5).keys()].map((i) => {
    return { task: `j-9/${i}`, attempt: 1, state: 'exited', cause: 'done' };
  });
  workers.onHeartbeat(heartbeat({ tasks: unknown }), NOW);
  const commands = workers.commands('n-1', { ledger, jobs, allowsStarts: true });
  assert.equal(commands.length, MAX_COMMANDS_PER_RESPONSE);
  assert.ok(commands.every(({ kind }) => kind === 'forget'));
  workers.onHeartbeat(heartbeat({ sequence: 2, tasks: unknown.slice(commands.length) }), NOW + 1);
  const next = workers.commands('n-1', { ledger, jobs, allowsStarts: true });
  assert.deepEqual(
    next.map(({ kind }) => kind),
    ['forget', 'forget', 'forget', 'forget', 'forget', 'start'],
  );
});
