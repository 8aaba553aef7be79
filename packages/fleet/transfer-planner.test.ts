import assert from 'node:assert/strict';
import { test } from 'node:test';
import { samplePendingJob } from '#testkit';
import { SECOND } from '#wire';
import { type TransferCandidate, planTransfers } from './transfer-planner.js';

function machine(host: string, change: Partial<TransferCandidate> = {}): TransferCandidate {
  const total = { cpus: 4, gpus: 0, memGb: 16 };
  return {
    host,
    machineType: 'small',
    zone: 'east',
    spot: false,
    owner: 'b',
    total,
    free: { ...total },
    isPinned: false,
    busyFor: () => 0,
    ...change,
  };
}

test('transfers unused capacity first, then by price and for guarantees; not if pinned or across partitions', () => {
  const owners = [
    {
      owner: 'a',
      price: 2,
      unmetDemand: [{ job: samplePendingJob(), count: 1 }],
      guaranteeDeficit: 0,
      usageAboveGuarantee: 0,
    },
    { owner: 'b', price: 0, unmetDemand: [], guaranteeDeficit: 0, usageAboveGuarantee: 0 },
  ];
  const full = { cpus: 0, gpus: 0, memGb: 8 };
  const transferred = (machines: TransferCandidate[], isPartitioned = false): string[] =>
    planTransfers({
      owners,
      machines,
      canReach: () => !isPartitioned,
      minPriceGap: 0.5,
      maxDeficitTransfers: 2,
    }).transfers.map(({ host }) => host);
  assert.deepEqual(transferred([machine('n-1', { free: full }), machine('n-2')]), ['n-2']);
  assert.deepEqual(transferred([machine('n-1', { free: full }), machine('n-2', { isPinned: true })]), [
    'n-1',
  ]);
  assert.deepEqual(transferred([machine('n-1')], true), []);
  assert.deepEqual(transferred([machine('n-1', { owner: 'a', free: full })]), []);
  // An owner below its guarantee gets several machines in one round from an owner above its guarantee. The machines
  // that become free soonest come first.
  const inDeficit = [
    {
      owner: 'a',
      price: 0,
      unmetDemand: [{ job: samplePendingJob(), count: 9 }],
      guaranteeDeficit: 11,
      usageAboveGuarantee: 0,
    },
    { owner: 'b', price: 0, unmetDemand: [], guaranteeDeficit: 0, usageAboveGuarantee: 100 },
  ];
  const busy = [30, 10, 20].map((seconds) =>
    machine(`n-${seconds}`, { free: full, busyFor: () => seconds * SECOND }),
  );
  const input = { machines: busy, canReach: () => true, minPriceGap: 0.5, maxDeficitTransfers: 2 };
  const hosts = (ownerDemands: typeof inDeficit): string[] =>
    planTransfers({ ...input, owners: ownerDemands }).transfers.map(({ host }) => host);
  assert.deepEqual(hosts(inDeficit), ['n-10', 'n-20']);
  assert.deepEqual(hosts(inDeficit.map((owner) => ({ ...owner, usageAboveGuarantee: 0 }))), []);
});

// Guards against a team that waits within its guarantee: a guest's unbounded demand took all unused machines, only
// since the name of its owner came first.
test('unused capacity goes to an owner that lacks guaranteed CPUs before an owner with unbounded demand', () => {
  const demand = { price: 0, usageAboveGuarantee: 0 };
  const guest = { job: samplePendingJob({ team: 'guest' }), count: 100_000 };
  const { transfers } = planTransfers({
    owners: [
      { ...demand, owner: 'a', unmetDemand: [guest], guaranteeDeficit: 0 },
      { ...demand, owner: 'b', unmetDemand: [{ job: samplePendingJob(), count: 2 }], guaranteeDeficit: 8 },
    ],
    machines: ['n-1', 'n-2', 'n-3'].map((host) => machine(host, { owner: 'c' })),
    canReach: () => true,
    minPriceGap: 0.5,
    maxDeficitTransfers: 2,
  });
  assert.deepEqual(transfers.map(({ owner }) => owner).sort(), ['a', 'b', 'b']);
});
