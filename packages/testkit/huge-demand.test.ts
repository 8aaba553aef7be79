/** Jobs that ask for far more machines than there are: nothing that a controller keeps may grow with what they ask for. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LEADER_KEY } from '#cluster';
import { type Micros, SECOND } from '#wire';
import { sampleJob } from './sample-job.js';
import { SAMPLE_TYPES } from './sample-settings.js';
import { SimCluster } from './sim-cluster.js';

const NO_QUOTA = { cpus: 0, cpusMax: Infinity, gpus: 0, gpusMax: Infinity };
/** Teams without and with a guarantee, which belong to different shards. */
const TEAMS = [
  { name: 'guest', ...NO_QUOTA },
  { name: 'blue', cpus: 16, cpusMax: 40, gpus: 0, gpusMax: 0 },
  { name: 'green', cpus: 16, cpusMax: 40, gpus: 0, gpusMax: 0 },
];
const CLOUD_RPS = 5;
/** A leader plans requests for this time ahead, at the rate that the cloud accepts. */
const MAX_PENDING_REQUESTS = 4 * CLOUD_RPS;
/** Number of small machines in two zones, spot and on-demand. */
const MACHINES_PER_OFFER = 3;
const MACHINE_COUNT = 4 * MACHINES_PER_OFFER;

function createCluster(seed: number): SimCluster {
  const types = SAMPLE_TYPES.filter(({ name }) => name === 'small');
  const settings = { teams: TEAMS, cloudRps: CLOUD_RPS };
  return new SimCluster({ seed, types, settings, capacity: MACHINES_PER_OFFER });
}

/** Submits three guest jobs of the largest size whose tasks need a machine each. */
function submitSweeps(cluster: SimCluster, taskCount: number): string[] {
  const ids = ['j-1', 'j-2', 'j-3'];
  const sweep = { team: 'guest', rank: 'best_effort' as const, cpus: 4, memGb: 14, estimateS: 8, taskCount };
  for (const id of ids) cluster.submit(sampleJob(id, sweep));
  return ids;
}

/** Returns the node that is the leader, or -1 if there is none. */
function leaderOf(cluster: SimCluster): number {
  const row = cluster.store.rows.get(LEADER_KEY);
  return row ? Number(String(row.value['Member']).slice('node-'.length)) : -1;
}

/** Returns the largest number of unsettled scale-out requests in any replica. */
function pendingRequests(cluster: SimCluster): number {
  const replicas = [...Array(cluster.nodeCount).keys()].map((node) => cluster.controller(node));
  return Math.max(
    0,
    ...replicas.map((replica) => replica?.replicaSnapshot().ledger.pendingScaleOuts.size ?? 0),
  );
}

/** Runs the cluster, and returns the largest number of unsettled scale-out requests at any time. */
async function runAndWatchRequests(cluster: SimCluster, duration: Micros): Promise<number> {
  let most = 0;
  for (const end = cluster.clock.time + duration; cluster.clock.time < end;) {
    await cluster.run(SECOND / 4);
    most = Math.max(most, pendingRequests(cluster));
    assert.ok(most <= MAX_PENDING_REQUESTS, `${most} scale-out requests are pending`);
  }
  return most;
}

// Guards against controllers that end for memory one after the other: requests for 300,000 machines were planned, kept
// and recorded, and every successor loaded them again.
test('three jobs of 100,000 tasks keep no controller and no guaranteed job from working, also after a failover', async () => {
  const cluster = createCluster(91);
  await cluster.run(3 * SECOND);
  const sweeps = submitSweeps(cluster, 100_000);
  await runAndWatchRequests(cluster, 5 * SECOND);
  cluster.submit(sampleJob('j-4', { team: 'blue', rank: 'urgent', taskCount: 2, estimateS: 5 }));
  await runAndWatchRequests(cluster, 27 * SECOND);
  assert.equal(cluster.lastStatuses.get('j-4'), 'done');
  const leader = leaderOf(cluster);
  cluster.killNode(leader);
  cluster.submit(sampleJob('j-5', { team: 'green', rank: 'urgent', taskCount: 2, estimateS: 5 }));
  await runAndWatchRequests(cluster, 15 * SECOND);
  assert.notEqual(leaderOf(cluster), leader);
  cluster.startNode(leader);
  await runAndWatchRequests(cluster, 30 * SECOND);
  assert.equal(cluster.lastStatuses.get('j-5'), 'done');
  const placed = sweeps.flatMap((id) => cluster.invariants.runningTasks(id)).length;
  assert.ok(placed >= MACHINE_COUNT / 2, `${placed} tasks of the sweeps run`);
});

// Guards against work that is planned only in part: what the requests do not cover now has to be planned later.
test('jobs that ask for many times the capacity are served to their last task', async () => {
  const cluster = createCluster(92);
  await cluster.run(3 * SECOND);
  const ids = submitSweeps(cluster, 60);
  await cluster.run(240 * SECOND);
  for (const id of ids) assert.equal(cluster.lastStatuses.get(id), 'done', id);
});

// Guards against machines that are rented for nobody once the cloud is back: the successor repeated all requests.
test('sweeps that are cancelled during a cloud outage leave no requests, also after a failover', async () => {
  const cluster = createCluster(93);
  await cluster.run(3 * SECOND);
  cluster.cloud.isUnavailable = true;
  const ids = submitSweeps(cluster, 100_000);
  await runAndWatchRequests(cluster, 4 * SECOND);
  assert.ok(pendingRequests(cluster) > 0, 'no request is under way');
  const leader = leaderOf(cluster);
  cluster.killNode(leader);
  for (const id of ids) assert.equal(await cancelled(cluster, id, (leader + 1) % 3), 200);
  await runAndWatchRequests(cluster, 10 * SECOND);
  cluster.cloud.isUnavailable = false;
  cluster.startNode(leader);
  await runAndWatchRequests(cluster, 20 * SECOND);
  assert.equal(pendingRequests(cluster), 0);
  assert.equal(cluster.cloud.hosts.size, 0, 'machines were rented for cancelled jobs');
});

/** Cancels the job at the node while the cluster runs on. Resolves to the status of the response. */
async function cancelled(cluster: SimCluster, id: string, node: number): Promise<number> {
  const response = cluster.cancelJob(id, node);
  await cluster.run(SECOND);
  return response;
}
