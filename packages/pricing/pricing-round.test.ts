import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { SAMPLE_PRICING_OPTIONS, sampleCandidateMachine, samplePendingJob } from '#testkit';
import { SECOND } from '#wire';
import { fits, subtractResources } from './resources.js';
import { shapeOf } from './shape-pools.js';
import { runPricingRound } from './pricing-round.js';
import type { CandidateMachine, PricingRoundInput, PendingJob, Resources } from './types.js';

function random(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 4294967296;
}

function job(id: string, change: Partial<PendingJob> = {}): PendingJob {
  const taskResources = { cpus: 2, gpus: 0, memGb: 4 };
  return samplePendingJob({ id, taskResources, pendingTaskCount: 1, taskCount: 1, ...change });
}

function input(
  jobs: PendingJob[],
  machines: CandidateMachine[],
  change: Partial<PricingRoundInput> = {},
): PricingRoundInput {
  const team = (name: string): PricingRoundInput['teams'][number] => ({
    name,
    used: { cpus: 0, gpus: 0, memGb: 0 },
    guaranteed: { cpus: 4, gpus: 0 },
    limit: { cpus: 12, gpus: 1 },
  });
  const teams = [team('blue'), team('green')];
  return {
    jobs,
    machines,
    teams,
    prices: new Map(),
    options: SAMPLE_PRICING_OPTIONS,
    random: random(1),
    ...change,
  };
}

/** Generated fields of a job. The type makes the compiler reject a generator that misses a renamed field. */
type JobSpec = Resources &
  Pick<
    PendingJob,
    | 'team'
    | 'priority'
    | 'pendingTaskCount'
    | 'zone'
    | 'machineTypes'
    | 'singleZone'
    | 'spreadZones'
    | 'allowsSpot'
    | 'isGang'
    | 'age'
    | 'isOverdue'
  >;

const anyJob = fc.record<JobSpec>({
  team: fc.constantFrom('blue', 'green'),
  cpus: fc.constantFrom(0.5, 1, 2, 4),
  memGb: fc.constantFrom(1, 4, 15),
  gpus: fc.constantFrom(0, 0, 1),
  priority: fc.integer({ min: 1, max: 20 }),
  pendingTaskCount: fc.integer({ min: 1, max: 9 }),
  zone: fc.constantFrom(null, 'east', 'west'),
  machineTypes: fc.constantFrom(null, ['small'], ['large']),
  singleZone: fc.boolean(),
  spreadZones: fc.boolean(),
  allowsSpot: fc.boolean(),
  isGang: fc.boolean(),
  age: fc.constantFrom(0, 40 * SECOND, 100 * SECOND),
  isOverdue: fc.boolean(),
});
const anyMachine = fc.record({
  zone: fc.constantFrom('east', 'west'),
  large: fc.boolean(),
  spot: fc.boolean(),
  used: fc.constantFrom(0, 1, 3),
});

test('never starts a task against a team limit, a job constraint or the capacity of a machine', () => {
  fc.assert(
    fc.property(
      fc.array(anyJob, { maxLength: 12 }),
      fc.array(anyMachine, { maxLength: 12 }),
      fc.boolean(),
      (jobSpecs, machineSpecs, isHeldTooLong) => {
        const jobs = jobSpecs.map((spec, i) =>
          job(`j-${i}`, {
            ...spec,
            taskResources: { cpus: spec.cpus, gpus: spec.gpus, memGb: spec.memGb },
            acceptanceOrder: i,
            taskCount: spec.pendingTaskCount,
          }),
        );
        const machines = machineSpecs.map((spec, i) => {
          const total = spec.large ? { cpus: 8, gpus: 1, memGb: 64 } : { cpus: 4, gpus: 0, memGb: 16 };
          const free = { ...total, cpus: total.cpus - spec.used };
          return sampleCandidateMachine(`n-${i}`, {
            ...spec,
            machineType: spec.large ? 'large' : 'small',
            total,
            free,
          });
        });
        const teams = input([], []).teams.map((team) => ({ ...team, isHeldTooLong }));
        const result = runPricingRound(input(jobs, machines, { teams }));
        const freeByHost = new Map(machines.map(({ host, free }) => [host, { ...free }]));
        const used = new Map<string, { cpus: number; gpus: number; memGb: number }>();
        const zones = new Map<string, string[]>();
        const count = new Map<string, number>();
        for (const { job: id, host } of result.starts) {
          const started = jobs.find((candidate) => candidate.id === id)!;
          const target = machines.find((candidate) => candidate.host === host)!;
          const free = freeByHost.get(host) ?? { cpus: 0, gpus: 0, memGb: 0 };
          assert.ok(fits(started.taskResources, free), 'machine capacity');
          subtractResources(free, started.taskResources, 1);
          assert.ok(started.machineTypes?.includes(target.machineType) ?? true, 'machine type');
          assert.ok(started.zone === null || started.zone === target.zone, 'zone');
          assert.ok(started.allowsSpot || !target.spot, 'spot machine');
          const usage = used.get(started.team) ?? { cpus: 0, gpus: 0, memGb: 0 };
          subtractResources(usage, started.taskResources, -1);
          used.set(started.team, usage);
          zones.set(id, [...(zones.get(id) ?? []), target.zone]);
          count.set(id, (count.get(id) ?? 0) + 1);
        }
        for (const { cpus, gpus } of used.values())
          assert.ok(cpus <= 12 + 1e-6 && gpus <= 1 + 1e-6, 'team limit');
        for (const { id, singleZone, spreadZones, taskCount, pendingTaskCount } of jobs) {
          const taskZones = zones.get(id) ?? [];
          if (singleZone) assert.ok(new Set(taskZones).size <= 1, 'one zone');
          if (spreadZones) {
            for (const zone of ['east', 'west']) {
              const inZone = taskZones.filter((taskZone) => taskZone === zone).length;
              assert.ok(inZone <= Math.ceil(taskCount / 2), 'spread over zones');
            }
          }
          assert.ok(
            (count.get(id) ?? 0) + (result.unmetTaskCounts.get(id) ?? 0) <= pendingTaskCount,
            'task count',
          );
        }
        for (const { cpu, mem, gpu } of result.prices.values())
          assert.ok(cpu >= 0 && mem >= 0 && gpu >= 0, 'price is not negative');
      },
    ),
    { seed: 8, numRuns: 400 },
  );
});

test('starts prices from the last round, raises them where demand exceeds capacity, and lets them fall to zero', () => {
  const contendingJobs = [job('j-1', { pendingTaskCount: 6, taskCount: 6, priority: 5 })];
  const first = runPricingRound(input(contendingJobs, [sampleCandidateMachine('n-1')])).prices.get('small');
  assert.ok(first && first.cpu > 0);
  const prices = new Map([['small', first]]);
  const next = runPricingRound(
    input(contendingJobs, [sampleCandidateMachine('n-1')], {
      prices,
      options: { ...SAMPLE_PRICING_OPTIONS, passes: 1 },
    }),
  );
  assert.ok(Math.abs((next.prices.get('small')?.cpu ?? 0) - first.cpu) < 1);
  let idle: PricingRoundInput['prices'] = prices;
  for (let i = 0; i < 4; i++)
    idle = runPricingRound(input([], [sampleCandidateMachine('n-1')], { prices: idle })).prices;
  assert.equal(idle.get('small')?.cpu, 0);
});

test('prefers a cheaper shape over an expensive one, and places a task even if its utility is negative', () => {
  const expensive = new Map([[shapeOf('small', false), { cpu: 50, gpu: 0, mem: 0 }]]);
  const options = { ...SAMPLE_PRICING_OPTIONS, passes: 0 };
  const large = sampleCandidateMachine('n-2', { machineType: 'large' });
  const bothShapes = runPricingRound(
    input([job('j-1')], [sampleCandidateMachine('n-1'), large], { prices: expensive, options }),
  );
  assert.deepEqual(bothShapes.starts, [{ job: 'j-1', host: 'n-2' }]);
  const expensiveOnly = runPricingRound(
    input([job('j-1')], [sampleCandidateMachine('n-1')], { prices: expensive, options }),
  );
  assert.deepEqual(expensiveOnly.starts, [{ job: 'j-1', host: 'n-1' }]);
});

test('places the team within its guarantee first, and orders the jobs of one team by priority', () => {
  const halfFreeMachine = [sampleCandidateMachine('n-1', { free: { cpus: 2, gpus: 0, memGb: 16 } })];
  const teams = input([], []).teams.map((team) => ({
    ...team,
    used: { ...team.used, cpus: team.name === 'blue' ? 4 : 0 },
  }));
  const jobs = [job('j-1', { acceptanceOrder: 1 }), job('j-2', { team: 'green', acceptanceOrder: 2 })];
  assert.equal(runPricingRound(input(jobs, halfFreeMachine, { teams })).starts[0]?.job, 'j-2');
  const ranks = [job('j-1', { acceptanceOrder: 1 }), job('j-2', { acceptanceOrder: 2, priority: 4 })];
  assert.equal(runPricingRound(input(ranks, halfFreeMachine)).starts[0]?.job, 'j-2');
});

test('chooses the shape of lower hourly cost if two shapes have equal utility', () => {
  const machines = [
    sampleCandidateMachine('n-1', { hourlyCostPerCpu: 3 }),
    sampleCandidateMachine('n-2', { spot: true, hourlyCostPerCpu: 1 }),
  ];
  for (const order of [machines, [...machines].reverse()]) {
    assert.equal(runPricingRound(input([job('j-1')], order)).starts[0]?.host, 'n-2');
  }
});

test('reserves the half-free machine that becomes free soonest for a task that needs a whole machine', () => {
  const half = { cpus: 2, gpus: 0, memGb: 8 };
  const machines = [
    sampleCandidateMachine('n-1', { free: { ...half }, busyFor: () => 20 * SECOND }),
    sampleCandidateMachine('n-2', { free: { ...half }, busyFor: () => 5 * SECOND }),
    sampleCandidateMachine('n-3', { free: { ...half }, busyFor: () => 300 * SECOND }),
  ];
  const whole = job('j-1', { priority: 4, taskResources: { cpus: 4, gpus: 0, memGb: 14 } });
  const small = job('j-2', { pendingTaskCount: 3 });
  const hosts = (jobs: PendingJob[]): string[] =>
    runPricingRound(input(jobs, machines))
      .starts.map((start) => `${start.job} ${start.host}`)
      .sort();
  assert.deepEqual(hosts([whole, small]), ['j-2 n-1', 'j-2 n-3']);
  // No machine is reserved that is busy for longer than MAX_RESERVATION_TIME, or for a job of lower priority.
  assert.deepEqual(
    hosts([
      { ...whole, pendingTaskCount: 2 },
      { ...small, pendingTaskCount: 1 },
    ]),
    ['j-2 n-3'],
  );
  assert.deepEqual(hosts([{ ...whole, priority: 1 }, small]), ['j-2 n-1', 'j-2 n-2', 'j-2 n-3']);
});

/** Runs 20 rounds while one machine after the other comes up. Returns the prices, and a function to run a round. */
function simulateBoot(jobs: PendingJob[]) {
  let prices: PricingRoundInput['prices'] = new Map();
  const teams = [
    {
      name: 'blue',
      used: { cpus: 0, gpus: 0, memGb: 0 },
      guaranteed: { cpus: 0, gpus: 0 },
      limit: { cpus: 1e4, gpus: 0 },
    },
  ];
  const runRound = (machines: CandidateMachine[]) =>
    runPricingRound({ jobs, machines, teams, prices, options: SAMPLE_PRICING_OPTIONS, random: random(3) });
  for (let up = 1; up <= 20; up++) {
    const busy = { free: { cpus: 0, gpus: 0, memGb: 0 } };
    prices = runRound(
      [...Array(up).keys()].map((i) => sampleCandidateMachine(`n-${i}`, i < up - 1 ? busy : {})),
    ).prices;
  }
  return { prices, runRound };
}

// Guards against prices that run away while a fleet boots: they once reached 171 where no task would pay more than 12,
// and for minutes urgent tasks waited longest.
test('keeps prices near what tasks would pay while a fleet boots, so that priority decides and not task size', () => {
  const whole = { cpus: 4, gpus: 0, memGb: 14 };
  const urgent = job('j-2', {
    taskResources: whole,
    priority: 8,
    pendingTaskCount: 40,
    taskCount: 40,
    acceptanceOrder: 2,
  });
  const normal = job('j-1', { pendingTaskCount: 400, taskCount: 400, acceptanceOrder: 1 });
  const { prices, runRound } = simulateBoot([normal, urgent]);
  const cpu = prices.get('small')?.cpu ?? 0;
  assert.ok(cpu < 3, `CPU price ${cpu}, where no task pays more than 2`);
  assert.equal(runRound([sampleCandidateMachine('n-0')]).starts[0]?.job, 'j-2');
});

// Guards against idle machines: a job of the highest rank was limited to a machine type of which no machine came up.
// It used up its team's whole limit for minutes, and a best-effort job could not use idle small machines.
// See docs/incidents/upgrade-132.md.
test('lets a job without feasible machines hold back its team only for as long as a machine takes to boot', () => {
  const startedJobs = (isOverdue: boolean): string[] => {
    const waitsForLarge = job('j-1', {
      priority: 24,
      pendingTaskCount: 8,
      machineTypes: ['large'],
      isOverdue,
    });
    const runsAnywhere = job('j-2', { priority: 1, acceptanceOrder: 2, pendingTaskCount: 2 });
    const team = {
      name: 'blue',
      used: { cpus: 0, gpus: 0, memGb: 0 },
      guaranteed: { cpus: 8, gpus: 0 },
      limit: { cpus: 16, gpus: 0 },
    };
    const result = runPricingRound({
      jobs: [waitsForLarge, runsAnywhere],
      machines: [sampleCandidateMachine('m-1')],
      teams: [team],
      prices: new Map(),
      options: SAMPLE_PRICING_OPTIONS,
      random: random(1),
    });
    assert.equal(result.unmetTaskCounts.get('j-1'), 8, 'machines for j-1 are still requested');
    return result.starts.map((start) => start.job);
  };
  assert.deepEqual(startedJobs(false), []);
  assert.deepEqual(startedJobs(true), ['j-2', 'j-2']);
});
