import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WaitingJob } from '#pricing';
import { SECOND } from '#wire';
import { type MovableMachine, planMoves } from './moves.js';
import { type Drainable, planDrains, planRentals, planReturns } from './planner.js';

const TYPE = { cpus: 4, gpus: 0, memGb: 16, cacheGb: 9, fetchGbPerS: 1, bootS: 30, zones: ['east', 'west'] };
const SMALL = { ...TYPE, name: 'small', price: 3, spotPrice: 1 };
const LARGE = { ...TYPE, name: 'large', cpus: 16, memGb: 64, price: 11, spotPrice: 5, zones: ['east'] };

function job(change: Partial<WaitingJob> = {}): WaitingJob {
  return {
    ...{
      id: 'j-1',
      team: 'blue',
      need: { cpus: 4, gpus: 0, memGb: 8 },
      priority: 2,
      order: 1,
      waiting: 9,
      taskCount: 9,
      gang: false,
    },
    ...{ machineTypes: null, zone: null, singleZone: false, spreadZones: false, spot: true, image: 'i' },
    placedByZone: new Map(),
    ...change,
  };
}

const base = {
  types: [SMALL, LARGE],
  coming: [],
  machinesPerZone: new Map(),
  refused: () => false,
};

test('rentals: the cheapest offer per task, spread over zones, none for what is on its way', () => {
  const plans = planRentals({ ...base, needs: [{ job: job(), count: 4 }] });
  assert.deepEqual(plans.map((p) => `${p.machineType}/${p.zone}/${p.spot}/${p.number}`).sort(), [
    'small/east/true/2',
    'small/west/true/2',
  ]);
  const coming = [{ machineType: 'small', zone: 'west', spot: true, room: { cpus: 8, gpus: 0, memGb: 16 } }];
  const fewer = planRentals({ ...base, coming, needs: [{ job: job(), count: 3 }] });
  assert.equal(
    fewer.reduce((n, p) => n + p.number, 0),
    1,
  );
});

test('rentals: as many of the cheapest kind as are wanted, however few one request may ask for', () => {
  const plans = planRentals({ ...base, needs: [{ job: job(), count: 400 }] });
  assert.deepEqual(
    plans.map((p) => [p.machineType, p.spot, p.number]),
    [
      ['small', true, 200],
      ['small', true, 200],
    ],
  );
});

test('rentals: refused offers and kinds that the job does not allow are gone round', () => {
  const refused = (o: { machineType: string; spot: boolean }): boolean => o.machineType === 'small' && o.spot;
  const [plan] = planRentals({ ...base, refused, needs: [{ job: job(), count: 4 }] });
  assert.deepEqual([plan?.machineType, plan?.spot, plan?.number], ['large', true, 1]);
  const ordinary = planRentals({
    ...base,
    needs: [{ job: job({ spot: false, zone: 'west' }), count: 1 }],
  });
  assert.deepEqual(ordinary, [{ machineType: 'small', zone: 'west', spot: false, number: 1 }]);
});

test('returns: only what has idled long enough and has used up the least it costs', () => {
  const idle = { idle: 50 * SECOND, age: 90 * SECOND, spot: true };
  const keep = { ordinary: 15 * SECOND, spot: 40 * SECOND, least: 55 * SECOND };
  const machines = [
    { ...idle, host: 'n-1' },
    { ...idle, host: 'n-2', idle: 20 * SECOND },
    { ...idle, host: 'n-3', idle: 20 * SECOND, spot: false },
    { ...idle, host: 'n-4', age: 30 * SECOND },
  ];
  assert.deepEqual(planReturns(machines, keep), ['n-1', 'n-3']);
});

test('drains: the ordinary machine that wastes most, and only while the rest has room to spare', () => {
  const total = { cpus: 16, gpus: 0, memGb: 64 };
  const poor = (host: string, change: Partial<Drainable> = {}): Drainable => ({
    ...{ host, spot: false, price: 11, total, left: { ...total, cpus: 12 }, poorFor: 9 * SECOND },
    ...change,
  });
  const options = { poor: 0.5, patience: 6 * SECOND, spare: 2 };
  const cheap = poor('n-2', { price: 3 });
  assert.deepEqual(planDrains([cheap, poor('n-1')], options), ['n-1']);
  assert.deepEqual(planDrains([poor('n-1')], options), []);
  assert.deepEqual(planDrains([poor('n-1', { spot: true }), poor('n-2', { poorFor: 0 })], options), []);
});

test('moves: unused room first, never back at once or across a cut, then from the lowest price to the highest', () => {
  const total = { cpus: 4, gpus: 0, memGb: 16 };
  const machine = (host: string, change: Partial<MovableMachine> = {}): MovableMachine => ({
    ...{
      host,
      machineType: 'small',
      zone: 'east',
      spot: false,
      owner: 'b',
      total,
      room: { ...total },
      settling: false,
      busyFor: () => 0,
    },
    ...change,
  });
  const owners = [
    { owner: 'a', price: 2, needs: [{ job: job(), count: 1 }], owed: 0, borrowed: 0 },
    { owner: 'b', price: 0, needs: [], owed: 0, borrowed: 0 },
  ];
  const full = { cpus: 0, gpus: 0, memGb: 8 };
  const moves = (machines: MovableMachine[], cut = false): string[] =>
    planMoves({ owners, machines, reaches: () => !cut, priceGap: 0.5, mostOwed: 2 }).moves.map((m) => m.host);
  assert.deepEqual(moves([machine('n-1', { room: full }), machine('n-2')]), ['n-2']);
  assert.deepEqual(moves([machine('n-1', { room: full }), machine('n-2', { settling: true })]), ['n-1']);
  assert.deepEqual(moves([machine('n-1')], true), []);
  assert.deepEqual(moves([machine('n-1', { owner: 'a', room: full })]), []);
  // What is guaranteed to one and borrowed by the other goes back at once, soonest free first, not one a round.
  const owed = [
    { owner: 'a', price: 0, needs: [{ job: job(), count: 9 }], owed: 11, borrowed: 0 },
    { owner: 'b', price: 0, needs: [], owed: 0, borrowed: 100 },
  ];
  const busy = [30, 10, 20].map((s) => machine(`n-${s}`, { room: full, busyFor: () => s * SECOND }));
  const input = { machines: busy, reaches: () => true, priceGap: 0.5, mostOwed: 2 };
  const hosts = (plan: typeof owed): string[] =>
    planMoves({ ...input, owners: plan }).moves.map((m) => m.host);
  assert.deepEqual(hosts(owed), ['n-10', 'n-20']);
  assert.deepEqual(hosts(owed.map((o) => ({ ...o, borrowed: 0 }))), []);
});
