import assert from 'node:assert/strict';
import { test } from 'node:test';
import { evaluateRun, parseKnownRed } from './known-red.js';

const KNOWN = parseKnownRed('a task ends | the end is late | issue 14\n');
const OTHER_PASSED = { name: 'another', passed: true };

test('a run passes whether a listed test fails or passes, and reports its result', () => {
  const failed = evaluateRun(KNOWN, [OTHER_PASSED, { name: 'a task ends', passed: false }]);
  assert.equal(failed.passed, true);
  assert.match(failed.lines.join(), /known red, failed: a task ends \(the end is late; issue 14\)/);
  const passed = evaluateRun(KNOWN, [OTHER_PASSED, { name: 'a task ends', passed: true }]);
  assert.equal(passed.passed, true);
  assert.match(passed.lines.join(), /known red, passed/);
});

test('a run fails if an unlisted test fails, a listed test was not run, or no test was run', () => {
  assert.equal(
    evaluateRun(KNOWN, [
      OTHER_PASSED,
      { name: 'a task ends', passed: true },
      { ...OTHER_PASSED, passed: false },
    ]).passed,
    false,
  );
  assert.equal(evaluateRun(KNOWN, [OTHER_PASSED]).passed, false);
  assert.equal(evaluateRun([], []).passed, false);
  assert.equal(evaluateRun([], [OTHER_PASSED]).passed, true);
});

test('rejects a list of more than three lines, and a line with a missing or additional part', () => {
  assert.throws(() => parseKnownRed('a | b | c\n'.repeat(4)), /4 lines, 3 at most/);
  assert.equal(parseKnownRed('a | b | c\n'.repeat(3)).length, 3);
  for (const bad of ['a | b\n', 'a |  | c\n', 'a | b | c | d\n'])
    assert.throws(() => parseKnownRed(bad), /line 1/);
  assert.deepEqual(parseKnownRed('\n'), []);
});
