/** Golden tests of the requests to the state service and of its answers. Expectations change only with the protocol. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HttpClient, WireFields, HttpReply } from '#wire';
import {
  type CommitResult,
  type RevisionCheck,
  isRateLimited,
  isTooLarge,
  UNUSED_KEY,
  StoreClient,
  StoreError,
} from './index.js';

interface Fixture {
  client: StoreClient;
  /** The method, path, body (if any) and timeout of each request that was sent. */
  requests: string[];
}

/** Creates a client whose requests get these replies in order (null for no reply), and records the requests. */
function clientWithReplies(replies: readonly (HttpReply | null)[], check?: RevisionCheck): Fixture {
  const requests: string[] = [];
  const remainingReplies = [...replies];
  const httpClient: HttpClient = (...[endpoint, method, path, body, timeout]) => {
    assert.equal(endpoint, '10.2.0.1:2379');
    const parts = [
      method,
      path,
      ...(body === undefined ? [] : [JSON.stringify(body)]),
      `${timeout / 1000} ms`,
    ];
    requests.push(parts.join(' '));
    const reply = remainingReplies.shift();
    return reply ? Promise.resolve(reply) : Promise.reject(new Error('no response'));
  };
  return { client: new StoreClient('10.2.0.1:2379', httpClient, check), requests };
}

function makeReply(status: number, json = '{}'): HttpReply {
  return { status, body: JSON.parse(json) as WireFields };
}

const isStoreError =
  (status: number) =>
  (cause: unknown): boolean => {
    const message = status === 0 ? 'state service: no response' : `state service: ${status}`;
    return cause instanceof StoreError && cause.status === status && cause.message === message;
  };

test('get requests a key by its unescaped path', async () => {
  const { client, requests } = clientWithReplies([
    makeReply(200, '{"Path":"a/b","V":{"N":1},"Stamp":412,"Permit":7}'),
    makeReply(404, '{"Epoch":431}'),
    makeReply(200, '{"Path":"a/b","V":7,"Stamp":412}'),
    makeReply(503),
    null,
  ]);
  assert.deepEqual(await client.get('a/b'), {
    row: { path: 'a/b', value: { N: 1 }, revision: 412 },
    revision: 412,
  });
  assert.deepEqual(await client.get('a/b'), { row: null, revision: 431 });
  assert.deepEqual(await client.get('a/b'), {
    row: { path: 'a/b', value: {}, revision: 412 },
    revision: 412,
  });
  await assert.rejects(client.get('a/b'), isStoreError(503));
  await assert.rejects(client.get('a/b'), isStoreError(0));
  assert.deepEqual(requests, Array(5).fill('GET /store/a/b 1500 ms'));
});

test('list requests rows in pages of a thousand', async () => {
  const { client, requests } = clientWithReplies([
    makeReply(
      200,
      '{"Rows":[{"Path":"c/1","V":{"N":1},"Stamp":4},7,{"Path":"c/2","Stamp":9}],"More":true,"Epoch":431}',
    ),
    makeReply(200, '{"Rows":[],"More":false,"Epoch":432}'),
    makeReply(200, '{"Epoch":432}'),
    makeReply(429),
    null,
  ]);
  assert.deepEqual(await client.list('c/', ''), {
    rows: [
      { path: 'c/1', value: { N: 1 }, revision: 4 },
      { path: 'c/2', value: {}, revision: 9 },
    ],
    more: true,
    revision: 431,
  });
  assert.deepEqual(await client.list('c/', 'c/2'), { rows: [], more: false, revision: 432 });
  assert.deepEqual(await client.list('c/', 'c/2'), { rows: [], more: false, revision: 432 });
  await assert.rejects(client.list('c/', ''), isStoreError(429));
  await assert.rejects(client.list('c/', ''), isStoreError(0));
  assert.deepEqual(requests, [
    'GET /store?Starts=c/&Limit=1000 4000 ms',
    'GET /store?Starts=c/&After=c/2&Limit=1000 4000 ms',
    'GET /store?Starts=c/&After=c/2&Limit=1000 4000 ms',
    'GET /store?Starts=c/&Limit=1000 4000 ms',
    'GET /store?Starts=c/&Limit=1000 4000 ms',
  ]);
});

test('compareAndSwap sends guards and writes, with a lease only for writes that have one', async () => {
  const { client, requests } = clientWithReplies([
    makeReply(200, '{"Epoch":432}'),
    makeReply(200, '{"Epoch":433}'),
  ]);
  const guards = [
    { path: 'a/b', revision: 0 },
    { path: 'a/c', revision: 412 },
  ];
  const result = await client.compareAndSwap(guards, [
    { set: 'a/b', value: { N: 1 }, leaseId: 7 },
    { set: 'a/c', value: {} },
    { remove: 'c/d' },
  ]);
  assert.deepEqual(result, { kind: 'applied', revision: 432 });
  assert.deepEqual(await client.compareAndSwap([], []), { kind: 'applied', revision: 433 });
  assert.deepEqual(requests, [
    'POST /commit {"Guards":[{"Path":"a/b","Stamp":0},{"Path":"a/c","Stamp":412}],' +
      '"Writes":[{"Set":"a/b","V":{"N":1},"Permit":7},{"Set":"a/c","V":{}},{"Remove":"c/d"}]} 1500 ms',
    'POST /commit {"Guards":[],"Writes":[]} 1500 ms',
  ]);
});

test('compareAndSwap maps each answer to a commit result', async () => {
  const replies = [
    makeReply(409, '{"failed":["a/b"],"Epoch":431}'),
    makeReply(409, '{"Epoch":431}'),
    makeReply(400, '{"error":"no such lease"}'),
    makeReply(400, '{"error":"malformed"}'),
    makeReply(429),
    makeReply(503),
    makeReply(302),
    null,
  ];
  const { client } = clientWithReplies(replies);
  const results: CommitResult[] = [];
  while (results.length < replies.length) {
    results.push(await client.compareAndSwap([], [{ remove: 'a/b' }]));
  }
  assert.deepEqual(results, [
    { kind: 'refused', failed: ['a/b'], revision: 431 },
    { kind: 'refused', failed: [], revision: 431 },
    { kind: 'lease_expired' },
    { kind: 'not_executed', status: 400 },
    { kind: 'not_executed', status: 429 },
    { kind: 'not_executed', status: 503 },
    { kind: 'unknown' },
    { kind: 'unknown' },
  ]);
  assert.deepEqual(results.map(isTooLarge), [false, false, false, true, false, false, false, false]);
  assert.deepEqual(results.map(isRateLimited), [false, false, false, false, true, false, false, false]);
});

test('leases are created, renewed and revoked by their ids, up to 2^64 - 1', async () => {
  const maxLeaseId = 18_446_744_073_709_551_615n;
  const { client, requests } = clientWithReplies([
    makeReply(200, '{"Permit":7}'),
    { status: 200, body: { Permit: maxLeaseId } },
    makeReply(503),
    makeReply(200),
    makeReply(404),
    makeReply(503),
    makeReply(200),
    makeReply(404),
    null,
  ]);
  assert.equal(await client.createLease(3_000_000), 7);
  assert.equal(await client.createLease(2_999_600), maxLeaseId);
  await assert.rejects(client.createLease(3_000_000), isStoreError(503));
  assert.equal(await client.renewLease(7), true);
  assert.equal(await client.renewLease(maxLeaseId), false);
  await assert.rejects(client.renewLease(7), isStoreError(503));
  await client.revokeLease(maxLeaseId);
  await client.revokeLease(7);
  await assert.rejects(client.revokeLease(7), isStoreError(0));
  assert.deepEqual(requests, [
    'POST /grants {"LifeMs":3000} 1500 ms',
    'POST /grants {"LifeMs":3000} 1500 ms',
    'POST /grants {"LifeMs":3000} 1500 ms',
    'POST /grants/7/renew 1500 ms',
    'POST /grants/18446744073709551615/renew 1500 ms',
    'POST /grants/7/renew 1500 ms',
    'DELETE /grants/18446744073709551615 1500 ms',
    'DELETE /grants/7 1500 ms',
    'DELETE /grants/7 1500 ms',
  ]);
});

test('watch requests the changes since a revision and returns them in the order of the answer', async () => {
  const { client, requests } = clientWithReplies([
    makeReply(
      200,
      '{"Epoch":433,"News":[{"Set":"c/9","V":{"N":1},"Stamp":433},{"Remove":"c/d","Stamp":432},7,' +
        '{"Set":null,"Remove":"c/e","Stamp":431}]}',
    ),
    makeReply(200, '{"Epoch":433}'),
    makeReply(410),
    makeReply(503),
    null,
  ]);
  const watch = () => client.watch('c/', 431, 10_000_000);
  assert.deepEqual(await watch(), {
    revision: 433,
    changes: [
      { path: 'c/9', revision: 433, value: { N: 1 } },
      { path: 'c/d', revision: 432, value: null },
      { path: 'c/e', revision: 431, value: null },
    ],
  });
  assert.deepEqual(await watch(), { revision: 433, changes: [] });
  assert.equal(await watch(), null);
  await assert.rejects(watch(), isStoreError(503));
  await assert.rejects(watch(), isStoreError(0));
  assert.deepEqual(requests, Array(5).fill('GET /follow?Starts=c/&After=431&BlockMs=10000 14000 ms'));
});

test('renewLease confirms an expiry by a read of the current revision if there is a revision check', async () => {
  const check: RevisionCheck = {
    isOpen: () => true,
    minimumRevision: () => 400,
    accepts: (floor, revision) => revision >= floor,
    acceptsCommitted: (floor, revision) => revision > floor,
  };
  const intact = clientWithReplies([makeReply(404), makeReply(404, '{"Epoch":400}')], check);
  assert.equal(await intact.client.renewLease(7), false);
  const withLostHistory = clientWithReplies([makeReply(404), makeReply(404, '{"Epoch":399}')], check);
  await assert.rejects(withLostHistory.client.renewLease(7), isStoreError(503));
  for (const { requests } of [intact, withLostHistory]) {
    assert.deepEqual(requests, ['POST /grants/7/renew 1500 ms', 'GET /store/mw/nothing 1500 ms']);
  }
  assert.equal(UNUSED_KEY, 'mw/nothing');
});

test('while the revision check allows no requests, none is sent and all fail as in an outage', async () => {
  const closed: RevisionCheck = {
    isOpen: () => false,
    minimumRevision: () => 400,
    accepts: () => true,
    acceptsCommitted: () => true,
  };
  const { client, requests } = clientWithReplies([], closed);
  await assert.rejects(client.get('a/b'), isStoreError(503));
  await assert.rejects(client.createLease(3_000_000), isStoreError(503));
  await assert.rejects(client.renewLease(7), isStoreError(503));
  await assert.rejects(client.watch('c/', 431, 10_000_000), isStoreError(503));
  const result = await client.compareAndSwap([], [{ remove: 'a/b' }]);
  assert.deepEqual(result, { kind: 'not_executed', status: 503 });
  assert.deepEqual(requests, []);
});
