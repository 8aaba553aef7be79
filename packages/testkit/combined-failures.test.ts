import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FENCING_TOKEN_KEY, LEADER_KEY } from '#cluster';
import { encodeSubmission, type WireFields, isWireFields, type Micros, SECOND, type JobSpec } from '#wire';
import { InvariantViolation } from './invariants.js';
import { sampleJob } from './sample-job.js';
import { SAMPLE_TYPES } from './sample-settings.js';
import { SimCluster } from './sim-cluster.js';
import type { SimClusterOptions } from './sim-cluster-options.js';

/** The combined faults of `docs/combined-failures.md`: each test causes one and asserts that it did occur. */

const TEAMS = ['blue', 'green', 'red'].map((name) => ({ name, cpus: 8, cpusMax: 24, gpus: 0, gpusMax: 2 }));

function createCluster(options: SimClusterOptions): SimCluster {
  return new SimCluster({ ...options, settings: { teams: TEAMS, ...options.settings } });
}

/** Creates a cluster of three teams with one long job each, so that every node that owns a shard has work. */
async function createBusyCluster(options: SimClusterOptions): Promise<SimCluster> {
  const cluster = createCluster(options);
  cluster.clock.at(2 * SECOND, () => {
    TEAMS.forEach((team, i) => {
      cluster.submit(sampleJob(`j-${i}`, { team: team.name, taskCount: 10, estimateS: 200 }));
    });
  });
  await cluster.run(40 * SECOND);
  for (let i = 0; i < 3; i++)
    assert.ok(cluster.invariants.runningTasks(`j-${i}`).length > 0, `j-${i} doesn't run`);
  return cluster;
}

/** Returns the index of the node that holds the role with the given key. */
function holderOf(cluster: SimCluster, key: string): number {
  return Number(String(cluster.store.rows.get(key)?.value['Member']).slice('node-'.length));
}

/** Returns the leader, and a job that runs on machines whose workers send their heartbeats to it. */
function leaderWithRunningJob(cluster: SimCluster): { leader: number; job: string } {
  const leader = holderOf(cluster, LEADER_KEY);
  const job = ['j-0', 'j-1', 'j-2'].find((id) =>
    cluster.invariants.runningTasks(id).some(({ host }) => cluster.workers.get(host)?.nodeIndex === leader),
  );
  assert.ok(job !== undefined, "no job runs on the leader's machines");
  return { leader, job };
}

/** Returns the index of a node other than the given one. */
function otherThan(cluster: SimCluster, node: number): number {
  return (node + 1) % cluster.nodeCount;
}

/** Cancels the job at the given node, and asserts that the node confirms it within 1.5 s. */
async function cancelAndConfirm(cluster: SimCluster, job: string, node: number): Promise<void> {
  let status = 0;
  void cluster.cancelJob(job, node).then((s) => (status = s));
  for (let i = 0; i < 15 && status === 0; i++) await cluster.run(0.1 * SECOND);
  assert.equal(status, 200, 'the cancellation is not confirmed');
  assert.equal(cluster.lastStatuses.get(job), 'cancelled');
}

/**
 * Makes the state service refuse only the leader, cancels a job at another node, and then causes an outage for all
 * nodes. Asserts that the job stops although the old leader still answers workers when the outage begins.
 */
async function cancelBeforeOutage(
  seed: number,
  refusedS: number,
  options: Partial<SimClusterOptions> = {},
): Promise<void> {
  const cluster = await createBusyCluster({ seed, ...options });
  const { leader, job } = leaderWithRunningJob(cluster);
  cluster.store.refusedNodes.add(`node-${leader}`);
  await cluster.run(refusedS * SECOND);
  await cancelAndConfirm(cluster, job, otherThan(cluster, leader));
  cluster.store.setOutage(true);
  const before = cluster.heartbeatCount(leader);
  await cluster.run(4 * SECOND);
  assert.ok(cluster.heartbeatCount(leader) > before, 'no worker sends heartbeats to the old leader any more');
  assert.ok(
    cluster.invariants.runningTasks(job).length > 0,
    'its tasks ended before the renewal bound applied',
  );
  // Longer than cancel_s of these settings. The checker throws if a task stays on its machine for longer than cancel_s.
  await cluster.run(30 * SECOND);
  assert.deepEqual(cluster.invariants.runningTasks(job), []);
  const last = cluster.heartbeatCount(leader);
  await cluster.run(2 * SECOND);
  assert.equal(cluster.heartbeatCount(leader), last, 'the old leader still answers workers');
  cluster.store.setOutage(false);
  await cluster.run(3 * SECOND);
  cluster.store.refusedNodes.clear();
  await cluster.run(60 * SECOND);
  assert.equal(cluster.invariants.startsAfterConfirmation, 0);
}

test('a cancellation confirmed while the state service refuses the leader holds when an outage follows', async () => {
  for (const [seed, refusedS] of [
    [71, 0.1],
    [72, 0.5],
    [73, 1],
    [75, 1.5],
  ] as const) {
    await cancelBeforeOutage(seed, refusedS);
  }
});

test('with a renewal bound that is 10 s too wide the same combination violates ran_cancelled', async () => {
  // The controllers are configured with a cancellation deadline 10 s longer than the one promised to users, which
  // widens the renewal bound by 10 s.
  const widened = {
    settings: { cancellationDeadline: 35 * SECOND },
    promisedCancellationDeadline: 25 * SECOND,
  };
  await assert.rejects(
    cancelBeforeOutage(72, 1, widened),
    (cause) => cause instanceof InvariantViolation && cause.invariant === 'ran_cancelled',
  );
});

/** Submits one job for each team that ends within the test, and runs until all three have running tasks. */
async function startShortJobs(cluster: SimCluster, overrides: Partial<JobSpec> = {}): Promise<string[]> {
  const ids = TEAMS.map((_, i) => `j-1${i}`);
  ids.forEach((id, i) => {
    cluster.submit(sampleJob(id, { team: TEAMS[i]?.name ?? '', taskCount: 3, estimateS: 25, ...overrides }));
  });
  await cluster.run(35 * SECOND);
  for (const id of ids) assert.ok(cluster.invariants.runningTasks(id).length > 0, `${id} doesn't run`);
  return ids;
}

/**
 * Runs until all given jobs have ended, for `maxSeconds` at most. All faults have ended: from here on the checker
 * requires that no job is forgotten or left waiting.
 */
async function runUntilEnded(cluster: SimCluster, jobs: readonly string[], maxSeconds = 200): Promise<void> {
  cluster.invariants.faultsEnded(cluster.clock.time);
  for (let i = 0; i < maxSeconds; i++) {
    if (jobs.every((id) => ['done', 'cancelled'].includes(cluster.lastStatuses.get(id) ?? ''))) return;
    await cluster.run(SECOND);
  }
  assert.fail(`not ended in time: ${jobs.map((id) => `${id} ${cluster.lastStatuses.get(id)}`).join()}`);
}

/** Returns the hosts that run tasks of any of the jobs. */
function machinesOf(cluster: SimCluster, jobs: readonly string[]): string[] {
  return [...new Set(jobs.flatMap((id) => cluster.invariants.runningTasks(id).map(({ host }) => host)))];
}

/** Starts or stops refusing connections from a worker to all nodes. */
function setWorkerRefused(cluster: SimCluster, host: string, isRefused: boolean): void {
  for (let i = 0; i < cluster.nodeCount; i++) {
    if (isRefused) cluster.net.refusedLinks.add(`${host}>10.0.0.${i}:80`);
    else cluster.net.refusedLinks.delete(`${host}>10.0.0.${i}:80`);
  }
}

/** Kills the nodes and starts them again after the pause. */
async function restartNodes(cluster: SimCluster, nodes: readonly number[], pause: Micros): Promise<void> {
  for (const node of nodes) cluster.killNode(node);
  await cluster.run(pause);
  for (const node of nodes) cluster.startNode(node);
}

/** Waits up to 10 s for a leader other than the given node, and returns it. */
async function waitForOtherLeader(cluster: SimCluster, oldLeader: number): Promise<number> {
  for (let i = 0; i < 40; i++) {
    const leader = cluster.store.rows.has(LEADER_KEY) ? holderOf(cluster, LEADER_KEY) : oldLeader;
    if (leader !== oldLeader) return leader;
    await cluster.run(SECOND / 4);
  }
  return assert.fail('no other node became the leader');
}

test('a leader crashes while its machines are unreachable or receive no heartbeat responses', async () => {
  for (const [seed, unreachable] of [
    [81, false],
    [82, true],
  ] as const) {
    const cluster = createCluster({ seed });
    const jobs = await startShortJobs(cluster, { estimateS: 60 });
    const leader = holderOf(cluster, LEADER_KEY);
    const hosts = machinesOf(cluster, jobs);
    for (const host of hosts.slice(0, 2)) {
      if (unreachable) cluster.net.unansweredParties.add(host);
      else setWorkerRefused(cluster, host, true);
    }
    cluster.killNode(leader);
    await waitForOtherLeader(cluster, leader);
    // Much longer than a lease: the tasks of these machines are proven stopped and continue on other machines.
    await cluster.run(40 * SECOND);
    for (const host of hosts) setWorkerRefused(cluster, host, false);
    cluster.net.unansweredParties.clear();
    cluster.startNode(leader);
    await runUntilEnded(cluster, jobs);
  }
});

test('all jobs of mixed ranks end on a fleet with too little capacity and slow links', async () => {
  const cluster = createCluster({ seed: 83, capacity: 1 });
  for (let i = 0; i < 3; i++) cluster.net.slowdowns.set(`10.0.0.${i}:80`, 150);
  const ids: string[] = [];
  cluster.clock.at(SECOND, () => {
    for (let i = 0; i < 12; i++) {
      const id = `j-2${i}`;
      ids.push(id);
      const jobRank = i % 3 === 0 ? 'urgent' : i % 3 === 1 ? 'normal' : 'best_effort';
      cluster.submit(
        sampleJob(id, {
          team: TEAMS[i % 3]?.name ?? '',
          taskCount: 8,
          estimateS: 10,
          rank: jobRank,
          memGb: 6,
        }),
      );
    }
  });
  await cluster.run(40 * SECOND);
  assert.ok(
    ids.some(
      (id) => cluster.invariants.runningTasks(id).length === 0 && cluster.lastStatuses.get(id) !== 'done',
    ),
  );
  for (let i = 0; i < 3; i++) cluster.net.slowdowns.set(`10.0.0.${i}:80`, 20);
  await runUntilEnded(cluster, ids, 600);
});

test('jobs end although commands reach machines seconds late and workers hang', async () => {
  const cluster = createCluster({ seed: 84 });
  const jobs = await startShortJobs(cluster);
  const hosts = machinesOf(cluster, jobs);
  for (let i = 0; i < 4; i++) {
    for (const host of hosts) cluster.net.slowdowns.set(host, 300 + 300 * i);
    await cluster.run(3 * SECOND);
    for (const host of hosts) {
      const worker = cluster.workers.get(host);
      if (worker) worker.isHanging = i % 2 === 0;
    }
    if (i === 1) await cancelAndConfirm(cluster, 'j-10', 1);
    await cluster.run(4 * SECOND);
  }
  for (const worker of cluster.workers.values()) worker.isHanging = false;
  cluster.net.slowdowns.clear();
  await runUntilEnded(cluster, jobs);
});

test('jobs whose tasks end at different times complete across changes of leader', async () => {
  for (const seed of [85, 86]) {
    const cluster = createCluster({ seed });
    const jobs = await startShortJobs(cluster, { taskCount: 2, estimateS: 30 });
    let rounds = 0;
    // The leader restarts whenever a task ends, so that one restart falls between the task ends of each job.
    for (let previousCount = -1; rounds < 4; rounds++) {
      for (let i = 0; i < 60; i++) {
        const runningCount = jobs.reduce((sum, id) => sum + cluster.invariants.runningTasks(id).length, 0);
        if (previousCount >= 0 && runningCount < previousCount) break;
        previousCount = runningCount;
        await cluster.run(SECOND / 2);
      }
      previousCount = -1;
      await restartNodes(cluster, [holderOf(cluster, LEADER_KEY)], 0.3 * SECOND);
      await cluster.run(5 * SECOND);
    }
    await runUntilEnded(cluster, jobs);
    for (const id of jobs) assert.equal(cluster.lastStatuses.get(id), 'done');
  }
});

test('the quota holds when a job is cancelled at a leader change while some of its machines are unreachable', async () => {
  for (const seed of [87, 88]) {
    const teams = TEAMS.map((t) => ({ ...t, cpusMax: 12 }));
    const cluster = createCluster({ seed, settings: { teams } });
    const jobs = await startShortJobs(cluster, { taskCount: 6, estimateS: 80 });
    assert.equal(cluster.invariants.runningTasks('j-10').length, 6, 'the team is not at its limit');
    cluster.submit(sampleJob('j-20', { team: 'blue', taskCount: 6, estimateS: 10 }));
    await cluster.run(3 * SECOND);
    const [unanswered, unreachable] = machinesOf(cluster, ['j-10']);
    assert.ok(unanswered !== undefined && unreachable !== undefined);
    cluster.net.unansweredParties.add(unanswered);
    setWorkerRefused(cluster, unreachable, true);
    const leader = holderOf(cluster, LEADER_KEY);
    cluster.killNode(leader);
    await waitForOtherLeader(cluster, leader);
    await cancelAndConfirm(cluster, 'j-10', otherThan(cluster, leader));
    // Only tasks that are proven stopped free quota for the next job. The checker verifies the limit.
    await cluster.run(20 * SECOND);
    cluster.net.unansweredParties.clear();
    setWorkerRefused(cluster, unreachable, false);
    cluster.startNode(leader);
    await runUntilEnded(cluster, [...jobs, 'j-20']);
    assert.equal(cluster.lastStatuses.get('j-20'), 'done');
  }
});

test('heartbeats that reach a new shard owner late, from current and earlier worker incarnations, violate no invariant', async () => {
  for (const [seed, pause] of [
    [89, 6],
    [90, 14],
  ] as const) {
    const cluster = createCluster({ seed });
    const jobs = await startShortJobs(cluster, { estimateS: 60 });
    const leader = holderOf(cluster, LEADER_KEY);
    const hosts = machinesOf(cluster, jobs);
    for (const host of hosts) cluster.net.hold(host);
    cluster.killNode(leader);
    await waitForOtherLeader(cluster, leader);
    // Shorter or longer than a lease. If longer, the held heartbeats belong to an earlier worker incarnation.
    await cluster.run(pause * SECOND);
    const late = hosts.reduce((sum, host) => sum + cluster.net.release(host), 0);
    assert.ok(late > hosts.length, 'no heartbeat was held back');
    await cluster.run(4 * SECOND);
    // The same again, while the old leader is back and another node restarts.
    for (const host of hosts) cluster.net.hold(host);
    cluster.startNode(leader);
    await restartNodes(cluster, [otherThan(cluster, leader)], 5 * SECOND);
    for (const host of hosts) cluster.net.release(host);
    await runUntilEnded(cluster, jobs);
  }
});

test('jobs with zone constraints end although machines die or become unreachable', async () => {
  for (const seed of [91, 92]) {
    const cluster = createCluster({ seed });
    const constraints: Partial<JobSpec>[] = [{ singleZone: true }, { spreadZones: true }, { zone: 'west' }];
    const ids = constraints.map((constraint, i) => {
      const id = `j-3${i}`;
      cluster.submit(
        sampleJob(id, { team: TEAMS[i]?.name ?? '', taskCount: 5, estimateS: 50, ...constraint }),
      );
      return id;
    });
    await cluster.run(35 * SECOND);
    for (const id of ids) assert.ok(cluster.invariants.runningTasks(id).length > 1, `${id} doesn't run`);
    ids.forEach((id, i) => {
      const [first, second] = machinesOf(cluster, [id]);
      const dead = first === undefined ? undefined : cluster.cloud.hosts.get(first);
      if (dead) cluster.cloud.crash(dead);
      if (second === undefined) return;
      if (i === 0) cluster.net.unansweredParties.add(second);
      else setWorkerRefused(cluster, second, true);
    });
    await cluster.run(12 * SECOND);
    cluster.net.unansweredParties.clear();
    for (const host of cluster.workers.keys()) setWorkerRefused(cluster, host, false);
    await runUntilEnded(cluster, ids);
  }
});

test('ten leader changes in two minutes, also during an outage, cause no request storm and lose no job', async () => {
  for (const hasOutage of [false, true]) {
    const cluster = createCluster({ seed: 93 });
    const jobs = await startShortJobs(cluster, { estimateS: 120 });
    const tokens: number[] = [];
    const requestsBefore = cluster.store.requestCount;
    const refusedBefore = cluster.store.refusedRequestCount;
    let changes = 0;
    cluster.onEvent = (event) => {
      if (event === 'lead') changes++;
    };
    for (let i = 0; i < 10; i++) {
      if (hasOutage && i === 4) cluster.store.setOutage(true);
      if (hasOutage && i === 6) cluster.store.setOutage(false);
      const leader = cluster.store.rows.has(LEADER_KEY) ? holderOf(cluster, LEADER_KEY) : i % 3;
      await restartNodes(cluster, [leader], (i % 2 === 0 ? 0.2 : 3.5) * SECOND);
      await cluster.run(8 * SECOND);
      tokens.push(Number(cluster.store.rows.get(FENCING_TOKEN_KEY)?.value['Token']));
    }
    assert.ok(changes >= (hasOutage ? 7 : 10), `the leader changed ${changes} times`);
    assert.deepEqual(
      tokens,
      [...tokens].sort((a, b) => a - b),
    );
    // There is no request storm: on average the nodes send less than half of the requests per second that the state
    // service allows, and almost none is refused.
    assert.ok(
      cluster.store.requestCount - requestsBefore < 0.5 * 100 * 120,
      `${cluster.store.requestCount - requestsBefore} requests`,
    );
    assert.ok(
      cluster.store.refusedRequestCount - refusedBefore < 60,
      `${cluster.store.refusedRequestCount - refusedBefore} refused`,
    );
    await runUntilEnded(cluster, jobs);
  }
});

test('users get answers and cancellations hold while the state service first is slow, then refuses the leader, then all nodes', async () => {
  const cluster = createCluster({ seed: 94 });
  const jobs = await startShortJobs(cluster, { estimateS: 80 });
  const leader = holderOf(cluster, LEADER_KEY);
  cluster.net.slowdowns.set('10.2.0.1:2379', 60);
  await cluster.run(5 * SECOND);
  void cluster.cancelJob('j-10', leader);
  await cluster.run(2 * SECOND);
  cluster.net.slowdowns.clear();
  // Requests that were sent while the state service was slow are answered late.
  await cluster.run(15 * SECOND);
  cluster.store.refusedNodes.add(`node-${leader}`);
  await cluster.run(SECOND);
  await cancelAndConfirm(cluster, 'j-11', otherThan(cluster, leader));
  cluster.store.setOutage(true);
  for (let i = 0; i < 32; i++) {
    // The request goes to every node. No node may answer with an older status, and each must answer within a second.
    const from = cluster.clock.time;
    const statuses: number[] = [];
    for (let node = 0; node < 3; node++) {
      void cluster
        .sendUserRequest('j-11', { node, method: 'GET', path: '/submissions/j-11' })
        .then((s) => statuses.push(s));
    }
    await cluster.run(SECOND);
    assert.equal(statuses.length, 3, `no answer at ${from}`);
  }
  cluster.store.setOutage(false);
  cluster.store.refusedNodes.clear();
  await runUntilEnded(cluster, jobs);
  assert.equal(cluster.lastStatuses.get('j-11'), 'cancelled');
});

test('a cancelled job stops although the leader loses the state service and its peers but not its workers', async () => {
  for (const seed of [71, 73, 75]) {
    const cluster = await createBusyCluster({ seed });
    const { leader, job } = leaderWithRunningJob(cluster);
    cluster.store.refusedNodes.add(`node-${leader}`);
    cluster.refusePeers(leader, true);
    const newLeader = await waitForOtherLeader(cluster, leader);
    const before = cluster.heartbeatCount(leader);
    await cancelAndConfirm(cluster, job, newLeader);
    assert.equal(
      await statusFromNode(cluster, job, leader),
      503,
      'the old leader answers users from an outdated replica',
    );
    await cluster.run(SECOND);
    assert.ok(cluster.heartbeatCount(leader) > before, 'no worker sends heartbeats to the old leader');
    await cluster.run(26 * SECOND);
    assert.deepEqual(cluster.invariants.runningTasks(job), []);
    cluster.refusePeers(leader, false);
    cluster.store.refusedNodes.clear();
    await cluster.run(30 * SECOND);
    assert.equal(cluster.invariants.startsAfterConfirmation, 0);
  }
});

/** Requests the job's status from the given node, and returns the HTTP status; 0 if no answer arrives within 2 s. */
async function statusFromNode(cluster: SimCluster, job: string, node: number): Promise<number> {
  let status = 0;
  void cluster
    .sendUserRequest(job, { node, method: 'GET', path: `/submissions/${job}` })
    .then((s) => (status = s));
  await cluster.run(2 * SECOND);
  return status;
}

test('jobs end after a zone with workers and a controller was isolated for longer than a lease', async () => {
  for (const [seed, mode] of [
    [98, 'hold'],
    [99, 'reset'],
  ] as const) {
    const cluster = createCluster({ seed });
    const jobs = await startShortJobs(cluster, { estimateS: 50 });
    cluster.net.isolate('west', mode);
    await cluster.run(5 * SECOND);
    await cancelAndConfirm(cluster, 'j-10', 0);
    await cluster.run(25 * SECOND);
    cluster.net.isolate('west', null);
    await runUntilEnded(cluster, jobs);
  }
});

test('all tasks stop and later complete when all controllers are down for longer than a lease', async () => {
  const cluster = createCluster({ seed: 100 });
  const jobs = await startShortJobs(cluster, { estimateS: 60 });
  assert.ok(jobs.every((id) => cluster.invariants.runningTasks(id).length > 0));
  await restartNodes(cluster, [0, 1, 2], 11 * SECOND);
  assert.deepEqual(
    jobs.flatMap((id) => cluster.invariants.runningTasks(id)),
    [],
    'tasks run although the leases must have expired',
  );
  await runUntilEnded(cluster, jobs);
  for (const id of jobs) assert.equal(cluster.lastStatuses.get(id), 'done');
});

test('a cancellation is confirmed and takes effect while workers reach no controller', async () => {
  const cluster = createCluster({ seed: 101 });
  const jobs = await startShortJobs(cluster, { estimateS: 60 });
  for (const host of cluster.workers.keys()) setWorkerRefused(cluster, host, true);
  await cancelAndConfirm(cluster, 'j-10', 1);
  await cluster.run(6 * SECOND);
  assert.ok(cluster.invariants.runningTasks('j-10').length > 0, 'its tasks ended before the leases expired');
  await cluster.run(14 * SECOND);
  for (const host of cluster.workers.keys()) setWorkerRefused(cluster, host, false);
  await runUntilEnded(cluster, jobs);
});

test('jobs end although transactions without a response are applied late while controllers restart', async () => {
  for (const seed of [102, 103, 104]) {
    const cluster = createCluster({ seed, settings: { valueBytes: 700, txnOps: 4 } });
    const jobs = await startShortJobs(cluster, { estimateS: 30, taskCount: 6 });
    cluster.store.lateCommitRate = 0.4;
    for (let i = 0; i < 8; i++) {
      const id = `j-4${i}`;
      jobs.push(id);
      cluster.submit(
        sampleJob(id, { team: TEAMS[i % 3]?.name ?? '', taskCount: 4, estimateS: 8 }),
        i % 2 === 0 ? 9 * SECOND : null,
      );
      if (i % 3 === 1) await restartNodes(cluster, [i % 3], 0.2 * SECOND);
      if (i === 5) await restartNodes(cluster, [0, 1, 2], SECOND);
      await cluster.run(6 * SECOND);
    }
    cluster.store.lateCommitRate = 0;
    const { executed, applied } = cluster.store.lateCommits;
    assert.ok(executed >= 30 && applied > 0, `${executed} arrived late, ${applied} were applied`);
    await runUntilEnded(cluster, jobs, 300);
  }
});

test('a cancellation, a status request and a repeated submission are answered as the last task ends', async () => {
  const cluster = createCluster({ seed: 105 });
  const answersByJob = new Map<string, number[]>();
  let jobCount = 0;
  const submitNext = (): void => {
    const id = `j-5${jobCount++}`;
    const spec = sampleJob(id, {
      team: TEAMS[jobCount % 3]?.name ?? '',
      taskCount: 1 + (jobCount % 2),
      estimateS: 4,
    });
    cluster.submit(spec);
    if (jobCount < 24) cluster.clock.at(4 * SECOND, submitNext);
  };
  cluster.clock.at(SECOND, submitNext);
  const requestedJobs = new Set<string>();
  cluster.onEvent = (event) => {
    if (event !== 'last end') return;
    for (const id of [...cluster.specs.keys()].filter(
      (job) => !requestedJobs.has(job) && cluster.invariants.isJobComplete(job),
    )) {
      requestedJobs.add(id);
      const answers: number[] = [];
      answersByJob.set(id, answers);
      const delay = cluster.random() * 1.5 * SECOND;
      cluster.clock.at(delay, () => {
        const spec = cluster.specs.get(id);
        void cluster.cancelJob(id, 0).then((s) => answers.push(s));
        void cluster
          .sendUserRequest(id, { node: 1, method: 'GET', path: `/submissions/${id}` })
          .then((s) => answers.push(s));
        void cluster
          .sendUserRequest(id, {
            node: 2,
            method: 'POST',
            path: '/submissions',
            body: spec && encodeSubmission(spec),
          })
          .then((s) => answers.push(s));
      });
    }
  };
  await cluster.run(140 * SECOND);
  assert.ok(answersByJob.size >= 24, `requests at the end of only ${answersByJob.size} jobs`);
  assert.ok(
    [...answersByJob.values()].every((answers) => answers.length === 3 && answers.every((s) => s === 200)),
  );
  const finalStatuses = [...answersByJob.keys()].map((id) => cluster.lastStatuses.get(id));
  assert.ok(
    finalStatuses.includes('done') && finalStatuses.includes('cancelled'),
    'the cancellation always came before the end, or always after it',
  );
  // A terminal status does not change, even after all processes have restarted; the checker verifies it.
  await restartNodes(cluster, [0, 1, 2], SECOND);
  await cluster.run(8 * SECOND);
  for (const id of answersByJob.keys()) for (const node of [0, 1, 2]) await statusFromNode(cluster, id, node);
});

test('heartbeats that arrive after newer ones, also from earlier worker incarnations and attempts, violate no invariant', async () => {
  for (const seed of [106, 107]) {
    const cluster = createCluster({ seed });
    cluster.net.faults = { faultRate: 0, maxDelay: 0, duplicateRate: 1, maxDuplicateDelay: 40 * SECOND };
    const jobs = await startShortJobs(cluster, { estimateS: 40 });
    const hosts = machinesOf(cluster, jobs);
    // The leases expire, so that the tasks get new attempts and the workers new incarnations.
    for (const host of hosts) setWorkerRefused(cluster, host, true);
    await cluster.run(12 * SECOND);
    for (const host of hosts) setWorkerRefused(cluster, host, false);
    await cluster.run(10 * SECOND);
    await restartNodes(cluster, [holderOf(cluster, LEADER_KEY)], 4 * SECOND);
    await cluster.run(30 * SECOND);
    cluster.net.faults = { faultRate: 0, maxDelay: 0 };
    await runUntilEnded(cluster, jobs);
  }
});

test('all jobs end after failovers and a crash of all controllers, from which one returns first', async () => {
  for (const [seed, pause] of [
    [108, 0.1],
    [109, 0.9],
    [110, 4],
  ] as const) {
    const cluster = createCluster({ seed });
    const jobs = await startShortJobs(cluster, { estimateS: 60 });
    const first = holderOf(cluster, LEADER_KEY);
    cluster.killNode(first);
    const second = await waitForOtherLeader(cluster, first);
    cluster.startNode(first);
    await cluster.run(2 * SECOND);
    await restartNodes(cluster, [second], pause * SECOND);
    for (let i = 0; i < 3; i++) cluster.killNode(i);
    await cluster.run(pause * SECOND);
    // This node is alone, has no replica yet, and receives the heartbeats of all workers.
    cluster.startNode(second);
    await cluster.run(10 * SECOND);
    assert.equal(holderOf(cluster, LEADER_KEY), second);
    for (let i = 0; i < 3; i++) cluster.startNode(i);
    await runUntilEnded(cluster, jobs);
  }
});

/** Returns the hosts of the machines that a transaction releases. */
function hostsReleasedBy(writes: readonly WireFields[]): string[] {
  return writes.flatMap(({ V: record }) => {
    const releases = isWireFields(record)
      ? (record['releases'] as [string, unknown][] | undefined)
      : undefined;
    return (releases ?? []).map(([host]) => host);
  });
}

// The release of a machine names the newest heartbeat that its shard owner received. If the owner answered a heartbeat
// after that, the worker might receive a start command that the next owner, judging by an older heartbeat, would take
// for one that never arrived.
test('a worker gets no heartbeat response while the release of its machine may still be applied', async () => {
  const cluster = createCluster({
    seed: 111,
    types: SAMPLE_TYPES.filter((t) => t.name === 'small'),
    capacity: 2,
  });
  const releasedHosts = new Set<string>();
  const answers: number[] = [];
  cluster.store.delaysCommit = (writes) => {
    const hosts = hostsReleasedBy(writes);
    // Only releases by the first owner that releases machines are delayed. The test ends when a late one is applied.
    if (releasedHosts.size > 0 && !hosts.some((host) => releasedHosts.has(host))) return false;
    for (const host of hosts) releasedHosts.add(host);
    return hosts.length > 0;
  };
  cluster.onHeartbeat = (host, _node, status) => {
    if (releasedHosts.has(host) && cluster.store.lateCommits.executed === 0) answers.push(status);
  };
  cluster.submit(sampleJob('j-1', { team: 'blue', taskCount: 6, estimateS: 20 }));
  await cluster.run(15 * SECOND);
  cluster.submit(sampleJob('j-2', { team: 'green', taskCount: 10, estimateS: 20 }));
  for (let i = 0; i < 400 && cluster.store.lateCommits.executed === 0; i++) await cluster.run(0.1 * SECOND);
  assert.ok(cluster.store.lateCommits.executed > 0, 'no machine was released');
  assert.ok(answers.length > 2, `only ${answers.length} heartbeats before the release was applied`);
  assert.deepEqual(
    answers.filter((status) => status === 200),
    [],
  );
  cluster.store.delaysCommit = () => false;
  await runUntilEnded(cluster, ['j-1', 'j-2']);
});
