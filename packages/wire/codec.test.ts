/** Tests that the codecs decode what they encode and reject invalid bodies. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decode, encode, isCount, countsEqual } from './codec.js';
import { decodeJobStatus, encodeJobState } from './job-state-codec.js';
import type { JobSpec } from './jobs.js';
import { encodeRedirect, encodeHeartbeatResponse, parseHeartbeat } from './heartbeat-codec.js';
import { encodeSubmission, parseSubmission } from './submission-codec.js';
import type { Command } from './heartbeat.js';

const SUBMISSION = {
  Uid: 'j-000412',
  Lane: 'train',
  Crew: 'vision',
  Shape: 'array',
  Rank: 'urgent',
  Pieces: 16,
  Cpus: 8,
  Gpus: 1,
  MemGb: 64,
  Bundle: 'img-07',
  SizeGb: 6.2,
  Builds: ['g8'],
  Hall: null,
  SamePlace: true,
  Scatter: false,
  Loaners: true,
  ExpectS: 240,
  BookmarkS: 30,
  StashS: 4,
  DueS: 900,
};

test('counts up to 2^64 - 1 are decoded to the same integer', () => {
  fc.assert(
    fc.property(fc.bigInt(0n, (1n << 64n) - 1n), (count) => {
      const decoded = decode(encode({ count })) as { count: number | bigint };
      assert.ok(isCount(decoded.count));
      assert.ok(countsEqual(decoded.count, count));
    }),
    { seed: 7, numRuns: 300 },
  );
});

function parseValidSubmission(body: unknown): JobSpec {
  const result = parseSubmission(body);
  if ('invalid' in result) assert.fail(`${result.invalid} is invalid`);
  return result.job;
}

test('each field of a submission is read under its protocol name', () => {
  assert.deepEqual(parseValidSubmission(SUBMISSION), {
    id: 'j-000412',
    jobClass: 'train',
    team: 'vision',
    shape: 'array',
    rank: 'urgent',
    taskCount: 16,
    cpus: 8,
    gpus: 1,
    memGb: 64,
    image: 'img-07',
    imageGb: 6.2,
    machineTypes: ['g8'],
    zone: null,
    singleZone: true,
    spreadZones: false,
    allowsSpot: true,
    estimateS: 240,
    checkpointS: 30,
    saveS: 4,
    deadlineS: 900,
  });
});

test('a heartbeat and its response are mapped to and from their protocol names', () => {
  const body = {
    Host: 'n-000231',
    Endpoint: '10.1.0.232:9000',
    Build: 'g8',
    Hall: 'a',
    Loaners: true,
    Shift: 1,
    Tally: 88,
    Baton: 41,
    RecallS: null,
    Pieces: [
      { Piece: 'j-000412/3', Try: 2, Status: 'pulling' },
      { Piece: 'j-000398/0', Try: 1, Status: 'exited', Cause: 'in_use' },
      { Piece: 'j-000398/1', Try: 1, Status: 'some later state' },
    ],
  };
  assert.deepEqual(parseHeartbeat(body), {
    host: 'n-000231',
    address: '10.1.0.232:9000',
    machineType: 'g8',
    zone: 'a',
    spot: true,
    incarnation: 1,
    sequence: 88,
    fencingToken: 41,
    spotNoticeS: null,
    tasks: [
      { task: 'j-000412/3', attempt: 2, state: 'fetching', cause: null },
      { task: 'j-000398/0', attempt: 1, state: 'exited', cause: 'duplicate' },
      { task: 'j-000398/1', attempt: 1, state: 'fetching', cause: null },
    ],
  });
  for (const field of ['Host', 'Endpoint', 'Build', 'Hall', 'Loaners', 'Shift', 'Tally', 'Baton', 'Pieces']) {
    assert.equal(parseHeartbeat({ ...body, [field]: undefined }), null, field);
  }
  assert.equal(parseHeartbeat({ ...body, RecallS: 'soon' }), null);
  assert.equal(parseHeartbeat({ ...body, Pieces: [{ Piece: 'j-1/0', Status: 'running' }] }), null);
  const commands: Command[] = [
    { kind: 'start', task: 'j-000412/4', attempt: 2 },
    { kind: 'stop', task: 'j-000377/1', attempt: 1, graceS: 10 },
    { kind: 'forget', task: 'j-000398/0', attempt: 1 },
  ];
  assert.deepEqual(encodeHeartbeatResponse({ fencingToken: 41, commands }), {
    Baton: 41,
    Orders: [
      { Verb: 'launch', Piece: 'j-000412/4', Try: 2 },
      { Verb: 'halt', Piece: 'j-000377/1', Try: 1, WindDownS: 10 },
      { Verb: 'reap', Piece: 'j-000398/0', Try: 1 },
    ],
  });
  assert.deepEqual(encodeRedirect('hive-2'), { Foreman: 'hive-2' });
});

test('the status of a job is decoded to the encoded value', () => {
  for (const status of ['pending', 'running', 'done', 'cancelled'] as const) {
    assert.equal(decodeJobStatus(encodeJobState({ id: 'j-1', status })), status);
  }
  assert.deepEqual(encodeJobState({ id: 'j-1', status: 'cancelled' }), { Uid: 'j-1', Status: 'withdrawn' });
  assert.equal(decodeJobStatus({ error: 'no such job' }), null);
});

test('unknown fields of a submission are ignored, and optional ones may be omitted', () => {
  const { Builds, Hall, DueS, ...rest } = SUBMISSION;
  assert.deepEqual(encodeSubmission(parseValidSubmission({ ...SUBMISSION, Extra: 1 })), SUBMISSION);
  assert.deepEqual(encodeSubmission(parseValidSubmission(rest)), {
    ...rest,
    Builds: null,
    Hall: null,
    DueS: null,
  });
  assert.deepEqual([Builds, Hall, DueS], [['g8'], null, 900]);
});

test('the shape of a gang is mapped to and from its protocol name', () => {
  const submitted = parseSubmission({ ...SUBMISSION, Shape: 'ensemble' });
  assert.ok('job' in submitted);
  assert.equal(submitted.job.shape, 'gang');
  assert.equal(encodeSubmission(submitted.job)['Shape'], 'ensemble');
});

test('a submission with a missing or invalid field is rejected with the name of the field', () => {
  const optional = ['Builds', 'Hall', 'DueS'];
  for (const field of Object.keys(SUBMISSION)) {
    if (!optional.includes(field)) {
      assert.deepEqual(parseSubmission({ ...SUBMISSION, [field]: undefined }), { invalid: field });
    }
    assert.deepEqual(parseSubmission({ ...SUBMISSION, [field]: { odd: 1 } }), { invalid: field });
  }
  const invalidFields: [string, unknown][] = [
    ['Uid', 'x-1'],
    ['Uid', 'j-1/2'],
    ['Shape', 'service'],
    ['Shape', 'gang'],
    ['Shape', 'toString'],
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
  for (const [field, value] of invalidFields) {
    assert.deepEqual(parseSubmission({ ...SUBMISSION, [field]: value }), { invalid: field });
  }
  for (const body of [null, 1, 'x', [], new Uint8Array(2)]) {
    assert.deepEqual(parseSubmission(body), { invalid: 'body' });
  }
});

test('parsing any decoded body returns a result and never throws', () => {
  fc.assert(
    fc.property(fc.anything(), (body) => {
      parseSubmission(body);
      parseHeartbeat(body);
    }),
    { seed: 11, numRuns: 500 },
  );
});
