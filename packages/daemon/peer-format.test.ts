/**
 * The bytes that nodes send to each other, as literals: nodes of older versions read and write the same ones while an
 * upgrade is under way.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import type { PeerStatus, PingReply } from '#cluster';
import { MS, SECOND } from '#wire';
import { createPinger, servePeers } from './peer-links.js';

const PLAIN: PeerStatus = {
  fencingToken: 7,
  isStoreReachable: true,
  redirectedWorkers: { 'node-2': 3 },
  highWaterMark: null,
};
const EMPTY: PeerStatus = {
  fencingToken: 0,
  isStoreReachable: false,
  redirectedWorkers: {},
  highWaterMark: null,
};
const FULL: PeerStatus = {
  // The highest that fits.
  fencingToken: 9_007_199_254_740_990,
  isStoreReachable: false,
  redirectedWorkers: { 'node-2': 300, 'node-3': 0 },
  highWaterMark: { revision: 431, isInconsistent: true },
};
const CONSISTENT: PeerStatus = { ...EMPTY, highWaterMark: { revision: 0, isInconsistent: false } };

/** Each frame: its length, the sender's name, the sequence number of the message, then the sender's status. */
const HEAD = '0c6e6f64652d31' + '02';
const PLAIN_FRAME = '00000014' + HEAD + '0e' + '01' + '020c6e6f64652d320600';
const EMPTY_FRAME = '0000000b' + HEAD + '00' + '00' + '00';
const FULL_FRAME =
  '00000027' + HEAD + 'fcffffffffffff1f' + '00' + '040c6e6f64652d32d8040c6e6f64652d330000' + 'de06' + '01';
const CONSISTENT_FRAME = '0000000d' + HEAD + '00' + '00' + '00' + '00' + '00';
const CASES: [PeerStatus, string][] = [
  [PLAIN, PLAIN_FRAME],
  [EMPTY, EMPTY_FRAME],
  [FULL, FULL_FRAME],
  [CONSISTENT, CONSISTENT_FRAME],
];

function endpointOf(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Ends the server and its connections after the test. */
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

/** A peer that answers each chunk with these bytes, and records the chunks that arrived. */
async function rawPeer(t: TestContext, answer: string): Promise<{ endpoint: string; received: string[] }> {
  const received: string[] = [];
  const server = createServer((socket) => {
    socket.on('data', (chunk: Buffer) => {
      received.push(chunk.toString('hex'));
      socket.write(Buffer.from(answer, 'hex'));
    });
  });
  closeAfter(t, server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { endpoint: endpointOf(server), received };
}

test('a ping has these bytes, followed by the high-water mark if the sender has one', async (t) => {
  for (const [status, frame] of CASES) {
    const { endpoint, received } = await rawPeer(t, EMPTY_FRAME);
    await createPinger('node-1', () => status)(endpoint, 2 * SECOND);
    assert.deepEqual(received, [frame]);
  }
});

test('the status of a peer is decoded, without a high-water mark if it sends none, as older versions do', async (t) => {
  for (const [status, frame] of CASES) {
    const { endpoint } = await rawPeer(t, frame);
    const answer = await createPinger('node-1', () => EMPTY)(endpoint, 2 * SECOND);
    // The decoded status may have a prototype of its own; only its fields matter.
    assert.deepEqual(structuredClone(answer), { result: 'ok', status });
  }
});

test('the answer to a ping repeats its sender and sequence number, and carries the status of the node', async (t) => {
  for (const [status, frame] of CASES) {
    for (const asked of [PLAIN_FRAME, FULL_FRAME]) {
      const server = await servePeers('127.0.0.1:0', () => status);
      closeAfter(t, server);
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
      // In two pieces, as the network may split it.
      socket.write(Buffer.from(asked.slice(0, 10), 'hex'));
      await once(socket, 'connect');
      socket.write(Buffer.from(asked.slice(10), 'hex'));
      const [bytes] = (await once(socket, 'data')) as [Buffer];
      assert.equal(bytes.toString('hex'), frame);
      socket.destroy();
    }
  }
});

test('the sequence number rises with each ping, and an answer to another ping is ignored', async (t) => {
  const { endpoint, received } = await rawPeer(t, EMPTY_FRAME);
  const ping = createPinger('node-1', () => EMPTY);
  const answers: PingReply[] = [];
  answers.push(await ping(endpoint, 2 * SECOND));
  answers.push(await ping(endpoint, 200 * MS));
  assert.deepEqual(answers, [
    { result: 'ok', status: EMPTY },
    { result: 'silent', status: null },
  ]);
  assert.deepEqual(received, [EMPTY_FRAME, EMPTY_FRAME.replace(HEAD, '0c6e6f64652d3104')]);
});

test('bytes that are not a message close the connection', async (t) => {
  const broken = [
    // Cut off within the message, bytes after the high-water mark, a frame that is too long.
    '0000000a' + HEAD + '0000',
    '0000000e' + HEAD + '000000' + '0000' + '00',
    '00001001' + HEAD,
  ];
  for (const bytes of broken) {
    const { endpoint } = await rawPeer(t, bytes);
    const answer = await createPinger('node-1', () => EMPTY)(endpoint, 2 * SECOND);
    assert.deepEqual(answer, { result: 'refused', status: null }, bytes);
  }
});
