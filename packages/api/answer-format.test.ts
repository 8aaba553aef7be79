/**
 * The bytes of the answers to users and workers, headers included, as literals: they change only with the protocol.
 * What a node answers with is pinned in the daemon's tests.
 */
import assert from 'node:assert/strict';
import type { Server } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { after, before, beforeEach, test } from 'node:test';
import { encode } from '#wire';
import { type ServiceResponse, createApp, listen } from './index.js';

let next: ServiceResponse | Error = { status: 200, body: {} };
const asked: string[] = [];
let server: Server;

function answerTo(what: string, body?: unknown): ServiceResponse {
  asked.push(body === undefined ? what : `${what} ${JSON.stringify(body)}`);
  if (next instanceof Error) throw next;
  return next;
}

before(async () => {
  const app = createApp(
    {
      submitJob: (body) => Promise.resolve().then(() => answerTo('submit', body)),
      getJob: (id) => Promise.resolve().then(() => answerTo(`show ${id}`)),
      cancelJob: (id) => Promise.resolve().then(() => answerTo(`cancel ${id}`)),
      heartbeat: (body) => Promise.resolve().then(() => answerTo('report', body)),
      health: () => answerTo('health'),
    },
    () => undefined,
  );
  server = await listen(app, '127.0.0.1:0', 50);
});
after(() => {
  server.closeAllConnections();
  server.close();
});
beforeEach(() => {
  next = { status: 200, body: {} };
  asked.length = 0;
});

/** All that comes back on a connection of its own: the head without its date, a line each, then the body in hex. */
function exchange(method: string, path: string, body?: Buffer): Promise<string[]> {
  return new Promise((resolve, reject) => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    let bytes = Buffer.alloc(0);
    socket.on('error', reject);
    socket.on('data', (chunk: Buffer) => {
      bytes = Buffer.concat([bytes, chunk]);
      const cut = bytes.indexOf('\r\n\r\n');
      const head = bytes.subarray(0, cut).toString('latin1');
      const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1]);
      if (cut < 0 || bytes.length < cut + 4 + length) return;
      socket.destroy();
      const lines = head.split('\r\n').filter((line) => !line.startsWith('Date: '));
      resolve([...lines, bytes.subarray(cut + 4).toString('hex')]);
    });
    const length = body ? `Content-Length: ${body.length}\r\n` : '';
    socket.write(`${method} ${path} HTTP/1.1\r\nHost: x\r\n${length}\r\n`);
    if (body) socket.write(body);
  });
}

const TYPE = 'Content-Type: application/msgpack';
const KEPT = ['Connection: keep-alive', 'Keep-Alive: timeout=3600'];

test('an answer keeps its head and its bytes', async () => {
  next = { status: 201, body: { Uid: 'j-1', Status: 'pending' } };
  assert.deepEqual(await exchange('POST', '/submissions', encode({ Uid: 'j-1' })), [
    'HTTP/1.1 201 Created',
    TYPE,
    'Content-Length: 24',
    ...KEPT,
    '82a3556964a36a2d31a6537461747573a770656e64696e67',
  ]);
  assert.deepEqual(asked, ['submit {"Uid":"j-1"}']);
});

test('a refusal keeps its head, with the time after which to retry and the end of the connection', async () => {
  next = { status: 503, body: { error: 'later' }, retryAfterS: 1, closesConnection: true };
  assert.deepEqual(await exchange('GET', '/submissions/j-1'), [
    'HTTP/1.1 503 Service Unavailable',
    'Retry-After: 1',
    'Connection: close',
    TYPE,
    'Content-Length: 13',
    '81a56572726f72a56c61746572',
  ]);
  next = { status: 503, body: { error: 'later' }, retryAfterS: 2 };
  assert.deepEqual(await exchange('GET', '/healthz'), [
    'HTTP/1.1 503 Service Unavailable',
    'Retry-After: 2',
    TYPE,
    'Content-Length: 13',
    ...KEPT,
    '81a56572726f72a56c61746572',
  ]);
  assert.deepEqual(asked, ['show j-1', 'health']);
});

test('a worker is redirected with 421', async () => {
  next = { status: 421, body: { Foreman: 'hive-2' } };
  assert.deepEqual(await exchange('POST', '/v1/report', encode({ Host: 'n-1' })), [
    'HTTP/1.1 421 Misdirected Request',
    TYPE,
    'Content-Length: 16',
    ...KEPT,
    '81a7466f72656d616ea6686976652d32',
  ]);
  assert.deepEqual(asked, ['report {"Host":"n-1"}']);
});

test('each path of the protocol reaches its operation', async () => {
  await exchange('GET', '/submissions/j-000412?x=1');
  await exchange('POST', '/submissions/j-000412/withdraw');
  await exchange('POST', '/submissions/j-000412/withdraw', encode({ any: 1 }));
  await exchange('GET', '/healthz');
  assert.deepEqual(asked, ['show j-000412', 'cancel j-000412', 'cancel j-000412', 'health']);
});

/** `{"error":TEXT}` in MessagePack, for texts below 32 bytes. */
function errorHex(text: string): string {
  return `81a56572726f72${(0xa0 + text.length).toString(16)}${Buffer.from(text).toString('hex')}`;
}

test('a request outside the protocol gets these errors and does not reach the service', async () => {
  const cases: [method: string, path: string, body: Buffer | undefined, status: string, error: string][] = [
    ['GET', '/nothing', undefined, '404 Not Found', 'no such path'],
    ['GET', '/submissions/', undefined, '404 Not Found', 'no such path'],
    ['POST', '/v1/report/', encode({}), '404 Not Found', 'no such path'],
    ['GET', '/submissions', undefined, '405 Method Not Allowed', 'method not allowed'],
    ['DELETE', '/submissions/j-1', undefined, '405 Method Not Allowed', 'method not allowed'],
    ['GET', '/submissions/j-1/withdraw', undefined, '405 Method Not Allowed', 'method not allowed'],
    ['POST', '/healthz', undefined, '405 Method Not Allowed', 'method not allowed'],
  ];
  for (const [method, path, body, status, error] of cases) {
    const what = `${method} ${path}`;
    assert.deepEqual(
      await exchange(method, path, body),
      [`HTTP/1.1 ${status}`, TYPE, `Content-Length: ${8 + error.length}`, ...KEPT, errorHex(error)],
      what,
    );
  }
  assert.deepEqual(asked, []);
});

test('an invalid body gets 400, ends the connection and does not reach the service', async () => {
  const cases: [Buffer, string][] = [
    [Buffer.alloc(65_537, 1), 'body too large'],
    [Buffer.from([1, 2]), 'not MessagePack'],
    [Buffer.alloc(0), 'not MessagePack'],
    [encode([1, 2]), 'not a map'],
    [encode('text'), 'not a map'],
    [Buffer.from([0xc1]), 'not a map'],
  ];
  for (const path of ['/submissions', '/v1/report']) {
    for (const [body, error] of cases) {
      assert.deepEqual(
        await exchange('POST', path, body),
        [
          'HTTP/1.1 400 Bad Request',
          'Connection: close',
          TYPE,
          `Content-Length: ${8 + error.length}`,
          errorHex(error),
        ],
        `${path} ${error}`,
      );
    }
  }
  assert.deepEqual(asked, []);
});

test('an internal error gets 500 without its message', async () => {
  next = new Error('a fault');
  assert.deepEqual(await exchange('POST', '/submissions/j-1/withdraw'), [
    'HTTP/1.1 500 Internal Server Error',
    TYPE,
    'Content-Length: 22',
    ...KEPT,
    errorHex('internal error'),
  ]);
});
