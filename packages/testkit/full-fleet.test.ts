import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { sampleJob } from './sample-job.js';
import { SAMPLE_TYPES } from './sample-settings.js';
import { SimCluster } from './sim-cluster.js';

/** Time of the first and of the last fault. */
const FAULT_PERIOD = { from: 25 * SECOND, until: 110 * SECOND };

/**
 * Runs more work than a small fleet can hold: two teams with guaranteed quota, tasks that are preempted for others, and
 * a guest team with hundreds of jobs of one task. Nodes that own shards crash repeatedly and restart immediately or
 * after seconds. The state service is slow, so that a node reads the live state while transactions are committed.
 */
async function runFullFleet(seed: number): Promise<SimCluster> {
  const teams = [
    { name: 'blue', cpus: 16, cpusMax: 40, gpus: 0, gpusMax: 0 },
    { name: 'green', cpus: 16, cpusMax: 40, gpus: 0, gpusMax: 0 },
    { name: 'guest', cpus: 0, cpusMax: Infinity, gpus: 0, gpusMax: 0 },
  ];
  const settings = { teams, stateRps: 200, stateWriteRps: 80, sockets: 2000 };
  const types = SAMPLE_TYPES.filter((t) => t.name === 'small');
  const cluster = new SimCluster({ seed, settings, types, capacity: 5, pageRows: 8 });
  const { random, clock } = cluster;
  let jobCount = 0;
  const nextId = (): string => `j-${String(jobCount++).padStart(6, '0')}`;
  const cancelDelay = (rate: number): number | null => (random() < rate ? random() * 20 * SECOND : null);
  const submitGuestJobs = (): void => {
    if (clock.time > FAULT_PERIOD.until) return;
    const overrides = {
      team: 'guest',
      jobClass: 'probes',
      rank: 'best_effort' as const,
      taskCount: 1,
      cpus: 0.5,
      memGb: 1,
    };
    cluster.submit(sampleJob(nextId(), { ...overrides, estimateS: 3 + random() * 12 }), cancelDelay(0.1));
    clock.at(random() * 0.6 * SECOND, submitGuestJobs);
  };
  const submitTeamJobs = (): void => {
    if (clock.time > FAULT_PERIOD.until) return;
    const hasCheckpoints = random() < 0.5;
    const overrides = {
      team: random() < 0.5 ? 'blue' : 'green',
      rank: random() < 0.3 ? ('urgent' as const) : 'normal',
      taskCount: 1 + Math.floor(random() * 8),
      cpus: random() < 0.5 ? 2 : 4,
      memGb: 6,
      estimateS: 5 + random() * 15,
      checkpointS: hasCheckpoints ? 2 : 0,
      saveS: hasCheckpoints ? 1 : 0,
    };
    cluster.submit(sampleJob(nextId(), overrides as object), cancelDelay(0.1));
    clock.at(random() * 4 * SECOND, submitTeamJobs);
  };
  const crashNode = (): void => {
    if (clock.time > FAULT_PERIOD.until) return;
    const node = Math.floor(random() * cluster.nodeCount);
    cluster.killNode(node);
    clock.at((random() < 0.5 ? 0.3 : 6) * random() * SECOND, () => {
      cluster.startNode(node);
    });
    clock.at((3 + random() * 12) * SECOND, crashNode);
  };
  clock.at(SECOND, submitGuestJobs);
  clock.at(SECOND, submitTeamJobs);
  clock.at(FAULT_PERIOD.from, crashNode);
  clock.at(FAULT_PERIOD.from, () => cluster.net.slowdowns.set('10.2.0.1:2379', 4));
  clock.at(FAULT_PERIOD.until, () => cluster.net.slowdowns.delete('10.2.0.1:2379'));
  await cluster.run(FAULT_PERIOD.until + 15 * SECOND);
  cluster.invariants.faultsEnded(clock.time);
  await cluster.run(200 * SECOND);
  return cluster;
}

const [FROM, RUNS] = [Number(process.env['CHAOS_FROM'] ?? 1), Number(process.env['CHAOS_RUNS'] ?? 4)];
for (let seed = FROM; seed < FROM + RUNS; seed++) {
  test(`invariants hold on a full fleet with guests while shard owners restart, seed ${seed}`, async (t) => {
    const cluster = await runFullFleet(seed);
    t.diagnostic(`${cluster.invariants.starts} starts`);
    assert.ok(cluster.invariants.starts > 200, `only ${cluster.invariants.starts} starts`);
    assert.deepEqual(cluster.invariants.unfinishedJobs(), []);
    assert.deepEqual(cluster.invariants.neglectedGroups(), []);
  });
}
