import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { SAMPLE_PRICING_OPTIONS, samplePendingJob } from '#testkit';
import { SECOND } from '#wire';
import { planPreemptions, type Victim } from './preemption.js';
import { runPricingRound } from './pricing-round.js';
import type { CandidateMachine, PricingRoundInput, PricingRoundResult, PendingJob } from './types.js';
import { ZoneConstraint } from './zone-constraint.js';

function gang(id: string, size: number, change: Partial<PendingJob> = {}): PendingJob {
  const taskResources = { cpus: 2, gpus: 0, memGb: 4 };
  const tasks = { pendingTaskCount: size, taskCount: size, isGang: true, singleZone: true };
  return samplePendingJob({ id, taskResources, ...tasks, ...change });
}

/** Creates a machine with 4 CPUs. Those that are not free are in use for a long time. */
function machine(host: string, zone: string, freeCpus: number): CandidateMachine {
  return {
    host,
    machineType: 'small',
    zone,
    spot: false,
    cachedImages: [],
    nextHeartbeatIn: 0,
    hourlyCostPerCpu: 1,
    total: { cpus: 4, gpus: 0, memGb: 16 },
    free: { cpus: freeCpus, gpus: 0, memGb: 4 * freeCpus },
    busyFor: () => 1000 * SECOND,
  };
}

function runRound(
  jobs: PendingJob[],
  machines: CandidateMachine[],
  { cpuLimit = 1000, seed = 1 }: { cpuLimit?: number; seed?: number } = {},
): PricingRoundResult {
  const generator = xoroshiro128plus(seed);
  const input: PricingRoundInput = {
    jobs,
    machines,
    prices: new Map(),
    options: SAMPLE_PRICING_OPTIONS,
    teams: [
      {
        name: 'blue',
        used: { cpus: 0, gpus: 0, memGb: 0 },
        guaranteed: { cpus: 0, gpus: 0 },
        limit: { cpus: cpuLimit, gpus: 0 },
      },
    ],
    random: () => (generator.next() >>> 0) / 4294967296,
  };
  return runPricingRound(input);
}

const startsOf = (result: PricingRoundResult, id: string): string[] =>
  result.starts.filter((start) => start.job === id).map((start) => start.host);

test('places a gang as a whole or not at all, in one zone if required, and releases capacity it cannot use', () => {
  const anyGang = fc.record({ size: fc.integer({ min: 1, max: 8 }), singleZone: fc.boolean() });
  const anyMachine = fc.record({ zone: fc.constantFrom('east', 'west'), free: fc.constantFrom(0, 2, 4) });
  fc.assert(
    fc.property(
      fc.array(anyGang, { maxLength: 6 }),
      fc.array(anyMachine, { maxLength: 12 }),
      (gangs, specs) => {
        const jobs = gangs.map(({ size, singleZone }, i) =>
          gang(`j-${i}`, size, { singleZone, acceptanceOrder: i }),
        );
        const machines = specs.map(({ zone, free }, i) => machine(`n-${i}`, zone, free));
        const result = runRound(jobs, machines);
        const used = new Map<string, number>();
        for (const job of jobs) {
          const hosts = startsOf(result, job.id);
          assert.ok(hosts.length === 0 || hosts.length === job.taskCount, 'all or none');
          const zones = new Set(hosts.map((host) => machines.find((m) => m.host === host)?.zone));
          assert.ok(!job.singleZone || zones.size <= 1, 'one zone');
          for (const host of hosts) used.set(host, (used.get(host) ?? 0) + job.taskResources.cpus);
        }
        for (const { host, free } of machines) {
          const freeCpus = result.free.get(host)?.cpus ?? 0;
          const expected = free.cpus - (used.get(host) ?? 0);
          assert.ok(
            result.reservedHosts.has(host) ? freeCpus <= expected : freeCpus === expected,
            `free capacity of ${host}`,
          );
        }
      },
    ),
    { seed: 4, numRuns: 400 },
  );
});

test('prefers the zone with the image cached for a gang if that zone has capacity for all of its tasks', () => {
  const withoutImage = ['a', 'b', 'c'].map((name) => machine(name, 'east', 4));
  const withImage = ['d', 'e'].map((name): CandidateMachine => ({
    ...machine(name, 'west', 4),
    cachedImages: ['img-1'],
  }));
  assert.deepEqual(startsOf(runRound([gang('j-1', 4)], [...withoutImage, ...withImage]), 'j-1').sort(), [
    'd',
    'd',
    'e',
    'e',
  ]);
  assert.equal(startsOf(runRound([gang('j-1', 6)], [...withoutImage, ...withImage]), 'j-1').length, 6);
  assert.equal(startsOf(runRound([gang('j-1', 7)], [...withoutImage, ...withImage]), 'j-1').length, 0);
});

// Guards against slow starts of gangs: a start travels in a heartbeat response, and a gang starts only with its last
// task, so machines whose heartbeats are far apart wait for each other.
test('places a gang on the machines of the best shape whose next heartbeats are due soonest', () => {
  const machines = [900, 0, 800, 100, 700, 950].map((milliseconds, i): CandidateMachine => ({
    ...machine(`n-${i}`, 'east', 4),
    nextHeartbeatIn: milliseconds * 1000,
  }));
  for (let seed = 1; seed < 20; seed++) {
    const hosts = startsOf(runRound([gang('j-1', 4)], machines, { seed }), 'j-1');
    for (const host of hosts) assert.ok(['n-1', 'n-3', 'n-4'].includes(host), host);
  }
});

test('reserves capacity for a gang, also against jobs of lower priority, only if the rest becomes free soon', () => {
  const small = gang('j-2', 1, {
    isGang: false,
    singleZone: false,
    pendingTaskCount: 4,
    taskCount: 4,
    priority: 1,
  });
  const freeSoon = ['a', 'b'].map((name): CandidateMachine => ({
    ...machine(name, 'east', 2),
    busyFor: () => 10 * SECOND,
  }));
  const reserving = runRound([gang('j-1', 4), small], freeSoon);
  assert.deepEqual(reserving.starts, []);
  assert.equal(reserving.unmetTaskCounts.get('j-1'), 2);
  assert.equal(reserving.preferredZones.get('j-1'), 'east');
  const freeLater = [machine('a', 'east', 2), machine('b', 'east', 2)];
  assert.equal(startsOf(runRound([gang('j-1', 4), small], freeLater), 'j-2').length, 2);
});

test('does not place a spread gang if only one zone has capacity, and releases the capacity', () => {
  const machines = ['a', 'b'].map((name) => machine(name, 'east', 4));
  const spread = gang('j-1', 4, { singleZone: false, spreadZones: true });
  const small = gang('j-2', 1, {
    isGang: false,
    singleZone: false,
    pendingTaskCount: 4,
    taskCount: 4,
    priority: 1,
  });
  const result = runRound([spread, small], machines);
  assert.deepEqual(startsOf(result, 'j-1'), []);
  assert.equal(startsOf(result, 'j-2').length, 4);
  const both = [...machines, machine('c', 'west', 4)];
  assert.equal(startsOf(runRound([spread], both), 'j-1').length, 4);
});

test('places one of two competing gangs as a whole instead of a part of each', () => {
  const machines = [machine('a', 'east', 4), machine('b', 'east', 4)];
  const result = runRound(
    [gang('j-1', 3, { acceptanceOrder: 1 }), gang('j-2', 3, { acceptanceOrder: 2 })],
    machines,
  );
  assert.equal(result.starts.length, 3);
});

test('holds back smaller jobs of the team while the remaining limit is too small for a gang of higher priority', () => {
  const machines = ['a', 'b', 'c', 'd'].map((name) => machine(name, 'east', 4));
  const small = gang('j-2', 1, {
    isGang: false,
    singleZone: false,
    pendingTaskCount: 8,
    taskCount: 8,
    priority: 1,
  });
  // A limit of 6 CPUs is too small for four tasks of 2 CPUs. Until it suffices, no job of lower priority starts.
  assert.deepEqual(runRound([gang('j-1', 4), small], machines, { cpuLimit: 6 }).starts, []);
  assert.equal(startsOf(runRound([gang('j-1', 4), small], machines, { cpuLimit: 8 }), 'j-1').length, 4);
});

test('preempts as many tasks as a gang needs, or none', () => {
  const victim = (host: string, cpus: number): Victim => ({
    taskName: `v/${host}`,
    host,
    rank: 0,
    isAboveGuarantee: false,
    canCheckpoint: true,
    cpus,
    gpus: 0,
    memGb: 4,
  });
  const request = { job: gang('j-1', 4), rank: 2, isWithinGuarantee: false };
  const preemptionsFor = (count: number): number =>
    planPreemptions({
      requests: [{ ...request, zones: new ZoneConstraint(request.job), count }],
      machines: ['a', 'b'].map((host) => ({
        host,
        zone: 'east',
        freeResources: { cpus: 0, gpus: 0, memGb: 8 },
        isAllowed: () => true,
      })),
      victims: [victim('a', 2), victim('b', 2)],
      maxPreemptions: 6,
    }).length;
  assert.equal(preemptionsFor(2), 2);
  assert.equal(preemptionsFor(3), 0);
});
