/**
 * Golden tests of the bytes of HTTP responses to users and workers, headers included. They change only with the
 * protocol. The daemon's tests cover which response a node gives.
 */
import assert from 'node:assert/strict';
import type { Server } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { after, before, beforeEach, test } from 'node:test';
import { encode } from '#wire';
import { type ServiceResponse, createApp, listen } from './index.js';

let nextResponse: ServiceResponse | Error = { status: 200, body: {} };
const calls: string[] = [];
let server: Server;

function recordCall(call: string, body?: unknown): ServiceResponse {
  calls.push(body === undefined ? call : `${call} ${JSON.stringify(body)}`);
  if (nextResponse instanceof Error) throw nextResponse;
  return nextResponse;
}

before(async () => {
  const app = createApp(
    {
      submitJob: (body) => Promise.resolve().then(() => recordCall('submit', body)),
      getJob: (id) => Promise.resolve().then(() => recordCall(`show ${id}`)),
      cancelJob: (id) => Promise.resolve().then(() => recordCall(`cancel ${id}`)),
      heartbeat: (body) => Promise.resolve().then(() => recordCall('report', body)),
      health: () => recordCall('health'),
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
  nextResponse = { status: 200, body: {} };
  calls.length = 0;
});

/**
 * Sends a request on a new connection and returns the response: the lines of its head except `Date`, then the body in
 * hexadecimal.
 */
function exchange(method: string, path: string, body?: Buffer): Promise<string[]> {
  return new Promise((resolve, reject) => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    let bytes = Buffer.alloc(0);
    socket.on('error', reject);
    socket.on('data', (chunk: Buffer) => {
      bytes = Buffer.concat([bytes, chunk]);
      const headLength = bytes.indexOf('\r\n\r\n');
      const head = bytes.subarray(0, headLength).toString('latin1');
      const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1]);
      if (headLength < 0 || bytes.length < headLength + 4 + length) return;
      socket.destroy();
      const lines = head.split('\r\n').filter((line) => !line.startsWith('Date: '));
      resolve([...lines, bytes.subarray(headLength + 4).toString('hex')]);
    });
    const length = body ? `Content-Length: ${body.length}\r\n` : '';
    socket.write(`${method} ${path} HTTP/1.1\r\nHost: x\r\n${length}\r\n`);
    if (body) socket.write(body);
  });
}

const CONTENT_TYPE = 'Content-Type: application/msgpack';
const KEEP_ALIVE = ['Connection: keep-alive', 'Keep-Alive: timeout=3600'];

test('a response has the documented head and body bytes', async () => {
  nextResponse = { status: 201, body: { Uid: 'j-1', Status: 'pending' } };
  assert.deepEqual(await exchange('POST', '/submissions', encode({ Uid: 'j-1' })), [
    'HTTP/1.1 201 Created',
    CONTENT_TYPE,
    'Content-Length: 24',
    ...KEEP_ALIVE,
    '82a3556964a36a2d31a6537461747573a770656e64696e67',
  ]);
  assert.deepEqual(calls, ['submit {"Uid":"j-1"}']);
});

test('an error response carries Retry-After and Connection: close as the service requests', async () => {
  nextResponse = { status: 503, body: { error: 'later' }, retryAfterS: 1, closesConnection: true };
  assert.deepEqual(await exchange('GET', '/submissions/j-1'), [
    'HTTP/1.1 503 Service Unavailable',
    'Retry-After: 1',
    'Connection: close',
    CONTENT_TYPE,
    'Content-Length: 13',
    '81a56572726f72a56c61746572',
  ]);
  nextResponse = { status: 503, body: { error: 'later' }, retryAfterS: 2 };
  assert.deepEqual(await exchange('GET', '/healthz'), [
    'HTTP/1.1 503 Service Unavailable',
    'Retry-After: 2',
    CONTENT_TYPE,
    'Content-Length: 13',
    ...KEEP_ALIVE,
    '81a56572726f72a56c61746572',
  ]);
  assert.deepEqual(calls, ['show j-1', 'health']);
});

test('a response with status 421 redirects a worker', async () => {
  nextResponse = { status: 421, body: { Foreman: 'hive-2' } };
  assert.deepEqual(await exchange('POST', '/v1/report', encode({ Host: 'n-1' })), [
    'HTTP/1.1 421 Misdirected Request',
    CONTENT_TYPE,
    'Content-Length: 16',
    ...KEEP_ALIVE,
    '81a7466f72656d616ea6686976652d32',
  ]);
  assert.deepEqual(calls, ['report {"Host":"n-1"}']);
});

test('each path of the protocol calls its operation', async () => {
  await exchange('GET', '/submissions/j-000412?x=1');
  await exchange('POST', '/submissions/j-000412/withdraw');
  await exchange('POST', '/submissions/j-000412/withdraw', encode({ any: 1 }));
  await exchange('GET', '/healthz');
  assert.deepEqual(calls, ['show j-000412', 'cancel j-000412', 'cancel j-000412', 'health']);
});

/** Returns `{"error":TEXT}` as MessagePack in hexadecimal, for texts shorter than 32 bytes. */
function errorHex(text: string): string {
  return `81a56572726f72${(0xa0 + text.length).toString(16)}${Buffer.from(text).toString('hex')}`;
}

test('an unknown path gets 404, a wrong method gets 405, and neither reaches the service', async () => {
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
    const request = `${method} ${path}`;
    assert.deepEqual(
      await exchange(method, path, body),
      [
        `HTTP/1.1 ${status}`,
        CONTENT_TYPE,
        `Content-Length: ${8 + error.length}`,
        ...KEEP_ALIVE,
        errorHex(error),
      ],
      request,
    );
  }
  assert.deepEqual(calls, []);
});

test('an invalid body gets 400, closes the connection and does not reach the service', async () => {
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
          CONTENT_TYPE,
          `Content-Length: ${8 + error.length}`,
          errorHex(error),
        ],
        `${path} ${error}`,
      );
    }
  }
  assert.deepEqual(calls, []);
});

test('an unexpected error gets 500 without its message', async () => {
  nextResponse = new Error('a fault');
  assert.deepEqual(await exchange('POST', '/submissions/j-1/withdraw'), [
    'HTTP/1.1 500 Internal Server Error',
    CONTENT_TYPE,
    'Content-Length: 22',
    ...KEEP_ALIVE,
    errorHex('internal error'),
  ]);
});
