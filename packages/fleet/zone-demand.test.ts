/** Scale-out, transfers and pending capacity for jobs with zone constraints. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { hasZoneConstraint, type PendingJob } from '#pricing';
import { samplePendingJob } from '#testkit';
import type { MachineType } from '#wire';
import type { Offer } from './offers.js';
import type { PendingCapacity } from './pending-capacity.js';
import { planScaleOut, type ScaleOutPlan } from './scale-out-planner.js';
import { planTransfers } from './transfer-planner.js';

const ZONES = ['east', 'west', 'north'];
/** Size of a task and of each machine, so that a machine takes one task. */
const SIZE = { cpus: 4, gpus: 0, memGb: 8 };

function machineType(name: string, price: number, zones: readonly string[]): MachineType {
  return {
    name,
    ...SIZE,
    cacheGb: 9,
    fetchGbPerS: 1,
    bootS: 30,
    price,
    spotPrice: price / 4,
    zones: [...zones],
  };
}

/** What the scale-out of one job is planned from. */
interface Situation {
  readonly job: PendingJob;
  readonly count: number;
  readonly types: readonly MachineType[];
  /** Number of pending machines. Keyed by zone. */
  readonly pending: Readonly<Record<string, number>>;
  /** Zones in which nothing may be requested now. */
  readonly backedOff: readonly string[];
  /** Zones of which the cloud had too few machines the last time. */
  readonly scarce?: readonly string[];
  /** True if the pending machines are requested and the cloud has not answered yet. */
  readonly isRequested?: boolean;
}

function planFor(situation: Situation): ScaleOutPlan {
  const { job, count, types, pending, backedOff, scarce = [], isRequested = false } = situation;
  const pendingCapacity: PendingCapacity[] = Object.entries(pending).map(([zone, machineCount]) => {
    return { machineType: 'a', zone, spot: false, machineCount, free: { ...SIZE }, isRequested };
  });
  const isBackedOff = ({ zone }: Offer): boolean => backedOff.includes(zone);
  return planScaleOut({
    types,
    shards: [{ shard: 0, unmetDemand: [{ job, count }], pendingCapacity, isBackedOff }],
    machinesPerZone: new Map(),
    maxRequests: { guaranteed: 50, others: 50 },
    isScarce: ({ zone }) => scarce.includes(zone),
  });
}

/** Returns the planned number of machines in each zone. */
function machinesByZone({ requests }: ScaleOutPlan): Record<string, number> {
  const byZone: Record<string, number> = {};
  for (const { zone, count } of requests) byZone[zone] = (byZone[zone] ?? 0) + count;
  return byZone;
}

/** A place for one task, and what it costs to have it. */
interface Place {
  readonly zone: string;
  readonly price: number;
}

/** Returns a place for each pending machine, and as many for each offer as there are tasks. */
function placesOf({ count, types, pending, backedOff }: Situation): Place[] {
  const pendingPlaces = Object.entries(pending).flatMap(([zone, machineCount]) =>
    Array<Place>(machineCount).fill({ zone, price: 0 }),
  );
  const offered = types.flatMap(({ zones, spotPrice: price }) => zones.map((zone) => ({ zone, price })));
  const available = offered.filter(({ zone }) => !backedOff.includes(zone));
  return [...pendingPlaces, ...available.flatMap((place) => Array<Place>(count).fill(place))];
}

/** True if the pages allow a further task of the job in the zone beside the others. */
function isAllowed(
  { singleZone, spreadZones, taskCount }: PendingJob,
  others: Map<string, number>,
  zone: string,
): boolean {
  if (singleZone && others.size > 0 && !others.has(zone)) return false;
  return !spreadZones || (others.get(zone) ?? 0) < Math.ceil(taskCount / 2);
}

/** The most tasks that can be placed, and the lowest price of that. */
interface Best {
  readonly taskCount: number;
  readonly price: number;
}

/** Tries all ways to place up to `count` more tasks of the job. */
function bestPlacement(job: PendingJob, count: number, places: readonly Place[]): Best {
  const search = (from: number, left: number, tasksByZone: Map<string, number>): Best => {
    let best: Best = { taskCount: 0, price: 0 };
    if (left === 0) return best;
    for (let i = from; i < places.length; i++) {
      const { zone, price } = places[i]!;
      const isRepeated = i > from && places[i - 1]!.zone === zone && places[i - 1]!.price === price;
      if (isRepeated || !isAllowed(job, tasksByZone, zone)) continue;
      const rest = search(i + 1, left - 1, new Map(tasksByZone).set(zone, (tasksByZone.get(zone) ?? 0) + 1));
      const found = { taskCount: rest.taskCount + 1, price: rest.price + price };
      const isBetter =
        found.taskCount > best.taskCount || (found.taskCount === best.taskCount && found.price < best.price);
      if (isBetter) best = found;
    }
    return best;
  };
  return search(0, count, new Map(job.placedByZone));
}

const situations: fc.Arbitrary<Situation> = fc
  .record({
    isGang: fc.boolean(),
    constraint: fc.constantFrom({ spreadZones: true }, { singleZone: true }),
    taskCount: fc.integer({ min: 1, max: 4 }),
    placed: fc.option(fc.constantFrom(...ZONES)),
    zones: fc.tuple(fc.subarray(ZONES, { minLength: 1 }), fc.subarray(ZONES)),
    prices: fc.tuple(fc.constantFrom(4, 8), fc.constantFrom(4, 12)),
    pending: fc.dictionary(fc.constantFrom(...ZONES), fc.integer({ min: 1, max: 3 }), {
      noNullPrototype: true,
    }),
    backedOff: fc.subarray(ZONES, { maxLength: 1 }),
  })
  .map(({ isGang, constraint, taskCount, placed, zones, prices, pending, backedOff }) => {
    const placedCount = isGang || placed === null || taskCount === 1 ? 0 : 1;
    const placedByZone = new Map(placedCount === 1 ? [[placed!, 1]] : []);
    const count = taskCount - placedCount;
    const shape = { isGang, taskCount, pendingTaskCount: count, placedByZone, taskResources: SIZE };
    const types = [machineType('a', prices[0], zones[0]), machineType('b', prices[1], zones[1])];
    return { job: samplePendingJob({ ...shape, ...constraint }), count, types, pending, backedOff };
  });

// Guards against machines that are rented although the job can't use them, and against dearer ones than necessary.
test('what is planned lets as many tasks run as possible at the lowest price, or nothing is planned for a gang', () => {
  fc.assert(
    fc.property(situations, (situation) => {
      const { job, count, types } = situation;
      assert.ok(hasZoneConstraint(job));
      const plan = planFor(situation);
      const best = bestPlacement(job, count, placesOf(situation));
      const isBlocked = job.isGang && job.spreadZones && best.taskCount < count;
      assert.equal(plan.blockedGangs.has(job.id), isBlocked);
      const priceOf = (name: string): number => types.find((type) => type.name === name)!.spotPrice;
      const price = plan.requests.reduce(
        (sum, request) => sum + priceOf(request.machineType) * request.count,
        0,
      );
      // A job in one zone stays where its pending machines are, unless another zone takes all of it for less.
      const isWhole = best.taskCount === count;
      if (isBlocked) assert.deepEqual(plan.requests, []);
      else if (isWhole || job.spreadZones) assert.equal(price, best.price);
    }),
    { seed: 49, numRuns: 1500 },
  );
});

const GANG = samplePendingJob({
  isGang: true,
  spreadZones: true,
  taskCount: 4,
  pendingTaskCount: 4,
  taskResources: SIZE,
});
const TYPES = [machineType('a', 4, ['east', 'west'])];

// Guards against machines that are rented again and again in one zone while the cloud refuses those of the other.
test('while the cloud lacks machines in a zone, a gang asks there first, and elsewhere once these are on their way', () => {
  const situation = { job: GANG, count: 4, types: TYPES, pending: {}, backedOff: [] };
  assert.deepEqual(machinesByZone(planFor(situation)), { east: 2, west: 2 });
  const scarce = { ...situation, scarce: ['west'] };
  assert.deepEqual(machinesByZone(planFor(scarce)), { west: 2 });
  const requested = { ...scarce, pending: { west: 2 }, backedOff: ['west'], isRequested: true };
  const planWhileRequested = planFor(requested);
  assert.deepEqual(planWhileRequested.requests, []);
  assert.deepEqual(planWhileRequested.unusedCapacity, [], 'the request is not withdrawn');
  assert.deepEqual(machinesByZone(planFor({ ...requested, isRequested: false })), { east: 2 });
});

// Guards against transfers of machines that the receiver's job can't use.
test('machines are transferred for a spread job up to what each zone may take, and for a job in one zone in one', () => {
  const machines = ['east', 'east', 'east', 'west', 'west', 'west', 'west'].map((zone, i) => {
    const capacity = { free: { ...SIZE }, total: SIZE, busyFor: (): number => 0 };
    return { host: `n-${i}`, machineType: 'a', zone, spot: false, owner: 'b', isPinned: false, ...capacity };
  });
  const transferredZones = (change: Partial<PendingJob>): string[] => {
    const job = samplePendingJob({ taskCount: 4, pendingTaskCount: 4, taskResources: SIZE, ...change });
    const balance = { price: 0, guaranteeDeficit: 0, usageAboveGuarantee: 0 };
    const { transfers } = planTransfers({
      owners: [
        { owner: 'a', unmetDemand: [{ job, count: 4 }], ...balance },
        { owner: 'b', unmetDemand: [], ...balance },
      ],
      machines,
      canReach: () => true,
      minPriceGap: 1,
      maxDeficitTransfers: 0,
    });
    return transfers.map(({ host }) => machines.find((machine) => machine.host === host)!.zone).sort();
  };
  assert.deepEqual(transferredZones({ spreadZones: true }), ['east', 'east', 'west', 'west']);
  assert.deepEqual(transferredZones({ spreadZones: true, placedByZone: new Map([['east', 1]]) }), [
    'east',
    'west',
    'west',
  ]);
  assert.deepEqual(transferredZones({ singleZone: true }), ['west', 'west', 'west', 'west']);
  assert.deepEqual(transferredZones({ singleZone: true, placedByZone: new Map([['east', 1]]) }), [
    'east',
    'east',
    'east',
  ]);
});
