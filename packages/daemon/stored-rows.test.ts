/**
 * The exact text of the rows that jobs, shares and machine types are stored in, and of the records that a whole node
 * writes. Names of fields in the code may change, these may not: see the test of the same name in `cluster`.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  JOB_PREFIX,
  type LiveJob,
  LOG_PREFIX,
  Replica,
  SHARD_PREFIX,
  FENCING_TOKEN_KEY,
  MACHINE_TYPE_PREFIX,
} from '#cluster';
import { StoreClient } from '#store';
import {
  SAMPLE_TYPES,
  sampleJob,
  sampleSettings,
  SimClock,
  SimNet,
  SimStore,
  SimCluster,
  STATE_ENDPOINT,
} from '#testkit';
import { type Clock, encodeSubmission, type WireFields, type JobSpec, MS, RANKS, SECOND } from '#wire';
import { JobService } from './job-service.js';

const SILENT = { debug: () => undefined, info: () => undefined, error: () => undefined };
/** Time of day of every submission, in milliseconds. */
const AT = 1_790_000_000_123;

const TYPE_ROWS = {
  'mw/now/type/large':
    '{"Type":{"name":"large","cpus":12,"gpus":2,"memGb":64,"cacheGb":80,"fetchGbPerS":1,"price":4,"spotPrice":1.2,"bootS":8,"zones":["east"]}}',
  'mw/now/type/small':
    '{"Type":{"name":"small","cpus":4,"gpus":0,"memGb":16,"cacheGb":40,"fetchGbPerS":1,"price":1,"spotPrice":0.3,"bootS":6,"zones":["east","west"]}}',
};

/** Every node understands gangs. */
const MEMBER_ROW =
  '{"Nonce":"p1.1","Zone":"east","Permit":1,"Unreachable":[],"WorkersUnreachable":false,"Capabilities":["gangs","handover","memory"]}';

/** Rows below this prefix in the order of their keys: the text of each. */
function textsOf(store: SimStore, prefix: string): Record<string, string> {
  const rows = [...store.rows].filter(([path]) => path.startsWith(prefix));
  rows.sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(rows.map(([path, { value }]) => [path, JSON.stringify(value)]));
}

/** What users ask of a node whose copy of the state began with these rows. */
class UserWorld {
  readonly clock = new SimClock();
  readonly view: Clock = {
    ...this.clock.createProcessClock(
      (step) => {
        step();
      },
      0,
      0,
    ),
    wall: () => AT * MS,
  };
  readonly store = new SimStore(this.clock, () => 0.5, {
    rps: 100_000,
    writeRps: 100_000,
    txnOps: 100,
    valueBytes: 100_000,
    pageRows: 1000,
  });
  private readonly net = new SimNet(this.clock, () => 0.5);
  readonly replica: Replica;
  readonly users: JobService;

  constructor(rows: Record<string, string>, valueBytes = 4096) {
    this.net.serve(STATE_ENDPOINT, null, this.store.handler);
    for (const [path, text] of Object.entries(rows)) {
      this.store.writeUnguarded({ Set: path, V: JSON.parse(text) as WireFields });
    }
    const call = this.net.createClient('node-0', null, (step) => {
      step();
    });
    const client = new StoreClient(STATE_ENDPOINT, call);
    this.replica = new Replica({ store: client, clock: this.view, log: SILENT, stateRps: 10_000 });
    this.users = new JobService({
      settings: sampleSettings(0, 1, { valueBytes }),
      store: client,
      replica: this.replica,
      clock: this.view,
    });
    void this.replica.run();
  }

  async pass(): Promise<void> {
    await this.clock.run(this.clock.time + SECOND, () => undefined);
    assert.equal(this.replica.state, 'following');
  }

  async submit(job: JobSpec): Promise<number> {
    let status = 0;
    void this.users.submitJob(encodeSubmission(job)).then((answer) => (status = answer.status));
    await this.pass();
    return status;
  }
}

const ARRAY_JOB: JobSpec = {
  id: 'j-1',
  jobClass: 'batch',
  team: 'blue',
  shape: 'array',
  rank: 'prod',
  taskCount: 3,
  cpus: 2.5,
  gpus: 0,
  memGb: 4.25,
  image: 'img-1',
  imageGb: 1.5,
  machineTypes: ['small', 'large', 'none'],
  zone: 'east',
  singleZone: true,
  spreadZones: false,
  allowsSpot: true,
  estimateS: 10.5,
  checkpointS: 60,
  saveS: 2,
  deadlineS: 900,
};

const GANG_JOB: JobSpec = sampleJob('j-2', {
  shape: 'gang',
  rank: 'best_effort',
  team: 'green',
  taskCount: 2,
  cpus: 1,
  gpus: 1,
  spreadZones: true,
  allowsSpot: false,
});

test('rows of jobs: every field, of arrays and gangs', async () => {
  const world = new UserWorld({ ...TYPE_ROWS, 'mw/now/member/node-0': MEMBER_ROW });
  await world.pass();
  assert.equal(await world.submit(ARRAY_JOB), 201);
  assert.equal(await world.submit(GANG_JOB), 201);
  const rows = {
    'mw/now/job/j-1':
      '{"At":1790000000123,"Job":{"id":"j-1","jobClass":"batch","team":"blue","shape":"array","rank":"prod","taskCount":3,"cpus":2.5,"gpus":0,"memGb":4.25,"image":"img-1","imageGb":1.5,"machineTypes":["small","large","none"],"zone":"east","singleZone":true,"spreadZones":false,"allowsSpot":true,"estimateS":10.5,"checkpointS":60,"saveS":2,"deadlineS":900}}',
    'mw/now/job/j-2':
      '{"At":1790000000123,"Job":{"id":"j-2","jobClass":"batch","team":"green","shape":"gang","rank":"best_effort","taskCount":2,"cpus":1,"gpus":1,"memGb":4,"image":"img-1","imageGb":1,"machineTypes":null,"zone":null,"singleZone":false,"spreadZones":true,"allowsSpot":false,"estimateS":10,"checkpointS":0,"saveS":0,"deadlineS":null}}',
  };
  assert.deepEqual(textsOf(world.store, JOB_PREFIX), rows);

  const reader = new UserWorld(rows);
  await reader.pass();
  assert.deepEqual<[string, LiveJob][]>(
    [...reader.replica.jobs],
    [
      ['j-1', { spec: ARRAY_JOB, acceptedAtMs: AT, acceptedRevision: 1 }],
      ['j-2', { spec: GANG_JOB, acceptedAtMs: AT, acceptedRevision: 2 }],
    ],
  );
});

test('a list of machine types that is too long for a value is stored as those that exist', async () => {
  const world = new UserWorld(TYPE_ROWS, 1024);
  await world.pass();
  const names = [...Array(100).keys()].map((i) => `no-such-${i}`);
  const machineTypes = [...names, 'small', 'large'];
  assert.equal(await world.submit({ ...ARRAY_JOB, machineTypes }), 201);
  const rows = {
    'mw/now/job/j-1':
      '{"At":1790000000123,"Job":{"id":"j-1","jobClass":"batch","team":"blue","shape":"array","rank":"prod","taskCount":3,"cpus":2.5,"gpus":0,"memGb":4.25,"image":"img-1","imageGb":1.5,"machineTypes":["large","small"],"zone":"east","singleZone":true,"spreadZones":false,"allowsSpot":true,"estimateS":10.5,"checkpointS":60,"saveS":2,"deadlineS":900}}',
  };
  assert.deepEqual(textsOf(world.store, JOB_PREFIX), rows);
  const reader = new UserWorld(rows);
  await reader.pass();
  assert.deepEqual(reader.replica.jobs.get('j-1')?.spec, { ...ARRAY_JOB, machineTypes: ['large', 'small'] });
});

test('the stored names of job ranks', async () => {
  const world = new UserWorld(TYPE_ROWS);
  await world.pass();
  for (const [i, rank] of RANKS.entries()) {
    assert.equal(await world.submit(sampleJob(`j-${i}`, { rank })), 201);
  }
  const texts = textsOf(world.store, JOB_PREFIX);
  assert.deepEqual(
    Object.values(texts).map((text) => /"rank":"[a-z_]*"/.exec(text)?.[0]),
    ['"rank":"best_effort"', '"rank":"normal"', '"rank":"urgent"', '"rank":"prod"'],
  );
  const reader = new UserWorld(texts);
  await reader.pass();
  assert.deepEqual(
    [...reader.replica.jobs.values()].map(({ spec }) => spec.rank),
    ['best_effort', 'normal', 'urgent', 'prod'],
  );
});

test('the row of a job that was cancelled', async () => {
  const world = new UserWorld(TYPE_ROWS);
  await world.pass();
  assert.equal(await world.submit(ARRAY_JOB), 201);
  let status = 0;
  void world.users.cancelJob('j-1').then((answer) => (status = answer.status));
  await world.pass();
  assert.equal(status, 200);
  assert.deepEqual(textsOf(world.store, JOB_PREFIX), { 'mw/now/job/j-1': '{"Status":"cancelled"}' });
});

test('rows of shards, of the fencing token and of machine types, as a leader writes them', async () => {
  const world = new SimCluster({ seed: 1, nodes: 1, settings: { initialSize: 2 } });
  await world.run(10 * SECOND);
  const { store } = world;
  assert.deepEqual(textsOf(store, SHARD_PREFIX), {
    'mw/now/share/0': '{"Member":"node-0","Nonce":"i1.1","Token":1}',
    'mw/now/share/1': '{"Member":"node-0","Nonce":"i1.1","Token":1}',
  });
  assert.deepEqual(textsOf(store, FENCING_TOKEN_KEY), { 'mw/now/token': '{"Token":1}' });
  assert.deepEqual(textsOf(store, MACHINE_TYPE_PREFIX), TYPE_ROWS);
  const reader = new UserWorld(TYPE_ROWS);
  await reader.pass();
  assert.deepEqual([...reader.replica.machineTypes.values()].reverse(), SAMPLE_TYPES);
});

/** Fields of a record in the order in which they are stored. */
const RECORD_FIELDS = [
  'removed',
  'machines',
  'settledRentals',
  'rentals',
  'moves',
  'ends',
  'statuses',
  'takes',
  'releases',
  'prices',
  'unmet',
  'starts',
  'sequence',
  'at',
  'order',
];

test('records that a whole node writes have these fields in this order', async () => {
  const world = new SimCluster({ seed: 1, nodes: 1, settings: { initialSize: 2 } });
  const seen = new Set<string>();
  const groups = new Set<string>();
  const { afterApply } = world.store;
  world.store.afterApply = (writes) => {
    afterApply(writes);
    for (const { Set: path, V: value } of writes) {
      if (!String(path).startsWith(LOG_PREFIX)) continue;
      const record = value as WireFields;
      const fields = Object.keys(record);
      assert.deepEqual(
        fields,
        RECORD_FIELDS.filter((field) => fields.includes(field)),
      );
      for (const field of fields) seen.add(field);
      for (const group of (record['starts'] ?? []) as WireFields[]) groups.add(Object.keys(group).join());
    }
  };
  await world.run(5 * SECOND);
  world.submit(ARRAY_JOB);
  world.submit(sampleJob('j-3', { cpus: 4, taskCount: 6 }));
  world.submit({ ...GANG_JOB, spreadZones: false });
  await world.run(150 * SECOND);
  assert.deepEqual([...groups].sort(), ['job,team,image,need,gang,tasks', 'job,team,image,need,tasks']);
  const expected = [
    'removed',
    'machines',
    'settledRentals',
    'rentals',
    'ends',
    'statuses',
    'prices',
    'starts',
  ];
  assert.deepEqual(
    expected.filter((field) => !seen.has(field)),
    [],
  );
});
