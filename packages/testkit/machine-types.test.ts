/** Submissions while the cloud's list of machine types is not known in full, or changes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MACHINE_TYPE_PREFIX } from '#cluster';
import { encodeSubmission, type JobSpec, type MachineType, SECOND } from '#wire';
import { sampleJob } from './sample-job.js';
import { SAMPLE_TYPES } from './sample-settings.js';
import { SimCluster } from './sim-cluster.js';

/** The machine types are read again every 20 s. */
const REFRESH_TIME = 25 * SECOND;

async function submit(cluster: SimCluster, spec: JobSpec): Promise<number> {
  let status = 0;
  cluster.specs.set(spec.id, spec);
  cluster.invariants.jobSubmitted(spec, cluster.clock.time);
  const body = encodeSubmission(spec);
  void cluster
    .sendUserRequest(spec.id, { node: 1, method: 'POST', path: '/submissions', body })
    .then((answer) => (status = answer));
  await cluster.run(SECOND);
  return status;
}

/** Returns the first sample type under other names. */
function typesNamed(...names: string[]): MachineType[] {
  return names.map((name) => ({ ...SAMPLE_TYPES[0]!, name }));
}

// Guards against a job that is refused for good, since the type that it needs was not stored yet.
test('a job for a machine type that a commit still has to store is answered 503, and 201 once it is stored', async () => {
  const names = ['t1', 't2', 't3', 't4', 't5', 't6'];
  const cluster = new SimCluster({ seed: 491, types: typesNamed(...names), settings: { txnOps: 4 } });
  const typeKeys = names.map((name) => MACHINE_TYPE_PREFIX + name);
  // The last commit gets no response, and is applied 2 to 12 s later.
  cluster.store.delaysCommit = (writes) => writes[0]?.['Set'] === typeKeys[4];
  for (let step = 0; step < 100 && !cluster.store.rows.has(typeKeys[0]!); step++)
    await cluster.run(SECOND / 10);
  const last = sampleJob('j-1', { machineTypes: ['t6'] });
  assert.equal(await submit(cluster, last), 503);
  assert.equal(await submit(cluster, sampleJob('j-2', { machineTypes: ['t1'] })), 201);
  await cluster.run(REFRESH_TIME);
  assert.equal(await submit(cluster, last), 201);
  assert.equal(await submit(cluster, sampleJob('j-3', { machineTypes: ['t7'] })), 422);
});

// Guards against jobs that are accepted for a machine type that can't be rented any more.
test('a job for a machine type that the cloud no longer lists is refused, unless it was accepted before', async () => {
  const types = typesNamed('t1', 't2');
  const cluster = new SimCluster({ seed: 492, types });
  await cluster.run(6 * SECOND);
  const accepted = sampleJob('j-1', { machineTypes: ['t2'], estimateS: 300 });
  assert.equal(await submit(cluster, accepted), 201);
  await cluster.run(20 * SECOND);
  types.pop();
  await cluster.run(REFRESH_TIME);
  assert.equal(await submit(cluster, accepted), 200);
  assert.equal(await submit(cluster, sampleJob('j-2', { machineTypes: ['t2'] })), 422);
  assert.ok(cluster.invariants.runningTasks('j-1').length > 0, 'its tasks go on');
  types.push(...typesNamed('t2'));
  await cluster.run(REFRESH_TIME);
  assert.equal(await submit(cluster, sampleJob('j-3', { machineTypes: ['t2'] })), 201);
});

test('an empty list of machine types changes nothing', async () => {
  const types = typesNamed('t1');
  const cluster = new SimCluster({ seed: 493, types });
  await cluster.run(6 * SECOND);
  types.pop();
  await cluster.run(REFRESH_TIME);
  assert.equal(await submit(cluster, sampleJob('j-1')), 201);
});
