import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { samplePendingJob } from '#testkit';
import { MAX_TASKS_PER_HEARTBEAT } from '#wire';
import { offerKey } from './offers.js';
import type { PendingCapacity } from './pending-capacity.js';
import { planScaleOut, type ScaleOutInput } from './scale-out-planner.js';
import type { ShardScaleOut } from './shard-scale-out-planner.js';

const TYPE = { cpus: 4, gpus: 0, memGb: 16, cacheGb: 9, fetchGbPerS: 1, bootS: 30, zones: ['east', 'west'] };
const SMALL = { ...TYPE, name: 'small', price: 3, spotPrice: 1 };
const LARGE = { ...TYPE, name: 'large', cpus: 16, memGb: 64, price: 11, spotPrice: 5, zones: ['east'] };

/** Input of a plan for one shard. */
interface PlanInput {
  readonly unmetDemand: ShardScaleOut['unmetDemand'];
  readonly pendingCapacity?: ShardScaleOut['pendingCapacity'];
  readonly isBackedOff?: ShardScaleOut['isBackedOff'];
  readonly maxRequests?: number;
  readonly isScarce?: ScaleOutInput['isScarce'];
}

function sameLimits(maxRequests: number): ScaleOutInput['maxRequests'] {
  return { guaranteed: maxRequests, others: maxRequests };
}

function shardInput({
  unmetDemand,
  pendingCapacity = [],
  isBackedOff = () => false,
  maxRequests = 100,
  isScarce = () => false,
}: PlanInput): ScaleOutInput {
  const shards = [{ shard: 0, unmetDemand, pendingCapacity, isBackedOff }];
  return {
    types: [SMALL, LARGE],
    shards,
    machinesPerZone: new Map(),
    maxRequests: sameLimits(maxRequests),
    isScarce,
  };
}

/** Returns the planned number of machines of each offer, in the order in which the offers are first requested. */
function planOffers(input: PlanInput): { machineType: string; zone: string; spot: boolean; count: number }[] {
  const counts = new Map<string, { machineType: string; zone: string; spot: boolean; count: number }>();
  for (const { machineType, zone, spot, count } of planScaleOut(shardInput(input)).requests) {
    assert.ok(count <= 50, `${count} machines in one request`);
    const offer = counts.get(offerKey({ machineType, zone, spot }));
    if (offer) offer.count += count;
    else counts.set(offerKey({ machineType, zone, spot }), { machineType, zone, spot, count });
  }
  return [...counts.values()];
}

test('requests the cheapest offer per task, spread over zones, only for tasks without pending capacity', () => {
  const plans = planOffers({ unmetDemand: [{ job: samplePendingJob(), count: 4 }] });
  assert.deepEqual(
    plans.map((plan) => `${plan.machineType}/${plan.zone}/${plan.spot}/${plan.count}`).sort(),
    ['small/east/true/2', 'small/west/true/2'],
  );
  const pendingCapacity = [
    {
      machineType: 'small',
      zone: 'west',
      spot: true,
      machineCount: 1,
      free: { cpus: 8, gpus: 0, memGb: 16 },
    },
  ];
  const fewerPlans = planOffers({ pendingCapacity, unmetDemand: [{ job: samplePendingJob(), count: 3 }] });
  assert.equal(
    fewerPlans.reduce((sum, plan) => sum + plan.count, 0),
    1,
  );
});

test('plans as many machines of the cheapest offer as needed, beyond the limit of one request', () => {
  const plans = planOffers({ unmetDemand: [{ job: samplePendingJob(), count: 400 }] });
  assert.deepEqual(
    plans.map((plan) => [plan.machineType, plan.spot, plan.count]),
    [
      ['small', true, 200],
      ['small', true, 200],
    ],
  );
});

test('avoids offers that are backed off and offers that the job does not allow', () => {
  const backedOff = (offer: { machineType: string; spot: boolean }): boolean =>
    offer.machineType === 'small' && offer.spot;
  const [plan] = planOffers({ isBackedOff: backedOff, unmetDemand: [{ job: samplePendingJob(), count: 4 }] });
  assert.deepEqual([plan?.machineType, plan?.spot, plan?.count], ['large', true, 1]);
  const onDemandPlans = planOffers({
    unmetDemand: [{ job: samplePendingJob({ allowsSpot: false, zone: 'west' }), count: 1 }],
  });
  assert.deepEqual(onDemandPlans, [{ machineType: 'small', zone: 'west', spot: false, count: 1 }]);
});

/** Plans in a thread with this heap; rejects if the heap does not suffice. */
function planWithHeap(maxOldGenerationSizeMb: number, input: ScaleOutInput): Promise<void> {
  const { types, shards, machinesPerZone, maxRequests } = input;
  const planner = JSON.stringify(new URL('scale-out-planner.js', import.meta.url).href);
  const program = `
    const { workerData } = require('node:worker_threads');
    const shards = workerData.shards.map((shard) => ({ ...shard, isBackedOff: () => false }));
    import(${planner}).then(({ planScaleOut }) => planScaleOut({ ...workerData, shards, isScarce: () => false }));`;
  // Functions can't be passed to a thread.
  const shardData = shards.map(({ shard, unmetDemand, pendingCapacity }) => {
    return { shard, unmetDemand, pendingCapacity };
  });
  const worker = new Worker(program, {
    eval: true,
    workerData: { types, machinesPerZone, maxRequests, shards: shardData },
    resourceLimits: { maxOldGenerationSizeMb, maxYoungGenerationSizeMb: 4 },
  });
  return new Promise((resolve, reject) => {
    worker.on('error', reject);
    worker.on('exit', () => {
      resolve();
    });
  });
}

// Guards against a process that ends for memory: each planned machine of an unbounded demand was kept as an object.
test('a plan for three jobs of 100,000 tasks needs no memory for each planned machine', async () => {
  const unmetDemand = ['j-1', 'j-2', 'j-3'].map((id) => ({ job: samplePendingJob({ id }), count: 100_000 }));
  await planWithHeap(24, shardInput({ unmetDemand, maxRequests: 10_000 }));
});

const GUEST = samplePendingJob({ id: 'j-9', team: 'guest', priority: 9, pendingTaskCount: 100_000 });

// Guards against work, requests and records of the leader that grow with the tasks that users ask for.
test('a demand of 100,000 tasks is planned no further than the requests that the cloud answers soon', () => {
  const countWork = (count: number): { requests: number; offersCompared: number } => {
    let offersCompared = 0;
    const isBackedOff = (): boolean => {
      offersCompared++;
      return false;
    };
    const unmetDemand = [{ job: { ...GUEST, pendingTaskCount: count }, count }];
    const input = shardInput({ unmetDemand, isBackedOff, maxRequests: 8 });
    const { requests } = planScaleOut(input);
    return { requests: requests.length, offersCompared };
  };
  const huge = countWork(100_000);
  assert.equal(huge.requests, 8);
  assert.deepEqual(countWork(1000), huge);
});

// Guards against a guest's huge demand that takes all requests, while a team waits for machines within its guarantee.
test('tasks within a guarantee get the first requests, also those of another shard and of lower priority', () => {
  const guaranteed = { job: samplePendingJob({ zone: 'west' }), count: 60, guaranteedCount: 60 };
  const guest = { job: { ...GUEST, zone: 'east' }, count: 100_000 };
  const isBackedOff = (): boolean => false;
  const { requests } = planScaleOut({
    types: [SMALL],
    shards: [
      { shard: 0, unmetDemand: [guest], pendingCapacity: [], isBackedOff },
      { shard: 1, unmetDemand: [guaranteed], pendingCapacity: [], isBackedOff },
    ],
    machinesPerZone: new Map(),
    maxRequests: sameLimits(3),
    isScarce: () => false,
  });
  assert.deepEqual(
    requests.map(({ shard, zone, count }) => [shard, zone, count]),
    [
      [1, 'west', 50],
      [1, 'west', 10],
      [0, 'east', 50],
    ],
  );
});

test('beyond the guarantees the teams take turns, so that no demand keeps another team waiting', () => {
  const unmetDemand = [
    { job: { ...GUEST, zone: 'east' }, count: 100_000 },
    { job: samplePendingJob({ zone: 'west' }), count: 70 },
  ];
  const { requests } = planScaleOut(shardInput({ unmetDemand, maxRequests: 4 }));
  assert.deepEqual(
    requests.map(({ zone, count }) => [zone, count]),
    [
      ['east', 50],
      ['west', 50],
      ['east', 50],
      ['west', 20],
    ],
  );
});

test('tasks that pending capacity covers count towards the guarantee first', () => {
  const pendingCapacity = [
    {
      machineType: 'small',
      zone: 'west',
      spot: true,
      machineCount: 2,
      free: { cpus: 4, gpus: 0, memGb: 16 },
    },
  ];
  const unmetDemand = [
    { job: samplePendingJob(), count: 5, guaranteedCount: 3 },
    { job: samplePendingJob({ id: 'j-2', team: 'green', zone: 'west' }), count: 1, guaranteedCount: 1 },
  ];
  const { requests } = planScaleOut(shardInput({ unmetDemand, pendingCapacity, maxRequests: 2 }));
  assert.deepEqual(
    requests.map(({ zone, count }) => [zone, count]),
    [
      ['east', 2],
      ['west', 2],
    ],
  );
});

test('reports the pending capacity that no task needs', () => {
  const machines = (zone: string, machineCount: number): PendingCapacity => {
    return { machineType: 'small', zone, spot: true, machineCount, free: { cpus: 4, gpus: 0, memGb: 16 } };
  };
  const pendingCapacity = [machines('east', 2), machines('west', 50), machines('west', 50)];
  const unmetDemand = [{ job: samplePendingJob(), count: 3 }];
  const { requests, unusedCapacity } = planScaleOut(shardInput({ unmetDemand, pendingCapacity }));
  assert.deepEqual(requests, []);
  assert.deepEqual(unusedCapacity, [pendingCapacity[2]]);
});

// Guards against a team that waits within its guarantee, while a guest's requests are as many as may be pending.
test('requests that may be pending only for guaranteed tasks are planned for no others', () => {
  const guaranteed = { job: samplePendingJob({ zone: 'west' }), count: 60, guaranteedCount: 60 };
  const guest = { job: { ...GUEST, zone: 'east' }, count: 100_000 };
  const input = shardInput({ unmetDemand: [guest, guaranteed] });
  for (const [others, guestRequests] of [
    [0, 0],
    [2, 0],
    [3, 1],
  ] as const) {
    const { requests } = planScaleOut({ ...input, maxRequests: { guaranteed: 4, others } });
    const inZone = (zone: string): number => requests.filter((request) => request.zone === zone).length;
    assert.deepEqual([inZone('west'), inZone('east')], [2, guestRequests], `limit ${others}`);
  }
});

test('an offer of which there were too few machines gets one request, until the cloud has machines again', () => {
  const unmetDemand = [{ job: { ...GUEST, zone: 'east', machineTypes: ['small'] }, count: 100_000 }];
  const isScarce: ScaleOutInput['isScarce'] = ({ spot }) => spot;
  const { requests } = planScaleOut(shardInput({ unmetDemand, isScarce }));
  assert.deepEqual(
    requests.map(({ spot, count }) => [spot, count]),
    [[true, 50]],
  );
});

// Guards against machines that are planned for more tasks than their heartbeats can report.
test('small tasks get as many machines as heartbeats need to report them', () => {
  const tiny = samplePendingJob({ taskResources: { cpus: 0.001, gpus: 0, memGb: 0.001 } });
  const plans = planOffers({ unmetDemand: [{ job: tiny, count: 3 * MAX_TASKS_PER_HEARTBEAT + 1 }] });
  assert.equal(
    plans.reduce((sum, plan) => sum + plan.count, 0),
    4,
  );
});
