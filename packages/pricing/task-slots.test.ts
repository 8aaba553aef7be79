/** The number of tasks of a machine is limited like its other resources, by what a heartbeat can report. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { SAMPLE_PRICING_OPTIONS, sampleCandidateMachine, samplePendingJob } from '#testkit';
import { planPreemptions } from './preemption.js';
import { runPricingRound } from './pricing-round.js';
import type { CandidateMachine, PendingJob, PricingRoundResult, Resources } from './types.js';
import { ZoneConstraint } from './zone-constraint.js';

const TINY = { cpus: 0.01, gpus: 0, memGb: 0.01 };

function machine(host: string, change: Partial<Resources>): CandidateMachine {
  const total = { cpus: 4, gpus: 0, memGb: 16, ...change };
  return sampleCandidateMachine(host, { total, free: { ...total } });
}

function runRound(jobs: PendingJob[], machines: CandidateMachine[], seed = 1): PricingRoundResult {
  const generator = xoroshiro128plus(seed);
  const used = { cpus: 0, gpus: 0, memGb: 0 };
  const guaranteed = { cpus: 4, gpus: 0 };
  return runPricingRound({
    jobs,
    machines,
    prices: new Map(),
    options: SAMPLE_PRICING_OPTIONS,
    teams: [{ name: 'blue', used, guaranteed, limit: { cpus: 1000, gpus: 0 } }],
    random: () => (generator.next() >>> 0) / 4294967296,
  });
}

function startsPerHost({ starts }: PricingRoundResult): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { host } of starts) counts[host] = (counts[host] ?? 0) + 1;
  return counts;
}

// Guards against machines with so many small tasks that no node accepts their heartbeats, so that all tasks are lost.
test('a machine takes no more tasks than its heartbeats can report, however small they are', () => {
  const jobs = [samplePendingJob({ taskResources: TINY, pendingTaskCount: 50, taskCount: 50 })];
  const machines = ['n-1', 'n-2'].map((host) => machine(host, { taskSlots: 20 }));
  const result = runRound(jobs, machines);
  assert.deepEqual(startsPerHost(result), { 'n-1': 20, 'n-2': 20 });
  assert.equal(result.unmetTaskCounts.get('j-1'), 10);
});

test('a gang of small tasks is spread over as many machines as their heartbeats need, or is not placed', () => {
  const gang = { taskResources: TINY, pendingTaskCount: 30, taskCount: 30, isGang: true };
  const machines = ['n-1', 'n-2'].map((host) => machine(host, { taskSlots: 20 }));
  assert.equal(runRound([samplePendingJob(gang)], machines).starts.length, 30);
  assert.equal(runRound([samplePendingJob({ ...gang, pendingTaskCount: 41 })], machines).starts.length, 0);
});

test('a small task is preempted where only the number of tasks keeps another one from starting', () => {
  const victim = { taskName: 'a/0', host: 'n-1', rank: 0, isAboveGuarantee: false, canCheckpoint: true };
  const freeResources = { cpus: 4, gpus: 0, memGb: 16, taskSlots: 0 };
  const job = samplePendingJob();
  const preempted = planPreemptions({
    requests: [{ job, zones: new ZoneConstraint(job), count: 1, rank: 2, isWithinGuarantee: false }],
    machines: [{ host: 'n-1', zone: 'east', freeResources, isAllowed: () => true }],
    victims: [{ ...victim, ...TINY }],
    maxPreemptions: 5,
  });
  assert.deepEqual(
    preempted.map(({ taskName }) => taskName),
    ['a/0'],
  );
});

test('resources of machines that may take no further task do not count as supply', () => {
  const jobs = [samplePendingJob({ taskResources: TINY, pendingTaskCount: 9, taskCount: 9 })];
  const price = (taskSlots: number): number => {
    const candidate = machine('n-1', { taskSlots: 20 });
    candidate.free.taskSlots = taskSlots;
    return runRound(jobs, [candidate]).prices.get('small')?.cpu ?? 0;
  };
  assert.ok(price(0) > price(20), `${price(0)} and ${price(20)}`);
});

const anyJob = fc.record({
  cpus: fc.constantFrom(0.5, 1, 2, 4),
  memGb: fc.constantFrom(1, 4, 15),
  priority: fc.integer({ min: 1, max: 20 }),
  count: fc.integer({ min: 1, max: 9 }),
  isGang: fc.boolean(),
});

test('starts and prices are the same as without the limit while it is not reached', () => {
  fc.assert(
    fc.property(
      fc.array(anyJob, { maxLength: 10 }),
      fc.array(fc.constantFrom(4, 8, 64), { maxLength: 10 }),
      fc.integer(),
      (specs, sizes, seed) => {
        const jobs = (): PendingJob[] =>
          specs.map(({ cpus, memGb, priority, count, isGang }, i) =>
            samplePendingJob({
              id: `j-${i}`,
              taskResources: { cpus, gpus: 0, memGb },
              priority,
              acceptanceOrder: i,
              pendingTaskCount: count,
              taskCount: count,
              isGang,
            }),
          );
        const round = (limit: Partial<Resources>): PricingRoundResult =>
          runRound(
            jobs(),
            sizes.map((cpus, i) => machine(`n-${i}`, { cpus, memGb: 4 * cpus, ...limit })),
            seed,
          );
        const unlimited = round({});
        const limited = round({ taskSlots: 200 });
        assert.deepEqual(limited.starts, unlimited.starts);
        assert.deepEqual(limited.prices, unlimited.prices);
        assert.deepEqual(limited.unmetTaskCounts, unlimited.unmetTaskCounts);
      },
    ),
  );
});
