import assert from 'node:assert/strict';
import { test } from 'node:test';
import { requestDataLossStatus } from '#operations';
import type { DataLossState } from '#recovery';
import { LoopbackTrial } from './loopback-trial.js';

const SEED = Number(process.env['LOOPBACK_SEED'] ?? 1);
/** Longest time that real processes on a busy machine may take to detect a data loss, or the restored data. */
const LOSS_STATE_TIMEOUT_MS = 30_000;
const SECONDS = Number(process.env['LOOPBACK_SECONDS'] ?? 20);

test('a leader process that receives SIGTERM hands off its role and exits with code 0', async () => {
  const trial = new LoopbackTrial({ seed: SEED, durationMs: 0 });
  try {
    await trial.start();
    assert.ok(await trial.leaderWhere(() => true), 'no leader was elected');
    // Another member must have joined before it can become the leader.
    await pause(3000);
    const stopped = trial.leader;
    assert.equal(await stopped?.stopGracefully(), 0);
    assert.ok(await trial.leaderWhere((leader) => leader !== stopped), 'no other member became the leader');
  } finally {
    trial.stop();
  }
});

test('node processes that are suspended, resumed and killed at random violate no invariant and act only within their terms', async (t) => {
  const trial = new LoopbackTrial({ seed: SEED, durationMs: SECONDS * 1000 });
  try {
    const report = await trial.run();
    const { vacancies, unfinished, ...numbers } = report;
    t.diagnostic(JSON.stringify({ seed: SEED, ...numbers }));
    for (const line of vacancies.report()) t.diagnostic(line);
    assert.ok(report.freezes + report.kills > 0, 'no process was suspended or killed');
    assert.ok(report.terms > 1, 'the leader never changed');
    assert.ok(report.starts > 0, 'no task was started');
    assert.deepEqual(unfinished, []);
  } finally {
    trial.stop();
  }
});

test('node processes stop acting when state is deleted, also one that restarts meanwhile, and all jobs end once it is restored', async () => {
  const trial = new LoopbackTrial({ seed: SEED, durationMs: 0 });
  const operatorAddresses = (): string[] => trial.nodes.map(({ addresses }) => addresses.operators);
  const waitUntilAllReport = async (state: DataLossState): Promise<boolean> => {
    for (const end = Date.now() + LOSS_STATE_TIMEOUT_MS; Date.now() < end; await pause(200)) {
      const answers = await requestDataLossStatus(operatorAddresses());
      if (answers.every((a) => a.kind === 'answered' && a.value.loss?.state === state)) return true;
    }
    return false;
  };
  try {
    await trial.start();
    assert.ok(await trial.leaderWhere(() => true), 'no leader was elected');
    const jobs = trial.submitJobs(8_000);
    await pause(8_000);
    const restoreData = trial.loseData();
    assert.ok(await waitUntilAllReport('frozen'), 'not all nodes reported the data loss');
    const { starts } = trial.progress;
    assert.ok(starts > 0, 'no task was started');
    trial.nodes[0]?.kill();
    trial.nodes[0]?.start();
    await pause(4_000);
    assert.ok(await waitUntilAllReport('frozen'), 'the restarted node did not report the data loss');
    assert.equal(trial.progress.starts, starts, 'a task was started during the data loss');
    restoreData();
    assert.ok(await waitUntilAllReport('serving'), 'not all nodes resumed serving');
    await Promise.race([jobs, pause(60_000)]);
    assert.deepEqual(trial.progress.unfinished, []);
  } finally {
    trial.stop();
  }
});

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
