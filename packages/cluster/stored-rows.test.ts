/**
 * Golden tests of every row that this package stores, in the form that the version in production reads. A changed
 * expectation breaks upgrades, restored backups and snapshots. Names in the code may change; stored names may not.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FencedStore } from '#roles';
import { RateLimiter, StoreClient, WriteLimits } from '#store';
import { sampleJob, SimClock, SimNet, SimStore } from '#testkit';
import { type Clock, type Count, type WireFields, type Micros, MS, SECOND } from '#wire';
import { encodeCheckpointRows } from './stored/checkpoint-codec.js';
import { encodeJobRow } from './stored/job-codec.js';
import {
  ROOT_PREFIX,
  CAPABILITY_PREFIX,
  CHECKPOINT_HEAD_KEY,
  CHECKPOINT_CHUNK_PREFIX,
  capabilityKey,
  checkpointId,
  checkpointIdOfKey,
  checkpointChunkKey,
  jobKey,
  JOB_PREFIX,
  LEADER_KEY,
  type LogId,
  logKey,
  logIdOfKey,
  LOG_PREFIX,
  memberKey,
  MEMBER_PREFIX,
  LIVE_PREFIX,
  TERMINAL_PREFIX,
  terminalKey,
  ownershipKey,
  shardKey,
  SHARD_PREFIX,
  FENCING_TOKEN_KEY,
  MACHINE_TYPE_PREFIX,
} from './keys.js';
import type {
  MachineRow,
  MachineEntry,
  Outcome,
  Placement,
  RecordDraft,
  PendingScaleOut,
  StartGroup,
} from './placement.js';
import { byCommitOrder } from './live-state.js';
import type { LeaseHolder, Member, MemberStatus, ShardOwner } from './members.js';
import { Membership } from './membership.js';
import { Replica } from './replica.js';
import { terminalStatusWrite, LogWriter } from './log-writer.js';

const NO_LOG = { debug: () => undefined, info: () => undefined, error: () => undefined };
const STORE_ENDPOINT = '10.2.0.1:2379';
/** The wall-clock time of every record, in milliseconds. */
const WALL_MS = 1_790_000_000_123;
/** An integer that a `number` can't represent exactly. */
const UNSAFE_COUNT = 2n ** 63n + 1n;

/** Returns a value as JSON. A bigint becomes a string of its digits and `n`. */
function toText(value: unknown): string {
  return JSON.stringify(value, (_key, part: unknown) => (typeof part === 'bigint' ? `${part}n` : part));
}

/** Reads the JSON of {@link toText}. */
function fromText(text: string): WireFields {
  const revive = (_key: string, part: unknown): unknown =>
    typeof part === 'string' && /^\d+n$/.test(part) ? BigInt(part.slice(0, -1)) : part;
  return JSON.parse(text, revive) as WireFields;
}

/** A simulated state store, and a node's clock and clients of it. */
class StoreFixture {
  readonly clock = new SimClock();
  readonly nodeClock: Clock = {
    ...this.clock.createProcessClock(
      (step) => {
        step();
      },
      0,
      0,
    ),
    wall: () => WALL_MS * MS,
  };
  readonly store = new SimStore(this.clock, () => 0.5, {
    rps: 100_000,
    writeRps: 100_000,
    txnOps: 100,
    valueBytes: 100_000,
    pageRows: 1000,
  });
  private readonly net = new SimNet(this.clock, () => 0.5);

  constructor() {
    this.net.serve(STORE_ENDPOINT, null, this.store.handler);
  }

  client(): StoreClient {
    const call = this.net.createClient('node-1', null, (step) => {
      step();
    });
    return new StoreClient(STORE_ENDPOINT, call);
  }

  /** Advances the simulated clock. */
  async advance(duration: Micros): Promise<void> {
    await this.clock.run(this.clock.time + duration, () => undefined);
  }

  /** Advances the simulated clock until the promise settles. */
  async runUntil<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    const watched = promise.finally(() => {
      isSettled = true;
    });
    while (!isSettled) await this.advance(10 * MS);
    return watched;
  }

  /** Returns the text of each row below a prefix, sorted by key. */
  rowTexts(prefix: string): Record<string, string> {
    const rows = [...this.store.rows].filter(([path]) => path.startsWith(prefix));
    rows.sort(([a], [b]) => (a < b ? -1 : 1));
    return Object.fromEntries(rows.map(([path, { value }]) => [path, toText(value)]));
  }

  /** Returns the replica of a node that starts now. */
  async loadReplica(): Promise<Replica> {
    const replica = new Replica({
      store: this.client(),
      clock: this.nodeClock,
      log: NO_LOG,
      stateRps: 10_000,
    });
    void replica.run();
    await this.advance(SECOND);
    assert.equal(replica.state, 'following');
    replica.stop();
    return replica;
  }
}

/** A member that is the leader and the owner of shards 0 and 1, and writes with the production code. */
class LeaderFixture extends StoreFixture {
  readonly replica = new Replica({
    store: this.client(),
    clock: this.nodeClock,
    log: NO_LOG,
    stateRps: 10_000,
  });
  readonly membership = new Membership({
    member: 'node-1',
    zone: 'east',
    incarnation: 'p1',
    store: this.client(),
    replica: this.replica,
    clock: this.nodeClock,
    random: () => 0.5,
    log: NO_LOG,
  });
  private logWriter: LogWriter | null = null;

  async start(valueBytes = 4096): Promise<this> {
    void this.replica.run();
    void this.membership.run();
    await this.advance(3 * SECOND);
    assert.ok(this.membership.ownLeaderLease());
    for (const shard of [0, 1]) {
      const value = { Member: 'node-1', Nonce: 'p1.1', Token: 1 };
      this.store.writeUnguarded({ Set: shardKey(shard), V: value, Permit: 1 });
    }
    await this.advance(SECOND);
    this.logWriter = this.writerFor(valueBytes);
    return this;
  }

  writerFor(valueBytes: number): LogWriter {
    const { roles } = this.membership;
    const limiter = new RateLimiter(this.nodeClock, () => 1000);
    const limits = new WriteLimits(valueBytes, 20);
    const store = new FencedStore(this.client(), roles);
    return new LogWriter({
      store,
      replica: this.replica,
      roles,
      clock: this.nodeClock,
      limits,
      recordLimiter: limiter,
      checkpointLimiter: limiter,
      log: NO_LOG,
    });
  }

  get writer(): LogWriter {
    assert.ok(this.logWriter);
    return this.logWriter;
  }

  async append(...drafts: [LogId, RecordDraft][]): Promise<void> {
    assert.ok(await this.runUntil(this.writer.append(new Map(drafts))));
  }
}

/** Returns the replica of a node that loads these rows, which are written in this order. */
async function loadFromTexts(texts: Record<string, string>): Promise<Replica> {
  const service = new StoreFixture();
  for (const [path, text] of Object.entries(texts))
    service.store.writeUnguarded({ Set: path, V: fromText(text) });
  return service.loadReplica();
}

test('each kind of row has its stored key', () => {
  assert.deepEqual(
    [
      ROOT_PREFIX,
      LIVE_PREFIX,
      FENCING_TOKEN_KEY,
      LEADER_KEY,
      CHECKPOINT_HEAD_KEY,
      CHECKPOINT_CHUNK_PREFIX,
      JOB_PREFIX,
      LOG_PREFIX,
      CAPABILITY_PREFIX,
      MEMBER_PREFIX,
      SHARD_PREFIX,

      MACHINE_TYPE_PREFIX,
      TERMINAL_PREFIX,
      jobKey('j-1'),
      terminalKey('j-1'),
      shardKey(3),
      memberKey('node-1'),
      capabilityKey('node-1'),
      ownershipKey('lead'),
      ownershipKey(3),
      logKey('lead', 1),
      logKey(3, 255),

      logKey(3, 256),
      logKey(3, 257),
      checkpointId(1234, 56, 7),
      checkpointChunkKey(checkpointId(1234, 56, 7), 12),
    ],
    [
      'mw/',
      'mw/now/',
      'mw/now/token',
      'mw/now/lead',
      'mw/now/checkpoint',
      'mw/now/chunk/',
      'mw/now/job/',
      'mw/now/log/',
      'mw/now/capability/',
      'mw/now/member/',
      'mw/now/share/',
      'mw/now/type/',
      'mw/over/',
      'mw/now/job/j-1',
      'mw/over/j-1',
      'mw/now/share/3',
      'mw/now/member/node-1',
      'mw/now/capability/node-1',
      'mw/now/lead',
      'mw/now/share/3',
      'mw/now/log/lead/0001',
      'mw/now/log/3/0255',
      'mw/now/log/3/0000',
      'mw/now/log/3/0001',
      '000000001234-000000000056-000000000007',
      'mw/now/chunk/000000001234-000000000056-000000000007/0012',
    ],
  );
  assert.deepEqual([logIdOfKey('mw/now/log/lead/0001'), logIdOfKey('mw/now/log/3/0255')], ['lead', 3]);
  assert.equal(checkpointIdOfKey('mw/now/chunk/12-5-7/0012'), '12-5-7');
});

const CAPABILITIES_TEXT = '{"Capabilities":["gangs","handover","memory"]}';

test('the rows of a member, the leader and its capabilities keep their stored form', async () => {
  const node = await new LeaderFixture().start();
  const leaderRow = '{"Member":"node-1","Nonce":"p1.1"}';
  assert.deepEqual(node.rowTexts(LIVE_PREFIX), {
    'mw/now/capability/node-1': CAPABILITIES_TEXT,
    'mw/now/lead': leaderRow,
    'mw/now/member/node-1':
      '{"Nonce":"p1.1","Zone":"east","Permit":1,"Unreachable":[],"WorkersUnreachable":false,"Capabilities":["gangs","handover","memory"]}',
    'mw/now/share/0': '{"Member":"node-1","Nonce":"p1.1","Token":1}',
    'mw/now/share/1': '{"Member":"node-1","Nonce":"p1.1","Token":1}',
  });
  const status: MemberStatus = {
    unreachable: ['node-2', 'node-3'],
    workersUnreachable: true,
    resignedShards: [0, 2],
  };
  await node.runUntil(node.membership.publishStatus(status));
  const memberRow =
    '{"Nonce":"p1.1","Zone":"east","Permit":1,"Unreachable":["node-2","node-3"],"WorkersUnreachable":true,"Resigned":[0,2],"Capabilities":["gangs","handover","memory"]}';
  assert.deepEqual(node.rowTexts(MEMBER_PREFIX), { 'mw/now/member/node-1': memberRow });

  const replica = await loadFromTexts({
    'mw/now/token': '{"Token":41}',
    'mw/now/lead': leaderRow,
    'mw/now/member/node-1': memberRow,
    'mw/now/capability/node-1': CAPABILITIES_TEXT,
    'mw/now/share/2': '{"Member":"node-1","Nonce":"p1.1","Token":41}',
  });
  assert.deepEqual(replica.fencingToken, { value: 41, revision: 1 });
  assert.deepEqual<LeaseHolder>(replica.leader, { member: 'node-1', nonce: 'p1.1', revision: 2 });
  const capabilities = new Set(['gangs', 'handover', 'memory']);
  assert.deepEqual<Member[]>(
    [...replica.members.values()],
    [{ member: 'node-1', nonce: 'p1.1', zone: 'east', leaseId: 1, capabilities, ...status, revision: 3 }],
  );
  assert.deepEqual(replica.capabilities.get('node-1'), capabilities);
  assert.deepEqual<ShardOwner>(replica.shardOwners.get(2), {
    member: 'node-1',
    nonce: 'p1.1',
    revision: 5,
    fencingToken: 41,
  });
});

/** Older versions omit fields. An unreadable row of the leader or of a shard must not be taken for a vacant role. */
test('missing fields of older versions are read as empty, and unreadable rows name no holder', async () => {
  const replica = await loadFromTexts({
    'mw/now/token': '{"Token":"x"}',
    'mw/now/lead': '{"Member":7}',
    'mw/now/member/node-1':
      '{"Nonce":"p1.1","Zone":"east","Permit":1,"Unreachable":[],"WorkersUnreachable":false}',
    'mw/now/share/2': '{"Member":"node-1","Nonce":"p1.1"}',
  });
  assert.deepEqual(replica.fencingToken, { value: -1, revision: 1 });
  assert.deepEqual<LeaseHolder>(replica.leader, { member: '', nonce: '', revision: 2 });
  const status: MemberStatus = { unreachable: [], workersUnreachable: false, resignedShards: [] };
  assert.deepEqual<Member[]>(
    [...replica.members.values()],
    [
      {
        member: 'node-1',
        nonce: 'p1.1',
        zone: 'east',
        leaseId: 1,
        capabilities: new Set(),
        ...status,
        revision: 3,
      },
    ],
  );
  assert.deepEqual<ShardOwner>(replica.shardOwners.get(2), {
    member: '',
    nonce: '',
    revision: 4,
    fencingToken: 0,
  });
});

const LEADER_DRAFT: RecordDraft = {
  machines: [
    ['n-1', 'small', 'east', false, WALL_MS - 5, 0],
    ['n-2', 'large', 'west', true, WALL_MS - 4, 1],
    ['n-3', 'small', 'east', false, WALL_MS - 3, 0],
    ['n-4', 'small', 'east', true, WALL_MS - 2, 0],
    ['n-5', 'small', 'east', true, WALL_MS - 1, 1],
  ],
  removed: ['n-8', 'n-9'],
  scaleOuts: [
    ['hire-1', 'small', 'east', false, 2, 0],
    ['hire-2', 'large', 'west', true, 1, 1],
  ],
  settledScaleOuts: ['hire-8', 'hire-9'],
  transferTargets: [
    ['n-3', 1],
    ['n-4', 'scale_in'],
    ['n-5', 0],
  ],
};

const LEADER_RECORD =
  '{"removed":["n-8","n-9"],"machines":[["n-1","small","east",false,1790000000118,0],["n-2","large","west",true,1790000000119,1],["n-3","small","east",false,1790000000120,0],["n-4","small","east",true,1790000000121,0],["n-5","small","east",true,1790000000122,1]],"settledRentals":["hire-8","hire-9"],"rentals":[["hire-1","small","east",false,2,0],["hire-2","large","west",true,1,1]],"moves":[["n-3",1],["n-4","return"],["n-5",0]],"sequence":1,"at":1790000000123}';

function machine(host: string, overrides: Partial<MachineEntry>): MachineEntry {
  return {
    host,
    machineType: 'small',
    zone: 'east',
    spot: false,
    acquiredAtMs: WALL_MS,
    shard: 0,
    destination: null,
    status: 'new',
    ownershipCount: 0,
    lastHeartbeat: null,
    cachedImages: [],
    consecutiveFailures: 0,
    lastFailureAtMs: 0,
    ...overrides,
  };
}

test("a record of the leader's log keeps its stored form in every field", async () => {
  const node = await new LeaderFixture().start();
  await node.append(['lead', LEADER_DRAFT]);
  assert.deepEqual(node.rowTexts(LOG_PREFIX), { 'mw/now/log/lead/0001': LEADER_RECORD });

  const { ledger } = await loadFromTexts({ 'mw/now/log/lead/0001': LEADER_RECORD });
  assert.equal(ledger.position('lead'), 1);
  assert.deepEqual(
    [...ledger.machines.values()],
    [
      machine('n-1', { acquiredAtMs: WALL_MS - 5 }),
      machine('n-2', { machineType: 'large', zone: 'west', spot: true, acquiredAtMs: WALL_MS - 4, shard: 1 }),
      machine('n-3', { acquiredAtMs: WALL_MS - 3, destination: 1 }),
      machine('n-4', { spot: true, acquiredAtMs: WALL_MS - 2, destination: 'scale_in' }),
      machine('n-5', { spot: true, acquiredAtMs: WALL_MS - 1, shard: 1, destination: 0 }),
    ],
  );
  assert.deepEqual<PendingScaleOut[]>(
    [...ledger.pendingScaleOuts.values()],
    [
      {
        id: 'hire-1',
        machineType: 'small',
        zone: 'east',
        spot: false,
        count: 2,
        shard: 0,
        requestedAtMs: WALL_MS,
      },
      {
        id: 'hire-2',
        machineType: 'large',
        zone: 'west',
        spot: true,
        count: 1,
        shard: 1,
        requestedAtMs: WALL_MS,
      },
    ],
  );
});

test('a later record of the leader removes machines and settles scale-outs', async () => {
  const { ledger } = await loadFromTexts({
    'mw/now/log/lead/0001': LEADER_RECORD,
    'mw/now/log/lead/0002':
      '{"removed":["n-1"],"settledRentals":["hire-1"],"moves":[["n-3",0]],"sequence":2,"at":1790000000124}',
  });
  assert.deepEqual([...ledger.machines.keys()], ['n-2', 'n-3', 'n-4', 'n-5']);
  assert.equal(ledger.machines.get('n-3')?.destination, null);
  assert.deepEqual([...ledger.pendingScaleOuts.keys()], ['hire-2']);
});

/** All outcomes that a completion may have, in the order of the protocol. */
const OUTCOMES: Outcome[] = ['done', 'stopped', 'failed', 'refused', 'lost', 'undelivered'];

const START_DRAFT: RecordDraft = {
  starts: [
    {
      job: 'j-1',
      team: 'blue',
      image: 'img-1',
      taskResources: [2, 0, 4.5],
      tasks: OUTCOMES.map((_, i): [number, string, Count] => [i, 'n-1', i === 0 ? UNSAFE_COUNT : 1]),
    },
    {
      job: 'j-2',
      team: 'green',
      image: 'img-2',
      taskResources: [1.5, 1, 8],
      gang: { attempt: 1024, size: 2 },
      tasks: [
        [0, 'n-1', 1],
        [1, 'n-4', 3],
      ],
    },
  ],
  prices: { small: [0.25, 0, 0.0125], 'large*': [0, 1.5, 0] },
  unmetCpus: { blue: 12.5, green: 0 },
};

const START_RECORD =
  '{"prices":{"small":[0.25,0,0.0125],"large*":[0,1.5,0]},"unmet":{"blue":12.5,"green":0},"starts":[{"job":"j-1","team":"blue","image":"img-1","need":[2,0,4.5],"tasks":[[0,"n-1","9223372036854775809n"],[1,"n-1",1],[2,"n-1",1],[3,"n-1",1],[4,"n-1",1],[5,"n-1",1]]},{"job":"j-2","team":"green","image":"img-2","need":[1.5,1,8],"gang":{"attempt":1024,"size":2},"tasks":[[0,"n-1",1],[1,"n-4",3]]}],"sequence":1,"at":1790000000123}';

const COMPLETION_DRAFT: RecordDraft = {
  completions: OUTCOMES.map((outcome, i): [string, number, number, Outcome] => ['j-1', i, 1024, outcome]),
  statuses: [
    ['n-1', 'up'],
    ['n-3', 'unresponsive'],
    ['n-4', 'reclaimed'],
    ['n-1', 'quarantined'],
    ['n-3', 'lost'],
    ['n-4', 'new'],
  ],
  releases: [
    ['n-3', [UNSAFE_COUNT, 7]],
    ['n-4', null],
  ],
  acquisitions: ['n-5'],
};

const COMPLETION_RECORD =
  '{"ends":[["j-1",0,1024,"done"],["j-1",1,1024,"stopped"],["j-1",2,1024,"failed"],["j-1",3,1024,"refused"],["j-1",4,1024,"lost"],["j-1",5,1024,"undelivered"]],"statuses":[["n-1","up"],["n-3","silent"],["n-4","recalled"],["n-1","faulty"],["n-3","lost"],["n-4","new"]],"takes":["n-5"],"releases":[["n-3",["9223372036854775809n",7]],["n-4",null]],"sequence":2,"at":1790000000123}';

const RELEASE_RECORD = '{"releases":[["n-5",[4,5]]],"sequence":1,"at":1790000000123}';

function placement(overrides: Partial<Placement>): Placement {
  return {
    job: 'j-1',
    index: 0,
    taskName: 'j-1/0',
    team: 'blue',
    attempt: 1024,
    host: 'n-1',
    workerIncarnation: 1,
    startedAtMs: WALL_MS,
    cpus: 2,
    gpus: 0,
    memGb: 4.5,
    gangSize: null,
    ...overrides,
  };
}

test("records of a shard owner's log keep their stored form in every field, status and outcome", async () => {
  const node = await new LeaderFixture().start();
  await node.append(['lead', LEADER_DRAFT]);
  await node.append([0, START_DRAFT]);
  await node.append([1, { releases: [['n-5', [4, 5]]] }]);
  await node.append([0, COMPLETION_DRAFT]);
  assert.deepEqual(node.rowTexts(LOG_PREFIX), {
    'mw/now/log/0/0001': START_RECORD,
    'mw/now/log/0/0002': COMPLETION_RECORD,
    'mw/now/log/1/0001': RELEASE_RECORD,
    'mw/now/log/lead/0001': LEADER_RECORD,
  });

  // Done tasks are recorded only for live jobs.
  const job = { 'mw/now/job/j-1': toText(encodeJobRow(sampleJob('j-1'), WALL_MS)) };
  const started = await loadFromTexts({
    ...job,
    'mw/now/log/lead/0001': LEADER_RECORD,
    'mw/now/log/0/0001': START_RECORD,
  });
  const gang: Partial<Placement> = {
    job: 'j-2',
    team: 'green',
    cpus: 1.5,
    gpus: 1,
    memGb: 8,
    gangSize: 2,
  };
  assert.deepEqual(
    [...started.ledger.placementsOn('n-1')],
    [
      placement({ workerIncarnation: UNSAFE_COUNT }),
      ...[1, 2, 3, 4, 5].map((index) => placement({ index, taskName: `j-1/${index}` })),
      placement({ ...gang, taskName: 'j-2/0' }),
    ],
  );
  assert.deepEqual(
    [...started.ledger.placementsOn('n-4')],
    [placement({ ...gang, index: 1, taskName: 'j-2/1', host: 'n-4', workerIncarnation: 3 })],
  );
  assert.deepEqual(
    [...(started.ledger.prices.get(0) ?? [])],
    [
      ['small', { cpu: 0.25, gpu: 0, mem: 0.0125 }],
      ['large*', { cpu: 0, gpu: 1.5, mem: 0 }],
    ],
  );

  const ended = await loadFromTexts({
    ...job,
    'mw/now/log/lead/0001': LEADER_RECORD,
    'mw/now/log/0/0001': START_RECORD,
    'mw/now/log/1/0001': RELEASE_RECORD,
    'mw/now/log/0/0002': COMPLETION_RECORD,
  });
  const { machines: endedMachines, jobs: jobEntries } = ended.ledger;
  assert.deepEqual(
    ['n-1', 'n-3', 'n-4', 'n-5'].map((host) => endedMachines.get(host)),
    [
      machine('n-1', {
        acquiredAtMs: WALL_MS - 5,
        status: 'quarantined',
        cachedImages: ['img-1', 'img-2'],
        consecutiveFailures: 1,
        lastFailureAtMs: WALL_MS,
      }),
      machine('n-3', {
        acquiredAtMs: WALL_MS - 3,
        shard: null,
        destination: 1,
        status: 'lost',
        lastHeartbeat: [UNSAFE_COUNT, 7],
      }),
      machine('n-4', {
        acquiredAtMs: WALL_MS - 2,
        spot: true,
        shard: null,
        destination: 'scale_in',
        cachedImages: ['img-2'],
      }),
      machine('n-5', { acquiredAtMs: WALL_MS - 1, spot: true, ownershipCount: 1, lastHeartbeat: [4, 5] }),
    ],
  );
  const entry = jobEntries.get('j-1');
  assert.deepEqual(entry?.done.ranges(), ['0']);
  const failures = ended.ledger.failures.ofJob('j-1');
  assert.deepEqual(
    [entry.placements.size, failures?.independentCount, failures?.lastFailureAtMs],
    [0, 1, WALL_MS],
  );
});

test('records of one commit store their index in it, and a draft too large for a value is split', async () => {
  const node = await new LeaderFixture().start(640);
  await node.append(['lead', { machines: LEADER_DRAFT.machines ?? [] }]);
  const tasks = [...Array(60).keys()].map((i): [number, string, Count] => [i, 'n-1', 1]);
  const start: StartGroup = {
    job: 'j-1',
    team: 'blue',
    image: 'img-1',
    taskResources: [2, 0, 4],
    gang: { attempt: 1024, size: 60 },
    tasks,
  };
  await node.append(
    [0, { starts: [start], statuses: [['n-1', 'up']] }],
    [1, { statuses: [['n-2', 'up']], unmetCpus: { green: 1 } }],
  );
  const records = {
    'mw/now/log/0/0001':
      '{"statuses":[["n-1","up"]],"starts":[{"job":"j-1","team":"blue","image":"img-1","need":[2,0,4],"gang":{"attempt":1024,"size":60},"tasks":[[0,"n-1",1],[1,"n-1",1],[2,"n-1",1],[3,"n-1",1],[4,"n-1",1],[5,"n-1",1],[6,"n-1",1],[7,"n-1",1],[8,"n-1",1],[9,"n-1",1],[10,"n-1",1],[11,"n-1",1],[12,"n-1",1],[13,"n-1",1],[14,"n-1",1],[15,"n-1",1],[16,"n-1",1],[17,"n-1",1],[18,"n-1",1],[19,"n-1",1],[20,"n-1",1],[21,"n-1",1],[22,"n-1",1]]}],"sequence":1,"at":1790000000123,"order":1}',
    'mw/now/log/0/0002':
      '{"starts":[{"job":"j-1","team":"blue","image":"img-1","need":[2,0,4],"gang":{"attempt":1024,"size":60},"tasks":[[23,"n-1",1],[24,"n-1",1],[25,"n-1",1],[26,"n-1",1],[27,"n-1",1],[28,"n-1",1],[29,"n-1",1],[30,"n-1",1],[31,"n-1",1],[32,"n-1",1],[33,"n-1",1],[34,"n-1",1],[35,"n-1",1],[36,"n-1",1],[37,"n-1",1],[38,"n-1",1],[39,"n-1",1],[40,"n-1",1],[41,"n-1",1],[42,"n-1",1],[43,"n-1",1],[44,"n-1",1],[45,"n-1",1],[46,"n-1",1]]}],"sequence":2,"at":1790000000123,"order":2}',
    'mw/now/log/0/0003':
      '{"starts":[{"job":"j-1","team":"blue","image":"img-1","need":[2,0,4],"gang":{"attempt":1024,"size":60},"tasks":[[47,"n-1",1],[48,"n-1",1],[49,"n-1",1],[50,"n-1",1],[51,"n-1",1],[52,"n-1",1],[53,"n-1",1],[54,"n-1",1],[55,"n-1",1],[56,"n-1",1],[57,"n-1",1],[58,"n-1",1],[59,"n-1",1]]}],"sequence":3,"at":1790000000123,"order":3}',
    'mw/now/log/1/0001': '{"statuses":[["n-2","up"]],"unmet":{"green":1},"sequence":1,"at":1790000000123}',
    'mw/now/log/lead/0001':
      '{"machines":[["n-1","small","east",false,1790000000118,0],["n-2","large","west",true,1790000000119,1],["n-3","small","east",false,1790000000120,0],["n-4","small","east",true,1790000000121,0],["n-5","small","east",true,1790000000122,1]],"sequence":1,"at":1790000000123}',
  };
  assert.deepEqual(node.rowTexts(LOG_PREFIX), records);

  // Pages list rows in the order of their keys, not of their commits.
  const replica = await node.loadReplica();
  const placements = [...(replica.ledger.jobs.get('j-1')?.placements.values() ?? [])];
  assert.equal(placements.length, 60);
  assert.ok(placements.every((p) => p.attempt === 1024 && replica.ledger.isGangComplete(p)));
  const changes = Object.entries(records).map(([path, text]) => ({
    path,
    value: fromText(text),
    revision: path.includes('lead') ? 1 : 2,
  }));
  assert.deepEqual(
    changes.sort(byCommitOrder).map(({ path }) => path),
    [
      'mw/now/log/lead/0001',
      'mw/now/log/1/0001',
      'mw/now/log/0/0001',
      'mw/now/log/0/0002',
      'mw/now/log/0/0003',
    ],
  );
});

test('a terminal status is stored under the live key of its job, and later moved to the terminal key', async () => {
  const node = await new LeaderFixture().start();
  for (const id of ['j-1', 'j-2']) {
    node.store.writeUnguarded({ Set: jobKey(id), V: encodeJobRow(sampleJob(id), WALL_MS) });
  }
  await node.advance(SECOND);
  const done = [...node.replica.jobs].filter(([id]) => id === 'j-1');
  await node.runUntil(node.writer.completeJobs(done, [0]));
  await node.runUntil(node.client().compareAndSwap([], [terminalStatusWrite('j-2', 'cancelled')]));
  await node.advance(SECOND);
  const liveRows = { 'mw/now/job/j-1': '{"Status":"done"}', 'mw/now/job/j-2': '{"Status":"cancelled"}' };
  assert.deepEqual(node.rowTexts(JOB_PREFIX), liveRows);
  const replica = await loadFromTexts(liveRows);
  assert.deepEqual([...replica.jobs], []);
  assert.deepEqual(
    [...replica.terminalJobs],
    [
      ['j-1', { status: 'done', revision: 1 }],
      ['j-2', { status: 'cancelled', revision: 2 }],
    ],
  );

  await node.runUntil(node.writer.maintain());
  await node.advance(SECOND);
  assert.deepEqual(node.rowTexts(JOB_PREFIX), {});
  const terminalRows = { 'mw/over/j-1': '{"Status":"done"}', 'mw/over/j-2': '{"Status":"cancelled"}' };
  assert.deepEqual(node.rowTexts(TERMINAL_PREFIX), terminalRows);
  const service = new StoreFixture();
  for (const [path, text] of Object.entries(terminalRows))
    service.store.writeUnguarded({ Set: path, V: fromText(text) });
  const restarted = await service.loadReplica();
  assert.equal(await service.runUntil(restarted.terminalStatus('j-1')), 'done');
  assert.equal(await service.runUntil(restarted.terminalStatus('j-2')), 'cancelled');
  assert.equal(await service.runUntil(restarted.terminalStatus('j-3')), null);
});

/** Returns a node whose ledger contains every kind of row that a checkpoint can hold. */
async function nodeWithFullLedger(): Promise<LeaderFixture> {
  const node = await new LeaderFixture().start();
  for (const id of ['j-1', 'j-3']) {
    node.store.writeUnguarded({ Set: jobKey(id), V: encodeJobRow(sampleJob(id), WALL_MS) });
  }
  await node.append(['lead', LEADER_DRAFT]);
  await node.append([0, START_DRAFT]);
  await node.append([1, { releases: [['n-5', [4, 5]]], statuses: [['n-2', 'reclaimed']] }]);
  await node.append([0, COMPLETION_DRAFT]);
  // More names than fit into one row.
  const namedMachines = [...Array(14).keys()].map((i): MachineRow => [
    `n-${i + 6}`,
    `type-${i}`,
    'north',
    true,
    WALL_MS + i,
    0,
  ]);
  await node.append(['lead', { machines: namedMachines }]);
  await node.append([
    0,
    {
      statuses: [
        ['n-6', 'up'],
        ['n-5', 'unresponsive'],
      ],
    },
  ]);
  // More tasks, and more ranges of done tasks, than fit into one row.
  const oddIndexes = [...Array(61).keys()].map((i) => 2 * i + 1);
  const tasks = oddIndexes.map((i): [number, string, Count] => [
    i,
    i % 4 === 1 ? 'n-1' : 'n-5',
    i === 3 ? UNSAFE_COUNT : 2,
  ]);
  const image = `img-${'x'.repeat(300)}`;
  await node.append([
    0,
    { starts: [{ job: 'j-3', team: 'blue', image, taskResources: [0.5, 0, 1], tasks }] },
  ]);
  const attempt = 4 * 1024;
  await node.append([
    0,
    { completions: oddIndexes.map((i): [string, number, number, Outcome] => ['j-3', i, attempt, 'done']) },
  ]);
  await node.append([
    0,
    {
      starts: [
        {
          job: 'j-1',
          team: 'blue',
          image,
          taskResources: [0.5, 0, 1],
          tasks: tasks.map(([, host, incarnation], i): [number, string, Count] => [i, host, incarnation]),
        },
      ],
    },
  ]);
  await node.append([0, { completions: [['j-1', 60, 6 * 1024, 'failed']] }]);
  for (let i = node.replica.ledger.totalRecords; i < 90; i++) await node.append(['lead', {}]);
  return node;
}

const CHECKPOINT_HEAD_TEXT =
  '{"Id":"000000000090-000000000002-000000000001","Positions":{"0":7,"1":1,"lead":82},"Chunks":1}';

const CHECKPOINT_ROWS = [
  '["t",1790000000136]',
  '["n","img-1","img-2"]',
  `["n","img-${'x'.repeat(300)}"]`,
  '["n","small","east","large","west","type-0","north","type-1","type-2","type-3","type-4","type-5","type-6","type-7","type-8","type-9","type-10","type-11","type-12","type-13","blue"]',
  '["n","green"]',
  '["h","n-1",3,4,0,-18,0,4,[0,1,2],0,null,null,1,1790000000123]',
  '["h","n-2",5,6,1,-17,1,3]',
  '["h","n-3",3,4,0,-16,null,5,[],0,["9223372036854775809n",7],1]',
  '["h","n-4",3,4,1,-15,null,1,[1],0,null,"return"]',
  '["h","n-5",3,4,1,-14,0,2,[2],1,[4,5]]',
  '["h","n-6",7,8,1,-13,0]',
  '["h","n-7",9,8,1,-12,0,1]',
  '["h","n-8",10,8,1,-11,0,1]',
  '["h","n-9",11,8,1,-10,0,1]',
  '["h","n-10",12,8,1,-9,0,1]',
  '["h","n-11",13,8,1,-8,0,1]',
  '["h","n-12",14,8,1,-7,0,1]',
  '["h","n-13",15,8,1,-6,0,1]',
  '["h","n-14",16,8,1,-5,0,1]',
  '["h","n-15",17,8,1,-4,0,1]',
  '["h","n-16",18,8,1,-3,0,1]',
  '["h","n-17",19,8,1,-2,0,1]',
  '["h","n-18",20,8,1,-1,0,1]',
  '["h","n-19",21,8,1,0,0,1]',
  '["q",{"id":"hire-1","machineType":"small","zone":"east","spot":false,"number":2,"share":0,"at":1790000000123}]',
  '["q",{"id":"hire-2","machineType":"large","zone":"west","spot":true,"number":1,"share":1,"at":1790000000123}]',
  '["p",0,"small",0.25,0,0.0125]',
  '["p",0,"large*",0,1.5,0]',
  '["s","j-1",22,-13,6144,[0.5,0,1],[[1,4,"9223372036854775809n"],[2,0,2],[3,4,2],[4,0,2],[5,4,2],[6,0,2],[7,4,2],[8,0,2],[9,4,2],[10,0,2],[11,4,2],[12,0,2],[13,4,2],[14,0,2],[15,4,2],[16,0,2],[17,4,2],[18,0,2],[19,4,2],[20,0,2],[21,4,2],[22,0,2],[23,4,2],[24,0,2],[25,4,2],[26,0,2],[27,4,2],[28,0,2],[29,4,2],[30,0,2],[31,4,2],[32,0,2],[33,4,2],[34,0,2],[35,4,2],[36,0,2],[37,4,2],[38,0,2],[39,4,2],[40,0,2]]]',
  '["s","j-1",22,-13,6144,[0.5,0,1],[[41,4,2],[42,0,2],[43,4,2],[44,0,2],[45,4,2],[46,0,2],[47,4,2],[48,0,2],[49,4,2],[50,0,2],[51,4,2],[52,0,2],[53,4,2],[54,0,2],[55,4,2],[56,0,2],[57,4,2],[58,0,2],[59,4,2]]]',
  '["d","j-1","0"]',
  '["s","j-2",23,-13,1024,[1.5,1,8],[[0,0,1],[1,3,3]],2]',
  '["d","j-3","1,3,5,7,9,11,13,15,17,19,21,23,25,27,29,31,33,35,37,39,41,43,45,47,49,51,53,55,57,59,61,63,65,67,69,71,73,75,77,79,81,83,85,87,89,91,93,95,97,99,101,103,105,107,109,111,113,115,117,119"]',
  '["d","j-3","121"]',
];

const LIVE_JOBS = {
  'mw/now/job/j-1': toText(encodeJobRow(sampleJob('j-1'), WALL_MS)),
  'mw/now/job/j-3': toText(encodeJobRow(sampleJob('j-3'), WALL_MS)),
};

test('a checkpoint keeps the stored form of its head and of every kind of row', async () => {
  const node = await nodeWithFullLedger();
  await node.runUntil(node.writer.maintain());
  const chunk = `{"Rows":[${CHECKPOINT_ROWS.join()}]}`;
  const texts = {
    'mw/now/checkpoint': CHECKPOINT_HEAD_TEXT,
    'mw/now/chunk/000000000090-000000000002-000000000001/0000': chunk,
  };
  assert.deepEqual(
    { ...node.rowTexts(CHECKPOINT_HEAD_KEY), ...node.rowTexts(CHECKPOINT_CHUNK_PREFIX) },
    texts,
  );

  const {
    ledger,
    checkpointChunkCount: chunkCount,
    recordsSinceCheckpoint: recordCount,
  } = await loadFromTexts({ ...LIVE_JOBS, ...texts });
  assert.deepEqual([chunkCount, recordCount], [1, 0]);
  assert.deepEqual(ledger.allPositions(), { 0: 7, 1: 1, lead: 82 });
  const isLive = (job: string): boolean => job !== 'j-2';
  assert.equal(toText({ Rows: encodeCheckpointRows(ledger, isLive) }), chunk);
  const image = `img-${'x'.repeat(300)}`;
  assert.deepEqual(
    ['n-1', 'n-2', 'n-3', 'n-4', 'n-5', 'n-6', 'n-7'].map((host) => ledger.machines.get(host)),
    [
      machine('n-1', {
        acquiredAtMs: WALL_MS - 5,
        status: 'quarantined',
        cachedImages: ['img-1', 'img-2', image],
        consecutiveFailures: 1,
        lastFailureAtMs: WALL_MS,
      }),
      machine('n-2', {
        machineType: 'large',
        zone: 'west',
        spot: true,
        acquiredAtMs: WALL_MS - 4,
        shard: 1,
        status: 'reclaimed',
      }),
      machine('n-3', {
        acquiredAtMs: WALL_MS - 3,
        shard: null,
        destination: 1,
        status: 'lost',
        lastHeartbeat: [UNSAFE_COUNT, 7],
      }),
      machine('n-4', {
        acquiredAtMs: WALL_MS - 2,
        spot: true,
        shard: null,
        destination: 'scale_in',
        cachedImages: ['img-2'],
      }),
      machine('n-5', {
        acquiredAtMs: WALL_MS - 1,
        spot: true,
        status: 'unresponsive',
        ownershipCount: 1,
        lastHeartbeat: [4, 5],
        cachedImages: [image],
      }),
      machine('n-6', {
        machineType: 'type-0',
        zone: 'north',
        spot: true,
        acquiredAtMs: WALL_MS,
        status: 'up',
      }),
      machine('n-7', { machineType: 'type-1', zone: 'north', spot: true, acquiredAtMs: WALL_MS + 1 }),
    ],
  );
  assert.deepEqual<PendingScaleOut[]>(
    [...ledger.pendingScaleOuts.values()],
    [
      {
        id: 'hire-1',
        machineType: 'small',
        zone: 'east',
        spot: false,
        count: 2,
        shard: 0,
        requestedAtMs: WALL_MS,
      },
      {
        id: 'hire-2',
        machineType: 'large',
        zone: 'west',
        spot: true,
        count: 1,
        shard: 1,
        requestedAtMs: WALL_MS,
      },
    ],
  );
  assert.deepEqual(
    [...(ledger.prices.get(0) ?? [])],
    [
      ['small', { cpu: 0.25, gpu: 0, mem: 0.0125 }],
      ['large*', { cpu: 0, gpu: 1.5, mem: 0 }],
    ],
  );
  assert.deepEqual(
    ledger.placement('j-1', 1),
    placement({
      index: 1,
      taskName: 'j-1/1',
      host: 'n-5',
      workerIncarnation: UNSAFE_COUNT,
      attempt: 6 * 1024,
      cpus: 0.5,
      memGb: 1,
    }),
  );
  assert.deepEqual(
    ledger.placement('j-2', 1),
    placement({
      job: 'j-2',
      index: 1,
      taskName: 'j-2/1',
      team: 'green',
      host: 'n-4',
      workerIncarnation: 3,
      cpus: 1.5,
      gpus: 1,
      memGb: 8,
      gangSize: 2,
    }),
  );
  assert.equal(ledger.jobs.get('j-3')?.done.count, 61);
});

test('a checkpoint larger than a value is split into chunks', async () => {
  const node = await nodeWithFullLedger();
  await node.runUntil(node.writerFor(1024).maintain());
  const chunks = Object.entries(node.rowTexts(CHECKPOINT_CHUNK_PREFIX));
  const prefix = 'mw/now/chunk/000000000090-000000000002-000000000001';
  assert.deepEqual(
    chunks.map(([path, text]) => [path, (fromText(text)['Rows'] as unknown[]).length]),
    [
      [`${prefix}/0000`, 11],
      [`${prefix}/0001`, 17],
      [`${prefix}/0002`, 4],
      [`${prefix}/0003`, 2],
    ],
  );
  const head = CHECKPOINT_HEAD_TEXT.replace('"Chunks":1', '"Chunks":4');
  assert.deepEqual(node.rowTexts(CHECKPOINT_HEAD_KEY), { 'mw/now/checkpoint': head });
  const rows = chunks.flatMap(([, text]) => fromText(text)['Rows'] as unknown[]);
  assert.equal(toText(rows), `[${CHECKPOINT_ROWS.join()}]`);
  const replica = await node.loadReplica();
  assert.equal(
    toText(encodeCheckpointRows(replica.ledger, (job) => job !== 'j-2')),
    `[${CHECKPOINT_ROWS.join()}]`,
  );
});
