/** What `micaworks submit`, `show` and `withdraw` print, to the letter: scripts of the operators read these lines. */
import assert from 'node:assert/strict';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { encode, encodeJobState, encodeSubmission, type JobState } from '#wire';
import { sampleJob } from '#testkit';
import { answerAlways, folderFor, run } from './command-test-support.js';

test("a job's state is printed as one of these lines", async (t) => {
  const states: [state: JobState, line: string][] = [
    [{ id: 'j-7', status: 'pending' }, 'j-7: pending'],
    [{ id: 'j-7', status: 'running', done: 1, running: 2 }, 'j-7: running, 1 tasks done, 2 running'],
    [{ id: 'j-7', status: 'done' }, 'j-7: done'],
    [{ id: 'j-7', status: 'cancelled' }, 'j-7: cancelled'],
  ];
  const folder = folderFor(t);
  const file = join(folder, 'job.json');
  writeFileSync(file, JSON.stringify(encodeSubmission(sampleJob('j-7'))));
  for (const [state, line] of states) {
    const node = await answerAlways(t, 200, encode(encodeJobState(state)));
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

test('an answer that tells no state is printed as one of these lines', async (t) => {
  const answers: [status: number, body: object, line: string][] = [
    [201, { Uid: 'j-7', Status: 'later' }, 'j-7: unknown state'],
    [400, { error: 'Lane' }, '! micaworks: refused with 400: Lane'],
    [404, { error: 'no such job' }, '! micaworks: refused with 404: no such job'],
    [500, {}, '! micaworks: refused with 500: no reason given'],
  ];
  for (const [status, body, line] of answers) {
    const node = await answerAlways(t, status, encode(body));
    const code = line.startsWith('!') ? 1 : 0;
    assert.deepEqual(await run(['show', 'j-7', '--node', node]), [`exit ${code}`, line]);
  }
});
