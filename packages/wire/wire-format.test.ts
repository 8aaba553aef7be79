/**
 * Golden tests of the bytes and the JSON of all messages. The protocol and the versions in production depend on them,
 * so an expectation changes only with the protocol.
 */
import assert from 'node:assert/strict';
import { createServer, type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import {
  type Command,
  decode,
  decodeJobStatus,
  encode,
  encodeJobState,
  encodeRedirect,
  encodeHeartbeatResponse,
  encodeSubmission,
  type ExitCause,
  formatTaskName,
  createHttpClient,
  type JobSpec,
  type JobState,
  type HttpMethod,
  parseHeartbeat,
  parseSubmission,
  parseTaskName,
  SECOND,
  submittedId,
  type TaskState,
  type Heartbeat,
} from './index.js';

const hex = (value: unknown): string => encode(value).toString('hex');

test('values are encoded to their golden MessagePack bytes', () => {
  const cases: [unknown, string][] = [
    [{}, '80'],
    [{ Uid: 'j-1', Status: 'pending' }, '82a3556964a36a2d31a6537461747573a770656e64696e67'],
    [{ A: null, B: undefined, C: true, D: false }, '84a141c0a142c0a143c3a144c2'],
    [[0, 127, 128, 65_536, 4_294_967_295, -1], '96007fcc80ce00010000ceffffffffff'],
    [4_294_967_296, 'cb41f0000000000000'],
    [9_007_199_254_740_991, 'cb433fffffffffffff'],
    [9_007_199_254_740_993n, 'd30020000000000001'],
    [9_223_372_036_854_775_807n, 'd37fffffffffffffff'],
    [9_223_372_036_854_775_808n, 'cf8000000000000000'],
    [18_446_744_073_709_551_615n, 'cfffffffffffffffff'],
    [6.2, 'cb4018cccccccccccd'],
    [{ Builds: ['g8'], Hall: 'ä' }, '82a64275696c647391a26738a448616c6ca2c3a4'],
  ];
  for (const [value, bytes] of cases) assert.equal(hex(value), bytes);
});

test('counts are decoded from each of the MessagePack integer formats', () => {
  const cases: [string, number | bigint][] = [
    ['05', 5],
    ['cc80', 128],
    ['cd0100', 256],
    ['ce00010000', 65_536],
    ['cf0000000100000000', 4_294_967_296],
    ['cf001fffffffffffff', 9_007_199_254_740_991],
    ['cf0020000000000001', 9_007_199_254_740_993n],
    ['d30020000000000001', 9_007_199_254_740_993n],
    ['cfffffffffffffffff', 18_446_744_073_709_551_615n],
    ['cb4018cccccccccccd', 6.2],
  ];
  for (const [bytes, value] of cases) assert.equal(decode(Buffer.from(bytes, 'hex')), value, bytes);
});

test('the state of a job is encoded to its golden bytes', () => {
  const cases: [JobState, string, string][] = [
    [
      { id: 'j-1', status: 'pending' },
      '{"Uid":"j-1","Status":"pending"}',
      '82a3556964a36a2d31a6537461747573a770656e64696e67',
    ],
    [
      { id: 'j-000412', status: 'running', done: 3, running: 13 },
      '{"Uid":"j-000412","Status":"running","done":3,"running":13}',
      '84a3556964a86a2d303030343132a6537461747573a772756e6e696e67a4646f6e6503a772756e6e696e670d',
    ],
    [
      { id: 'j-2', status: 'pending', done: 0, running: 0 },
      '{"Uid":"j-2","Status":"pending","done":0,"running":0}',
      '84a3556964a36a2d32a6537461747573a770656e64696e67a4646f6e6500a772756e6e696e6700',
    ],
    [
      { id: 'j-1', status: 'done' },
      '{"Uid":"j-1","Status":"done"}',
      '82a3556964a36a2d31a6537461747573a4646f6e65',
    ],
    [
      { id: 'j-1', status: 'cancelled' },
      '{"Uid":"j-1","Status":"withdrawn"}',
      '82a3556964a36a2d31a6537461747573a977697468647261776e',
    ],
  ];
  for (const [state, json, bytes] of cases) {
    assert.equal(JSON.stringify(encodeJobState(state)), json);
    assert.equal(hex(encodeJobState(state)), bytes);
    assert.equal(decodeJobStatus(decode(Buffer.from(bytes, 'hex')) as Record<string, unknown>), state.status);
  }
});

test('a heartbeat response with a command of each kind is encoded to its golden bytes', () => {
  const commands: Command[] = [
    { kind: 'start', task: 'j-000412/4', attempt: 2 },
    { kind: 'stop', task: 'j-000377/1', attempt: 1, graceS: 10 },
    { kind: 'stop', task: 'j-000377/2', attempt: 18_446_744_073_709_551_615n, graceS: 0 },
    { kind: 'forget', task: 'j-000398/0', attempt: 1 },
  ];
  const [start, stop, , forget] = commands as [Command, Command, Command, Command];
  assert.equal(
    JSON.stringify(encodeHeartbeatResponse({ fencingToken: 41, commands: [start, stop, forget] })),
    '{"Baton":41,"Orders":[{"Verb":"launch","Piece":"j-000412/4","Try":2},' +
      '{"Verb":"halt","Piece":"j-000377/1","Try":1,"WindDownS":10},' +
      '{"Verb":"reap","Piece":"j-000398/0","Try":1}]}',
  );
  assert.equal(
    hex(encodeHeartbeatResponse({ fencingToken: 18_446_744_073_709_551_615n, commands })),
    '82a54261746f6ecfffffffffffffffffa64f726465727394' +
      '83a456657262a66c61756e6368a55069656365aa6a2d3030303431322f34a354727902' +
      '84a456657262a468616c74a55069656365aa6a2d3030303337372f31a354727901a957696e64446f776e530a' +
      '84a456657262a468616c74a55069656365aa6a2d3030303337372f32a3547279cfffffffffffffffffa957696e64446f776e5300' +
      '83a456657262a472656170a55069656365aa6a2d3030303339382f30a354727901',
  );
  assert.equal(
    hex(encodeHeartbeatResponse({ fencingToken: 0, commands: [] })),
    '82a54261746f6e00a64f726465727390',
  );
  assert.equal(JSON.stringify(encodeRedirect('hive-2')), '{"Foreman":"hive-2"}');
  assert.equal(hex(encodeRedirect('hive-2')), '81a7466f72656d616ea6686976652d32');
});

/** The JSON of a heartbeat. The tests fill in `Pieces`. */
const HEARTBEAT_JSON =
  '{"Host":"n-000231","Endpoint":"10.1.0.232:9000","Build":"g8","Hall":"a","Loaners":true,' +
  '"Shift":1,"Tally":88,"Baton":41,"RecallS":null,"Pieces":[]}';

function heartbeatWith(change: object): unknown {
  return decode(encode({ ...(JSON.parse(HEARTBEAT_JSON) as object), ...change }));
}

test('each task state in a heartbeat is read, and an unknown one is read as fetching', () => {
  const states: [string, TaskState][] = [
    ['pulling', 'fetching'],
    ['gathering', 'gathering'],
    ['running', 'running'],
    ['saving', 'saving'],
    ['exited', 'exited'],
    ['fetching', 'fetching'],
    ['', 'fetching'],
    ['a later state', 'fetching'],
  ];
  const pieces = states.map(([Status], i) => ({ Piece: `j-1/${i}`, Try: i, Status }));
  const tasks = states.map(([, state], i) => ({ task: `j-1/${i}`, attempt: i, state, cause: null }));
  assert.deepEqual(parseHeartbeat(heartbeatWith({ Pieces: pieces }))?.tasks, tasks);
});

test('each exit cause in a heartbeat is read, and an unknown one is read as null', () => {
  const causes: [unknown, ExitCause | null][] = [
    ['done', 'done'],
    ['halted', 'stopped'],
    ['error', 'failed'],
    ['peers', 'peer_gone'],
    ['alone', 'gang_incomplete'],
    ['full', 'no_room'],
    ['in_use', 'duplicate'],
    ['unknown', 'unknown_task'],
    ['a later cause', null],
    ['stopped', null],
    [null, null],
    [7, null],
  ];
  const pieces = causes.map(([Cause], i) => ({ Piece: `j-1/${i}`, Try: 1, Status: 'exited', Cause }));
  const tasks = causes.map(([, cause], i) => ({ task: `j-1/${i}`, attempt: 1, state: 'exited', cause }));
  assert.deepEqual(parseHeartbeat(heartbeatWith({ Pieces: pieces }))?.tasks, tasks);
});

test('each field of a heartbeat is read, and unknown ones are ignored', () => {
  const expected: Heartbeat = {
    host: 'n-000231',
    address: '10.1.0.232:9000',
    machineType: 'g8',
    zone: 'a',
    spot: true,
    incarnation: 1,
    sequence: 88,
    fencingToken: 41,
    spotNoticeS: null,
    tasks: [],
  };
  assert.deepEqual(parseHeartbeat(heartbeatWith({})), expected);
  assert.deepEqual(parseHeartbeat(heartbeatWith({ Later: 1, Stored: true })), expected);
  assert.deepEqual(parseHeartbeat(heartbeatWith({ RecallS: 27.5 })), { ...expected, spotNoticeS: 27.5 });
  assert.deepEqual(parseHeartbeat(heartbeatWith({ Loaners: false })), { ...expected, spot: false });
  const maxCount = 18_446_744_073_709_551_615n;
  assert.deepEqual(parseHeartbeat(heartbeatWith({ Shift: maxCount, Tally: maxCount, Baton: maxCount })), {
    ...expected,
    incarnation: maxCount,
    sequence: maxCount,
    fencingToken: maxCount,
  });
  const { RecallS, ...rest } = JSON.parse(HEARTBEAT_JSON) as Record<string, unknown>;
  assert.equal(RecallS, null);
  assert.deepEqual(parseHeartbeat(rest), expected);
});

test('a heartbeat with a missing or invalid field is rejected', () => {
  for (const field of ['Host', 'Endpoint', 'Build', 'Hall', 'Loaners', 'Shift', 'Tally', 'Baton', 'Pieces']) {
    assert.equal(parseHeartbeat(heartbeatWith({ [field]: null })), null, field);
    assert.equal(parseHeartbeat(heartbeatWith({ [field]: { odd: 1 } })), null, field);
  }
  for (const field of ['Shift', 'Tally', 'Baton']) {
    assert.equal(parseHeartbeat(heartbeatWith({ [field]: -1 })), null, field);
    assert.equal(parseHeartbeat(heartbeatWith({ [field]: 1.5 })), null, field);
  }
  for (const piece of [
    null,
    'j-1/0',
    { Piece: 1, Try: 1, Status: 'running' },
    { Piece: 'j-1/0', Try: -1, Status: 'running' },
    { Piece: 'j-1/0', Try: 1, Status: 1 },
  ]) {
    assert.equal(parseHeartbeat(heartbeatWith({ Pieces: [piece] })), null, JSON.stringify(piece));
  }
});

const SUBMISSION_JSON =
  '{"Uid":"j-000412","Lane":"train","Crew":"vision","Shape":"array","Rank":"urgent","Pieces":16,' +
  '"Cpus":8,"Gpus":1,"MemGb":64,"Bundle":"img-07","SizeGb":6.2,"Builds":["g8"],"Hall":"a",' +
  '"SamePlace":true,"Scatter":false,"Loaners":true,"ExpectS":240,"BookmarkS":30,"StashS":4,"DueS":900}';

const SUBMISSION: JobSpec = {
  id: 'j-000412',
  jobClass: 'train',
  team: 'vision',
  shape: 'array',
  rank: 'urgent',
  taskCount: 16,
  cpus: 8,
  gpus: 1,
  memGb: 64,
  image: 'img-07',
  imageGb: 6.2,
  machineTypes: ['g8'],
  zone: 'a',
  singleZone: true,
  spreadZones: false,
  allowsSpot: true,
  estimateS: 240,
  checkpointS: 30,
  saveS: 4,
  deadlineS: 900,
};

test('a submission is encoded to its golden JSON and decoded to the same job', () => {
  assert.equal(JSON.stringify(encodeSubmission(SUBMISSION)), SUBMISSION_JSON);
  assert.deepEqual(parseSubmission(JSON.parse(SUBMISSION_JSON)), { job: SUBMISSION });
  const unrestricted: JobSpec = {
    ...SUBMISSION,
    shape: 'gang',
    machineTypes: null,
    zone: null,
    deadlineS: null,
  };
  const unrestrictedJson = SUBMISSION_JSON.replace('"array"', '"ensemble"')
    .replace('["g8"]', 'null')
    .replace('"Hall":"a"', '"Hall":null')
    .replace('"DueS":900', '"DueS":null');
  assert.equal(JSON.stringify(encodeSubmission(unrestricted)), unrestrictedJson);
  assert.deepEqual(parseSubmission(JSON.parse(unrestrictedJson)), { job: unrestricted });
  for (const rank of ['best_effort', 'normal', 'urgent', 'prod'] as const) {
    const json = SUBMISSION_JSON.replace('"urgent"', `"${rank}"`);
    assert.equal(JSON.stringify(encodeSubmission({ ...SUBMISSION, rank })), json);
    assert.deepEqual(parseSubmission(JSON.parse(json)), { job: { ...SUBMISSION, rank } });
  }
});

test('job ids and task names have their golden form', () => {
  assert.equal(formatTaskName('j-000412', 3), 'j-000412/3');
  assert.deepEqual(parseTaskName('j-000412/3'), { job: 'j-000412', index: 3 });
  for (const name of ['j-000412', '/3', 'j-1/x', 'j-1/-1', 'j-1/1.5'])
    assert.equal(parseTaskName(name), null);
  assert.equal(submittedId({ Uid: 'j-000412' }), 'j-000412');
  assert.equal(submittedId({ Uid: `j-${'1'.repeat(32)}`, Shape: 7 }), `j-${'1'.repeat(32)}`);
  for (const body of [{}, { Uid: `j-${'1'.repeat(33)}` }, { Uid: 'J-1' }, null, 'j-1']) {
    assert.equal(submittedId(body), null);
  }
});

interface ReceivedRequest {
  method: string | undefined;
  url: string | undefined;
  type: string | undefined;
  length: string | undefined;
  body: string;
}

async function readRequest(req: IncomingMessage): Promise<ReceivedRequest> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const { method, url, headers } = req;
  const body = Buffer.concat(chunks).toString('hex');
  return { method, url, type: headers['content-type'], length: headers['content-length'], body };
}

test('a request body is sent as MessagePack, and any response is read as a status and a map', async () => {
  const received: ReceivedRequest[] = [];
  let answer: [status: number, bytes: Buffer] = [200, encode({ Epoch: 4 })];
  const server = createServer((req, res) => {
    void readRequest(req).then((request) => {
      received.push(request);
      res.writeHead(answer[0]).end(answer[1]);
    });
  });
  await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
  const endpoint = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const httpClient = createHttpClient(2);
  const send = (method: HttpMethod, path: string, body?: unknown): Promise<unknown> =>
    httpClient(endpoint, method, path, body, 5 * SECOND);
  assert.deepEqual(await send('POST', '/grants', { LifeMs: 3000 }), { status: 200, body: { Epoch: 4 } });
  assert.deepEqual(await send('GET', '/store?Starts=a/&Limit=2'), { status: 200, body: { Epoch: 4 } });
  answer = [503, Buffer.from('<html>')];
  assert.deepEqual(await send('DELETE', '/grants/7'), { status: 503, body: {} });
  answer = [200, encode([1])];
  assert.deepEqual(await send('POST', '/grants/7/renew'), { status: 200, body: {} });
  answer = [200, Buffer.alloc(0)];
  assert.deepEqual(await send('POST', '/grants/7/renew'), { status: 200, body: {} });
  answer = [200, Buffer.from([0xc1])];
  assert.deepEqual(await send('GET', '/machine_types'), { status: 200, body: {} });
  assert.deepEqual(
    received.map(({ method, url, type, length, body }) => [method, url, type, length, body]),
    [
      ['POST', '/grants', 'application/msgpack', '11', '81a64c6966654d73cd0bb8'],
      ['GET', '/store?Starts=a/&Limit=2', undefined, undefined, ''],
      ['DELETE', '/grants/7', undefined, undefined, ''],
      ['POST', '/grants/7/renew', undefined, '0', ''],
      ['POST', '/grants/7/renew', undefined, '0', ''],
      ['GET', '/machine_types', undefined, undefined, ''],
    ],
  );
  server.closeAllConnections();
  server.close();
});

test('a failed request rejects with the message that the command line shows', async () => {
  const server = createServer((req, res) => {
    if (req.url === '/cut') {
      res.writeHead(200, { 'Content-Length': 9 }).write('x', () => res.destroy());
    }
  });
  await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
  const { port } = server.address() as AddressInfo;
  const endpoint = `127.0.0.1:${port}`;
  const httpClient = createHttpClient(2);
  await assert.rejects(httpClient(endpoint, 'GET', '/silent', undefined, SECOND / 5), {
    message: `no response from ${endpoint} in time`,
  });
  await assert.rejects(httpClient(endpoint, 'GET', '/cut', undefined, 5 * SECOND), {
    message: `response from ${endpoint} aborted`,
  });
  server.closeAllConnections();
  await new Promise((done) => server.close(done));
  await assert.rejects(httpClient(endpoint, 'GET', '/gone', undefined, 5 * SECOND), {
    message: `connect ECONNREFUSED ${endpoint}`,
    code: 'ECONNREFUSED',
  });
});
