import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { SECOND } from '#wire';
import { fits, subtractResources } from './resources.js';
import { shapeOf } from './shape-pools.js';
import { runPricingRound } from './pricing-round.js';
import type { CandidateMachine, PricingRoundInput, PricingOptions, PendingJob, Resources } from './types.js';

const OPTIONS: PricingOptions = {
  passes: 30,
  step: 0.1,
  gpuShapeCost: 0.5,
  gpuTaskWeight: 0.5,
  guaranteeWeight: 0.5,
  maxStarts: 1000,
  choices: 4,
};

function random(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 4294967296;
}

function job(id: string, change: Partial<PendingJob> = {}): PendingJob {
  return {
    id,
    team: 'blue',
    taskResources: { cpus: 2, gpus: 0, memGb: 4 },
    priority: 2,
    acceptanceOrder: 1,
    pendingTaskCount: 1,
    taskCount: 1,
    isGang: false,
    machineTypes: null,
    zone: null,
    singleZone: false,
    spreadZones: false,
    allowsSpot: true,
    image: 'img-1',
    placedByZone: new Map(),
    ...change,
  };
}

function machine(host: string, change: Partial<CandidateMachine> = {}): CandidateMachine {
  const total = { cpus: 4, gpus: 0, memGb: 16 };
  return {
    host,
    machineType: 'small',
    zone: 'east',
    spot: false,
    total,
    free: { ...total },
    cachedImages: [],
    busyFor: () => Infinity,
    nextHeartbeatIn: 0,
    hourlyCostPerCpu: 1,
    ...change,
  };
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
  return { jobs, machines, teams, prices: new Map(), options: OPTIONS, random: random(1), ...change };
}

/** Typed, so that a renamed field can't drop out of what is generated. */
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
});
const anyMachine = fc.record({
  zone: fc.constantFrom('east', 'west'),
  large: fc.boolean(),
  spot: fc.boolean(),
  used: fc.constantFrom(0, 1, 3),
});

test('no start violates a limit, a constraint or the capacity of a machine, whatever is pending', () => {
  fc.assert(
    fc.property(
      fc.array(anyJob, { maxLength: 12 }),
      fc.array(anyMachine, { maxLength: 12 }),
      (jobSpecs, machineSpecs) => {
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
          return machine(`n-${i}`, {
            ...spec,
            machineType: spec.large ? 'large' : 'small',
            total,
            free,
          });
        });
        const result = runPricingRound(input(jobs, machines));
        const freeByHost = new Map(machines.map(({ host, free }) => [host, { ...free }]));
        const used = new Map<string, { cpus: number; gpus: number; memGb: number }>();
        const zones = new Map<string, string[]>();
        const count = new Map<string, number>();
        for (const { job: id, host } of result.starts) {
          const started = jobs.find((candidate) => candidate.id === id)!;
          const target = machines.find((candidate) => candidate.host === host)!;
          const free = freeByHost.get(host) ?? { cpus: 0, gpus: 0, memGb: 0 };
          assert.ok(fits(started.taskResources, free), 'capacity');
          subtractResources(free, started.taskResources, 1);
          assert.ok(started.machineTypes?.includes(target.machineType) ?? true, 'type');
          assert.ok(started.zone === null || started.zone === target.zone, 'zone');
          assert.ok(started.allowsSpot || !target.spot, 'kind');
          const usage = used.get(started.team) ?? { cpus: 0, gpus: 0, memGb: 0 };
          subtractResources(usage, started.taskResources, -1);
          used.set(started.team, usage);
          zones.set(id, [...(zones.get(id) ?? []), target.zone]);
          count.set(id, (count.get(id) ?? 0) + 1);
        }
        for (const { cpus, gpus } of used.values()) assert.ok(cpus <= 12 + 1e-6 && gpus <= 1 + 1e-6, 'limit');
        for (const { id, singleZone, spreadZones, taskCount, pendingTaskCount } of jobs) {
          const taskZones = zones.get(id) ?? [];
          if (singleZone) assert.ok(new Set(taskZones).size <= 1, 'one zone');
          if (spreadZones) {
            for (const zone of ['east', 'west']) {
              const inZone = taskZones.filter((taskZone) => taskZone === zone).length;
              assert.ok(inZone <= Math.ceil(taskCount / 2), 'spread');
            }
          }
          assert.ok(
            (count.get(id) ?? 0) + (result.unmetTaskCounts.get(id) ?? 0) <= pendingTaskCount,
            'count',
          );
        }
        for (const { cpu, mem, gpu } of result.prices.values())
          assert.ok(cpu >= 0 && mem >= 0 && gpu >= 0, 'price');
      },
    ),
    { seed: 8, numRuns: 400 },
  );
});

test('prices start from the last round, rise where demand exceeds capacity, and fall back to zero', () => {
  const contendingJobs = [job('j-1', { pendingTaskCount: 6, taskCount: 6, priority: 5 })];
  const first = runPricingRound(input(contendingJobs, [machine('n-1')])).prices.get('small');
  assert.ok(first && first.cpu > 0);
  const prices = new Map([['small', first]]);
  const next = runPricingRound(
    input(contendingJobs, [machine('n-1')], { prices, options: { ...OPTIONS, passes: 1 } }),
  );
  assert.ok(Math.abs((next.prices.get('small')?.cpu ?? 0) - first.cpu) < 1);
  let idle: PricingRoundInput['prices'] = prices;
  for (let i = 0; i < 4; i++) idle = runPricingRound(input([], [machine('n-1')], { prices: idle })).prices;
  assert.equal(idle.get('small')?.cpu, 0);
});

test('an expensive shape is passed over for the next best, and even negative utility is placed', () => {
  const expensive = new Map([[shapeOf('small', false), { cpu: 50, gpu: 0, mem: 0 }]]);
  const options = { ...OPTIONS, passes: 0 };
  const large = machine('n-2', { machineType: 'large' });
  const both = runPricingRound(input([job('j-1')], [machine('n-1'), large], { prices: expensive, options }));
  assert.deepEqual(both.starts, [{ job: 'j-1', host: 'n-2' }]);
  const only = runPricingRound(input([job('j-1')], [machine('n-1')], { prices: expensive, options }));
  assert.deepEqual(only.starts, [{ job: 'j-1', host: 'n-1' }]);
});

test('of two teams the one within its guarantee is placed first, and rank decides within a team', () => {
  const one = [machine('n-1', { free: { cpus: 2, gpus: 0, memGb: 16 } })];
  const teams = input([], []).teams.map((team) => ({
    ...team,
    used: { ...team.used, cpus: team.name === 'blue' ? 4 : 0 },
  }));
  const jobs = [job('j-1', { acceptanceOrder: 1 }), job('j-2', { team: 'green', acceptanceOrder: 2 })];
  assert.equal(runPricingRound(input(jobs, one, { teams })).starts[0]?.job, 'j-2');
  const ranks = [job('j-1', { acceptanceOrder: 1 }), job('j-2', { acceptanceOrder: 2, priority: 4 })];
  assert.equal(runPricingRound(input(ranks, one)).starts[0]?.job, 'j-2');
});

test('of shapes of equal utility the one of lower hourly cost is taken', () => {
  const machines = [
    machine('n-1', { hourlyCostPerCpu: 3 }),
    machine('n-2', { spot: true, hourlyCostPerCpu: 1 }),
  ];
  for (const order of [machines, [...machines].reverse()]) {
    assert.equal(runPricingRound(input([job('j-1')], order)).starts[0]?.host, 'n-2');
  }
});

test('for a task that needs a whole machine the half-free one that is free soonest is reserved', () => {
  const half = { cpus: 2, gpus: 0, memGb: 8 };
  const machines = [
    machine('n-1', { free: { ...half }, busyFor: () => 20 * SECOND }),
    machine('n-2', { free: { ...half }, busyFor: () => 5 * SECOND }),
    machine('n-3', { free: { ...half }, busyFor: () => 300 * SECOND }),
  ];
  const whole = job('j-1', { priority: 4, taskResources: { cpus: 4, gpus: 0, memGb: 14 } });
  const small = job('j-2', { pendingTaskCount: 3 });
  const hosts = (jobs: PendingJob[]): string[] =>
    runPricingRound(input(jobs, machines))
      .starts.map((start) => `${start.job} ${start.host}`)
      .sort();
  assert.deepEqual(hosts([whole, small]), ['j-2 n-1', 'j-2 n-3']);
  // None is reserved beyond the longest reservation, nor for what ranks lower.
  assert.deepEqual(
    hosts([
      { ...whole, pendingTaskCount: 2 },
      { ...small, pendingTaskCount: 1 },
    ]),
    ['j-2 n-3'],
  );
  assert.deepEqual(hosts([{ ...whole, priority: 1 }, small]), ['j-2 n-1', 'j-2 n-2', 'j-2 n-3']);
});

/** A round of an owner whose machines have just come up one by one, while far more is pending. */
function afterBoot(jobs: PendingJob[]) {
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
    runPricingRound({ jobs, machines, teams, prices, options: OPTIONS, random: random(3) });
  for (let up = 1; up <= 20; up++) {
    const busy = { free: { cpus: 0, gpus: 0, memGb: 0 } };
    prices = runRound([...Array(up).keys()].map((i) => machine(`n-${i}`, i < up - 1 ? busy : {}))).prices;
  }
  return { prices, runRound };
}

// Once prices stood at 171 while nobody would pay more than 12, and urgent tasks waited longest for minutes.
test('prices stay near what tasks would pay while a fleet boots, so that rank decides and not size', () => {
  const whole = { cpus: 4, gpus: 0, memGb: 14 };
  const urgent = job('j-2', {
    taskResources: whole,
    priority: 8,
    pendingTaskCount: 40,
    taskCount: 40,
    acceptanceOrder: 2,
  });
  const normal = job('j-1', { pendingTaskCount: 400, taskCount: 400, acceptanceOrder: 1 });
  const { prices, runRound } = afterBoot([normal, urgent]);
  const cpu = prices.get('small')?.cpu ?? 0;
  assert.ok(cpu < 3, `${cpu} a CPU, where 2 is the most that anyone pays`);
  assert.equal(runRound([machine('n-0')]).starts[0]?.job, 'j-2');
});

// A job of highest rank that only machines of a type that never came could take held its team's whole limit for
// minutes, while small machines stood idle beside a best-effort job: docs/incidents/upgrade-132.md.
test('a job without feasible machines holds its team back only for as long as a machine takes to boot', () => {
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
      machines: [machine('m-1')],
      teams: [team],
      prices: new Map(),
      options: OPTIONS,
      random: random(1),
    });
    assert.equal(result.unmetTaskCounts.get('j-1'), 8, 'machines for it are still requested');
    return result.starts.map((start) => start.job);
  };
  assert.deepEqual(startedJobs(false), []);
  assert.deepEqual(startedJobs(true), ['j-2', 'j-2']);
});
