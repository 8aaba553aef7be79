/**
 * Golden tests of every response of a node to users, workers and health checks. The literals change only with the
 * protocol. The tests of `api` check how a response is encoded to bytes.
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

/** Formats the status, the body and the fields that become headers. */
function responseText(response: ServiceResponse): string {
  const after = response.retryAfterS === undefined ? '' : `, after ${response.retryAfterS} s`;
  const close = response.closesConnection ? ', on a new connection' : '';
  return `${response.status} ${JSON.stringify(response.body)}${after}${close}`;
}

/** A clock whose time never advances and whose timers fire at once. */
const STOPPED_CLOCK: Clock = {
  now: () => 0,
  wall: () => 1_790_000_000_123_456,
  after: (_delay, run) => {
    setImmediate(run);
    return { cancel: () => undefined };
  },
};

/** Responds to a request to the state service; null means no response. */
type StateServiceStub = (method: HttpMethod, path: string, body: unknown) => HttpReply | null;

interface JobServiceFixture {
  jobService: JobService;
  replica: Replica;
  /** The bodies of the commits that the state service received, as JSON. */
  commits: string[];
}

/** Creates the job service of a node whose replica is complete up to revision 0, with the sample machine types. */
function jobServiceFixture(stateService: StateServiceStub): JobServiceFixture {
  const commits: string[] = [];
  const call: HttpClient = (...request) => {
    const [, method, path, body] = request;
    if (path === '/commit') commits.push(JSON.stringify(body));
    const reply = stateService(method, path, body);
    return reply ? Promise.resolve(reply) : Promise.reject(new Error('no response'));
  };
  const store = new StoreClient(STATE_ENDPOINT, call);
  const replica = new Replica({ store, clock: STOPPED_CLOCK, log: SILENT, stateRps: 1000 });
  replica.state = 'following';
  for (const type of SAMPLE_TYPES) replica.machineTypes.set(type.name, type);
  const settings = sampleSettings(0, 1);
  const jobService = new JobService({ settings, store, replica, clock: STOPPED_CLOCK });
  return { jobService, replica, commits };
}

const KEY_ABSENT: HttpReply = { status: 404, body: { Epoch: 0 } };
const UNREACHABLE_STORE: StateServiceStub = () => null;
/** A state service without any keys, which answers every commit with this reply. */
const answeringCommits =
  (reply: HttpReply | null): StateServiceStub =>
  (_method, path) =>
    path === '/commit' ? reply : KEY_ABSENT;
const ACCEPTING_STORE = answeringCommits({ status: 200, body: { Epoch: 1 } });
const REFUSING_STORE = answeringCommits({ status: 409, body: { failed: [], Epoch: 0 } });
/** A state service that stores the job under the prefix of terminal jobs and refuses commits. */
const withTerminalJob =
  (status: string): StateServiceStub =>
  (_method, path) => {
    if (path === '/commit') return { status: 409, body: { failed: [], Epoch: 0 } };
    if (path === '/store/mw/over/j-1') return { status: 200, body: { V: { Status: status }, Stamp: 0 } };
    return KEY_ABSENT;
  };

/** Adds a live job to the replica. */
function addLiveJob(replica: Replica, overrides: Partial<JobSpec> = {}): void {
  replica.jobs.set('j-1', { spec: sampleJob('j-1', overrides), acceptedAtMs: 0, acceptedRevision: 4 });
}

/** Starts two tasks of the job on a machine and completes one of them. */
function startTasks({ ledger }: Replica): void {
  const machines: PlacementRecord['machines'] = [['n-1', 'large', 'east', false, 0, 0]];
  ledger.apply('lead', { sequence: 1, recordedAtMs: 0, machines });
  const starts: PlacementRecord['starts'] = [
    {
      job: 'j-1',
      team: 'blue',
      image: 'img-1',
      taskResources: [2, 0, 4],
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

test('accepts a new job with 201 and stores it on condition that its id was never used', async () => {
  const { jobService, commits } = jobServiceFixture(ACCEPTING_STORE);
  assert.equal(responseText(await jobService.submitJob(BODY)), '201 {"Uid":"j-1","Status":"pending"}');
  assert.deepEqual(commits, [
    '{"Guards":[{"Path":"mw/now/job/j-1","Stamp":0},{"Path":"mw/over/j-1","Stamp":0}],' +
      '"Writes":[{"Set":"mw/now/job/j-1","V":{"At":1790000000123,"Job":{"id":"j-1","jobClass":"batch",' +
      '"team":"blue","shape":"array","rank":"normal","taskCount":3,"cpus":2,"gpus":0,"memGb":4,"image":"img-1",' +
      '"imageGb":1,"machineTypes":null,"zone":null,"singleZone":false,"spreadZones":false,"allowsSpot":true,' +
      '"estimateS":10,"checkpointS":0,"saveS":0,"deadlineS":null}}}]}',
  ]);
});

test('answers a malformed submission with 400 and the name of the field', async () => {
  const { jobService } = jobServiceFixture(ACCEPTING_STORE);
  assert.equal(responseText(await jobService.submitJob('x')), '400 {"error":"invalid: body"}');
  for (const field of Object.keys(BODY)) {
    const response = await jobService.submitJob({ ...BODY, [field]: { odd: 1 } });
    assert.equal(responseText(response), `400 {"error":"invalid: ${field}"}`);
  }
});

test('answers a job that can never run with 422, the field with its value, and the reason', async () => {
  const oneZoneAndSpread =
    'Scatter true: all tasks can not be in one zone and spread over zones at the same time';
  const cases: [Partial<JobSpec>, string][] = [
    [{ team: 'red' }, 'Crew "red": unknown team'],
    [{ cpus: 13 }, 'Cpus 13: a task needs more than any allowed machine type has'],
    [{ machineTypes: ['huge'] }, 'Builds ["huge"]: no such machine type is offered'],
    [{ zone: 'north' }, 'Hall "north": no machine type that a task fits is offered in this zone'],
    [{ gpus: 1 }, 'Gpus 1: a task needs more than the limit of team blue'],
    [{ shape: 'gang', taskCount: 11 }, 'Cpus 2: all tasks together need more than the limit of team blue'],
    [{ shape: 'gang', singleZone: true, spreadZones: true }, oneZoneAndSpread],
    [{ shape: 'gang', zone: 'east', spreadZones: true }, oneZoneAndSpread],
    [
      { shape: 'gang', cpus: 6, spreadZones: true, machineTypes: ['large'] },
      'Scatter true: at most half of the tasks may be in one zone, and machine types that a task fits are offered in east only',
    ],
  ];
  const { jobService, commits } = jobServiceFixture(ACCEPTING_STORE);
  for (const [overrides, error] of cases) {
    const response = await jobService.submitJob(encodeSubmission(sampleJob('j-1', overrides)));
    assert.equal(responseText(response), `422 ${JSON.stringify({ error })}`);
  }
  assert.deepEqual(commits, []);
});

test('answers 503 with the reason and a retry delay while the node can not decide on a job', async () => {
  const withoutMachineTypes = jobServiceFixture(ACCEPTING_STORE);
  withoutMachineTypes.replica.machineTypes.clear();
  assert.equal(
    responseText(await withoutMachineTypes.jobService.submitJob(BODY)),
    '503 {"error":"machine types not known yet"}, after 1 s',
  );
  const withoutGangSupport = jobServiceFixture(ACCEPTING_STORE);
  const gang = encodeSubmission(sampleJob('j-1', { shape: 'gang' }));
  assert.equal(
    responseText(await withoutGangSupport.jobService.submitJob(gang)),
    '503 {"error":"gangs are not served by all nodes yet"}, after 1 s',
  );
});

/** Requests for one job, each to be sent to a new node, because a node caches terminal statuses. */
const JOB_REQUESTS: [string, (jobService: JobService) => Promise<ServiceResponse>][] = [
  ['submitted again', (jobService) => jobService.submitJob(BODY)],
  ['submitted again, malformed', (jobService) => jobService.submitJob({ ...BODY, Pieces: 0 })],
  ['submitted again, for an unknown team', (jobService) => jobService.submitJob({ ...BODY, Crew: 'red' })],
  ['shown', (jobService) => jobService.getJob('j-1')],
];

test('answers every request for an existing job with 200 and its state', async () => {
  for (const [description, sendRequest] of JOB_REQUESTS) {
    const withPendingJob = jobServiceFixture(REFUSING_STORE);
    addLiveJob(withPendingJob.replica);
    assert.equal(
      responseText(await sendRequest(withPendingJob.jobService)),
      '200 {"Uid":"j-1","Status":"pending","done":0,"running":0}',
      description,
    );
    const withRunningTask = jobServiceFixture(REFUSING_STORE);
    addLiveJob(withRunningTask.replica);
    startTasks(withRunningTask.replica);
    assert.equal(
      responseText(await sendRequest(withRunningTask.jobService)),
      '200 {"Uid":"j-1","Status":"running","done":1,"running":1}',
      description,
    );
    for (const [stored, reported] of [
      ['done', 'done'],
      ['cancelled', 'withdrawn'],
    ] as const) {
      const text = `200 {"Uid":"j-1","Status":"${reported}"}`;
      assert.equal(
        responseText(await sendRequest(jobServiceFixture(withTerminalJob(stored)).jobService)),
        text,
        description,
      );
      const withEndedJob = jobServiceFixture(REFUSING_STORE);
      withEndedJob.replica.terminalJobs.set('j-1', { status: stored, revision: 4 });
      assert.equal(responseText(await sendRequest(withEndedJob.jobService)), text, description);
    }
  }
});

test('answers 503 and closes the connection while the state service is unreachable', async () => {
  for (const [description, sendRequest] of [
    ...JOB_REQUESTS,
    ['cancelled', (jobService: JobService) => jobService.cancelJob('j-1')] as const,
  ]) {
    assert.equal(
      responseText(await sendRequest(jobServiceFixture(UNREACHABLE_STORE).jobService)),
      STORE_UNREACHABLE,
      description,
    );
  }
  for (const status of [429, 503, 500, 400]) {
    const { jobService } = jobServiceFixture(answeringCommits({ status, body: {} }));
    assert.equal(responseText(await jobService.submitJob(BODY)), STORE_UNREACHABLE, String(status));
  }
  // The refused commit shows that the job exists or has ended, but its state can't be read.
  const { jobService } = jobServiceFixture((_method, path) =>
    path === '/commit' ? { status: 409, body: { failed: [], Epoch: 0 } } : null,
  );
  assert.equal(responseText(await jobService.submitJob(BODY)), STORE_UNREACHABLE);
});

test('answers 404 for a job that was never submitted', async () => {
  for (const id of ['j-1', 'x-1', '', `j-${'1'.repeat(33)}`]) {
    const { jobService } = jobServiceFixture(ACCEPTING_STORE);
    assert.equal(responseText(await jobService.getJob(id)), '404 {"error":"no such job"}', id);
    assert.equal(responseText(await jobService.cancelJob(id)), '404 {"error":"no such job"}', id);
  }
});

test('reports a cancelled job as withdrawn, and keeps the status of a job that has ended', async () => {
  const { jobService, replica, commits } = jobServiceFixture(ACCEPTING_STORE);
  addLiveJob(replica);
  assert.equal(responseText(await jobService.cancelJob('j-1')), '200 {"Uid":"j-1","Status":"withdrawn"}');
  assert.deepEqual(commits, [
    '{"Guards":[{"Path":"mw/now/job/j-1","Stamp":4},{"Path":"mw/over/j-1","Stamp":0}],' +
      '"Writes":[{"Set":"mw/now/job/j-1","V":{"Status":"cancelled"}}]}',
  ]);
  assert.equal(
    responseText(await jobServiceFixture(withTerminalJob('done')).jobService.cancelJob('j-1')),
    '200 {"Uid":"j-1","Status":"done"}',
  );
  assert.equal(
    responseText(await jobServiceFixture(withTerminalJob('cancelled')).jobService.cancelJob('j-1')),
    '200 {"Uid":"j-1","Status":"withdrawn"}',
  );
  for (const status of [409, 429, 503]) {
    const refused = jobServiceFixture(answeringCommits({ status, body: { failed: [], Epoch: 0 } }));
    addLiveJob(refused.replica);
    assert.equal(responseText(await refused.jobService.cancelJob('j-1')), STORE_UNREACHABLE, String(status));
  }
});

interface ControllerFixture {
  clock: SimClock;
  store: SimStore;
  controller: Controller;
  sendHeartbeat: (body: unknown) => Promise<string>;
}

/**
 * Rows of the state in which node-1 is the leader and owns shard 1, node-0 owns shard 0, an earlier start of node-0
 * owns shard 3, and no member owns shard 2.
 */
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

/** Creates the controller of a deployment with one node, on a state service that holds the rows above. */
function controllerFixture(tuning: Partial<Tuning> = {}): ControllerFixture {
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
  const sendHeartbeat = async (body: unknown): Promise<string> => {
    let text = 'no answer';
    void controller.handleHeartbeat(body).then((response) => (text = responseText(response)));
    await pass(clock, 3 * SECOND);
    return text;
  };
  return { clock, store, controller, sendHeartbeat };
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

/** Advances simulated time. Runs the events that become due and lets pending promises settle. */
async function pass(clock: SimClock, duration: Micros): Promise<void> {
  await clock.run(clock.time + duration, () => undefined);
}

function heartbeatOf(host: string, sequence: number, overrides: object = {}): WireFields {
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
    ...overrides,
  };
}

test('answers a worker of an owned machine with the fencing token and a command of each kind', async () => {
  const { clock, controller, sendHeartbeat } = controllerFixture();
  controller.start();
  await pass(clock, 3 * SECOND);
  assert.equal(
    await sendHeartbeat(heartbeatOf('n-0', 1)),
    '200 {"Baton":41,"Orders":[{"Verb":"launch","Piece":"j-1/0","Try":1024}]}',
  );
  const pieces = [
    { Piece: 'j-1/0', Try: 1024, Status: 'running' },
    { Piece: 'j-9/0', Try: 3, Status: 'running' },
    { Piece: 'j-9/1', Try: 3, Status: 'exited', Cause: 'done' },
  ];
  assert.equal(
    await sendHeartbeat(heartbeatOf('n-0', 2, { Pieces: pieces })),
    '200 {"Baton":41,"Orders":[{"Verb":"halt","Piece":"j-9/0","Try":3,"WindDownS":0},' +
      '{"Verb":"reap","Piece":"j-9/1","Try":3}]}',
  );
  assert.equal(
    await sendHeartbeat(heartbeatOf('n-0', 3, { Pieces: pieces.slice(0, 1) })),
    '200 {"Baton":41,"Orders":[]}',
  );
  controller.stop();
});

test('redirects a worker of another node to its owner, or refuses it with the reason', async () => {
  const { clock, store, controller, sendHeartbeat } = controllerFixture();
  assert.equal(await sendHeartbeat(heartbeatOf('n-0', 1)), '503 {"error":"machine not known"}, after 1 s');
  controller.start();
  await pass(clock, 3 * SECOND);
  assert.equal(await sendHeartbeat({ Host: 'n-0' }), '400 {"error":"not a report"}');
  assert.equal(await sendHeartbeat(heartbeatOf('n-9', 1)), '503 {"error":"machine not known"}, after 1 s');
  assert.equal(await sendHeartbeat(heartbeatOf('n-1', 1)), '421 {"Foreman":"node-1"}');
  assert.equal(await sendHeartbeat(heartbeatOf('n-2', 1)), '503 {"error":"no owner known"}, after 1 s');
  assert.equal(await sendHeartbeat(heartbeatOf('n-3', 1)), '503 {"error":"not ready yet"}, after 1 s');
  assert.equal(
    await sendHeartbeat(heartbeatOf('n-0', 1, { Baton: 42 })),
    '503 {"error":"superseded"}, after 1 s',
  );
  assert.match(await sendHeartbeat(heartbeatOf('n-0', 7)), /^200 /);
  assert.equal(await sendHeartbeat(heartbeatOf('n-0', 6)), '503 {"error":"stale report"}, after 1 s');
  store.writeUnguarded({ Set: RELEASE[0], V: RELEASE[1] });
  store.setOutage(true);
  await pass(clock, SECOND);
  assert.match(await sendHeartbeat(heartbeatOf('n-0', 8)), /^200 /);
  await pass(clock, 20 * SECOND);
  assert.equal(await sendHeartbeat(heartbeatOf('n-0', 9)), '503 {"error":"state not reachable"}, after 1 s');
  controller.stop();
});

test('refuses the worker of a machine in transfer until the node has acquired the machine', async () => {
  const { clock, store, controller, sendHeartbeat } = controllerFixture();
  store.writeUnguarded({ Set: RELEASE[0], V: RELEASE[1] });
  store.delaysCommit = (writes) => writes.some((write) => String(write['Set']).startsWith('mw/now/log/0/'));
  controller.start();
  await pass(clock, 2 * SECOND);
  assert.equal(await sendHeartbeat(heartbeatOf('n-4', 1)), '503 {"error":"machine on the move"}, after 1 s');
  controller.stop();
});

test('refuses a worker that is ahead of the state if data loss detection is enabled', async () => {
  const { clock, controller, sendHeartbeat } = controllerFixture({ detectsDataLoss: true });
  controller.start();
  await pass(clock, 10 * SECOND);
  const pieces = [{ Piece: 'j-1/0', Try: 50 * 1024, Status: 'running' }];
  assert.equal(
    await sendHeartbeat(heartbeatOf('n-0', 1, { Pieces: pieces })),
    '503 {"error":"state behind the worker"}, after 1 s',
  );
  controller.stop();
});

test('answers a health check with 200 once the node can serve requests, and with the reason until then', async () => {
  const { clock, controller } = controllerFixture();
  assert.equal(responseText(controller.health()), '503 {"error":"not ready yet"}, after 1 s');
  controller.start();
  await pass(clock, 3 * SECOND);
  assert.equal(responseText(controller.health()), '200 {"Status":"ok"}');
  controller.stop();
  const failingClient: HttpClient = () => Promise.reject(new Error('no response'));
  const isolatedController = controllerOf({
    clock: new SimClock(),
    settings: sampleSettings(0, 2),
    call: failingClient,
    tuning: {},
  });
  assert.equal(
    responseText(isolatedController.health()),
    '503 {"error":"cut off from the state service"}, after 1 s',
  );
});
