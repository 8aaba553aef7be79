/** The requests to the state service and how its answers are read, as literals: they change only with the protocol. */
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
  /** Each request: its method, path, body if it has one, and the time in milliseconds that it may take. */
  asked: string[];
}

/** A store that gives these answers in their order, null for none, and records the requests. */
function storeOf(replies: readonly (HttpReply | null)[], check?: RevisionCheck): Fixture {
  const asked: string[] = [];
  const left = [...replies];
  const call: HttpClient = (...[endpoint, method, path, body, timeout]) => {
    assert.equal(endpoint, '10.2.0.1:2379');
    const parts = [
      method,
      path,
      ...(body === undefined ? [] : [JSON.stringify(body)]),
      `${timeout / 1000} ms`,
    ];
    asked.push(parts.join(' '));
    const reply = left.shift();
    return reply ? Promise.resolve(reply) : Promise.reject(new Error('no response'));
  };
  return { client: new StoreClient('10.2.0.1:2379', call, check), asked };
}

function answer(status: number, json = '{}'): HttpReply {
  return { status, body: JSON.parse(json) as WireFields };
}

const isError =
  (status: number) =>
  (cause: unknown): boolean => {
    const message = status === 0 ? 'state service: no response' : `state service: ${status}`;
    return cause instanceof StoreError && cause.status === status && cause.message === message;
  };

test('a key is read by its path, unescaped', async () => {
  const { client, asked } = storeOf([
    answer(200, '{"Path":"a/b","V":{"N":1},"Stamp":412,"Permit":7}'),
    answer(404, '{"Epoch":431}'),
    answer(200, '{"Path":"a/b","V":7,"Stamp":412}'),
    answer(503),
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
  await assert.rejects(client.get('a/b'), isError(503));
  await assert.rejects(client.get('a/b'), isError(0));
  assert.deepEqual(asked, Array(5).fill('GET /store/a/b 1500 ms'));
});

test('keys are listed in pages of a thousand', async () => {
  const { client, asked } = storeOf([
    answer(
      200,
      '{"Rows":[{"Path":"c/1","V":{"N":1},"Stamp":4},7,{"Path":"c/2","Stamp":9}],"More":true,"Epoch":431}',
    ),
    answer(200, '{"Rows":[],"More":false,"Epoch":432}'),
    answer(200, '{"Epoch":432}'),
    answer(429),
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
  await assert.rejects(client.list('c/', ''), isError(429));
  await assert.rejects(client.list('c/', ''), isError(0));
  assert.deepEqual(asked, [
    'GET /store?Starts=c/&Limit=1000 4000 ms',
    'GET /store?Starts=c/&After=c/2&Limit=1000 4000 ms',
    'GET /store?Starts=c/&After=c/2&Limit=1000 4000 ms',
    'GET /store?Starts=c/&Limit=1000 4000 ms',
    'GET /store?Starts=c/&Limit=1000 4000 ms',
  ]);
});

test('a transaction names its conditions and its writes, with a lease only where one is given', async () => {
  const { client, asked } = storeOf([answer(200, '{"Epoch":432}'), answer(200, '{"Epoch":433}')]);
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
  assert.deepEqual(asked, [
    'POST /commit {"Guards":[{"Path":"a/b","Stamp":0},{"Path":"a/c","Stamp":412}],' +
      '"Writes":[{"Set":"a/b","V":{"N":1},"Permit":7},{"Set":"a/c","V":{}},{"Remove":"c/d"}]} 1500 ms',
    'POST /commit {"Guards":[],"Writes":[]} 1500 ms',
  ]);
});

test('each answer to a transaction is read as its result', async () => {
  const replies = [
    answer(409, '{"failed":["a/b"],"Epoch":431}'),
    answer(409, '{"Epoch":431}'),
    answer(400, '{"error":"no such lease"}'),
    answer(400, '{"error":"malformed"}'),
    answer(429),
    answer(503),
    answer(302),
    null,
  ];
  const { client } = storeOf(replies);
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
  const most = 18_446_744_073_709_551_615n;
  const { client, asked } = storeOf([
    answer(200, '{"Permit":7}'),
    { status: 200, body: { Permit: most } },
    answer(503),
    answer(200),
    answer(404),
    answer(503),
    answer(200),
    answer(404),
    null,
  ]);
  assert.equal(await client.createLease(3_000_000), 7);
  assert.equal(await client.createLease(2_999_600), most);
  await assert.rejects(client.createLease(3_000_000), isError(503));
  assert.equal(await client.renewLease(7), true);
  assert.equal(await client.renewLease(most), false);
  await assert.rejects(client.renewLease(7), isError(503));
  await client.revokeLease(most);
  await client.revokeLease(7);
  await assert.rejects(client.revokeLease(7), isError(0));
  assert.deepEqual(asked, [
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

test('changes are watched from a revision on, and read in the order of the answer', async () => {
  const { client, asked } = storeOf([
    answer(
      200,
      '{"Epoch":433,"News":[{"Set":"c/9","V":{"N":1},"Stamp":433},{"Remove":"c/d","Stamp":432},7,' +
        '{"Set":null,"Remove":"c/e","Stamp":431}]}',
    ),
    answer(200, '{"Epoch":433}'),
    answer(410),
    answer(503),
    null,
  ]);
  const follow = () => client.watch('c/', 431, 10_000_000);
  assert.deepEqual(await follow(), {
    revision: 433,
    changes: [
      { path: 'c/9', revision: 433, value: { N: 1 } },
      { path: 'c/d', revision: 432, value: null },
      { path: 'c/e', revision: 431, value: null },
    ],
  });
  assert.deepEqual(await follow(), { revision: 433, changes: [] });
  assert.equal(await follow(), null);
  await assert.rejects(follow(), isError(503));
  await assert.rejects(follow(), isError(0));
  assert.deepEqual(asked, Array(5).fill('GET /follow?Starts=c/&After=431&BlockMs=10000 14000 ms'));
});

test('the expiry of a lease is confirmed by a read of the present revision where revisions are checked', async () => {
  const check: RevisionCheck = {
    isOpen: () => true,
    minimumRevision: () => 400,
    accepts: (floor, revision) => revision >= floor,
    acceptsCommitted: (floor, revision) => revision > floor,
  };
  const whole = storeOf([answer(404), answer(404, '{"Epoch":400}')], check);
  assert.equal(await whole.client.renewLease(7), false);
  const lost = storeOf([answer(404), answer(404, '{"Epoch":399}')], check);
  await assert.rejects(lost.client.renewLease(7), isError(503));
  for (const { asked } of [whole, lost]) {
    assert.deepEqual(asked, ['POST /grants/7/renew 1500 ms', 'GET /store/mw/nothing 1500 ms']);
  }
  assert.equal(UNUSED_KEY, 'mw/nothing');
});

test('while the revision check is closed no request is sent, and all are refused as in an outage', async () => {
  const closed: RevisionCheck = {
    isOpen: () => false,
    minimumRevision: () => 400,
    accepts: () => true,
    acceptsCommitted: () => true,
  };
  const { client, asked } = storeOf([], closed);
  await assert.rejects(client.get('a/b'), isError(503));
  await assert.rejects(client.createLease(3_000_000), isError(503));
  await assert.rejects(client.renewLease(7), isError(503));
  await assert.rejects(client.watch('c/', 431, 10_000_000), isError(503));
  const result = await client.compareAndSwap([], [{ remove: 'a/b' }]);
  assert.deepEqual(result, { kind: 'not_executed', status: 503 });
  assert.deepEqual(asked, []);
});
