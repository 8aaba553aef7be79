import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { SAMPLE_PRICING_OPTIONS, sampleCandidateMachine, samplePendingJob } from '#testkit';
import { SECOND } from '#wire';
import { MAX_HOLD_TIME } from './held-jobs.js';
import { PlaceableCounter } from './placeable-tasks.js';
import { runPricingRound } from './pricing-round.js';
import { countFitting, subtractResources } from './resources.js';
import { type Segment, segmentsWithinLimits } from './segments.js';
import { poolByShape } from './shape-pools.js';
import type { CandidateMachine, PendingJob, PricingRoundInput, TeamUsage } from './types.js';

const LIMIT_CPUS = 24;
/** Older than jobs that provisional claims hold back. */
const WAITING = { age: 31 * SECOND, isOverdue: false };

function machine(host: string, change: Partial<CandidateMachine> = {}): CandidateMachine {
  return sampleCandidateMachine(host, { spot: true, ...change });
}

function inputOf(
  jobs: PendingJob[],
  machines: CandidateMachine[],
  team: Partial<TeamUsage> = {},
): PricingRoundInput {
  const generator = xoroshiro128plus(1);
  const blue = {
    name: 'blue',
    used: { cpus: 0, gpus: 0, memGb: 0 },
    guaranteed: { cpus: 8, gpus: 0 },
    limit: { cpus: LIMIT_CPUS, gpus: 0 },
    ...team,
  };
  return {
    jobs,
    machines,
    teams: [blue],
    prices: new Map(),
    options: SAMPLE_PRICING_OPTIONS,
    random: () => (generator.next() >>> 0) / 4294967296,
  };
}

function startsOf(input: PricingRoundInput, id: string): number {
  return runPricingRound(input).starts.filter(({ job }) => job === id).length;
}

/** Jobs of which no task can be placed on empty `small` spot machines in the east. */
const UNPLACEABLE: Readonly<Record<string, Partial<PendingJob>>> = {
  'zone without machines': { zone: 'west' },
  'machine type without machines': { machineTypes: ['large'] },
  'no machines but spot machines': { allowsSpot: false },
  'gang larger than the machines': { isGang: true, pendingTaskCount: 6, taskCount: 6 },
  'spread gang in one zone': { isGang: true, spreadZones: true, pendingTaskCount: 3, taskCount: 3 },
  'rest of a single-zone job in another zone': { singleZone: true, placedByZone: new Map([['west', 1]]) },
  'rest of a spread job': { spreadZones: true, taskCount: 12, placedByZone: new Map([['east', 6]]) },
};

// Guards against idle machines: a job of higher rank bound to a zone without machines used up its team's limit in every
// round, and a later job waited for minutes beside an empty machine (review/4).
test('a job that cannot be placed, for whatever reason, does not hold back a waiting job that can', () => {
  for (const [reason, change] of Object.entries(UNPLACEABLE)) {
    for (const isOverdue of [false, true]) {
      const unplaceable = samplePendingJob({ priority: 24, isOverdue, ...change });
      const waiting = samplePendingJob({ id: 'j-2', acceptanceOrder: 2, pendingTaskCount: 3, ...WAITING });
      const machines = ['a', 'b', 'c'].map((host) => machine(host));
      assert.equal(startsOf(inputOf([unplaceable, waiting], machines), 'j-2'), 3, reason);
    }
  }
});

test('a job whose machines are full keeps one task of the limit for when they are free, and no more', () => {
  const full = machine('a', { zone: 'west', free: { cpus: 0, gpus: 0, memGb: 0 } });
  const machines = [full, ...['b', 'c', 'd', 'e', 'f', 'g'].map((host) => machine(host))];
  const bound = samplePendingJob({ priority: 24, zone: 'west', isOverdue: true });
  const second = { ...bound, id: 'j-3', priority: 23 };
  const waiting = samplePendingJob({ id: 'j-2', acceptanceOrder: 2, ...WAITING });
  assert.equal(startsOf(inputOf([bound, second, waiting], machines), 'j-2'), LIMIT_CPUS / 4 - 1);
});

// Guards against starvation: once small tasks have used up the limit, they would take each CPU that becomes free.
test('a large task or a gang that only lacks its share of the limit holds back smaller tasks, for a bounded time', () => {
  const gang = { isGang: true, pendingTaskCount: 5, taskCount: 5 };
  for (const [change, usedCpus] of [
    [{}, 21],
    [gang, 8],
  ] as const) {
    const large = samplePendingJob({ priority: 3, isOverdue: true, ...change });
    const smallResources = { cpus: 1, gpus: 0, memGb: 1 };
    const small = samplePendingJob({ id: 'j-2', taskResources: smallResources, age: MAX_HOLD_TIME });
    const machines = ['a', 'b', 'c', 'd', 'e'].map((host) => machine(host));
    const used = { cpus: usedCpus, gpus: 0, memGb: 0 };
    const held = runPricingRound(inputOf([large, small], machines, { used }));
    assert.deepEqual(held.starts, []);
    assert.deepEqual([...held.heldTeams], ['blue']);
    const released = runPricingRound(inputOf([large, small], machines, { used, isHeldTooLong: true }));
    assert.deepEqual(
      released.starts.map(({ job }) => job),
      ['j-2'],
    );
    assert.deepEqual([...released.heldTeams], []);
    const drained = inputOf([large, small], machines, { used: { cpus: 4, gpus: 0, memGb: 0 } });
    assert.ok(startsOf(drained, 'j-1') > 0, 'it starts before the small tasks once its share is free');
  }
});

test('a held job without capacity counts as unmet demand only once it is released, and within the limit', () => {
  const gang = samplePendingJob({ priority: 3, isGang: true, pendingTaskCount: 5, taskCount: 5 });
  const bound = { zone: 'west', age: MAX_HOLD_TIME, acceptanceOrder: 2 };
  const held = ['j-2', 'j-3', 'j-4'].map((id) => samplePendingJob({ id, ...bound }));
  const machines = ['a', 'b', 'c', 'd', 'e'].map((host) => machine(host));
  const unmetJobs = (isHeldTooLong: boolean): string[] => {
    const team = { used: { cpus: 16, gpus: 0, memGb: 0 }, isHeldTooLong };
    return [...runPricingRound(inputOf([gang, ...held], machines, team)).unmetTaskCounts.keys()];
  };
  assert.deepEqual(unmetJobs(false), []);
  assert.deepEqual(unmetJobs(true), ['j-2', 'j-3']);
});

/** Splits the tasks of one team as if all of them could be placed: each job uses up the limit by rank. */
function referenceSegments(jobs: readonly PendingJob[], team: TeamUsage): Segment[] {
  const left = { cpus: team.limit.cpus - team.used.cpus, gpus: 0, memGb: Infinity };
  const guarantee = { cpus: team.guaranteed.cpus - team.used.cpus, gpus: 0, memGb: Infinity };
  const bonus = 0.5 * Math.max(1, ...jobs.map(({ priority }) => priority));
  const ranked = [...jobs].sort((a, b) => b.priority - a.priority || a.acceptanceOrder - b.acceptanceOrder);
  return ranked.flatMap((job) => {
    const fitting = (bound: typeof left, max: number): number => {
      const count = Math.min(max, countFitting(job.taskResources, bound));
      return job.isGang && count < job.pendingTaskCount ? 0 : count;
    };
    const count = fitting(left, job.pendingTaskCount);
    const guaranteed = fitting(guarantee, count);
    subtractResources(left, job.taskResources, job.isGang ? job.pendingTaskCount : count);
    subtractResources(guarantee, job.taskResources, count);
    return [
      { job, priority: job.priority + bonus, count: guaranteed },
      { job, priority: job.priority, count: count - guaranteed },
    ].filter((segment) => segment.count > 0);
  });
}

test('splits tasks as by rank alone where every job can be placed and no task lacks its share of the limit', () => {
  const anyJob = fc.record({
    cpus: fc.constantFrom(0.5, 1, 2, 4),
    priority: fc.integer({ min: 1, max: 20 }),
    pendingTaskCount: fc.integer({ min: 1, max: 9 }),
    zone: fc.constantFrom(null, 'east', 'west'),
    isGang: fc.boolean(),
    isOverdue: fc.boolean(),
    age: fc.constantFrom(0, 40 * SECOND),
  });
  const machines = [...Array(24).keys()].map((i) => machine(`m-${i}`, { zone: i % 2 ? 'east' : 'west' }));
  let comparedCount = 0;
  fc.assert(
    fc.property(
      fc.array(anyJob, { maxLength: 8 }),
      fc.integer({ min: 0, max: LIMIT_CPUS }),
      (specs, cpus) => {
        const jobs = specs.map(({ cpus: taskCpus, ...spec }, i) =>
          samplePendingJob({
            ...spec,
            id: `j-${i}`,
            acceptanceOrder: i,
            taskCount: spec.pendingTaskCount,
            taskResources: { cpus: taskCpus, gpus: 0, memGb: 1 },
          }),
        );
        const input = inputOf(jobs, machines, { used: { cpus, gpus: 0, memGb: 0 } });
        const pools = poolByShape(machines, new Map());
        const counter = new PlaceableCounter(pools);
        const expected = referenceSegments(jobs, input.teams[0]!);
        const placed = new Set(expected.map(({ job }) => job.id));
        for (const job of jobs) {
          fc.pre(counter.count(job).now === job.pendingTaskCount);
          // A large task without its share holds back smaller ones, which is new.
          fc.pre(job.isGang || placed.has(job.id));
        }
        comparedCount++;
        assert.deepEqual(segmentsWithinLimits(input, pools), expected);
      },
    ),
    { seed: 12, numRuns: 400 },
  );
  assert.ok(comparedCount > 300, `${comparedCount} inputs compared`);
});
