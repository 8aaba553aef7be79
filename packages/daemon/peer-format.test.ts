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
const CALM: PeerStatus = { ...EMPTY, highWaterMark: { revision: 0, isInconsistent: false } };

/** Each frame: its length, the sender's name, the number of the message, then what the sender tells. */
const HEAD = '0c6e6f64652d31' + '02';
const PLAIN_FRAME = '00000014' + HEAD + '0e' + '01' + '020c6e6f64652d320600';
const EMPTY_FRAME = '0000000b' + HEAD + '00' + '00' + '00';
const FULL_FRAME =
  '00000027' + HEAD + 'fcffffffffffff1f' + '00' + '040c6e6f64652d32d8040c6e6f64652d330000' + 'de06' + '01';
const CALM_FRAME = '0000000d' + HEAD + '00' + '00' + '00' + '00' + '00';
const CASES: [PeerStatus, string][] = [
  [PLAIN, PLAIN_FRAME],
  [EMPTY, EMPTY_FRAME],
  [FULL, FULL_FRAME],
  [CALM, CALM_FRAME],
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

/** A peer that answers each chunk that comes with these bytes, and notes what came. */
async function rawPeer(t: TestContext, answer: string): Promise<{ endpoint: string; came: string[] }> {
  const came: string[] = [];
  const server = createServer((socket) => {
    socket.on('data', (chunk: Buffer) => {
      came.push(chunk.toString('hex'));
      socket.write(Buffer.from(answer, 'hex'));
    });
  });
  closeAfter(t, server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { endpoint: endpointOf(server), came };
}

test('a node that pings sends these bytes, with its memory behind them where it tells of it', async (t) => {
  for (const [status, frame] of CASES) {
    const { endpoint, came } = await rawPeer(t, EMPTY_FRAME);
    await createPinger('node-1', () => status)(endpoint, 2 * SECOND);
    assert.deepEqual(came, [frame]);
  }
});

test('what a peer tells is read back, without a memory where it sends none, as older versions do', async (t) => {
  for (const [status, frame] of CASES) {
    const { endpoint } = await rawPeer(t, frame);
    const answer = await createPinger('node-1', () => EMPTY)(endpoint, 2 * SECOND);
    // What is read may be of a class of its own; what it holds counts.
    assert.deepEqual(structuredClone(answer), { result: 'ok', status });
  }
});

test('a node that is pinged answers under the name and number of the ping with what it tells itself', async (t) => {
  for (const [status, frame] of CASES) {
    for (const asked of [PLAIN_FRAME, FULL_FRAME]) {
      const server = await servePeers('127.0.0.1:0', () => status);
      closeAfter(t, server);
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
      // In two pieces, as the network may cut it.
      socket.write(Buffer.from(asked.slice(0, 10), 'hex'));
      await once(socket, 'connect');
      socket.write(Buffer.from(asked.slice(10), 'hex'));
      const [bytes] = (await once(socket, 'data')) as [Buffer];
      assert.equal(bytes.toString('hex'), frame);
      socket.destroy();
    }
  }
});

test('the number of a ping grows with each, and an answer to another one is passed over', async (t) => {
  const { endpoint, came } = await rawPeer(t, EMPTY_FRAME);
  const ping = createPinger('node-1', () => EMPTY);
  const answers: PingReply[] = [];
  answers.push(await ping(endpoint, 2 * SECOND));
  answers.push(await ping(endpoint, 200 * MS));
  assert.deepEqual(answers, [
    { result: 'ok', status: EMPTY },
    { result: 'silent', status: null },
  ]);
  assert.deepEqual(came, [EMPTY_FRAME, EMPTY_FRAME.replace(HEAD, '0c6e6f64652d3104')]);
});

test('bytes that are no message end the connection', async (t) => {
  const broken = [
    // Cut off within the message, bytes behind the memory, a frame that is too long.
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
