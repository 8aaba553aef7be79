import assert from 'node:assert/strict';
import { test } from 'node:test';
import { askLoss } from '#operations';
import type { DataLossState } from '#recovery';
import { LoopbackTrial } from './loopback-trial.js';

const SEED = Number(process.env['LOOPBACK_SEED'] ?? 1);
/** How long real processes on a busy machine may take to notice that state was lost, or that it is back. */
const LOSS_STATE_TIMEOUT_MS = 30_000;
const SECONDS = Number(process.env['LOOPBACK_SECONDS'] ?? 20);

test('a real leader that is asked to end hands over and ends with exit code 0', async () => {
  const trial = new LoopbackTrial({ seed: SEED, durationMs: 0 });
  try {
    await trial.start();
    assert.ok(await trial.leaderWhere(() => true), 'no leader was named');
    // Another member has to be there to take over.
    await pause(3000);
    const stopped = trial.leader;
    assert.equal(await stopped?.stopGracefully(), 0);
    assert.ok(await trial.leaderWhere((leader) => leader !== stopped), 'nobody took over the lead');
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
  const operatorAddresses = (): string[] => trial.nodes.map(({ addresses }) => addresses.operators);
  const waitUntilAllReport = async (state: DataLossState): Promise<boolean> => {
    for (const end = Date.now() + LOSS_STATE_TIMEOUT_MS; Date.now() < end; await pause(200)) {
      const answers = await askLoss(operatorAddresses());
      if (answers.every((a) => a.kind === 'answered' && a.value.loss?.state === state)) return true;
    }
    return false;
  };
  try {
    await trial.start();
    assert.ok(await trial.leaderWhere(() => true), 'no leader was named');
    const jobs = trial.submitJobs(8_000);
    await pause(8_000);
    const restoreData = trial.loseData();
    assert.ok(await waitUntilAllReport('frozen'), 'not all nodes noticed');
    const { starts } = trial.progress;
    assert.ok(starts > 0, 'nothing was started');
    trial.nodes[0]?.kill();
    trial.nodes[0]?.start();
    await pause(4_000);
    assert.ok(await waitUntilAllReport('frozen'), 'the node that started anew did not learn of the loss');
    assert.equal(trial.progress.starts, starts, 'something was started');
    restoreData();
    assert.ok(await waitUntilAllReport('serving'), 'not all nodes went on');
    await Promise.race([jobs, pause(60_000)]);
    assert.deepEqual(trial.progress.unfinished, []);
  } finally {
    trial.stop();
  }
});

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
