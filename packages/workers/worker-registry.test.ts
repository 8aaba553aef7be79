/** Which placements count as ended, which commands workers get, and whose heartbeats count, seen through the registry. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type MachineRow, Ledger, type LiveJob, type StartGroup } from '#cluster';
import { SECOND, type Heartbeat } from '#wire';
import { sampleJob } from '#testkit';
import { withDrift } from './worker-timeouts.js';
import { attemptKey } from './tracked-worker.js';
import { WorkerRegistry } from './worker-registry.js';

const LIMITS = { heartbeatInterval: 2 * SECOND, workerLease: 10 * SECOND, cancellationDeadline: 30 * SECOND };
const NOW = 100 * SECOND;
const OWNERS = new Map([[0, { member: 'a', nonce: 'x', revision: 9, fencingToken: 5 }]]);
/** The attempt that the first record of shard 0 makes. */
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

/** One task, the first attempt of j-1/0, recorded for incarnation 1 of the worker on n-1. */
function createScenario(): { workers: WorkerRegistry; ledger: Ledger; jobs: Map<string, LiveJob> } {
  const ledger = new Ledger();
  ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines: [['n-1', 'small', 'east', false, 0, 0]] });
  ledger.apply(0, {
    sequence: 1,
    recordedAtMs: 0,
    starts: [{ job: 'j-1', team: 'blue', image: 'i', need: [2, 0, 4], tasks: [[0, 'n-1', 1]] }],
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

test('a start whose answer may be on its way does not count as undelivered when its job is cancelled', () => {
  const { workers, ledger, jobs } = createScenario();
  workers.onHeartbeat(heartbeat(), NOW);
  assert.equal(workers.commands('n-1', { ledger, jobs, allowsStarts: true })[0]?.kind, 'start');
  jobs.clear();
  assert.deepEqual(workers.findCompletions(ledger, jobs, NOW + 1), []);
  // The next heartbeat shows that the answer never took effect, and from now on it can't.
  workers.onHeartbeat(heartbeat({ sequence: 2 }), NOW + 2);
  assert.equal(workers.findCompletions(ledger, jobs, NOW + 3)[0]?.outcome, 'undelivered');
  assert.deepEqual(workers.commands('n-1', { ledger, jobs, allowsStarts: true }), []);
});

test('absence proves nothing while the worker may still obey an earlier owner', () => {
  const { workers, ledger, jobs } = createScenario();
  jobs.clear();
  workers.onHeartbeat(heartbeat({ fencingToken: 4 }), NOW);
  assert.deepEqual(workers.findCompletions(ledger, jobs, NOW), []);
});

test('a newer incarnation ends what was started for an older one, an older heartbeat changes nothing', () => {
  const { workers, ledger, jobs } = createScenario();
  assert.ok(workers.onHeartbeat(heartbeat({ incarnation: 2 }), NOW));
  assert.equal(workers.findCompletions(ledger, jobs, NOW)[0]?.outcome, 'lost');
  assert.deepEqual(workers.commands('n-1', { ledger, jobs, allowsStarts: true }), []);
  assert.ok(!workers.onHeartbeat(heartbeat({ incarnation: 1, sequence: 99, tasks: running() }), NOW + 1));
});

test('a task is forgotten only after its completion is in the log, and stopped if the log does not know it', () => {
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

test('a lease counts as expired only when no owner, past or present, can have renewed it', () => {
  const { workers, ledger, jobs } = createScenario();
  workers.onHeartbeat(heartbeat({ fencingToken: 4, tasks: running() }), NOW);
  workers.onResponseSent('n-1', NOW);
  // This worker may not have seen our answer and may follow an earlier owner until that one's bound.
  const earlierOwners = NOW + withDrift(LIMITS.cancellationDeadline);
  assert.deepEqual(workers.findCompletions(ledger, jobs, earlierOwners - 1), []);
  assert.equal(workers.findCompletions(ledger, jobs, earlierOwners + SECOND)[0]?.outcome, 'lost');
});

test('a machine without heartbeats since a change of owner keeps its tasks until the old owner must have stopped', () => {
  const { workers, ledger, jobs } = createScenario();
  assert.deepEqual(workers.findCompletions(ledger, jobs, NOW + LIMITS.cancellationDeadline), []);
  assert.equal(
    workers.findCompletions(ledger, jobs, NOW + withDrift(LIMITS.cancellationDeadline) + 1)[0]?.outcome,
    'lost',
  );
});

test('after a transfer, heartbeats that the last owner processed are ignored, however late they arrive', () => {
  const { ledger, jobs } = createScenario();
  ledger.apply('lead', { sequence: 2, recordedAtMs: 0, transferTargets: [['n-1', 1]] });
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, releases: [['n-1', [1, 8]]] });
  ledger.apply(1, { sequence: 1, recordedAtMs: 0, acquisitions: ['n-1'] });
  const workers = new WorkerRegistry(LIMITS);
  const owners = new Map([[1, { member: 'b', nonce: 'y', revision: 4, fencingToken: 5 }]]);
  workers.syncOwnership({ ledger, owners, fencingToken: 5, now: NOW });
  jobs.clear();
  // Held back on its way to this node since before the start that the last owner sent with its answer.
  assert.ok(!workers.onHeartbeat(heartbeat({ sequence: 7 }), NOW));
  assert.deepEqual(workers.findCompletions(ledger, jobs, NOW), []);
  assert.ok(workers.onHeartbeat(heartbeat({ sequence: 9 }), NOW));
  assert.equal(workers.findCompletions(ledger, jobs, NOW)[0]?.outcome, 'undelivered');
});

test('how long a task has run is known only to an owner that saw it start running', () => {
  const { workers } = createScenario();
  workers.onHeartbeat(heartbeat({ tasks: running() }), NOW);
  workers.onHeartbeat(heartbeat({ sequence: 2, tasks: running() }), NOW + SECOND);
  assert.equal(workers.trackedWorkers.get('n-1')?.runningSince.get(attemptKey('j-1/0', ATTEMPT)), null);
  const later = createScenario().workers;
  later.onHeartbeat(heartbeat(), NOW);
  later.onHeartbeat(heartbeat({ sequence: 2, tasks: running() }), NOW + SECOND);
  assert.equal(later.trackedWorkers.get('n-1')?.runningSince.get(attemptKey('j-1/0', ATTEMPT)), NOW + SECOND);
});

test('a worker whose next heartbeat skips a sequence number did not get its answer', () => {
  const { workers } = createScenario();
  const unreachable = (): boolean => workers.trackedWorkers.get('n-1')?.unreachableSince !== null;
  workers.onHeartbeat(heartbeat(), NOW);
  workers.onResponseSent('n-1', NOW);
  workers.onHeartbeat(heartbeat({ sequence: 2 }), NOW + SECOND);
  assert.equal(unreachable(), false);
  workers.onResponseSent('n-1', NOW + SECOND);
  workers.onHeartbeat(heartbeat({ sequence: 5 }), NOW + 15 * SECOND);
  assert.equal(unreachable(), true);
  // A heartbeat that was not answered says nothing new; the next number does.
  workers.onHeartbeat(heartbeat({ sequence: 7 }), NOW + 16 * SECOND);
  assert.equal(unreachable(), true);
  workers.onResponseSent('n-1', NOW + 16 * SECOND);
  workers.onHeartbeat(heartbeat({ sequence: 8 }), NOW + 17 * SECOND);
  assert.equal(unreachable(), false);
});

/** A gang of two, one task on n-1, the other on n-2; `placed` says which of them are in the log. */
function createGangScenario(placed: readonly [number, string][]): ReturnType<typeof createScenario> {
  const ledger = new Ledger();
  const machines = ['n-1', 'n-2'].map((host): MachineRow => [host, 'small', 'east', false, 0, 0]);
  ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines });
  const tasks = placed.map(([index, host]): StartGroup['tasks'][number] => [index, host, 1]);
  const gang = { attempt: ATTEMPT, size: 2 };
  const starts = [{ job: 'j-1', team: 'blue', image: 'i', need: [2, 0, 4], gang, tasks }] as StartGroup[];
  ledger.apply(0, { sequence: 1, recordedAtMs: 0, starts });
  const workers = new WorkerRegistry(LIMITS);
  workers.syncOwnership({ ledger, owners: OWNERS, fencingToken: 5, now: NOW });
  const spec = sampleJob('j-1', { shape: 'gang', taskCount: 2 });
  return { workers, ledger, jobs: new Map([['j-1', { spec, acceptedAtMs: 0, acceptedRevision: 1 }]]) };
}

test('no task of a gang is started before all of them are placed', () => {
  const part = createGangScenario([[0, 'n-1']]);
  part.workers.onHeartbeat(heartbeat(), NOW);
  assert.deepEqual(part.workers.commands('n-1', { ...part, allowsStarts: true }), []);
  const whole = createGangScenario([
    [0, 'n-1'],
    [1, 'n-2'],
  ]);
  whole.workers.onHeartbeat(heartbeat(), NOW);
  assert.equal(whole.workers.commands('n-1', { ...whole, allowsStarts: true })[0]?.kind, 'start');
});

// A late commit may place the other task after the completion of this one was found and before it is recorded.
test('a task of a gang that was found undelivered is not started any more, even if the gang becomes complete', () => {
  const { workers, ledger, jobs } = createGangScenario([[0, 'n-1']]);
  workers.onHeartbeat(heartbeat(), NOW);
  assert.equal(workers.findCompletions(ledger, jobs, NOW + 1)[0]?.outcome, 'undelivered');
  const gang = { attempt: ATTEMPT, size: 2 };
  const late = { job: 'j-1', team: 'blue', image: 'i', need: [2, 0, 4], gang, tasks: [[1, 'n-2', 1]] };
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, starts: [late as StartGroup] });
  workers.onHeartbeat(heartbeat({ sequence: 2 }), NOW + 2);
  assert.deepEqual(workers.commands('n-1', { ledger, jobs, allowsStarts: true }), []);
});

test('the rest of a gang that lost a task is stopped, but a task that saves is left alone', () => {
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

test('a gang that did not gather, or lost a task, counts as stopped, not as failed', () => {
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
