/** Placement and preemption for jobs with zone constraints. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { SAMPLE_PRICING_OPTIONS, sampleCandidateMachine, samplePendingJob } from '#testkit';
import { planPreemptions } from './preemption.js';
import { runPricingRound } from './pricing-round.js';
import type { CandidateMachine, PendingJob, PricingRoundResult } from './types.js';
import { ZoneConstraint } from './zone-constraint.js';

const ZONES = ['east', 'west', 'north'];
const TASK = { cpus: 2, gpus: 0, memGb: 2 };
const TEAM = {
  name: 'blue',
  used: { cpus: 0, gpus: 0, memGb: 0 },
  guaranteed: { cpus: 0, gpus: 0 },
  limit: { cpus: 1000, gpus: 0 },
};

function runRound(job: PendingJob, machines: CandidateMachine[]): PricingRoundResult {
  const generator = xoroshiro128plus(1);
  const random = (): number => (generator.next() >>> 0) / 4294967296;
  const options = SAMPLE_PRICING_OPTIONS;
  return runPricingRound({ jobs: [job], machines, teams: [TEAM], prices: new Map(), options, random });
}

function count(values: Iterable<string>): Map<string, number> {
  const counts = new Map<string, number>();
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1);
  return counts;
}

const machines = fc.array(
  fc.record({
    machineType: fc.constantFrom('small', 'large'),
    zone: fc.constantFrom(...ZONES),
    freeCpus: fc.constantFrom(0, 2, 4),
    hourlyCostPerCpu: fc.constantFrom(1, 2),
    nextHeartbeatIn: fc.nat(3),
    cachedImages: fc.constantFrom([], ['img-1']),
  }),
  { maxLength: 10 },
);

const jobs = fc
  .record({
    isGang: fc.boolean(),
    constraint: fc.constantFrom({ spreadZones: true }, { singleZone: true }),
    taskCount: fc.integer({ min: 1, max: 7 }),
    placedZone: fc.option(fc.constantFrom(...ZONES)),
  })
  .map(({ isGang, constraint, taskCount, placedZone }) => {
    const isPlaced = !isGang && placedZone !== null && taskCount > 1;
    const placedByZone = new Map(isPlaced ? [[placedZone, 1]] : []);
    const pendingTaskCount = taskCount - placedByZone.size;
    return samplePendingJob({
      ...constraint,
      isGang,
      taskCount,
      pendingTaskCount,
      placedByZone,
      taskResources: TASK,
    });
  });

/** Returns how many tasks of the job could start, by the number of tasks that each zone has free capacity for. */
function startable(job: PendingJob, freeByZone: ReadonlyMap<string, number>): number {
  const { spreadZones, singleZone, isGang, taskCount, pendingTaskCount, placedByZone } = job;
  const usable = [...freeByZone].map(([zone, free]) => {
    if (singleZone && placedByZone.size > 0 && !placedByZone.has(zone)) return 0;
    return spreadZones ? Math.min(free, Math.ceil(taskCount / 2) - (placedByZone.get(zone) ?? 0)) : free;
  });
  const sum = singleZone ? Math.max(0, ...usable) : usable.reduce((total, free) => total + free, 0);
  return isGang && sum < pendingTaskCount ? 0 : Math.min(sum, pendingTaskCount);
}

// Guards against gangs that never start beside capacity for them, and against tasks in zones where they may not be.
test('as many tasks start as the zones with free capacity allow, and in no zone more than may be there', () => {
  fc.assert(
    fc.property(jobs, machines, (job, facts) => {
      const candidates = facts.map(({ freeCpus, ...change }, i) =>
        sampleCandidateMachine(`n-${i}`, { ...change, free: { cpus: freeCpus, gpus: 0, memGb: 16 } }),
      );
      const zoneOf = new Map(candidates.map(({ host, zone }) => [host, zone]));
      const freeByZone = count(facts.flatMap(({ zone, freeCpus }) => Array<string>(freeCpus / 2).fill(zone)));
      const { starts, unmetTaskCounts } = runRound(job, candidates);
      assert.equal(starts.length, startable(job, freeByZone));
      const inZones = count([...job.placedByZone.keys(), ...starts.map(({ host }) => zoneOf.get(host)!)]);
      if (job.singleZone) assert.ok(inZones.size <= 1);
      if (job.spreadZones) assert.ok(Math.max(0, ...inZones.values()) <= Math.ceil(job.taskCount / 2));
      assert.equal(starts.length < job.pendingTaskCount, (unmetTaskCounts.get(job.id) ?? 0) > 0);
    }),
    { seed: 49, numRuns: 2000 },
  );
});

// Guards against demand for tasks that free capacity already takes, or that lie in a zone which may take no more.
test('a spread gang lacks the tasks that no zone has capacity for, with what the zones have counted', () => {
  const gang = samplePendingJob({ isGang: true, spreadZones: true, taskCount: 6, pendingTaskCount: 6 });
  const inEast = [...Array(5).keys()].map((i) => sampleCandidateMachine(`e-${i}`));
  const result = runRound(gang, [...inEast, sampleCandidateMachine('w-1', { zone: 'west' })]);
  assert.equal(result.unmetTaskCounts.get('j-1'), 2);
  assert.deepEqual(
    result.tasksByZone.get('j-1'),
    new Map([
      ['east', 3],
      ['west', 1],
    ]),
  );
});

// Guards against preemptions that free machines which the job can't use.
test('tasks are preempted for a spread job up to what each zone may take, and for a job in one zone in one', () => {
  const hosts = ['east', 'east', 'east', 'west', 'west', 'west'].map((zone, i) => ({ host: `n-${i}`, zone }));
  const freeResources = { cpus: 0, gpus: 0, memGb: 16 };
  const preemptedZones = (change: Partial<PendingJob>): string[] => {
    const job = samplePendingJob({ taskCount: 4, pendingTaskCount: 4, taskResources: TASK, ...change });
    const victims = hosts.map(({ host }) => ({ ...TASK, taskName: host, host, rank: 0 }));
    const preempted = planPreemptions({
      requests: [{ job, zones: new ZoneConstraint(job), count: 4, rank: 2, isWithinGuarantee: false }],
      machines: hosts.map((machine) => ({ ...machine, freeResources, isAllowed: () => true })),
      victims: victims.map((victim) => ({ ...victim, isAboveGuarantee: false, canCheckpoint: true })),
      maxPreemptions: 6,
    });
    return preempted.map(({ host }) => hosts.find((machine) => machine.host === host)!.zone);
  };
  assert.deepEqual(preemptedZones({ spreadZones: true }), ['east', 'east', 'west', 'west']);
  assert.deepEqual(preemptedZones({ singleZone: true }), ['east', 'east', 'east']);
  assert.deepEqual(preemptedZones({ singleZone: true, isGang: true }), []);
});
