/** Golden tests of the output of `micaworks submit`, `show` and `withdraw`, which operators' scripts parse. */
import assert from 'node:assert/strict';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { encode, encodeJobState, encodeSubmission, type JobState } from '#wire';
import { sampleJob } from '#testkit';
import { startFixedResponseServer, createTestFolder, run } from './command-test-support.js';

test("submit, show and withdraw print the job's state on one line", async (t) => {
  const states: [state: JobState, line: string][] = [
    [{ id: 'j-7', status: 'pending' }, 'j-7: pending'],
    [{ id: 'j-7', status: 'running', done: 1, running: 2 }, 'j-7: running, 1 tasks done, 2 running'],
    [{ id: 'j-7', status: 'done' }, 'j-7: done'],
    [{ id: 'j-7', status: 'cancelled' }, 'j-7: cancelled'],
  ];
  const folder = createTestFolder(t);
  const file = join(folder, 'job.json');
  writeFileSync(file, JSON.stringify(encodeSubmission(sampleJob('j-7'))));
  for (const [state, line] of states) {
    const node = await startFixedResponseServer(t, 200, encode(encodeJobState(state)));
    const commands = [
      ['submit', file],
      ['show', 'j-7'],
      ['withdraw', 'j-7'],
    ];
    for (const command of commands) {
      assert.deepEqual(await run([...command, '--node', node]), ['exit 0', line], command[0]);
    }
  }
});

test('an unknown state is printed as such, and an error response fails with its status and reason', async (t) => {
  const answers: [status: number, body: object, line: string][] = [
    [201, { Uid: 'j-7', Status: 'later' }, 'j-7: unknown state'],
    [400, { error: 'Lane' }, '! micaworks: request refused with status 400: Lane'],
    [404, { error: 'no such job' }, '! micaworks: request refused with status 404: no such job'],
    [500, {}, '! micaworks: request refused with status 500: no reason given'],
  ];
  for (const [status, body, line] of answers) {
    const node = await startFixedResponseServer(t, status, encode(body));
    const code = line.startsWith('!') ? 1 : 0;
    assert.deepEqual(await run(['show', 'j-7', '--node', node]), [`exit ${code}`, line]);
  }
});
