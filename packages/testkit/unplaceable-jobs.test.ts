import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type JobSpec, SECOND } from '#wire';
import { sampleJob } from './sample-job.js';
import { SimCluster } from './sim-cluster.js';
import type { MachineCapacity } from './sim-cluster-options.js';

/** A team whose whole limit the tasks of a blocked job would use up. */
const TEAMS = [{ name: 'blue', cpus: 8, cpusMax: 20, gpus: 0, gpusMax: 0 }];
/** Time within which a job starts that a machine has capacity for; the rule allows 90 s. */
const START_DEADLINE = 60 * SECOND;

/** A way in which a job can't be placed: what the cloud has no machines of, and the job that needs them. */
interface Blockage {
  readonly capacity: MachineCapacity;
  readonly job: Partial<JobSpec>;
}

const noneIn =
  (zone: string): MachineCapacity =>
  (offer) =>
    offer.zone === zone ? 0 : 4;
const BLOCKAGES: Readonly<Record<string, Blockage>> = {
  zone: { capacity: noneIn('west'), job: { zone: 'west' } },
  type: { capacity: (offer) => (offer.machineType === 'large' ? 0 : 4), job: { machineTypes: ['large'] } },
  kind: { capacity: (offer) => (offer.spot ? 4 : 0), job: { allowsSpot: false } },
  spread: { capacity: noneIn('west'), job: { shape: 'gang', spreadZones: true, taskCount: 4 } },
  'size of a gang': {
    capacity: (offer) => (offer.machineType === 'small' && offer.spot ? 1 : 0),
    job: { shape: 'gang', taskCount: 5 },
  },
};

/** Returns a cluster whose only busy machine has capacity for another small task. */
async function startCluster(seed: number, capacity: MachineCapacity): Promise<SimCluster> {
  const cluster = new SimCluster({ seed, capacity, settings: { teams: TEAMS } });
  cluster.invariants.faultsEnded(0);
  await cluster.run(3 * SECOND);
  cluster.submit(sampleJob('j-0', { cpus: 1, memGb: 1, taskCount: 1, estimateS: 900 }));
  await cluster.run(30 * SECOND);
  return cluster;
}

// Guards against accepted jobs that wait for minutes beside a machine with capacity, since a job of higher rank for which
// there are no machines claims the whole limit of their team (review/4).
test('a job without machines, for whatever reason, does not keep a later job of its team from running', async () => {
  for (const [reason, { capacity, job }] of Object.entries(BLOCKAGES)) {
    const cluster = await startCluster(201, capacity);
    cluster.submit(sampleJob('j-1', { rank: 'prod', taskCount: 20, cpus: 4, ...job }));
    await cluster.run(2 * SECOND);
    cluster.submit(sampleJob('j-2', { taskCount: 2, cpus: 1, memGb: 1 }));
    await cluster.run(START_DEADLINE);
    assert.equal(cluster.lastStatuses.get('j-2'), 'done', reason);
    assert.equal(cluster.lastStatuses.get('j-1'), 'pending', reason);
  }
});

// Guards against starvation of the job that waits: small tasks use the limit meanwhile, and would go on doing so.
test('a large job and a gang start soon after their machines come, in spite of steady small jobs', async () => {
  const gang = { shape: 'gang', taskCount: 4 } as const;
  for (const job of [{ taskCount: 4 }, gang]) {
    let hasWest = false;
    const capacity: MachineCapacity = ({ zone }) => (zone === 'east' || hasWest ? 4 : 0);
    const cluster = await startCluster(202, capacity);
    cluster.submit(sampleJob('j-1', { rank: 'urgent', cpus: 4, zone: 'west', ...job }));
    let smallJobs = 0;
    const submitSmallJobs = async (seconds: number): Promise<void> => {
      for (let i = 0; i < seconds; i++) {
        const id = `j-${100 + smallJobs++}`;
        cluster.submit(sampleJob(id, { taskCount: 2, cpus: 1, memGb: 1, estimateS: 15 }));
        await cluster.run(SECOND);
      }
    };
    await submitSmallJobs(60);
    assert.equal(cluster.lastStatuses.get('j-1'), 'pending');
    assert.ok(cluster.invariants.starts > 40, `only ${cluster.invariants.starts} starts meanwhile`);
    hasWest = true;
    // Machines come up and the cloud is asked again after a refusal; then one run time of the small tasks passes.
    await submitSmallJobs(90);
    assert.notEqual(cluster.lastStatuses.get('j-1'), 'pending', job.taskCount.toString());
  }
});
