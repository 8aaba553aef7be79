/**
 * Golden tests of the stored rows of jobs, shards and machine types, and of the fields of the records that a node
 * writes. Names of fields in the code may change; stored names may not. See also the test of this name in `cluster`.
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
/** Wall-clock time of every submission, in milliseconds. */
const SUBMITTED_AT_MS = 1_790_000_000_123;

const TYPE_ROWS = {
  'mw/now/type/large':
    '{"Type":{"name":"large","cpus":12,"gpus":2,"memGb":64,"cacheGb":80,"fetchGbPerS":1,"price":4,"spotPrice":1.2,"bootS":8,"zones":["east"]}}',
  'mw/now/type/small':
    '{"Type":{"name":"small","cpus":4,"gpus":0,"memGb":16,"cacheGb":40,"fetchGbPerS":1,"price":1,"spotPrice":0.3,"bootS":6,"zones":["east","west"]}}',
};

/** Member record of a node that announces all capabilities, including gangs. */
const MEMBER_ROW =
  '{"Nonce":"p1.1","Zone":"east","Permit":1,"Unreachable":[],"WorkersUnreachable":false,"Capabilities":["gangs","handover","memory"]}';

/** Returns the JSON text of each row under the prefix, in the order of the keys. Keyed by path. */
function rowTexts(store: SimStore, prefix: string): Record<string, string> {
  const rows = [...store.rows].filter(([path]) => path.startsWith(prefix));
  rows.sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(rows.map(([path, { value }]) => [path, JSON.stringify(value)]));
}

/** The job service of a node whose replica is loaded from a state service with the given rows. */
class JobServiceFixture {
  readonly clock = new SimClock();
  readonly nodeClock: Clock = {
    ...this.clock.createProcessClock(
      (step) => {
        step();
      },
      0,
      0,
    ),
    wall: () => SUBMITTED_AT_MS * MS,
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
  readonly jobService: JobService;

  constructor(rows: Record<string, string>, valueBytes = 4096) {
    this.net.serve(STATE_ENDPOINT, null, this.store.handler);
    for (const [path, text] of Object.entries(rows)) {
      this.store.writeUnguarded({ Set: path, V: JSON.parse(text) as WireFields });
    }
    const call = this.net.createClient('node-0', null, (step) => {
      step();
    });
    const client = new StoreClient(STATE_ENDPOINT, call);
    this.replica = new Replica({ store: client, clock: this.nodeClock, log: SILENT, stateRps: 10_000 });
    this.jobService = new JobService({
      settings: sampleSettings(0, 1, { valueBytes }),
      store: client,
      replica: this.replica,
      clock: this.nodeClock,
    });
    void this.replica.run();
  }

  /** Advances simulated time by a second and checks that the replica follows the state service. */
  async advance(): Promise<void> {
    await this.clock.run(this.clock.time + SECOND, () => undefined);
    assert.equal(this.replica.state, 'following');
  }

  /** Submits the job and returns the HTTP status of the response. */
  async submit(job: JobSpec): Promise<number> {
    let status = 0;
    void this.jobService.submitJob(encodeSubmission(job)).then((response) => (status = response.status));
    await this.advance();
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

test('stores every field of array jobs and gang jobs, and reads it back', async () => {
  // The gang needs GPUs and must be spread, so the type that has some is offered in two zones.
  const large = TYPE_ROWS['mw/now/type/large'].replace('["east"]', '["east","west"]');
  const rowsBefore = { ...TYPE_ROWS, 'mw/now/type/large': large, 'mw/now/member/node-0': MEMBER_ROW };
  const fixture = new JobServiceFixture(rowsBefore);
  await fixture.advance();
  assert.equal(await fixture.submit(ARRAY_JOB), 201);
  assert.equal(await fixture.submit(GANG_JOB), 201);
  const rows = {
    'mw/now/job/j-1':
      '{"At":1790000000123,"Job":{"id":"j-1","jobClass":"batch","team":"blue","shape":"array","rank":"prod","taskCount":3,"cpus":2.5,"gpus":0,"memGb":4.25,"image":"img-1","imageGb":1.5,"machineTypes":["small","large","none"],"zone":"east","singleZone":true,"spreadZones":false,"allowsSpot":true,"estimateS":10.5,"checkpointS":60,"saveS":2,"deadlineS":900}}',
    'mw/now/job/j-2':
      '{"At":1790000000123,"Job":{"id":"j-2","jobClass":"batch","team":"green","shape":"gang","rank":"best_effort","taskCount":2,"cpus":1,"gpus":1,"memGb":4,"image":"img-1","imageGb":1,"machineTypes":null,"zone":null,"singleZone":false,"spreadZones":true,"allowsSpot":false,"estimateS":10,"checkpointS":0,"saveS":0,"deadlineS":null}}',
  };
  assert.deepEqual(rowTexts(fixture.store, JOB_PREFIX), rows);

  const reader = new JobServiceFixture(rows);
  await reader.advance();
  assert.deepEqual<[string, LiveJob][]>(
    [...reader.replica.jobs],
    [
      ['j-1', { spec: ARRAY_JOB, acceptedAtMs: SUBMITTED_AT_MS, acceptedRevision: 1 }],
      ['j-2', { spec: GANG_JOB, acceptedAtMs: SUBMITTED_AT_MS, acceptedRevision: 2 }],
    ],
  );
});

test('reduces a list of machine types that is too long for a value to those that exist', async () => {
  const fixture = new JobServiceFixture(TYPE_ROWS, 1024);
  await fixture.advance();
  const names = [...Array(100).keys()].map((i) => `no-such-${i}`);
  const machineTypes = [...names, 'small', 'large'];
  assert.equal(await fixture.submit({ ...ARRAY_JOB, machineTypes }), 201);
  const rows = {
    'mw/now/job/j-1':
      '{"At":1790000000123,"Job":{"id":"j-1","jobClass":"batch","team":"blue","shape":"array","rank":"prod","taskCount":3,"cpus":2.5,"gpus":0,"memGb":4.25,"image":"img-1","imageGb":1.5,"machineTypes":["large","small"],"zone":"east","singleZone":true,"spreadZones":false,"allowsSpot":true,"estimateS":10.5,"checkpointS":60,"saveS":2,"deadlineS":900}}',
  };
  assert.deepEqual(rowTexts(fixture.store, JOB_PREFIX), rows);
  const reader = new JobServiceFixture(rows);
  await reader.advance();
  assert.deepEqual(reader.replica.jobs.get('j-1')?.spec, { ...ARRAY_JOB, machineTypes: ['large', 'small'] });
});

// Guards against a job that is refused for good by a node that has not read the machine types of a newer commit yet.
test('a job that fits only a machine type which the node has not read yet is answered 503, then 201', async () => {
  const fixture = new JobServiceFixture(TYPE_ROWS);
  await fixture.advance();
  const huge = TYPE_ROWS['mw/now/type/large'].replace('"large"', '"huge"');
  fixture.store.writeUnguarded({ Set: 'mw/now/type/huge', V: JSON.parse(huge) as WireFields });
  const job = { ...ARRAY_JOB, machineTypes: ['huge'] };
  assert.equal(await fixture.submit(job), 503);
  assert.equal(await fixture.submit(job), 201);
});

test('stores each job rank under its stored name', async () => {
  const fixture = new JobServiceFixture(TYPE_ROWS);
  await fixture.advance();
  for (const [i, rank] of RANKS.entries()) {
    assert.equal(await fixture.submit(sampleJob(`j-${i}`, { rank })), 201);
  }
  const texts = rowTexts(fixture.store, JOB_PREFIX);
  assert.deepEqual(
    Object.values(texts).map((text) => /"rank":"[a-z_]*"/.exec(text)?.[0]),
    ['"rank":"best_effort"', '"rank":"normal"', '"rank":"urgent"', '"rank":"prod"'],
  );
  const reader = new JobServiceFixture(texts);
  await reader.advance();
  assert.deepEqual(
    [...reader.replica.jobs.values()].map(({ spec }) => spec.rank),
    ['best_effort', 'normal', 'urgent', 'prod'],
  );
});

test('replaces the row of a cancelled job by its terminal status', async () => {
  const fixture = new JobServiceFixture(TYPE_ROWS);
  await fixture.advance();
  assert.equal(await fixture.submit(ARRAY_JOB), 201);
  let status = 0;
  void fixture.jobService.cancelJob('j-1').then((response) => (status = response.status));
  await fixture.advance();
  assert.equal(status, 200);
  assert.deepEqual(rowTexts(fixture.store, JOB_PREFIX), { 'mw/now/job/j-1': '{"Status":"cancelled"}' });
});

test('writes the rows of shards, of the fencing token and of machine types as leader', async () => {
  const cluster = new SimCluster({ seed: 1, nodes: 1, settings: { initialSize: 2 } });
  await cluster.run(10 * SECOND);
  const { store } = cluster;
  assert.deepEqual(rowTexts(store, SHARD_PREFIX), {
    'mw/now/share/0': '{"Member":"node-0","Nonce":"i1.1","Token":1}',
    'mw/now/share/1': '{"Member":"node-0","Nonce":"i1.1","Token":1}',
  });
  assert.deepEqual(rowTexts(store, FENCING_TOKEN_KEY), { 'mw/now/token': '{"Token":1}' });
  assert.deepEqual(rowTexts(store, MACHINE_TYPE_PREFIX), TYPE_ROWS);
  const reader = new JobServiceFixture(TYPE_ROWS);
  await reader.advance();
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

test('writes the fields of records in the stored order', async () => {
  const cluster = new SimCluster({ seed: 1, nodes: 1, settings: { initialSize: 2 } });
  const writtenFields = new Set<string>();
  const groupFields = new Set<string>();
  const { afterApply } = cluster.store;
  cluster.store.afterApply = (writes) => {
    afterApply(writes);
    for (const { Set: path, V: value } of writes) {
      if (!String(path).startsWith(LOG_PREFIX)) continue;
      const record = value as WireFields;
      const fields = Object.keys(record);
      assert.deepEqual(
        fields,
        RECORD_FIELDS.filter((field) => fields.includes(field)),
      );
      for (const field of fields) writtenFields.add(field);
      for (const group of (record['starts'] ?? []) as WireFields[])
        groupFields.add(Object.keys(group).join());
    }
  };
  await cluster.run(5 * SECOND);
  cluster.submit(ARRAY_JOB);
  cluster.submit(sampleJob('j-3', { cpus: 4, taskCount: 6 }));
  cluster.submit({ ...GANG_JOB, spreadZones: false });
  await cluster.run(150 * SECOND);
  assert.deepEqual([...groupFields].sort(), ['job,team,image,need,gang,tasks', 'job,team,image,need,tasks']);
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
    expected.filter((field) => !writtenFields.has(field)),
    [],
  );
});
