import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CloudClient, ScaleOutResult } from '#cloud';
import { type MachineRow, Ledger, type ScaleOutRow } from '#cluster';
import { RoleRegistry, FencedCloud } from '#roles';
import { SAMPLE_TYPES, samplePendingJob, SimClock } from '#testkit';
import { type ListedMachine, type MachineType, type Micros, MS, type ScaleOutRequest, SECOND } from '#wire';
import type { FleetState, ShardDemand } from './fleet-context.js';
import { FleetManager } from './fleet-manager.js';
import type { UnmetDemand } from './offers.js';

const SILENT_LOGGER = { debug: () => undefined, info: () => undefined, error: () => undefined };
const LIST_LAG = 3 * SECOND;
/** Requests per second that the cloud accepts. */
const CLOUD_REQUEST_RATE = 5;
/** Requests that may be pending without those for guaranteed tasks. As many again are for these only. */
const MAX_PENDING_REQUESTS = 4 * CLOUD_REQUEST_RATE;
/** After this time every running machine is certain to be in the list, so the manager relies on its absence. */
const LIST_COMPLETE_AFTER: Micros = 2 * LIST_LAG + 12 * SECOND;

const [SMALL] = SAMPLE_TYPES as [MachineType];

/** A job whose tasks need a machine each. */
const SWEEP = samplePendingJob({
  team: 'guest',
  taskResources: { cpus: 4, gpus: 0, memGb: 14 },
  priority: 1,
  pendingTaskCount: 100_000,
  taskCount: 100_000,
});

function shardDemand(shard: number, unmetDemand: UnmetDemand[]): ShardDemand {
  return {
    shard,
    ownedShards: [shard],
    unmetDemand,
    pendingCapacity: [],
    plannedHosts: new Set(),
    canReach: () => true,
  };
}

/** A fleet manager that holds a term, with a cloud whose list of machines can be made unavailable. */
class FleetHarness {
  readonly clock = new SimClock();
  readonly ledger = new Ledger();
  listed: ListedMachine[] | null = [];
  deleted: string[] = [];
  /** Requests that were sent. */
  requests: ScaleOutRequest[] = [];
  respond: (request: ScaleOutRequest) => ScaleOutResult | Promise<ScaleOutResult> = () => ({
    kind: 'unknown',
  });
  demands: ShardDemand[] = [];
  readonly manager: FleetManager;
  /** Returns the wall-clock time in milliseconds. */
  readonly wallMs: () => number;
  private recordCount = 0;

  constructor(machineTypes: readonly MachineType[] = []) {
    const clock = this.clock.createProcessClock(
      (step) => {
        step();
      },
      0,
      0,
    );
    this.wallMs = () => Math.floor(clock.wall() / MS);
    const holder = { member: 'node-0', nonce: 'ours', term: 1 };
    const source = { holders: () => new Map([['lead' as const, holder]]), isOurs: () => true };
    const registry = new RoleRegistry({ source, clock, keyOf: () => 'lead', leaseDuration: 3600 * SECOND });
    registry.onLeaseRenewed(clock.now());
    const cloud = {
      listMachines: () => Promise.resolve(this.listed),
      deleteMachines: (hosts: string[]) => {
        this.deleted.push(...hosts);
        return Promise.resolve(true);
      },
      requestMachines: (request: ScaleOutRequest) => {
        this.requests.push(request);
        return Promise.resolve(this.respond(request));
      },
    } as unknown as CloudClient;
    const state: FleetState = {
      ledger: this.ledger,
      machineTypes: new Map(machineTypes.map((type) => [type.name, type])),
      workerLease: 3600 * SECOND,
      cloudRequestRate: CLOUD_REQUEST_RATE,
      machineListLag: LIST_LAG,
      shardForZone: () => 0,
      isInWarmPool: () => false,
      isPartitioned: () => false,
    };
    const fencedCloud = new FencedCloud(cloud, registry);
    this.manager = new FleetManager({
      cloud: fencedCloud,
      clock,
      state: () => state,
      log: SILENT_LOGGER,
      requestRound: () => undefined,
    });
    const termProof = registry.proveHeld('lead');
    assert.ok(termProof);
    this.manager.beginTerm(termProof);
  }

  /** Largest number of requests that were recorded and not settled at the same time. */
  mostPendingRequests = 0;

  /** Runs one step a second for the duration, and records the pending changes after each. */
  async run(duration: Micros): Promise<void> {
    for (const end = this.clock.time + duration; this.clock.time < end;) {
      this.manager.step(this.demands);
      await this.clock.run(this.clock.time + SECOND, () => undefined);
      const draft = this.manager.draft();
      if (!Object.values(draft).some((rows) => Array.isArray(rows) && rows.length > 0)) continue;
      this.ledger.apply('lead', { ...draft, sequence: ++this.recordCount, recordedAtMs: this.wallMs() });
      this.manager.onRecordCommitted(draft);
      this.mostPendingRequests = Math.max(this.mostPendingRequests, this.ledger.pendingScaleOuts.size);
    }
  }

  addMachine(host: string, shard = 0, acquiredAtMs = 0): void {
    const row: MachineRow = [host, 'small', 'east', false, acquiredAtMs, shard];
    this.ledger.apply('lead', { sequence: ++this.recordCount, recordedAtMs: 0, machines: [row] });
  }

  /** Records requests, as a leader before did that has not settled them. */
  recordRequests(requests: readonly ScaleOutRow[]): void {
    this.ledger.apply('lead', {
      sequence: ++this.recordCount,
      recordedAtMs: this.wallMs(),
      scaleOuts: [...requests],
    });
  }

  destination(host: string): unknown {
    return this.ledger.machines.get(host)?.destination;
  }
}

// Guards against the deletion of a young machine with its tasks during a cloud outage: the last list was from before
// its scale-out, so the machine was missing from it.
test('does not count a machine as gone if the list was requested before the machine was added', async () => {
  const fleet = new FleetHarness();
  await fleet.run(5 * SECOND);
  fleet.listed = null;
  fleet.addMachine('n-1');
  await fleet.run(LIST_COMPLETE_AFTER);
  assert.equal(fleet.destination('n-1'), null);
  assert.deepEqual(fleet.deleted, []);
  // A list requested long after the machine was added does not contain it, which proves that the machine is gone.
  fleet.listed = [];
  await fleet.run(10 * SECOND);
  assert.deepEqual(fleet.deleted, ['n-1']);
});

test('records a machine that is missing from the list as leaving before it deletes the machine', async () => {
  const fleet = new FleetHarness();
  fleet.addMachine('n-1');
  await fleet.run(LIST_COMPLETE_AFTER + 10 * SECOND);
  assert.equal(fleet.ledger.machines.has('n-1'), false);
  assert.deepEqual(fleet.deleted, ['n-1'], 'n-1 is deleted once');
});

test('deletes an unrecorded machine that stopped by itself, and adopts one that runs', async () => {
  const fleet = new FleetHarness();
  const row = { address: '', machineType: 'small', zone: 'east', spot: false, ageS: 30 };
  fleet.listed = [
    { ...row, host: 'n-1', state: 'failed' },
    { ...row, host: 'n-2', state: 'running' },
  ];
  await fleet.run(10 * SECOND);
  assert.deepEqual([...new Set(fleet.deleted)], ['n-1']);
  assert.equal(fleet.destination('n-2'), null);
});

// Guards against a process that ends for memory: the machines of recorded requests were kept one by one.
test('machines of requests that an earlier leader recorded are counted, not kept one by one', async () => {
  let machinesBuilt = 0;
  const counted = {
    ...SMALL,
    get memGb() {
      machinesBuilt++;
      return SMALL.memGb;
    },
  };
  const fleet = new FleetHarness([counted]);
  const requestCount = 2000;
  fleet.recordRequests(
    [...Array(requestCount).keys()].map((i): ScaleOutRow => [`hire-${i}`, 'small', 'east', true, 50, 0]),
  );
  fleet.demands = [shardDemand(0, [{ job: SWEEP, count: 1000 }])];
  await fleet.run(SECOND);
  assert.ok(
    machinesBuilt <= 2 * requestCount,
    `${machinesBuilt} machines built for ${requestCount} requests`,
  );
});

// Guards against processes that end for memory: one request was recorded for each 50 machines of an unbounded demand.
test('demand for 300,000 machines leaves only as many requests pending as the cloud accepts in seconds', async () => {
  const fleet = new FleetHarness([SMALL]);
  fleet.demands = [0, 1, 2].map((shard) =>
    shardDemand(shard, [{ job: { ...SWEEP, team: `guest-${shard}` }, count: 100_000 }]),
  );
  await fleet.run(15 * SECOND);
  assert.equal(fleet.mostPendingRequests, MAX_PENDING_REQUESTS);
  const shards = new Set([...fleet.ledger.pendingScaleOuts.values()].map(({ shard }) => shard));
  assert.deepEqual([...shards].sort(), [0, 1, 2]);
});

// Guards against a fixed limit of the fleet, and against a demand that is served only in part.
test('a demand for 4,500 machines is met to the last one, in several batches', async () => {
  const fleet = new FleetHarness([{ ...SMALL, bootS: 600 }]);
  fleet.listed = null;
  let hostCount = 0;
  fleet.respond = ({ count }) => ({
    kind: 'rented',
    hosts: [...Array(count).keys()].map(() => `n-${++hostCount}`),
  });
  fleet.demands = [shardDemand(0, [{ job: SWEEP, count: 4500 }])];
  await fleet.run(30 * SECOND);
  assert.equal(fleet.ledger.machines.size, 4500);
  assert.ok(fleet.mostPendingRequests <= MAX_PENDING_REQUESTS);
  assert.equal(fleet.ledger.pendingScaleOuts.size, 0);
});

// Guards against machines that are rented for nobody: after a cloud outage the requests of cancelled jobs were repeated.
test('requests that the cloud has not executed are withdrawn when their demand vanishes', async () => {
  const fleet = new FleetHarness([SMALL]);
  fleet.respond = () => ({ kind: 'failed' });
  fleet.demands = [shardDemand(0, [{ job: SWEEP, count: 100_000 }])];
  await fleet.run(6 * SECOND);
  assert.ok(fleet.ledger.pendingScaleOuts.size > 1);
  fleet.demands = [shardDemand(0, [{ job: SWEEP, count: 10 }])];
  await fleet.run(3 * SECOND);
  assert.equal(fleet.ledger.pendingScaleOuts.size, 1);
  fleet.demands = [shardDemand(0, [])];
  fleet.respond = () => ({ kind: 'rented', hosts: ['n-1'] });
  await fleet.run(10 * SECOND);
  assert.equal(fleet.ledger.pendingScaleOuts.size, 0);
  assert.equal(fleet.ledger.machines.size, 0);
});

test('a request that may have been executed is repeated until it is answered, although its demand is gone', async () => {
  const fleet = new FleetHarness([SMALL]);
  fleet.demands = [shardDemand(0, [{ job: { ...SWEEP, zone: 'east' }, count: 10 }])];
  await fleet.run(3 * SECOND);
  fleet.demands = [shardDemand(0, [])];
  fleet.respond = () => ({ kind: 'failed' });
  await fleet.run(6 * SECOND);
  assert.equal(fleet.ledger.pendingScaleOuts.size, 1);
  fleet.respond = () => ({ kind: 'rented', hosts: ['n-1'] });
  await fleet.run(4 * SECOND);
  assert.equal(fleet.ledger.pendingScaleOuts.size, 0);
  assert.ok(fleet.ledger.machines.has('n-1'));
});

// Guards against a successor that sends thousands of requests at once, each with a connection and a body in memory.
test('of thousands of recorded requests a new leader sends only as many at a time as may be pending', async () => {
  const fleet = new FleetHarness([{ ...SMALL, zones: ['east'] }]);
  const requestCount = 1000;
  fleet.recordRequests(
    [...Array(requestCount).keys()].map((i): ScaleOutRow => [`hire-${i}`, 'small', 'east', true, 50, 0]),
  );
  fleet.demands = [shardDemand(0, [{ job: SWEEP, count: 100_000 }])];
  let unanswered = 0;
  let mostUnanswered = 0;
  fleet.respond = async () => {
    mostUnanswered = Math.max(mostUnanswered, ++unanswered);
    await new Promise<void>((resolve) => fleet.clock.at(SECOND / 2, resolve));
    unanswered--;
    return { kind: 'no_capacity' };
  };
  await fleet.run(15 * SECOND);
  assert.equal(mostUnanswered, 2 * MAX_PENDING_REQUESTS);
  // The others are abandoned after the time in which each of them would have been repeated.
  await fleet.run(15 * SECOND);
  assert.ok(fleet.ledger.pendingScaleOuts.size <= MAX_PENDING_REQUESTS);
  assert.ok(fleet.requests.length < requestCount, 'all requests were sent');
});

// Guards against machines that are rented twice after a failover: those on their way to the failed node's shard did not
// count for the node that took it over.
test('machines on their way to any shard of the owner serve its demand', async () => {
  const fleet = new FleetHarness([{ ...SMALL, bootS: 600 }]);
  fleet.listed = null;
  for (let i = 0; i < 50; i++) fleet.addMachine(`n-${i}`, 2, fleet.wallMs());
  fleet.recordRequests([['hire-0', 'small', 'east', true, 50, 2]]);
  fleet.demands = [{ ...shardDemand(0, [{ job: SWEEP, count: 100 }]), ownedShards: [0, 2] }];
  await fleet.run(3 * SECOND);
  assert.deepEqual([...fleet.ledger.pendingScaleOuts.keys()], ['hire-0']);
});

// Guards against a team that waits within its guarantee, while the cloud leaves a guest's requests without an answer.
test('guaranteed tasks are requested while as many requests of a guest are pending as there may be', async () => {
  const fleet = new FleetHarness([SMALL]);
  const guest = shardDemand(0, [{ job: SWEEP, count: 100_000 }]);
  fleet.demands = [guest];
  await fleet.run(5 * SECOND);
  assert.equal(fleet.ledger.pendingScaleOuts.size, MAX_PENDING_REQUESTS);
  const team = { ...SWEEP, team: 'blue', zone: 'west' };
  fleet.demands = [guest, shardDemand(1, [{ job: team, count: 60, guaranteedCount: 60 }])];
  await fleet.run(3 * SECOND);
  const pending = [...fleet.ledger.pendingScaleOuts.values()];
  assert.deepEqual(
    pending.filter(({ shard }) => shard === 1).map(({ count }) => count),
    [50, 10],
  );
  assert.equal(pending.length, MAX_PENDING_REQUESTS + 2);
  assert.ok(
    fleet.requests.some(({ id }) => id === pending.at(-1)?.id),
    'the last one was not sent',
  );
});

// Guards against a cloud without machines that is asked for thousands again and again, so that it refuses lists and
// deletions for its rate limit.
test('a cloud without machines is asked with one request for each offer after a backoff', async () => {
  const fleet = new FleetHarness([SMALL]);
  fleet.respond = () => ({ kind: 'no_capacity' });
  fleet.demands = [shardDemand(0, [{ job: SWEEP, count: 100_000 }])];
  await fleet.run(9 * SECOND);
  const firstRequests = fleet.requests.length;
  await fleet.run(80 * SECOND);
  const offerCount = 4;
  const attempts = fleet.requests.length - firstRequests;
  assert.ok(attempts >= 2 * offerCount && attempts <= 4 * offerCount, `${attempts} requests`);
  let hostCount = 0;
  fleet.respond = ({ count }) => ({
    kind: 'rented',
    hosts: [...Array(count).keys()].map(() => `n-${++hostCount}`),
  });
  fleet.demands = [shardDemand(0, [{ job: SWEEP, count: 400 }])];
  fleet.listed = null;
  await fleet.run(50 * SECOND);
  assert.ok(hostCount >= 400, `${hostCount} machines`);
});

// Guards against a job that never starts: the machines that it was given were returned while it waited for its share of
// the team's limit.
test('keeps an idle machine that a forecast has tasks for, and selects it for scale-in afterwards', async () => {
  const fleet = new FleetHarness();
  fleet.listed = null;
  fleet.addMachine('n-1');
  fleet.ledger.apply(0, { sequence: 1, recordedAtMs: 0, statuses: [['n-1', 'up']] });
  fleet.demands = [{ ...shardDemand(0, []), plannedHosts: new Set(['n-1']) }];
  await fleet.run(100 * SECOND);
  assert.equal(fleet.destination('n-1'), null);
  fleet.demands = [shardDemand(0, [])];
  await fleet.run(2 * SECOND);
  assert.equal(fleet.destination('n-1'), 'scale_in');
});
