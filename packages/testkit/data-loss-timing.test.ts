/** Measures how long nodes take to notice a data loss, to confirm it, and to serve again after the state is restored. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FENCING_TOKEN_KEY } from '#cluster';
import type { DataLossState } from '#recovery';
import { type Micros, MS, SECOND } from '#wire';
import { DurationMeter } from './duration-meter.js';
import type { SimCluster } from './sim-cluster.js';
import { dataLossStatusOf, createDataLossCluster } from './data-loss-cluster.js';

const RUNS = Number(process.env['LOSS_RUNS'] ?? 2);
const STEP: Micros = 20 * MS;
/**
 * Upper bounds in milliseconds. A node sends a request to the state service at least every 2 s, and reads all live state
 * a second later.
 */
const MAX_NOTICED_MS = 3_000;
const MAX_FROZEN_MS = 6_000;
const MAX_SERVING_MS = 6_000;

/** Runs until each node has been in one of the states, and records the durations; fails after 20 s. */
async function measureTransition(
  cluster: SimCluster,
  name: string,
  states: readonly DataLossState[],
  meter: DurationMeter,
): Promise<void> {
  const began = cluster.clock.time;
  const waiting = new Set(Array(cluster.nodeCount).keys());
  while (waiting.size > 0) {
    assert.ok(
      cluster.clock.time < began + 20 * SECOND,
      `${name}: node ${[...waiting].join()} is not in the state after 20 s`,
    );
    for (const node of waiting) {
      if (!states.includes(dataLossStatusOf(cluster, node).state)) continue;
      waiting.delete(node);
      meter.record(name, cluster.clock.time - began);
    }
    await cluster.run(STEP);
  }
}

/** Kinds of data loss. Each function causes a loss and returns a function that restores the lost data. */
const LOSSES = {
  'all data': (cluster: SimCluster) => {
    const fullBackup = cluster.store.backup();
    cluster.store.wipe();
    return () => {
      cluster.store.restore(fullBackup);
    };
  },
  'one key': (cluster: SimCluster) => {
    const fullBackup = cluster.store.backup();
    const lostKeys = cluster.store.loseKeys((key) => key === FENCING_TOKEN_KEY, true);
    return () => {
      cluster.store.restoreKeys(fullBackup, lostKeys);
    };
  },
};

test('a data loss is noticed, confirmed and, once the state is restored, cleared within the bounds', async (t) => {
  const meter = new DurationMeter();
  for (const [lossKind, loseData] of Object.entries(LOSSES)) {
    for (let run = 0; run < RUNS; run++) {
      const cluster = createDataLossCluster({ seed: 900 + run });
      await cluster.run((30 + cluster.random() * 3) * SECOND);
      const restoreData = loseData(cluster);
      const noticedMeasurement = measureTransition(
        cluster,
        `noticed, ${lossKind}`,
        ['noticed', 'frozen'],
        meter,
      );
      await noticedMeasurement;
      await measureTransition(cluster, `frozen after noticed, ${lossKind}`, ['frozen'], meter);
      await cluster.run(10 * SECOND);
      restoreData();
      await measureTransition(cluster, `serving again, ${lossKind}`, ['serving'], meter);
    }
  }
  for (const line of meter.report()) t.diagnostic(line);
  assert.equal(meter.count, 2 * 3 * 3 * RUNS);
  assert.ok(meter.longest('noticed') <= MAX_NOTICED_MS, String(meter.longest('noticed')));
  assert.ok(meter.longest('frozen') <= MAX_FROZEN_MS, String(meter.longest('frozen')));
  assert.ok(meter.longest('serving') <= MAX_SERVING_MS, String(meter.longest('serving')));
});
