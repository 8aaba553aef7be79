import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decode, encode, isCount, sameCount } from './codec.js';
import { parseReport } from './report.js';
import { parseSubmission } from './submission.js';

const JOB = {
  ...{ Uid: 'j-000412', Lane: 'train', Crew: 'vision', Shape: 'array', Rank: 'urgent', Pieces: 16 },
  ...{ Cpus: 8, Gpus: 1, MemGb: 64, Bundle: 'img-07', SizeGb: 6.2, Builds: ['g8'], Hall: null },
  ...{ SamePlace: true, Scatter: false, Loaners: true, ExpectS: 240, BookmarkS: 30, StashS: 4, DueS: 900 },
};

test('counts up to 2^64 - 1 survive the wire', () => {
  fc.assert(
    fc.property(fc.bigInt(0n, (1n << 64n) - 1n), (count) => {
      const back = decode(encode({ count })) as { count: number | bigint };
      assert.ok(isCount(back.count));
      assert.ok(sameCount(back.count, count));
    }),
    { seed: 7, numRuns: 300 },
  );
});

test('a submission is taken whole, without unknown fields; optional ones may be left out', () => {
  const { Builds, Hall, DueS, ...rest } = JOB;
  assert.deepEqual(parseSubmission({ ...JOB, Extra: 1 }), { job: JOB });
  assert.deepEqual(parseSubmission(rest), { job: { ...rest, Builds: null, Hall: null, DueS: null } });
  assert.deepEqual([Builds, Hall, DueS], [['g8'], null, 900]);
});

test('a submission with any field missing or of another kind is named invalid', () => {
  const optional = ['Builds', 'Hall', 'DueS'];
  for (const field of Object.keys(JOB)) {
    if (!optional.includes(field)) {
      assert.deepEqual(parseSubmission({ ...JOB, [field]: undefined }), { invalid: field });
    }
    assert.deepEqual(parseSubmission({ ...JOB, [field]: { odd: 1 } }), { invalid: field });
  }
  const bad: [string, unknown][] = [
    ['Uid', 'x-1'],
    ['Uid', 'j-1/2'],
    ['Shape', 'ensemble'],
    ['Rank', 'low'],
    ['Pieces', 0],
    ['Pieces', 100_001],
    ['Pieces', 1.5],
    ['Cpus', -1],
    ['Cpus', Number.NaN],
    ['Cpus', Infinity],
    ['DueS', -5],
    ['Bundle', ''],
  ];
  for (const [field, value] of bad) {
    assert.deepEqual(parseSubmission({ ...JOB, [field]: value }), { invalid: field });
  }
  for (const body of [null, 1, 'x', [], new Uint8Array(2)]) {
    assert.deepEqual(parseSubmission(body), { invalid: 'body' });
  }
});

test('whatever comes as a body, it is taken or refused, never thrown at', () => {
  fc.assert(
    fc.property(fc.anything(), (body) => {
      parseSubmission(body);
      parseReport(body);
    }),
    { seed: 11, numRuns: 500 },
  );
});
