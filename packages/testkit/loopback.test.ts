import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LoopbackTrial } from './loopback-trial.js';

const SEED = Number(process.env['LOOPBACK_SEED'] ?? 1);
const SECONDS = Number(process.env['LOOPBACK_SECONDS'] ?? 20);

test('a real leader that is asked to end hands over and ends with exit code 0', async () => {
  const trial = new LoopbackTrial({ seed: SEED, durationMs: 0 });
  try {
    await trial.start();
    assert.ok(await trial.leaderWhere(() => true), 'no leader was named');
    // Another member has to be there to take over.
    await new Promise((resolve) => setTimeout(resolve, 3000));
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
