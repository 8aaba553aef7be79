import assert from 'node:assert/strict';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import type { PeerStatus } from '#cluster';
import { MS } from '#wire';
import { createPinger, servePeers } from './peer-links.js';

// Only sending a ping checks that the fields of its record match the Avro schema: the compiler does not.
test('returns the status of the peer over one persistent connection, and a refusal once the peer is gone', async () => {
  const status: PeerStatus = {
    fencingToken: 7,
    isStoreReachable: true,
    redirectedWorkers: { 'node-2': 3 },
    highWaterMark: null,
  };
  const server = await servePeers('127.0.0.1:0', () => status);
  const sockets: Socket[] = [];
  server.on('connection', (socket: Socket) => sockets.push(socket));
  const endpoint = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const ping = createPinger('node-1', () => ({
    fencingToken: 1,
    isStoreReachable: false,
    redirectedWorkers: {},
    highWaterMark: null,
  }));
  for (let i = 0; i < 2; i++) {
    assert.deepEqual(await ping(endpoint, 1000 * MS), { result: 'ok', status });
  }
  assert.equal(sockets.length, 1, 'the connection was not reused');
  server.close();
  for (const socket of sockets) socket.destroy();
  assert.deepEqual(await ping(endpoint, 1000 * MS), { result: 'refused', status: null });
});
