/**
 * Every answer of a node to users, workers and health checks, as literals: they change only with the protocol. How an
 * answer becomes bytes is pinned in the tests of `api`.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ServiceResponse } from '#api';
import { type PlacementRecord, Replica } from '#cluster';
import { type Settings, defaultTuning, type Tuning } from '#settings';
import { StoreClient } from '#store';
import {
  SAMPLE_TYPES,
  sampleJob,
  sampleSettings,
  SimClock,
  SimNet,
  SimStore,
  STATE_ENDPOINT,
} from '#testkit';
import {
  type HttpClient,
  type Clock,
  encodeSubmission,
  type WireFields,
  type JobSpec,
  type HttpMethod,
  type Micros,
  type HttpReply,
  SECOND,
} from '#wire';
import { Controller } from './controller.js';
import { JobService } from './job-service.js';

const SILENT = { debug: () => undefined, info: () => undefined, error: () => undefined };
const STORE_UNREACHABLE = '503 {"error":"state not reachable"}, after 1 s, on a new connection';

/** Status, body and what goes into headers. */
function textOf(answer: ServiceResponse): string {
  const after = answer.retryAfterS === undefined ? '' : `, after ${answer.retryAfterS} s`;
  const close = answer.closesConnection ? ', on a new connection' : '';
  return `${answer.status} ${JSON.stringify(answer.body)}${after}${close}`;
}

/** A clock that stands still and whose timers fire at once. */
const STOPPED_CLOCK: Clock = {
  now: () => 0,
  wall: () => 1_790_000_000_123_456,
  after: (_delay, run) => {
    setImmediate(run);
    return { cancel: () => undefined };
  },
};

type StateService = (method: HttpMethod, path: string, body: unknown) => HttpReply | null;

interface UserBench {
  users: JobService;
  replica: Replica;
  /** The commits that the state service got. */
  commits: string[];
}

/** A node whose copy of the state is complete up to revision 0, with the sample's machine types. */
function userBench(answer: StateService): UserBench {
  const commits: string[] = [];
  const call: HttpClient = (...request) => {
    const [, method, path, body] = request;
    if (path === '/commit') commits.push(JSON.stringify(body));
    const reply = answer(method, path, body);
    return reply ? Promise.resolve(reply) : Promise.reject(new Error('no response'));
  };
  const store = new StoreClient(STATE_ENDPOINT, call);
  const replica = new Replica({ store, clock: STOPPED_CLOCK, log: SILENT, stateRps: 1000 });
  replica.state = 'following';
  for (const type of SAMPLE_TYPES) replica.machineTypes.set(type.name, type);
  const settings = sampleSettings(0, 1);
  const users = new JobService({ settings, store, replica, clock: STOPPED_CLOCK });
  return { users, replica, commits };
}

const absent: HttpReply = { status: 404, body: { Epoch: 0 } };
const UNREACHED: StateService = () => null;
/** Reads show nothing, commits get this answer. */
const committing =
  (reply: HttpReply | null): StateService =>
  (_method, path) =>
    path === '/commit' ? reply : absent;
const EMPTY = committing({ status: 200, body: { Epoch: 1 } });
const REFUSING = committing({ status: 409, body: { failed: [], Epoch: 0 } });
/** The job is over, and lies apart from the live ones. */
const over =
  (status: string): StateService =>
  (_method, path) => {
    if (path === '/commit') return { status: 409, body: { failed: [], Epoch: 0 } };
    if (path === '/store/mw/over/j-1') return { status: 200, body: { V: { Status: status }, Stamp: 0 } };
    return absent;
  };

function live(replica: Replica, change: Partial<JobSpec> = {}): void {
  replica.jobs.set('j-1', { spec: sampleJob('j-1', change), acceptedAtMs: 0, acceptedRevision: 4 });
}

/** The job runs with one task on a machine; another is done. */
function running({ ledger }: Replica): void {
  const machines: PlacementRecord['machines'] = [['n-1', 'large', 'east', false, 0, 0]];
  ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines });
  const starts: PlacementRecord['starts'] = [
    {
      job: 'j-1',
      team: 'blue',
      image: 'img-1',
      need: [2, 0, 4],
      tasks: [
        [0, 'n-1', 1],
        [1, 'n-1', 1],
      ],
    },
  ];
  ledger.apply(0, { sequence: 1, recordedAtMs: 1, starts });
  ledger.apply(0, { sequence: 2, recordedAtMs: 2, completions: [['j-1', 1, 1024, 'done']] });
}

const BODY = encodeSubmission(sampleJob('j-1'));

test('a new job is accepted with 201, and stored under its id if that was never used before', async () => {
  const { users, commits } = userBench(EMPTY);
  assert.equal(textOf(await users.submitJob(BODY)), '201 {"Uid":"j-1","Status":"pending"}');
  assert.deepEqual(commits, [
    '{"Guards":[{"Path":"mw/now/job/j-1","Stamp":0},{"Path":"mw/over/j-1","Stamp":0}],' +
      '"Writes":[{"Set":"mw/now/job/j-1","V":{"At":1790000000123,"Job":{"id":"j-1","jobClass":"batch",' +
      '"team":"blue","shape":"array","rank":"normal","taskCount":3,"cpus":2,"gpus":0,"memGb":4,"image":"img-1",' +
      '"imageGb":1,"machineTypes":null,"zone":null,"singleZone":false,"spreadZones":false,"allowsSpot":true,' +
      '"estimateS":10,"checkpointS":0,"saveS":0,"deadlineS":null}}}]}',
  ]);
});

test('a malformed submission gets 400 with the field', async () => {
  const { users } = userBench(EMPTY);
  assert.equal(textOf(await users.submitJob('x')), '400 {"error":"invalid: body"}');
  for (const field of Object.keys(BODY)) {
    const answer = await users.submitJob({ ...BODY, [field]: { odd: 1 } });
    assert.equal(textOf(answer), `400 {"error":"invalid: ${field}"}`);
  }
});

test('a job that can never run gets 422 with the reason', async () => {
  const cases: [Partial<JobSpec>, string][] = [
    [{ team: 'red' }, 'unknown team red'],
    [{ cpus: 13 }, 'a task fits no allowed machine type'],
    [{ machineTypes: ['huge'] }, 'a task fits no allowed machine type'],
    [{ zone: 'north' }, 'a task fits no allowed machine type'],
    [{ gpus: 1 }, 'a task needs more than the limit of team blue'],
    [{ shape: 'gang', taskCount: 11 }, 'all tasks together need more than the limit of team blue'],
    [
      { shape: 'gang', singleZone: true, spreadZones: true },
      'all tasks can not be in one zone and spread over zones at the same time',
    ],
    [
      { shape: 'gang', zone: 'east', spreadZones: true },
      'all tasks can not be in one zone and spread over zones at the same time',
    ],
  ];
  const { users, commits } = userBench(EMPTY);
  for (const [change, error] of cases) {
    const answer = await users.submitJob(encodeSubmission(sampleJob('j-1', change)));
    assert.equal(textOf(answer), `422 {"error":"${error}"}`);
  }
  assert.deepEqual(commits, []);
});

test('a node that can not decide yet answers why, and to retry after a second', async () => {
  const unready = userBench(EMPTY);
  unready.replica.machineTypes.clear();
  assert.equal(
    textOf(await unready.users.submitJob(BODY)),
    '503 {"error":"machine types not known yet"}, after 1 s',
  );
  const old = userBench(EMPTY);
  const gang = encodeSubmission(sampleJob('j-1', { shape: 'gang' }));
  assert.equal(
    textOf(await old.users.submitJob(gang)),
    '503 {"error":"gangs are not served by all nodes yet"}, after 1 s',
  );
});

/** Each of them on a node of its own, since a node keeps what it knows to be over. */
const ASKED: [string, (users: JobService) => Promise<ServiceResponse>][] = [
  ['submitted again', (users) => users.submitJob(BODY)],
  ['submitted again, malformed', (users) => users.submitJob({ ...BODY, Pieces: 0 })],
  ['submitted again, for an unknown team', (users) => users.submitJob({ ...BODY, Crew: 'red' })],
  ['shown', (users) => users.getJob('j-1')],
];

test('a known job gets 200 with its state, whatever is requested', async () => {
  for (const [what, ask] of ASKED) {
    const pending = userBench(REFUSING);
    live(pending.replica);
    assert.equal(
      textOf(await ask(pending.users)),
      '200 {"Uid":"j-1","Status":"pending","done":0,"running":0}',
      what,
    );
    const busy = userBench(REFUSING);
    live(busy.replica);
    running(busy.replica);
    assert.equal(
      textOf(await ask(busy.users)),
      '200 {"Uid":"j-1","Status":"running","done":1,"running":1}',
      what,
    );
    for (const [stored, told] of [
      ['done', 'done'],
      ['cancelled', 'withdrawn'],
    ] as const) {
      const text = `200 {"Uid":"j-1","Status":"${told}"}`;
      assert.equal(textOf(await ask(userBench(over(stored)).users)), text, what);
      const ended = userBench(REFUSING);
      ended.replica.terminalJobs.set('j-1', { status: stored, revision: 4 });
      assert.equal(textOf(await ask(ended.users)), text, what);
    }
  }
});

test('a node that does not reach the state service sends its users to another node', async () => {
  for (const [what, ask] of [
    ...ASKED,
    ['cancelled', (users: JobService) => users.cancelJob('j-1')] as const,
  ]) {
    assert.equal(textOf(await ask(userBench(UNREACHED).users)), STORE_UNREACHABLE, what);
  }
  for (const status of [429, 503, 500, 400]) {
    const { users } = userBench(committing({ status, body: {} }));
    assert.equal(textOf(await users.submitJob(BODY)), STORE_UNREACHABLE, String(status));
  }
  // It was accepted or over when the commit was refused, but what it is can't be read.
  const { users } = userBench((_method, path) =>
    path === '/commit' ? { status: 409, body: { failed: [], Epoch: 0 } } : null,
  );
  assert.equal(textOf(await users.submitJob(BODY)), STORE_UNREACHABLE);
});

test('a job that nobody submitted gets 404', async () => {
  for (const id of ['j-1', 'x-1', '', `j-${'1'.repeat(33)}`]) {
    const { users } = userBench(EMPTY);
    assert.equal(textOf(await users.getJob(id)), '404 {"error":"no such job"}', id);
    assert.equal(textOf(await users.cancelJob(id)), '404 {"error":"no such job"}', id);
  }
});

test('a cancelled job is withdrawn, one with a terminal status keeps it', async () => {
  const { users, replica, commits } = userBench(EMPTY);
  live(replica);
  assert.equal(textOf(await users.cancelJob('j-1')), '200 {"Uid":"j-1","Status":"withdrawn"}');
  assert.deepEqual(commits, [
    '{"Guards":[{"Path":"mw/now/job/j-1","Stamp":4},{"Path":"mw/over/j-1","Stamp":0}],' +
      '"Writes":[{"Set":"mw/now/job/j-1","V":{"Status":"cancelled"}}]}',
  ]);
  assert.equal(
    textOf(await userBench(over('done')).users.cancelJob('j-1')),
    '200 {"Uid":"j-1","Status":"done"}',
  );
  assert.equal(
    textOf(await userBench(over('cancelled')).users.cancelJob('j-1')),
    '200 {"Uid":"j-1","Status":"withdrawn"}',
  );
  for (const status of [409, 429, 503]) {
    const refused = userBench(committing({ status, body: { failed: [], Epoch: 0 } }));
    live(refused.replica);
    assert.equal(textOf(await refused.users.cancelJob('j-1')), STORE_UNREACHABLE, String(status));
  }
});

interface NodeBench {
  clock: SimClock;
  store: SimStore;
  controller: Controller;
  ask: (body: unknown) => Promise<string>;
}

/** Rows that make node-0 own shard 0; nobody owns shard 2, node-1 leads and owns the others. */
const ROWS: [path: string, value: WireFields][] = [
  ['mw/now/lead', { Member: 'node-1', Nonce: 'other.1' }],
  ['mw/now/token', { Token: 41 }],
  ['mw/now/share/0', { Member: 'node-0', Nonce: 'i1.1', Token: 41 }],
  ['mw/now/share/1', { Member: 'node-1', Nonce: 'other.1', Token: 41 }],
  ['mw/now/share/3', { Member: 'node-0', Nonce: 'earlier.1', Token: 40 }],
  ['mw/now/type/large', { Type: SAMPLE_TYPES[1] }],
  ['mw/now/job/j-1', { At: 1_790_000_000_000, Job: sampleJob('j-1', { taskCount: 1 }) }],
  [
    'mw/now/log/lead/0001',
    {
      sequence: 1,
      at: 1_790_000_000_000,
      machines: [
        ['n-0', 'large', 'east', false, 1_790_000_000_000, 0],
        ['n-1', 'large', 'east', false, 1_790_000_000_000, 1],
        ['n-2', 'large', 'east', false, 1_790_000_000_000, 2],
        ['n-3', 'large', 'east', false, 1_790_000_000_000, 3],
        ['n-4', 'large', 'east', false, 1_790_000_000_000, 1],
      ],
      moves: [['n-4', 0]],
    },
  ],
  [
    'mw/now/log/0/0001',
    {
      sequence: 1,
      at: 1_790_000_000_001,
      statuses: [['n-0', 'up']],
      starts: [{ job: 'j-1', team: 'blue', image: 'img-1', need: [2, 0, 4], tasks: [[0, 'n-0', 1]] }],
    },
  ],
];
const RELEASE: [path: string, value: WireFields] = [
  'mw/now/log/1/0001',
  { sequence: 1, at: 1_790_000_000_002, releases: [['n-4', null]] },
];

/** A node alone in its deployment, on a state service that holds the rows above. */
function nodeBench(tuning: Partial<Tuning> = {}): NodeBench {
  const clock = new SimClock();
  const random = (): number => 0.5;
  const net = new SimNet(clock, random);
  const settings: Settings = sampleSettings(0, 1);
  const store = new SimStore(clock, random, {
    rps: 100,
    writeRps: 40,
    txnOps: 6,
    valueBytes: 2048,
    pageRows: 1000,
  });
  net.serve(STATE_ENDPOINT, null, store.handler);
  for (const [path, value] of ROWS) store.writeUnguarded({ Set: path, V: value });
  const call = net.createClient('node-0', 'east', (step) => {
    step();
  });
  const controller = controllerOf({ clock, settings, call, tuning });
  const ask = async (body: unknown): Promise<string> => {
    let text = 'no answer';
    void controller.handleHeartbeat(body).then((answer) => (text = textOf(answer)));
    await pass(clock, 3 * SECOND);
    return text;
  };
  return { clock, store, controller, ask };
}

interface ControllerParts {
  clock: SimClock;
  settings: Settings;
  call: HttpClient;
  tuning: Partial<Tuning>;
}

function controllerOf({ clock, settings, call, tuning }: ControllerParts): Controller {
  const view = clock.createProcessClock(
    (step) => {
      step();
    },
    0,
    0,
  );
  return new Controller({
    settings,
    tuning: { ...defaultTuning(), ...tuning },
    clock: view,
    random: () => 0.5,
    incarnation: 'i1',
    httpClient: call,
    ping: () => Promise.resolve({ result: 'silent', status: null }),
    log: SILENT,
  });
}

/** Advances simulated time, with a step in between so that whatever is under way settles. */
async function pass(clock: SimClock, duration: Micros): Promise<void> {
  await clock.run(clock.time + duration, () => undefined);
}

function heartbeatOf(host: string, sequence: number, change: object = {}): WireFields {
  return {
    Host: host,
    Endpoint: '10.1.0.1:9000',
    Build: 'large',
    Hall: 'east',
    Loaners: false,
    Shift: 1,
    Tally: sequence,
    Baton: 41,
    RecallS: null,
    Pieces: [],
    ...change,
  };
}

test('a worker of the node gets the fencing token and a command of each kind', async () => {
  const { clock, controller, ask } = nodeBench();
  controller.start();
  await pass(clock, 3 * SECOND);
  assert.equal(
    await ask(heartbeatOf('n-0', 1)),
    '200 {"Baton":41,"Orders":[{"Verb":"launch","Piece":"j-1/0","Try":1024}]}',
  );
  const pieces = [
    { Piece: 'j-1/0', Try: 1024, Status: 'running' },
    { Piece: 'j-9/0', Try: 3, Status: 'running' },
    { Piece: 'j-9/1', Try: 3, Status: 'exited', Cause: 'done' },
  ];
  assert.equal(
    await ask(heartbeatOf('n-0', 2, { Pieces: pieces })),
    '200 {"Baton":41,"Orders":[{"Verb":"halt","Piece":"j-9/0","Try":3,"WindDownS":0},' +
      '{"Verb":"reap","Piece":"j-9/1","Try":3}]}',
  );
  assert.equal(
    await ask(heartbeatOf('n-0', 3, { Pieces: pieces.slice(0, 1) })),
    '200 {"Baton":41,"Orders":[]}',
  );
  controller.stop();
});

test('a worker of another node is redirected to its owner, or refused with the reason', async () => {
  const { clock, store, controller, ask } = nodeBench();
  assert.equal(await ask(heartbeatOf('n-0', 1)), '503 {"error":"machine not known"}, after 1 s');
  controller.start();
  await pass(clock, 3 * SECOND);
  assert.equal(await ask({ Host: 'n-0' }), '400 {"error":"not a report"}');
  assert.equal(await ask(heartbeatOf('n-9', 1)), '503 {"error":"machine not known"}, after 1 s');
  assert.equal(await ask(heartbeatOf('n-1', 1)), '421 {"Foreman":"node-1"}');
  assert.equal(await ask(heartbeatOf('n-2', 1)), '503 {"error":"no owner known"}, after 1 s');
  assert.equal(await ask(heartbeatOf('n-3', 1)), '503 {"error":"not ready yet"}, after 1 s');
  assert.equal(await ask(heartbeatOf('n-0', 1, { Baton: 42 })), '503 {"error":"superseded"}, after 1 s');
  assert.match(await ask(heartbeatOf('n-0', 7)), /^200 /);
  assert.equal(await ask(heartbeatOf('n-0', 6)), '503 {"error":"stale report"}, after 1 s');
  store.writeUnguarded({ Set: RELEASE[0], V: RELEASE[1] });
  store.setOutage(true);
  await pass(clock, SECOND);
  assert.match(await ask(heartbeatOf('n-0', 8)), /^200 /);
  await pass(clock, 20 * SECOND);
  assert.equal(await ask(heartbeatOf('n-0', 9)), '503 {"error":"state not reachable"}, after 1 s');
  controller.stop();
});

test('a machine in transfer between two shards is refused until the node has acquired it', async () => {
  const { clock, store, controller, ask } = nodeBench();
  store.writeUnguarded({ Set: RELEASE[0], V: RELEASE[1] });
  store.delaysCommit = (writes) => writes.some((write) => String(write['Set']).startsWith('mw/now/log/0/'));
  controller.start();
  await pass(clock, 2 * SECOND);
  assert.equal(await ask(heartbeatOf('n-4', 1)), '503 {"error":"machine on the move"}, after 1 s');
  controller.stop();
});

test('a worker ahead of the state is refused where data loss is detected', async () => {
  const { clock, controller, ask } = nodeBench({ detectsDataLoss: true });
  controller.start();
  await pass(clock, 10 * SECOND);
  const pieces = [{ Piece: 'j-1/0', Try: 50 * 1024, Status: 'running' }];
  assert.equal(
    await ask(heartbeatOf('n-0', 1, { Pieces: pieces })),
    '503 {"error":"state behind the worker"}, after 1 s',
  );
  controller.stop();
});

test('a health check gets 200 once the node can serve requests, and the reason until then', async () => {
  const { clock, controller } = nodeBench();
  assert.equal(textOf(controller.health()), '503 {"error":"not ready yet"}, after 1 s');
  controller.start();
  await pass(clock, 3 * SECOND);
  assert.equal(textOf(controller.health()), '200 {"Status":"ok"}');
  controller.stop();
  const none: HttpClient = () => Promise.reject(new Error('no response'));
  const alone = controllerOf({
    clock: new SimClock(),
    settings: sampleSettings(0, 2),
    call: none,
    tuning: {},
  });
  assert.equal(textOf(alone.health()), '503 {"error":"cut off from the state service"}, after 1 s');
});
