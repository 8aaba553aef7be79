/**
 * Golden tests of the bytes that nodes send to each other. During an upgrade, nodes of older versions must be able to
 * read and write the same bytes.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import type { PeerStatus, PingReply } from '#cluster';
import { MS, SECOND } from '#wire';
import { createPinger, servePeers } from './peer-links.js';

const PLAIN_STATUS: PeerStatus = {
  fencingToken: 7,
  isStoreReachable: true,
  redirectedWorkers: { 'node-2': 3 },
  highWaterMark: null,
};
const EMPTY_STATUS: PeerStatus = {
  fencingToken: 0,
  isStoreReachable: false,
  redirectedWorkers: {},
  highWaterMark: null,
};
const FULL_STATUS: PeerStatus = {
  // The highest fencing token that the encoding allows.
  fencingToken: 9_007_199_254_740_990,
  isStoreReachable: false,
  redirectedWorkers: { 'node-2': 300, 'node-3': 0 },
  highWaterMark: { revision: 431, isInconsistent: true },
};
const CONSISTENT_STATUS: PeerStatus = {
  ...EMPTY_STATUS,
  highWaterMark: { revision: 0, isInconsistent: false },
};

/** Each frame has its length, the member that sent the ping, the sequence number, and the sender's status. */
const FRAME_HEAD = '0c6e6f64652d31' + '02';
const PLAIN_FRAME = '00000014' + FRAME_HEAD + '0e' + '01' + '020c6e6f64652d320600';
const EMPTY_FRAME = '0000000b' + FRAME_HEAD + '00' + '00' + '00';
const FULL_FRAME =
  '00000027' +
  FRAME_HEAD +
  'fcffffffffffff1f' +
  '00' +
  '040c6e6f64652d32d8040c6e6f64652d330000' +
  'de06' +
  '01';
const CONSISTENT_FRAME = '0000000d' + FRAME_HEAD + '00' + '00' + '00' + '00' + '00';
const CASES: [PeerStatus, string][] = [
  [PLAIN_STATUS, PLAIN_FRAME],
  [EMPTY_STATUS, EMPTY_FRAME],
  [FULL_STATUS, FULL_FRAME],
  [CONSISTENT_STATUS, CONSISTENT_FRAME],
];

function endpointOf(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Closes the server and its connections after the test. */
function closeAfter(t: TestContext, server: Server): void {
  const sockets: Socket[] = [];
  server.on('connection', (socket: Socket) => {
    socket.on('error', () => undefined);
    sockets.push(socket);
  });
  t.after(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
}

/** Starts a peer that replies to each chunk with these bytes and records the chunks that it receives. */
async function stubPeer(t: TestContext, reply: string): Promise<{ endpoint: string; received: string[] }> {
  const received: string[] = [];
  const server = createServer((socket) => {
    socket.on('data', (chunk: Buffer) => {
      received.push(chunk.toString('hex'));
      socket.write(Buffer.from(reply, 'hex'));
    });
  });
  closeAfter(t, server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { endpoint: endpointOf(server), received };
}

test('encodes a ping, followed by the high-water mark if the sender has one', async (t) => {
  for (const [status, frame] of CASES) {
    const { endpoint, received } = await stubPeer(t, EMPTY_FRAME);
    await createPinger('node-1', () => status)(endpoint, 2 * SECOND);
    assert.deepEqual(received, [frame]);
  }
});

test('decodes the status of a peer, also without the high-water mark that older versions do not send', async (t) => {
  for (const [status, frame] of CASES) {
    const { endpoint } = await stubPeer(t, frame);
    const reply = await createPinger('node-1', () => EMPTY_STATUS)(endpoint, 2 * SECOND);
    // The prototype of the decoded status may differ; only its fields are compared.
    assert.deepEqual(structuredClone(reply), { result: 'ok', status });
  }
});

test('replies to a ping with its sender and sequence number and the status of the node', async (t) => {
  for (const [status, frame] of CASES) {
    for (const pingFrame of [PLAIN_FRAME, FULL_FRAME]) {
      const server = await servePeers('127.0.0.1:0', () => status);
      closeAfter(t, server);
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
      // The network may split a message, so the ping is sent in two pieces.
      socket.write(Buffer.from(pingFrame.slice(0, 10), 'hex'));
      await once(socket, 'connect');
      socket.write(Buffer.from(pingFrame.slice(10), 'hex'));
      const [bytes] = (await once(socket, 'data')) as [Buffer];
      assert.equal(bytes.toString('hex'), frame);
      socket.destroy();
    }
  }
});

test('increases the sequence number with each ping and ignores a reply to another ping', async (t) => {
  const { endpoint, received } = await stubPeer(t, EMPTY_FRAME);
  const ping = createPinger('node-1', () => EMPTY_STATUS);
  const replies: PingReply[] = [];
  replies.push(await ping(endpoint, 2 * SECOND));
  replies.push(await ping(endpoint, 200 * MS));
  assert.deepEqual(replies, [
    { result: 'ok', status: EMPTY_STATUS },
    { result: 'silent', status: null },
  ]);
  assert.deepEqual(received, [EMPTY_FRAME, EMPTY_FRAME.replace(FRAME_HEAD, '0c6e6f64652d3104')]);
});

test('closes the connection on bytes that are not a message', async (t) => {
  const malformedFrames = [
    // A truncated message, a message with bytes after the high-water mark, and a frame that is too long.
    '0000000a' + FRAME_HEAD + '0000',
    '0000000e' + FRAME_HEAD + '000000' + '0000' + '00',
    '00001001' + FRAME_HEAD,
  ];
  for (const bytes of malformedFrames) {
    const { endpoint } = await stubPeer(t, bytes);
    const reply = await createPinger('node-1', () => EMPTY_STATUS)(endpoint, 2 * SECOND);
    assert.deepEqual(reply, { result: 'refused', status: null }, bytes);
  }
});
