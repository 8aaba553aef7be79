import assert from 'node:assert/strict';
import { test } from 'node:test';
import { requestDataLossStatus } from '#operations';
import type { DataLossState } from '#recovery';
import { LoopbackTrial } from './loopback-trial.js';

const SEED = Number(process.env['LOOPBACK_SEED'] ?? 1);
/** How long real processes on a busy machine may take to notice that state was lost, or that it is back. */
const LOSS_PATIENCE_MS = 30_000;
const SECONDS = Number(process.env['LOOPBACK_SECONDS'] ?? 20);

test('a real leader that is asked to end hands over and ends with exit code 0', async () => {
  const trial = new LoopbackTrial({ seed: SEED, durationMs: 0 });
  try {
    await trial.start();
    assert.ok(await trial.leaderWhere(() => true), 'no leader was named');
    // Another member has to be there to take over.
    await pause(3000);
    const old = trial.leader;
    assert.equal(await old?.retire(), 0);
    assert.ok(await trial.leaderWhere((leader) => leader !== old), 'nobody took over the lead');
  } finally {
    trial.stop();
  }
});

test('real controllers on loopback, frozen, thawed and killed at random, keep the rules and their terms', async (t) => {
  const trial = new LoopbackTrial({ seed: SEED, durationMs: SECONDS * 1000 });
  try {
    const report = await trial.run();
    const { vacancies, unfinished, ...numbers } = report;
    t.diagnostic(JSON.stringify({ seed: SEED, ...numbers }));
    for (const line of vacancies.report()) t.diagnostic(line);
    assert.ok(report.freezes + report.kills > 0, 'nothing happened to any process');
    assert.ok(report.terms > 1, 'the lead never changed hands');
    assert.ok(report.starts > 0, 'nothing was started');
    assert.deepEqual(unfinished, []);
  } finally {
    trial.stop();
  }
});

test('state that is deleted under real controllers stops them, also one that is killed meanwhile, and every job ends once it is back', async () => {
  const trial = new LoopbackTrial({ seed: SEED, durationMs: 0 });
  const nodes = (): string[] => trial.nodes.map(({ addresses }) => addresses.operators);
  const untilAll = async (state: DataLossState): Promise<boolean> => {
    for (const end = Date.now() + LOSS_PATIENCE_MS; Date.now() < end; await pause(200)) {
      const answers = await requestDataLossStatus(nodes());
      if (answers.every((a) => a.kind === 'answered' && a.value.loss?.state === state)) return true;
    }
    return false;
  };
  try {
    await trial.start();
    assert.ok(await trial.leaderWhere(() => true), 'no leader was named');
    const jobs = trial.submitJobs(8_000);
    await pause(8_000);
    const bringBack = trial.loseData();
    assert.ok(await untilAll('frozen'), 'not all nodes noticed');
    const { starts } = trial.progress;
    assert.ok(starts > 0, 'nothing was started');
    trial.nodes[0]?.kill();
    trial.nodes[0]?.start();
    await pause(4_000);
    assert.ok(await untilAll('frozen'), 'the node that started anew did not learn of the loss');
    assert.equal(trial.progress.starts, starts, 'something was started');
    bringBack();
    assert.ok(await untilAll('serving'), 'not all nodes went on');
    await Promise.race([jobs, pause(60_000)]);
    assert.deepEqual(trial.progress.unfinished, []);
  } finally {
    trial.stop();
  }
});

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
