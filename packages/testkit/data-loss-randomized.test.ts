/**
 * Seeded random runs with faults. In some of them the state service also loses data, and in the others no data loss may
 * be reported.
 */
import assert from 'node:assert/strict';
import { scheduleRandomFaults } from './random-runs.js';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { finishAllJobs, dataLossStatusOf, createDataLossCluster } from './data-loss-cluster.js';

const [FROM, RUNS] = [Number(process.env['LOST_FROM'] ?? 1), Number(process.env['LOST_RUNS'] ?? 6)];
for (let seed = FROM; seed < FROM + RUNS; seed++) {
  test(`invariants hold and all jobs end when state is lost and restored under random faults, seed ${seed}`, async () => {
    const cluster = createDataLossCluster({ seed: 700 + seed });
    const { random, clock, store } = cluster;
    let losses = 0;
    let isRestored = true;
    const loseData = (): void => {
      if (clock.time > 120 * SECOND) return;
      const olderBackup = store.backup();
      clock.at((1 + random() * 10) * SECOND, () => {
        const fullBackup = store.backup();
        if (fullBackup.revision === olderBackup.revision) return;
        losses++;
        isRestored = false;
        if (random() < 0.4) store.wipe();
        else store.restore(olderBackup);
        clock.at((1 + random() * 20) * SECOND, () => {
          store.restore(fullBackup);
          isRestored = true;
        });
      });
      clock.at((35 + random() * 10) * SECOND, loseData);
    };
    scheduleRandomFaults(cluster, {
      from: 20 * SECOND,
      until: 130 * SECOND,
      minGapS: 4,
      extraGapS: 20,
      isAllowed: () => isRestored,
    });
    clock.at(25 * SECOND, loseData);
    await cluster.run(160 * SECOND);
    assert.ok(losses > 1, `only ${losses} losses`);
    await finishAllJobs(cluster);
  });
}

for (let seed = FROM; seed < FROM + Math.ceil(RUNS / 3); seed++) {
  test(`random faults alone raise no data loss alarm, seed ${seed}`, async () => {
    const cluster = createDataLossCluster({ seed: 800 + seed });
    scheduleRandomFaults(cluster, { from: 20 * SECOND, until: 130 * SECOND, minGapS: 4, extraGapS: 10 });
    await cluster.run(160 * SECOND);
    await finishAllJobs(cluster);
    const alarms = [...Array(cluster.nodeCount).keys()].map((i) => dataLossStatusOf(cluster, i).falseAlarms);
    assert.deepEqual(
      alarms,
      alarms.map(() => 0),
    );
  });
}
