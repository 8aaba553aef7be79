import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type MachineRow, Ledger, type LiveJob, type StartGroup } from '#cluster';
import { SECOND, type Heartbeat } from '#wire';
import { sampleJob } from '#testkit';
import { renewalBound, withDrift } from './worker-timeouts.js';
import { attemptKey } from './tracked-worker.js';
import { WorkerRegistry } from './worker-registry.js';

const LIMITS = { heartbeatInterval: 2 * SECOND, workerLease: 10 * SECOND, cancellationDeadline: 30 * SECOND };
const NOW = 100 * SECOND;
const OWNERS = new Map([[0, { member: 'a', nonce: 'x', revision: 9, fencingToken: 5 }]]);
/** The attempt that the first record of share 0 makes. */
const TRY = 1024;

function report(change: Partial<Heartbeat> = {}): Heartbeat {
  return {
    ...{ host: 'n-1', address: '10.1.0.1:9', machineType: 'small', zone: 'east', spot: false },
    ...{ incarnation: 1, sequence: 1, fencingToken: 5, spotNoticeS: null, tasks: [] },
    ...change,
  };
}

/** One task, j-1/0 attempt 1, recorded for session 1 of n-1. */
function scene(): { workers: WorkerRegistry; ledger: Ledger; jobs: Map<string, LiveJob> } {
  const ledger = new Ledger();
  ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines: [['n-1', 'small', 'east', false, 0, 0]] });
  ledger.apply(0, {
    sequence: 1,
    recordedAtMs: 0,
    starts: [{ job: 'j-1', team: 'blue', image: 'i', need: [2, 0, 4], tasks: [[0, 'n-1', 1]] }],
  });
  const workers = new WorkerRegistry(LIMITS);
  workers.syncOwnership(ledger, OWNERS, 5, NOW);
  return {
    workers,
    ledger,
    jobs: new Map([['j-1', { spec: sampleJob('j-1'), acceptedAtMs: 0, acceptedRevision: 1 }]]),
  };
}

const running = (Try = TRY): Heartbeat['tasks'] => [{ task: 'j-1/0', attempt: Try, state: 'running' }];

test('a start whose answer may be on its way is not held undelivered when its job is cancelled', () => {
  const { workers, ledger, jobs } = scene();
  workers.onHeartbeat(report(), NOW);
  assert.equal(workers.commands('n-1', ledger, jobs, true)[0]?.kind, 'start');
  jobs.clear();
  assert.deepEqual(workers.findCompletions(ledger, jobs, NOW + 1), []);
  // The next report shows that the answer never took effect, and from now on it can't.
  workers.onHeartbeat(report({ sequence: 2 }), NOW + 2);
  assert.equal(workers.findCompletions(ledger, jobs, NOW + 3)[0]?.outcome, 'undelivered');
  assert.deepEqual(workers.commands('n-1', ledger, jobs, true), []);
});

test('absence proves nothing while the worker may still obey an earlier owner', () => {
  const { workers, ledger, jobs } = scene();
  jobs.clear();
  workers.onHeartbeat(report({ fencingToken: 4 }), NOW);
  assert.deepEqual(workers.findCompletions(ledger, jobs, NOW), []);
});

test('a newer session ends what was started for an older one, an older report changes nothing', () => {
  const { workers, ledger, jobs } = scene();
  assert.ok(workers.onHeartbeat(report({ incarnation: 2 }), NOW));
  assert.equal(workers.findCompletions(ledger, jobs, NOW)[0]?.outcome, 'lost');
  assert.deepEqual(workers.commands('n-1', ledger, jobs, true), []);
  assert.ok(!workers.onHeartbeat(report({ incarnation: 1, sequence: 99, tasks: running() }), NOW + 1));
});

test('reap only after the end is in the log, halt what the log does not know', () => {
  const { workers, ledger, jobs } = scene();
  const exited: Heartbeat['tasks'] = [{ task: 'j-1/0', attempt: TRY, state: 'exited', cause: 'done' }];
  workers.onHeartbeat(report({ tasks: exited }), NOW);
  assert.deepEqual(workers.commands('n-1', ledger, jobs, true), []);
  const completion = workers.findCompletions(ledger, jobs, NOW)[0];
  assert.equal(completion?.outcome, 'done');
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, completions: [['j-1', 0, TRY, 'done']] });
  assert.deepEqual(workers.commands('n-1', ledger, jobs, true), [
    { kind: 'forget', task: 'j-1/0', attempt: TRY },
  ]);
  workers.onHeartbeat(report({ sequence: 2, tasks: running(7) }), NOW);
  assert.equal(workers.commands('n-1', ledger, jobs, true)[0]?.kind, 'stop');
});

test('a lease counts as over only when no one entitled can have renewed it', () => {
  const { workers, ledger, jobs } = scene();
  workers.onHeartbeat(report({ fencingToken: 4, tasks: running() }), NOW);
  workers.onResponseSent('n-1', NOW);
  // This worker may not have seen our answer and may follow an earlier owner until that one's bound.
  const byOthers = NOW + withDrift(LIMITS.cancellationDeadline);
  assert.deepEqual(workers.findCompletions(ledger, jobs, byOthers - 1), []);
  assert.equal(workers.findCompletions(ledger, jobs, byOthers + SECOND)[0]?.outcome, 'lost');
});

test('a machine not heard of since a change of owner keeps its tasks until the old owner must be silent', () => {
  const { workers, ledger, jobs } = scene();
  assert.deepEqual(workers.findCompletions(ledger, jobs, NOW + LIMITS.cancellationDeadline), []);
  assert.equal(
    workers.findCompletions(ledger, jobs, NOW + withDrift(LIMITS.cancellationDeadline) + 1)[0]?.outcome,
    'lost',
  );
});

test('leases are renewed without the state service only as long as a cancellation elsewhere still holds', () => {
  const bound = renewalBound(LIMITS);
  assert.ok(bound > 0);
  assert.ok(bound * 1.001 + LIMITS.workerLease * 1.001 < LIMITS.cancellationDeadline);
});

test('after a move, reports that the last owner had are no news, however late they come', () => {
  const { ledger, jobs } = scene();
  ledger.apply('lead', { sequence: 2, recordedAtMs: 0, transferTargets: [['n-1', 1]] });
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, releases: [['n-1', [1, 8]]] });
  ledger.apply(1, { sequence: 1, recordedAtMs: 0, acquisitions: ['n-1'] });
  const workers = new WorkerRegistry(LIMITS);
  workers.syncOwnership(
    ledger,
    new Map([[1, { member: 'b', nonce: 'y', revision: 4, fencingToken: 5 }]]),
    5,
    NOW,
  );
  jobs.clear();
  // Held back on its way to this node since before the start that the last owner sent with its answer.
  assert.ok(!workers.onHeartbeat(report({ sequence: 7 }), NOW));
  assert.deepEqual(workers.findCompletions(ledger, jobs, NOW), []);
  assert.ok(workers.onHeartbeat(report({ sequence: 9 }), NOW));
  assert.equal(workers.findCompletions(ledger, jobs, NOW)[0]?.outcome, 'undelivered');
});

test('how long a task has run is known only to an owner that saw it begin', () => {
  const { workers } = scene();
  workers.onHeartbeat(report({ tasks: running() }), NOW);
  workers.onHeartbeat(report({ sequence: 2, tasks: running() }), NOW + SECOND);
  assert.equal(workers.trackedWorkers.get('n-1')?.runningSince.get(attemptKey('j-1/0', TRY)), null);
  const later = scene().workers;
  later.onHeartbeat(report(), NOW);
  later.onHeartbeat(report({ sequence: 2, tasks: running() }), NOW + SECOND);
  assert.equal(later.trackedWorkers.get('n-1')?.runningSince.get(attemptKey('j-1/0', TRY)), NOW + SECOND);
});

test('a worker whose next report is not the next of its numbers did not get its answer', () => {
  const { workers } = scene();
  const unreachable = (): boolean => workers.trackedWorkers.get('n-1')?.unreachableSince !== null;
  workers.onHeartbeat(report(), NOW);
  workers.onResponseSent('n-1', NOW);
  workers.onHeartbeat(report({ sequence: 2 }), NOW + SECOND);
  assert.equal(unreachable(), false);
  workers.onResponseSent('n-1', NOW + SECOND);
  workers.onHeartbeat(report({ sequence: 5 }), NOW + 15 * SECOND);
  assert.equal(unreachable(), true);
  // Silent reports say nothing new; the next number does.
  workers.onHeartbeat(report({ sequence: 7 }), NOW + 16 * SECOND);
  assert.equal(unreachable(), true);
  workers.onResponseSent('n-1', NOW + 16 * SECOND);
  workers.onHeartbeat(report({ sequence: 8 }), NOW + 17 * SECOND);
  assert.equal(unreachable(), false);
});

/** A gang of two, one task on n-1, the other on n-2; `parts` says which of them are in the log. */
function gangScene(parts: readonly [number, string][]): ReturnType<typeof scene> {
  const ledger = new Ledger();
  const machines = ['n-1', 'n-2'].map((host): MachineRow => [host, 'small', 'east', false, 0, 0]);
  ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines });
  const tasks = parts.map(([index, host]): StartGroup['tasks'][number] => [index, host, 1]);
  const gang = { attempt: TRY, size: 2 };
  const starts = [{ job: 'j-1', team: 'blue', image: 'i', need: [2, 0, 4], gang, tasks }] as StartGroup[];
  ledger.apply(0, { sequence: 1, recordedAtMs: 0, starts });
  const workers = new WorkerRegistry(LIMITS);
  workers.syncOwnership(ledger, OWNERS, 5, NOW);
  const spec = sampleJob('j-1', { shape: 'gang', taskCount: 2 });
  return { workers, ledger, jobs: new Map([['j-1', { spec, acceptedAtMs: 0, acceptedRevision: 1 }]]) };
}

test('no task of a gang is started before all of them have their place', () => {
  const part = gangScene([[0, 'n-1']]);
  part.workers.onHeartbeat(report(), NOW);
  assert.deepEqual(part.workers.commands('n-1', part.ledger, part.jobs, true), []);
  const whole = gangScene([
    [0, 'n-1'],
    [1, 'n-2'],
  ]);
  whole.workers.onHeartbeat(report(), NOW);
  assert.equal(whole.workers.commands('n-1', whole.ledger, whole.jobs, true)[0]?.kind, 'start');
});

// A late commit may bring the other part after the end of this one was decided and before it is recorded.
test('a part of a gang that was found undelivered is not started any more, even if the gang becomes whole', () => {
  const { workers, ledger, jobs } = gangScene([[0, 'n-1']]);
  workers.onHeartbeat(report(), NOW);
  assert.equal(workers.findCompletions(ledger, jobs, NOW + 1)[0]?.outcome, 'undelivered');
  const gang = { attempt: TRY, size: 2 };
  const late = { job: 'j-1', team: 'blue', image: 'i', need: [2, 0, 4], gang, tasks: [[1, 'n-2', 1]] };
  ledger.apply(0, { sequence: 2, recordedAtMs: 0, starts: [late as StartGroup] });
  workers.onHeartbeat(report({ sequence: 2 }), NOW + 2);
  assert.deepEqual(workers.commands('n-1', ledger, jobs, true), []);
});

test('what is left of a gang is told to stop, but one that saves is left alone', () => {
  for (const [state, expected] of [
    ['gathering', 1],
    ['running', 1],
    ['saving', 0],
  ] as const) {
    const { workers, ledger, jobs } = gangScene([
      [0, 'n-1'],
      [1, 'n-2'],
    ]);
    workers.onHeartbeat(report({ tasks: [{ task: 'j-1/0', attempt: TRY, state }] }), NOW);
    assert.deepEqual(workers.commands('n-1', ledger, jobs, true), []);
    ledger.apply(0, { sequence: 2, recordedAtMs: 0, completions: [['j-1', 1, TRY, 'lost']] });
    const commands = workers.commands('n-1', ledger, jobs, true);
    assert.equal(commands.filter((c) => c.kind === 'stop').length, expected, state);
  }
});

test('a gang that did not come together, or lost a task, blames neither its machines nor its job', () => {
  for (const cause of ['gang_incomplete', 'peer_gone'] as const) {
    const { workers, ledger, jobs } = gangScene([
      [0, 'n-1'],
      [1, 'n-2'],
    ]);
    const exited: Heartbeat['tasks'] = [{ task: 'j-1/0', attempt: TRY, state: 'exited', cause }];
    workers.onHeartbeat(report({ tasks: exited }), NOW);
    assert.equal(workers.findCompletions(ledger, jobs, NOW)[0]?.outcome, 'stopped');
  }
});
