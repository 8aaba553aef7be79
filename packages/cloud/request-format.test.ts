/** Golden tests of the requests to the cloud and of its responses. Expectations change only with the protocol. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HttpClient, WireFields, ListedMachine, MachineType, Micros, HttpReply } from '#wire';
import { CloudClient, MAX_MACHINES_PER_DELETE, MAX_MACHINES_PER_REQUEST } from './index.js';

const TIMEOUT: Micros = 4_000_000;

/** Creates a client whose requests get these replies in order (null for no reply), and records the requests. */
function clientWithReplies(...replies: (HttpReply | null)[]): { client: CloudClient; requests: string[] } {
  const requests: string[] = [];
  const httpClient: HttpClient = (...[endpoint, method, path, body, timeout]) => {
    assert.equal(endpoint, '10.2.0.2:8443');
    assert.equal(timeout, TIMEOUT);
    requests.push([method, path, ...(body === undefined ? [] : [JSON.stringify(body)])].join(' '));
    const reply = replies.shift();
    return reply ? Promise.resolve(reply) : Promise.reject(new Error('no response'));
  };
  return { client: new CloudClient('10.2.0.2:8443', httpClient), requests };
}

function makeReply(status: number, json = '{}'): HttpReply {
  return { status, body: JSON.parse(json) as WireFields };
}

const OUTAGE = makeReply(503, '{"error":"trouble"}');
const REQUEST = { id: 'r-17', machineType: 'g8', zone: 'a', spot: true, count: 12 };

test('machine types are requested and read under the protocol names', async () => {
  const json =
    '{"Builds":[{"Sku":"g8","Cpus":96,"Gpus":8,"MemGb":768,"CacheGb":200,"FetchGbPerS":1.5,' +
    '"Price":12.0,"LowPrice":4.5,"BootS":45,"Halls":["a","b"],"Later":1},' +
    '{"Sku":"c4","Cpus":4,"Gpus":0,"MemGb":16,"CacheGb":40,"FetchGbPerS":1,"Price":1,"LowPrice":0.3,"BootS":6},7]}';
  const types: MachineType[] = [
    {
      name: 'g8',
      cpus: 96,
      gpus: 8,
      memGb: 768,
      cacheGb: 200,
      fetchGbPerS: 1.5,
      price: 12,
      spotPrice: 4.5,
      bootS: 45,
      zones: ['a', 'b'],
    },
    {
      name: 'c4',
      cpus: 4,
      gpus: 0,
      memGb: 16,
      cacheGb: 40,
      fetchGbPerS: 1,
      price: 1,
      spotPrice: 0.3,
      bootS: 6,
      zones: [],
    },
  ];
  const { client, requests } = clientWithReplies(
    makeReply(200, json),
    OUTAGE,
    makeReply(429),
    makeReply(200),
    null,
  );
  assert.deepEqual(await client.listMachineTypes(), types);
  for (let i = 0; i < 4; i++) assert.equal(await client.listMachineTypes(), null);
  assert.deepEqual(requests, Array(5).fill('GET /machine_types'));
});

test('machines are requested under the protocol names, and each response is read as its result', async () => {
  const { client, requests } = clientWithReplies(
    makeReply(200, '{"Hosts":["n-000231","n-000232"]}'),
    makeReply(200, '{"Hosts":[]}'),
    makeReply(503, '{"error":"no capacity"}'),
    OUTAGE,
    makeReply(400),
    makeReply(429),
    makeReply(200),
    null,
  );
  const results = [];
  for (let i = 0; i < 8; i++) results.push(await client.requestMachines(REQUEST));
  assert.deepEqual(results, [
    { kind: 'rented', hosts: ['n-000231', 'n-000232'] },
    { kind: 'rented', hosts: [] },
    { kind: 'no_capacity' },
    { kind: 'failed' },
    { kind: 'failed' },
    { kind: 'failed' },
    { kind: 'failed' },
    { kind: 'unknown' },
  ]);
  const request = 'POST /rentals {"Hire":"r-17","Build":"g8","Hall":"a","Loaners":true,"Number":12}';
  assert.deepEqual(requests, Array(8).fill(request));
  assert.equal(MAX_MACHINES_PER_REQUEST, 50);
});

test('machines are deleted under the protocol names, and only status 200 confirms it', async () => {
  const { client, requests } = clientWithReplies(makeReply(200), makeReply(400), OUTAGE, null);
  const results = [];
  for (let i = 0; i < 4; i++) results.push(await client.deleteMachines(['n-000231', 'n-000232']));
  assert.deepEqual(results, [true, false, false, false]);
  assert.deepEqual(requests, Array(4).fill('POST /rentals/delete {"Hosts":["n-000231","n-000232"]}'));
  assert.equal(MAX_MACHINES_PER_DELETE, 100);
});

const FIRST_PAGE =
  '{"Hosts":[{"Uid":"n-000231","Endpoint":"10.1.0.232:9000","Build":"g8","Hall":"a","Loaners":true,' +
  '"Status":"running","AgeS":61.5},{"Uid":"n-000232","Endpoint":"10.1.0.233:9000","Build":"c4","Hall":"b",' +
  '"Loaners":false,"Status":"starting","AgeS":2}],"More":true}';
const LAST_PAGE =
  '{"Hosts":[{"Uid":"n-000240","Endpoint":"10.1.0.241:9000","Build":"c4","Hall":"b","Status":"failed","AgeS":7}],' +
  '"More":false}';

test('the machine list is read page by page, completely or not at all', async () => {
  const machines: ListedMachine[] = [
    {
      host: 'n-000231',
      address: '10.1.0.232:9000',
      machineType: 'g8',
      zone: 'a',
      spot: true,
      state: 'running',
      ageS: 61.5,
    },
    {
      host: 'n-000232',
      address: '10.1.0.233:9000',
      machineType: 'c4',
      zone: 'b',
      spot: false,
      state: 'starting',
      ageS: 2,
    },
    {
      host: 'n-000240',
      address: '10.1.0.241:9000',
      machineType: 'c4',
      zone: 'b',
      spot: false,
      state: 'failed',
      ageS: 7,
    },
  ];
  const pages = ['GET /rentals?Limit=500', 'GET /rentals?After=n-000232&Limit=500'];
  const complete = clientWithReplies(makeReply(200, FIRST_PAGE), makeReply(200, LAST_PAGE));
  assert.deepEqual(await complete.client.listMachines(), machines);
  assert.deepEqual(complete.requests, pages);
  for (const second of [OUTAGE, makeReply(200), null]) {
    const interrupted = clientWithReplies(makeReply(200, FIRST_PAGE), second);
    assert.equal(await interrupted.client.listMachines(), null);
    assert.deepEqual(interrupted.requests, pages);
  }
  assert.deepEqual(
    await clientWithReplies(makeReply(200, '{"Hosts":[],"More":false}')).client.listMachines(),
    [],
  );
});
