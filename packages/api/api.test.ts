/** Tests of the HTTP interface over real connections: routing, and the limits on bodies and connections. */
import assert from 'node:assert/strict';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { once } from 'node:events';
import { after, before, test } from 'node:test';
import type { Server } from 'node:http';
import { decode, encode, createHttpClient, type HttpMethod, SECOND } from '#wire';
import { createApp, listen, type NodeService } from './index.js';

const MAX_CONNECTIONS = 12;
const receivedBodies: unknown[] = [];
const service: NodeService = {
  submitJob: (body) => {
    receivedBodies.push(body);
    return Promise.resolve({ status: 503, body: { error: 'later' }, retryAfterS: 2, closesConnection: true });
  },
  getJob: (id) => Promise.resolve({ status: 200, body: { Uid: id } }),
  cancelJob: () => Promise.reject(new Error('a fault')),
  heartbeat: () => Promise.resolve({ status: 200, body: { Baton: 18446744073709551615n } }),
  health: () => ({ status: 200, body: {} }),
};
const reportedErrors: unknown[] = [];
let server: Server;
let address = '';

before(async () => {
  server = await listen(
    createApp(service, (cause) => reportedErrors.push(cause)),
    '127.0.0.1:0',
    MAX_CONNECTIONS,
  );
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});
after(() => {
  server.closeAllConnections();
  server.close();
});

test('an unknown path gets 404, a wrong method 405 and an unexpected error 500', async () => {
  const client = createHttpClient(2);
  const cases: [HttpMethod, string, number][] = [
    ['GET', '/nothing', 404],
    ['GET', '/submissions/j-1/withdraw', 405],
    ['DELETE', '/submissions/j-1', 405],
    ['GET', '/submissions/j-1', 200],
    ['POST', '/submissions/j-1/withdraw', 500],
    ['GET', '/healthz', 200],
  ];
  for (const [method, path, status] of cases) {
    const reply = await client(address, method, path, undefined, 5 * SECOND);
    assert.equal(reply.status, status, `${method} ${path}`);
  }
  assert.equal(reportedErrors.length, 1);
});

test('a body that is too large, not MessagePack or not a map gets 400 and does not reach the service', async () => {
  receivedBodies.length = 0;
  const oversized = Buffer.alloc(70_000, 1);
  const bodies = [
    oversized,
    Buffer.from([0xc1]),
    encode([1, 2]),
    encode('text'),
    Buffer.alloc(0),
    Buffer.from([1, 2]),
  ];
  for (const body of bodies) {
    const reply = await fetch(`http://${address}/submissions`, {
      method: 'POST',
      body: new Uint8Array(body),
    });
    assert.equal(reply.status, 400, body.subarray(0, 8).toString('hex'));
  }
  assert.deepEqual(receivedBodies, []);
});

test('a 503 response carries Retry-After, and integers up to 2^64 - 1 are encoded exactly', async () => {
  const reply = await fetch(`http://${address}/submissions`, {
    method: 'POST',
    body: new Uint8Array(encode({ Uid: 'j-1' })),
  });
  assert.equal(reply.status, 503);
  assert.equal(reply.headers.get('Retry-After'), '2');
  assert.equal(reply.headers.get('Connection'), 'close');
  const response = await fetch(`http://${address}/v1/report`, {
    method: 'POST',
    body: new Uint8Array(encode({})),
  });
  const body = decode(Buffer.from(await response.arrayBuffer())) as { Baton: bigint };
  assert.equal(body.Baton, 18446744073709551615n);
});

/** Opens a connection and returns it after one request on it has been answered. */
async function openConnection(): Promise<Socket> {
  const socket = connect(Number(address.split(':')[1]), '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write('GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n');
  await once(socket, 'data');
  return socket;
}

// Guards against connections of failed machines that stay open until the node reaches the operating system's limit and
// its connections to peers fail.
test('a new connection beyond the limit closes only the least recently used one', async () => {
  server.closeAllConnections();
  const sockets: Socket[] = [];
  for (let i = 0; i < MAX_CONNECTIONS; i++) sockets.push(await openConnection());
  const [first, second] = sockets as [Socket, Socket];
  first.write('GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n');
  await once(first, 'data');
  const secondClosed = once(second, 'close');
  sockets.push(await openConnection());
  await secondClosed;
  assert.equal(first.destroyed, false);
  assert.equal(sockets.filter((s) => s.destroyed).length, 1);
  for (const socket of sockets) socket.destroy();
});

test('a connection with a request in progress is not closed, however long ago it was opened', async () => {
  server.closeAllConnections();
  const busy = connect(Number(address.split(':')[1]), '127.0.0.1');
  busy.write('POST /submissions HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n');
  await once(busy, 'connect');
  const sockets: Socket[] = [];
  for (let i = 0; i < MAX_CONNECTIONS + 3; i++) sockets.push(await openConnection());
  busy.write(encode({}));
  const [bytes] = (await once(busy, 'data')) as [Buffer];
  assert.match(bytes.toString('latin1'), /^HTTP\/1.1 503/);
  for (const socket of [...sockets, busy]) socket.destroy();
});
