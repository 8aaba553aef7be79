import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PendingJob } from '#pricing';
import { SECOND } from '#wire';
import { type TransferCandidate, planTransfers } from './transfer-planner.js';
import { type DrainCandidate, planDrains, planScaleOut, planScaleIn } from './scale-planner.js';

const TYPE = { cpus: 4, gpus: 0, memGb: 16, cacheGb: 9, fetchGbPerS: 1, bootS: 30, zones: ['east', 'west'] };
const SMALL = { ...TYPE, name: 'small', price: 3, spotPrice: 1 };
const LARGE = { ...TYPE, name: 'large', cpus: 16, memGb: 64, price: 11, spotPrice: 5, zones: ['east'] };

function job(change: Partial<PendingJob> = {}): PendingJob {
  return {
    ...{
      id: 'j-1',
      team: 'blue',
      need: { cpus: 4, gpus: 0, memGb: 8 },
      priority: 2,
      acceptanceOrder: 1,
      pendingTasks: 9,
      taskCount: 9,
      isGang: false,
    },
    ...{
      machineTypes: null,
      zone: null,
      singleZone: false,
      spreadZones: false,
      allowsSpot: true,
      image: 'i',
    },
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

test('rentals: the cheapest offer per task, spread over zones, none for what is on its way', () => {
  const plans = planScaleOut({ ...base, unmetDemand: [{ job: job(), count: 4 }] });
  assert.deepEqual(plans.map((p) => `${p.machineType}/${p.zone}/${p.spot}/${p.count}`).sort(), [
    'small/east/true/2',
    'small/west/true/2',
  ]);
  const coming = [{ machineType: 'small', zone: 'west', spot: true, free: { cpus: 8, gpus: 0, memGb: 16 } }];
  const fewer = planScaleOut({ ...base, pendingCapacity: coming, unmetDemand: [{ job: job(), count: 3 }] });
  assert.equal(
    fewer.reduce((n, p) => n + p.count, 0),
    1,
  );
});

test('rentals: as many of the cheapest kind as are wanted, however few one request may ask for', () => {
  const plans = planScaleOut({ ...base, unmetDemand: [{ job: job(), count: 400 }] });
  assert.deepEqual(
    plans.map((p) => [p.machineType, p.spot, p.count]),
    [
      ['small', true, 200],
      ['small', true, 200],
    ],
  );
});

test('rentals: refused offers and kinds that the job does not allow are gone round', () => {
  const refused = (o: { machineType: string; spot: boolean }): boolean => o.machineType === 'small' && o.spot;
  const [plan] = planScaleOut({ ...base, isBackedOff: refused, unmetDemand: [{ job: job(), count: 4 }] });
  assert.deepEqual([plan?.machineType, plan?.spot, plan?.count], ['large', true, 1]);
  const ordinary = planScaleOut({
    ...base,
    unmetDemand: [{ job: job({ allowsSpot: false, zone: 'west' }), count: 1 }],
  });
  assert.deepEqual(ordinary, [{ machineType: 'small', zone: 'west', spot: false, count: 1 }]);
});

test('returns: only what has idled long enough and has used up the least it costs', () => {
  const idle = { idleFor: 50 * SECOND, age: 90 * SECOND, spot: true };
  const keep = { ordinary: 15 * SECOND, spot: 40 * SECOND, least: 55 * SECOND };
  const machines = [
    { ...idle, host: 'n-1' },
    { ...idle, host: 'n-2', idleFor: 20 * SECOND },
    { ...idle, host: 'n-3', idleFor: 20 * SECOND, spot: false },
    { ...idle, host: 'n-4', age: 30 * SECOND },
  ];
  assert.deepEqual(planScaleIn(machines, keep), ['n-1', 'n-3']);
});

test('drains: the ordinary machine that wastes most, and only while the rest has room to spare', () => {
  const total = { cpus: 16, gpus: 0, memGb: 64 };
  const poor = (host: string, change: Partial<DrainCandidate> = {}): DrainCandidate => ({
    ...{ host, spot: false, price: 11, total, free: { ...total, cpus: 12 }, underusedFor: 9 * SECOND },
    ...change,
  });
  const options = { maxUtilization: 0.5, minUnderusedTime: 6 * SECOND, spareFactor: 2 };
  const cheap = poor('n-2', { price: 3 });
  assert.deepEqual(planDrains([cheap, poor('n-1')], options), ['n-1']);
  assert.deepEqual(planDrains([poor('n-1')], options), []);
  assert.deepEqual(planDrains([poor('n-1', { spot: true }), poor('n-2', { underusedFor: 0 })], options), []);
});

test('moves: unused room first, never back at once or across a cut, then from the lowest price to the highest', () => {
  const total = { cpus: 4, gpus: 0, memGb: 16 };
  const machine = (host: string, change: Partial<TransferCandidate> = {}): TransferCandidate => ({
    ...{
      host,
      machineType: 'small',
      zone: 'east',
      spot: false,
      owner: 'b',
      total,
      free: { ...total },
      isInCooldown: false,
      busyFor: () => 0,
    },
    ...change,
  });
  const owners = [
    {
      owner: 'a',
      price: 2,
      unmetDemand: [{ job: job(), count: 1 }],
      guaranteeDeficit: 0,
      usageAboveGuarantee: 0,
    },
    { owner: 'b', price: 0, unmetDemand: [], guaranteeDeficit: 0, usageAboveGuarantee: 0 },
  ];
  const full = { cpus: 0, gpus: 0, memGb: 8 };
  const moves = (machines: TransferCandidate[], cut = false): string[] =>
    planTransfers({
      owners,
      machines,
      reaches: () => !cut,
      minPriceGap: 0.5,
      maxDeficitTransfers: 2,
    }).transfers.map((m) => m.host);
  assert.deepEqual(moves([machine('n-1', { free: full }), machine('n-2')]), ['n-2']);
  assert.deepEqual(moves([machine('n-1', { free: full }), machine('n-2', { isInCooldown: true })]), ['n-1']);
  assert.deepEqual(moves([machine('n-1')], true), []);
  assert.deepEqual(moves([machine('n-1', { owner: 'a', free: full })]), []);
  // What is guaranteed to one and borrowed by the other goes back at once, soonest free first, not one a round.
  const owed = [
    {
      owner: 'a',
      price: 0,
      unmetDemand: [{ job: job(), count: 9 }],
      guaranteeDeficit: 11,
      usageAboveGuarantee: 0,
    },
    { owner: 'b', price: 0, unmetDemand: [], guaranteeDeficit: 0, usageAboveGuarantee: 100 },
  ];
  const busy = [30, 10, 20].map((s) => machine(`n-${s}`, { free: full, busyFor: () => s * SECOND }));
  const input = { machines: busy, reaches: () => true, minPriceGap: 0.5, maxDeficitTransfers: 2 };
  const hosts = (plan: typeof owed): string[] =>
    planTransfers({ ...input, owners: plan }).transfers.map((m) => m.host);
  assert.deepEqual(hosts(owed), ['n-10', 'n-20']);
  assert.deepEqual(hosts(owed.map((o) => ({ ...o, usageAboveGuarantee: 0 }))), []);
});
