import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Worker } from 'node:worker_threads';
import type { PendingJob } from '#pricing';
import { planScaleOut, type ScaleOutInput } from './scale-out-planner.js';

const TYPE = { cpus: 4, gpus: 0, memGb: 16, cacheGb: 9, fetchGbPerS: 1, bootS: 30, zones: ['east', 'west'] };
const SMALL = { ...TYPE, name: 'small', price: 3, spotPrice: 1 };
const LARGE = { ...TYPE, name: 'large', cpus: 16, memGb: 64, price: 11, spotPrice: 5, zones: ['east'] };

function job(change: Partial<PendingJob> = {}): PendingJob {
  return {
    id: 'j-1',
    team: 'blue',
    taskResources: { cpus: 4, gpus: 0, memGb: 8 },
    priority: 2,
    acceptanceOrder: 1,
    pendingTaskCount: 9,
    taskCount: 9,
    isGang: false,
    machineTypes: null,
    zone: null,
    singleZone: false,
    spreadZones: false,
    allowsSpot: true,
    image: 'i',
    placedByZone: new Map(),
    ...change,
  };
}

const base = {
  types: [SMALL, LARGE],
  pendingCapacity: [],
  machinesPerZone: new Map(),
  isBackedOff: () => false,
};

test('requests the cheapest offer per task, spread over zones, only for tasks without pending capacity', () => {
  const plans = planScaleOut({ ...base, unmetDemand: [{ job: job(), count: 4 }] });
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
  const fewerPlans = planScaleOut({ ...base, pendingCapacity, unmetDemand: [{ job: job(), count: 3 }] });
  assert.equal(
    fewerPlans.reduce((sum, plan) => sum + plan.count, 0),
    1,
  );
});

test('plans as many machines of the cheapest offer as needed, beyond the limit of one request', () => {
  const plans = planScaleOut({ ...base, unmetDemand: [{ job: job(), count: 400 }] });
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
  const [plan] = planScaleOut({ ...base, isBackedOff: backedOff, unmetDemand: [{ job: job(), count: 4 }] });
  assert.deepEqual([plan?.machineType, plan?.spot, plan?.count], ['large', true, 1]);
  const onDemandPlans = planScaleOut({
    ...base,
    unmetDemand: [{ job: job({ allowsSpot: false, zone: 'west' }), count: 1 }],
  });
  assert.deepEqual(onDemandPlans, [{ machineType: 'small', zone: 'west', spot: false, count: 1 }]);
});

/** Plans in a thread with this heap; rejects if the heap does not suffice. */
function planWithHeap(
  maxOldGenerationSizeMb: number,
  input: Omit<ScaleOutInput, 'isBackedOff'>,
): Promise<void> {
  const planner = JSON.stringify(new URL('scale-out-planner.js', import.meta.url).href);
  const program = `
    const { workerData } = require('node:worker_threads');
    import(${planner}).then(({ planScaleOut }) => planScaleOut({ ...workerData, isBackedOff: () => false }));`;
  const worker = new Worker(program, {
    eval: true,
    workerData: input,
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
  const unmetDemand = ['j-1', 'j-2', 'j-3'].map((id) => ({ job: job({ id }), count: 100_000 }));
  const { types, pendingCapacity, machinesPerZone } = base;
  await planWithHeap(24, { types, pendingCapacity, machinesPerZone, unmetDemand });
});
