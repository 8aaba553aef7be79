import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jsonBytes } from './codec.js';
import { encodeHeartbeatResponse, parseHeartbeat } from './heartbeat-codec.js';
import { MAX_COMMANDS_PER_RESPONSE, MAX_TASKS_PER_HEARTBEAT } from './heartbeat-limits.js';

/** The protocol's limit of a request or response body, counted as JSON. */
const MAX_BYTES = 64 * 1024;
const LONGEST_ID = `j-${'9'.repeat(32)}`;

test('a heartbeat with as many tasks as a machine may have stays within the limit, with every field at its longest', () => {
  const Pieces = [...Array(MAX_TASKS_PER_HEARTBEAT).keys()].map((i) => ({
    Piece: `${LONGEST_ID}/${99_999 - i}`,
    Try: Number.MAX_SAFE_INTEGER,
    Status: 'gathering',
    Cause: 'unknown',
    Stored: false,
  }));
  const count = 2n ** 64n - 1n;
  const body = {
    Host: 'n-'.padEnd(64, '9'),
    Endpoint: '255.255.255.255:65535',
    Build: 'b'.repeat(64),
    Hall: 'h'.repeat(64),
    Loaners: false,
    Shift: count,
    Tally: count,
    Baton: count,
    RecallS: 1234.5678,
    Pieces,
  };
  assert.ok(jsonBytes(body) <= MAX_BYTES, `${jsonBytes(body)} bytes`);
  assert.equal(parseHeartbeat(body)?.tasks.length, MAX_TASKS_PER_HEARTBEAT);
});

test('a response with as many commands as it may carry stays within the limit', () => {
  const commands = [...Array(MAX_COMMANDS_PER_RESPONSE).keys()].map((i) => {
    const task = `${LONGEST_ID}/${99_999 - i}`;
    return { kind: 'stop' as const, task, attempt: Number.MAX_SAFE_INTEGER, graceS: 99_999 };
  });
  const body = encodeHeartbeatResponse({ fencingToken: Number.MAX_SAFE_INTEGER, commands });
  assert.ok(jsonBytes(body) <= MAX_BYTES, `${jsonBytes(body)} bytes`);
});
