/**
 * Jobs without zone constraints are placed, get machines, and are given other owners' machines exactly as before zones
 * were counted for each job: the digests were computed with the sources of commit 9aabe99.
 */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { test } from 'node:test';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { planScaleOut, planTransfers, type TransferCandidate } from '#fleet';
import { type CandidateMachine, type PendingJob, runPricingRound } from '#pricing';
import type { MachineType } from '#wire';
import { samplePendingJob } from './sample-pending-job.js';
import { SAMPLE_PRICING_OPTIONS, sampleCandidateMachine } from './sample-pricing-round.js';

const RUNS = 400;
const ZONES = ['east', 'west', 'north'];
const SIZES: Readonly<Record<string, number>> = { small: 4, large: 16 };
const TYPE_NAMES = Object.keys(SIZES);

/** Seeded random choices. */
class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  readonly next = (): number => (this.generator.next() >>> 0) / 4294967296;

  below(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  pick<T>(choices: readonly T[]): T {
    return choices[this.below(choices.length)]!;
  }

  list<T>(maxLength: number, create: (index: number) => T): T[] {
    return Array.from({ length: 1 + this.below(maxLength) }, (_, i) => create(i));
  }
}

function randomJob(random: Random, index: number): PendingJob {
  const taskCount = 1 + random.below(12);
  return samplePendingJob({
    id: `j-${index}`,
    team: random.pick(['blue', 'green']),
    taskResources: { cpus: random.pick([0.5, 1, 2, 4, 8]), gpus: 0, memGb: random.pick([1, 4, 9]) },
    priority: random.pick([1, 2, 8]),
    acceptanceOrder: index,
    pendingTaskCount: taskCount,
    taskCount,
    isGang: random.below(3) === 0,
    machineTypes: random.pick([null, null, ['small'], ['large'], TYPE_NAMES]),
    allowsSpot: random.below(4) > 0,
  });
}

function randomMachine(random: Random, index: number): CandidateMachine {
  const machineType = random.pick(TYPE_NAMES);
  const cpus = SIZES[machineType]!;
  const total = { cpus, gpus: 0, memGb: 4 * cpus };
  const used = random.below(cpus + 1);
  const busySeconds = random.below(60);
  return sampleCandidateMachine(`n-${index}`, {
    machineType,
    zone: random.pick(ZONES),
    spot: random.below(2) === 0,
    total,
    free: { cpus: cpus - used, gpus: 0, memGb: 4 * (cpus - used) },
    busyFor: () => busySeconds * 1e6,
    nextHeartbeatIn: random.below(4e6),
    cachedImages: random.pick([[], ['img-1']]),
  });
}

function randomType(random: Random, name: string): MachineType {
  const cpus = SIZES[name]!;
  const price = cpus * (1 + random.below(3));
  const zones = ZONES.filter(() => random.below(3) > 0);
  const size = { cpus, gpus: 0, memGb: 4 * cpus, cacheGb: 9, fetchGbPerS: 1, bootS: 30 };
  return { name, ...size, price, spotPrice: price / 4, zones };
}

function placementOf(random: Random): unknown {
  const jobs = random.list(8, (i) => randomJob(random, i));
  const machines = random.list(24, (i) => randomMachine(random, i));
  const teams = ['blue', 'green'].map((name) => ({
    name,
    used: { cpus: 0, gpus: 0, memGb: 0 },
    guaranteed: { cpus: random.below(16), gpus: 0 },
    limit: { cpus: 8 + random.below(80), gpus: 0 },
  }));
  const input = { jobs, machines, teams, prices: new Map<string, never>(), options: SAMPLE_PRICING_OPTIONS };
  const result = runPricingRound({ ...input, random: random.next });
  return [result.starts, [...result.unmetTaskCounts], [...result.reservedHosts].sort()];
}

function scaleOutOf(random: Random): unknown {
  const types = TYPE_NAMES.map((name) => randomType(random, name));
  const backedOffZone = random.pick([null, ...ZONES]);
  const scarceType = random.pick([null, ...TYPE_NAMES]);
  const pendingCapacity = random.list(4, (i) => {
    const { machineType, zone, spot, free } = randomMachine(random, i);
    return { machineType, zone, spot, machineCount: 1 + random.below(4), free };
  });
  const unmetDemand = random.list(6, (i) => {
    const job = randomJob(random, i);
    return { job, count: job.pendingTaskCount, guaranteedCount: random.below(4) };
  });
  const isBackedOff = ({ zone }: { zone: string }): boolean => zone === backedOffZone;
  return planScaleOut({
    types,
    shards: [{ shard: 0, unmetDemand, pendingCapacity, isBackedOff }],
    machinesPerZone: new Map(ZONES.map((zone) => [zone, random.below(5)])),
    maxRequests: { guaranteed: 8, others: 4 },
    isScarce: ({ machineType }) => machineType === scarceType,
  }).requests;
}

function transfersOf(random: Random): unknown {
  const owners = ['a', 'b'].map((owner) => ({
    owner,
    unmetDemand: random.list(3, (i) => {
      const job = randomJob(random, i);
      return { job, count: job.pendingTaskCount };
    }),
    price: random.below(4),
    guaranteeDeficit: random.below(12),
    usageAboveGuarantee: random.below(12),
  }));
  const machines: TransferCandidate[] = random.list(12, (i) => {
    const { host, machineType, zone, spot, free, total, busyFor } = randomMachine(random, i);
    const owner = random.pick(['a', 'b']);
    return { host, machineType, zone, spot, free, total, busyFor, owner, isPinned: random.below(5) === 0 };
  });
  const limits = { minPriceGap: 1, maxDeficitTransfers: 3 };
  const { transfers, unmetDemand } = planTransfers({ owners, machines, canReach: () => true, ...limits });
  const unmet = [...unmetDemand].map(([owner, left]) => [
    owner,
    left.map(({ job, count }) => [job.id, count]),
  ]);
  return [transfers, unmet];
}

function digestOf(plan: (random: Random) => unknown): string {
  const hash = createHash('sha256');
  for (let seed = 1; seed <= RUNS; seed++) hash.update(JSON.stringify(plan(new Random(seed))));
  return hash.digest('hex').slice(0, 16);
}

test('jobs without zone constraints are placed, get machines and transfers as before zones were counted', () => {
  assert.deepEqual([placementOf, scaleOutOf, transfersOf].map(digestOf), [
    'c4e37ccf4f0303c4',
    '81af4a430e83fba3',
    'f5ce081729546df0',
  ]);
});
