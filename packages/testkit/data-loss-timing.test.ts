/** How long nodes take to notice that state was lost, to be sure of it, and to serve again once it is back. */
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
/** A node asks the state service at least every 2 s; a reading of all live state follows a second later. */
const MOST_NOTICED_MS = 3_000;
const MOST_FROZEN_MS = 6_000;
const MOST_SERVING_MS = 6_000;

/** Runs until each node has been in the state, or the patience is over. */
async function measure(
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
      `${name}: node ${[...waiting].join()} takes too long`,
    );
    for (const node of waiting) {
      if (!states.includes(dataLossStatusOf(cluster, node).state)) continue;
      waiting.delete(node);
      meter.record(name, cluster.clock.time - began);
    }
    await cluster.run(STEP);
  }
}

const LOSSES = {
  'all of it': (cluster: SimCluster) => {
    const whole = cluster.store.backup();
    cluster.store.wipe();
    return () => {
      cluster.store.restore(whole);
    };
  },
  'one key': (cluster: SimCluster) => {
    const whole = cluster.store.backup();
    const lost = cluster.store.loseKeys((path) => path === FENCING_TOKEN_KEY, true);
    return () => {
      cluster.store.restoreKeys(whole, lost);
    };
  },
};

test('a loss is noticed, confirmed and over within the bounds', async (t) => {
  const meter = new DurationMeter();
  for (const [what, lose] of Object.entries(LOSSES)) {
    for (let run = 0; run < RUNS; run++) {
      const cluster = createDataLossCluster({ seed: 900 + run });
      await cluster.run((30 + cluster.random() * 3) * SECOND);
      const bringBack = lose(cluster);
      const noticed = measure(cluster, `noticed, ${what}`, ['noticed', 'frozen'], meter);
      await noticed;
      await measure(cluster, `frozen after it, ${what}`, ['frozen'], meter);
      await cluster.run(10 * SECOND);
      bringBack();
      await measure(cluster, `serving again, ${what}`, ['serving'], meter);
    }
  }
  for (const line of meter.report()) t.diagnostic(line);
  assert.equal(meter.count, 2 * 3 * 3 * RUNS);
  assert.ok(meter.longest('noticed') <= MOST_NOTICED_MS, String(meter.longest('noticed')));
  assert.ok(meter.longest('frozen') <= MOST_FROZEN_MS, String(meter.longest('frozen')));
  assert.ok(meter.longest('serving') <= MOST_SERVING_MS, String(meter.longest('serving')));
});
