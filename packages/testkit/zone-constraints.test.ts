/** Whole deployments with jobs whose zone constraints decide which machines are of use to them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type JobSpec, type MachineType, SECOND } from '#wire';
import { sampleJob } from './sample-job.js';
import { SAMPLE_TYPES } from './sample-settings.js';
import { SimCluster } from './sim-cluster.js';
import type { SimClusterOptions } from './sim-cluster-options.js';

const TEAMS = [{ name: 'blue', cpus: 60, cpusMax: 60, gpus: 0, gpusMax: 0 }];
/** Time in which a job runs whose machines the cloud has: it boots them, and is asked again for one that does not come up. */
const RUN_TIME = 90 * SECOND;
/** Time within which an idle machine is given back: it is kept for 40 s, and until 55 s of it are billed. */
const SCALE_IN_TIME = 90 * SECOND;

const [SMALL] = SAMPLE_TYPES as [MachineType, ...MachineType[]];
/** Types of equal size, each offered in one zone; the one in the west is the cheaper one. */
const ONE_ZONE_TYPES: MachineType[] = [
  { ...SMALL, name: 'east-only', zones: ['east'] },
  { ...SMALL, name: 'west-only', zones: ['west'], price: SMALL.price / 2, spotPrice: SMALL.spotPrice / 2 },
];

/** Each task needs a machine of its own. */
function spreadGang(id: string, overrides: Partial<JobSpec> = {}): JobSpec {
  return sampleJob(id, { shape: 'gang', spreadZones: true, taskCount: 4, cpus: 4, ...overrides });
}

async function startCluster(options: Partial<SimClusterOptions>): Promise<SimCluster> {
  const cluster = new SimCluster({ seed: 490, capacity: 24, settings: { teams: TEAMS }, ...options });
  await cluster.run(3 * SECOND);
  return cluster;
}

function emptyHosts(cluster: SimCluster): number {
  return cluster.cloud.hosts.size;
}

// Guards against a gang that never starts, while machines are rented for it again and again in the cheaper zone.
test('a spread gang whose zones need different machine types runs on as many machines as it has tasks', async () => {
  const cluster = await startCluster({ types: ONE_ZONE_TYPES });
  cluster.submit(spreadGang('j-1'));
  await cluster.run(RUN_TIME);
  assert.equal(cluster.lastStatuses.get('j-1'), 'done');
  // One machine in twenty never comes up, and another is rented in its place.
  assert.ok(cluster.cloud.rentedCount <= 6, `${cluster.cloud.rentedCount} machines rented`);
});

// Guards against machines that are rented without end, and kept, for a gang that lacks machines in another zone.
test('a spread gang that lacks machines in a zone keeps none, and runs once the zone has some', async () => {
  let hasWest = false;
  const capacity: SimClusterOptions['capacity'] = ({ zone }) => (zone === 'east' || hasWest ? 24 : 0);
  const cluster = await startCluster({ capacity, types: [SMALL] });
  cluster.submit(spreadGang('j-1'));
  await cluster.run(60 * SECOND);
  assert.ok(cluster.cloud.rentedCount <= 4, `${cluster.cloud.rentedCount} machines rented`);
  await cluster.run(SCALE_IN_TIME);
  assert.equal(emptyHosts(cluster), 0);
  await cluster.run(300 * SECOND);
  assert.ok(
    cluster.cloud.rentedCount <= 4,
    `${cluster.cloud.rentedCount} machines rented after the first ones`,
  );
  assert.equal(cluster.lastStatuses.get('j-1'), 'pending');
  hasWest = true;
  // The cloud is asked again every 40 s.
  await cluster.run(40 * SECOND + RUN_TIME);
  assert.equal(cluster.lastStatuses.get('j-1'), 'done');
});

// Guards against machines in zones that the job can't use, since its tasks have begun in another one.
test('an array in one zone gets machines in that zone only, and no more than it has tasks', async () => {
  const cluster = await startCluster({ types: [SMALL] });
  cluster.submit(sampleJob('j-1', { singleZone: true, taskCount: 12, cpus: 4, estimateS: 40 }));
  const zones = new Set<string>();
  for (let second = 0; second < 60; second++) {
    await cluster.run(SECOND);
    for (const { zone } of cluster.cloud.hosts.values()) zones.add(zone);
  }
  assert.equal(zones.size, 1);
  // One machine in twenty never comes up, and another is rented in its place.
  assert.ok(cluster.cloud.rentedCount <= 14, `${cluster.cloud.rentedCount} machines rented`);
});

// Guards against machines for the half of an array that another zone may not take.
test('a spread array gets no machines in a zone beyond the half of its tasks that may be there', async () => {
  const cluster = await startCluster({ types: [SMALL], capacity: ({ zone }) => (zone === 'east' ? 24 : 0) });
  cluster.submit(sampleJob('j-1', { spreadZones: true, taskCount: 12, cpus: 4, estimateS: 20 }));
  await cluster.run(150 * SECOND);
  assert.equal(cluster.lastStatuses.get('j-1'), 'done');
  assert.ok(cluster.cloud.rentedCount <= 8, `${cluster.cloud.rentedCount} machines rented`);
});

// Guards against idle machines that are kept for demand which can't use them.
test('idle machines are given back while a job waits for machines in another zone', async () => {
  const capacity: SimClusterOptions['capacity'] = ({ zone }) => (zone === 'east' ? 24 : 0);
  const cluster = await startCluster({ capacity, types: [SMALL] });
  cluster.submit(sampleJob('j-1', { taskCount: 6, cpus: 4 }));
  cluster.submit(sampleJob('j-2', { taskCount: 1, cpus: 4, zone: 'west' }));
  await cluster.run(RUN_TIME + SCALE_IN_TIME);
  assert.equal(cluster.lastStatuses.get('j-1'), 'done');
  assert.equal(emptyHosts(cluster), 0);
});
