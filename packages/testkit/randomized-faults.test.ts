import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { injectRandomFault } from './random-faults.js';
import { scheduleRandomFaults, submitRandomJobs } from './random-runs.js';
import { SimCluster } from './sim-cluster.js';
import type { ClusterEvent } from './sim-cluster-options.js';

/** Events after which a follow-up fault is injected while their effects are still in progress. */
const EVENTS: ClusterEvent[] = ['confirmed', 'last end', 'lead', 'release'];
/** Probability of a follow-up fault for each event; leader changes and cancellations are rare, releases frequent. */
const FOLLOW_UP_PROBABILITY: Record<ClusterEvent, number> = {
  confirmed: 0.4,
  'last end': 0.1,
  lead: 0.4,
  release: 0.05,
};
const MAX_FOLLOW_UPS = 6;

/** Injects follow-up faults until the given time and counts them by event. */
function injectFaultsDuringEvents(
  cluster: SimCluster,
  until: number,
  followUpCounts: Map<ClusterEvent, number>,
): void {
  const { random, clock } = cluster;
  let remaining = MAX_FOLLOW_UPS;
  cluster.onEvent = (event) => {
    if (clock.time < 20 * SECOND || clock.time > until || remaining === 0) return;
    if (random() > FOLLOW_UP_PROBABILITY[event]) return;
    remaining--;
    followUpCounts.set(event, (followUpCounts.get(event) ?? 0) + 1);
    // Some faults hit within a scheduling round of the event, others while leases are still expiring.
    clock.at((random() < 0.6 ? 0.3 : 6) * random() * SECOND, () => {
      injectRandomFault(cluster);
    });
  };
}

async function runWithRandomFaults(
  seed: number,
  followUpCounts: Map<ClusterEvent, number>,
): Promise<SimCluster> {
  const printLogLine = (fields: object, text: string): void => {
    process.stderr.write(`${(cluster.clock.time / SECOND).toFixed(3)} ${text} ${JSON.stringify(fields)}\n`);
  };
  const log =
    process.env['CHAOS_LOG'] === undefined
      ? undefined
      : { debug: printLogLine, info: printLogLine, error: printLogLine };
  // Every second run limits values to a small size, so that a checkpoint takes many commits.
  const settings = seed % 2 === 0 ? {} : { valueBytes: 700, txnOps: 3 };
  // In two of three runs a starting node reads the live state in many pages, and transactions are committed in between.
  const pageRows = seed % 3 === 0 ? 1000 : 5;
  const cluster = new SimCluster({ seed, settings, pageRows, ...(log ? { log } : {}) });
  const { clock } = cluster;
  submitRandomJobs(cluster, { until: 150 * SECOND, maxGapS: 8, cancellation: { rate: 0.2, withinS: 20 } });
  scheduleRandomFaults(cluster, { from: 20 * SECOND, until: 160 * SECOND, minGapS: 2, extraGapS: 18 });
  injectFaultsDuringEvents(cluster, 160 * SECOND, followUpCounts);
  await cluster.run(245 * SECOND);
  cluster.invariants.faultsEnded(clock.time);
  await cluster.run(155 * SECOND);
  return cluster;
}

// Each run checks every invariant after every step, and at the end that all jobs have ended.
const [FROM, RUNS] = [Number(process.env['CHAOS_FROM'] ?? 1), Number(process.env['CHAOS_RUNS'] ?? 12)];
const followUpCounts = new Map<ClusterEvent, number>();
for (let seed = FROM; seed < FROM + RUNS; seed++) {
  test(`invariants hold and all jobs end under random faults, seed ${seed}`, async (t) => {
    const cluster = await runWithRandomFaults(seed, followUpCounts);
    t.diagnostic(`${cluster.gangs.starts} gangs started`);
    t.diagnostic(
      `${cluster.invariants.startsAfterConfirmation} of ${cluster.invariants.starts} starts after a confirmed cancellation`,
    );
    assert.ok(cluster.invariants.starts > 20, `only ${cluster.invariants.starts} starts`);
    assert.deepEqual(cluster.invariants.unfinishedJobs(), []);
    assert.deepEqual(cluster.invariants.neglectedGroups(), []);
  });
}

test('faults were injected during every kind of event', { skip: RUNS < 12 }, () => {
  for (const event of EVENTS)
    assert.ok((followUpCounts.get(event) ?? 0) > 0, `no fault was injected during "${event}"`);
});
