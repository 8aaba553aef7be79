import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { sampleJob } from '#testkit';
import type { JobSpec, MachineType } from '#wire';
import { infeasibleReason, placeOnUnlimitedMachines } from './job-feasibility.js';

const TEAMS = [{ name: 'blue', cpus: 4, cpusMax: 12, gpus: 0, gpusMax: 2 }];
const ZONES = ['east', 'west', 'north'];

const machineType = (name: string): fc.Arbitrary<MachineType> =>
  fc
    .record({
      cpus: fc.constantFrom(1, 4, 8),
      gpus: fc.constantFrom(0, 1),
      memGb: fc.constantFrom(2, 16),
      zones: fc.subarray(ZONES),
    })
    .map((size) => ({ name, cacheGb: 9, fetchGbPerS: 1, price: 3, spotPrice: 1, bootS: 30, ...size }));

const typeLists = fc
  .tuple(machineType('t0'), machineType('t1'))
  .chain((types) => fc.subarray(types, { minLength: 1 }));

const jobs: fc.Arbitrary<JobSpec> = fc
  .record({
    shape: fc.constantFrom('array' as const, 'gang' as const),
    taskCount: fc.integer({ min: 1, max: 4 }),
    cpus: fc.constantFrom(0.5, 4, 7),
    gpus: fc.constantFrom(0, 1),
    memGb: fc.constantFrom(1, 12),
    machineTypes: fc.option(fc.subarray(['t0', 't1', 'unlisted'])),
    zone: fc.option(fc.constantFrom(...ZONES, 'nowhere'), { freq: 2 }),
    singleZone: fc.boolean(),
    spreadZones: fc.boolean(),
    allowsSpot: fc.boolean(),
  })
  .map((fields) => sampleJob('j-1', fields));

/** A place for one task: a machine of the type in the zone, with no other task on it. */
interface Place {
  readonly type: MachineType;
  readonly zone: string;
}

/** True if the pages allow the next task of the job at the place while the others are at theirs. */
function isAllowed(job: JobSpec, others: readonly Place[], { type, zone }: Place): boolean {
  const inZone = others.filter((other) => other.zone === zone).length + 1;
  return (
    (job.machineTypes === null || job.machineTypes.includes(type.name)) &&
    (job.zone === null || job.zone === zone) &&
    (!job.singleZone || inZone === others.length + 1) &&
    (!job.spreadZones || inZone <= Math.ceil(job.taskCount / 2)) &&
    job.cpus <= type.cpus &&
    job.gpus <= type.gpus &&
    job.memGb <= type.memGb &&
    job.cpus * (others.length + 1) <= TEAMS[0]!.cpusMax &&
    job.gpus * (others.length + 1) <= TEAMS[0]!.gpusMax
  );
}

/** Tries all places for the tasks that have to run at the same time: all of a gang, one of an array. */
function canRun(job: JobSpec, places: readonly Place[], placed: readonly Place[] = []): boolean {
  if (placed.length === (job.shape === 'gang' ? job.taskCount : 1)) return true;
  return places.some((place) => isAllowed(job, placed, place) && canRun(job, places, [...placed, place]));
}

// Guards against accepted jobs that never run (review/6), and against jobs that are refused although they could run.
test('a job is refused if and only if an exhaustive search finds no way to run it', () => {
  fc.assert(
    fc.property(jobs, typeLists, (job, machineTypes) => {
      const places = machineTypes.flatMap((type) => type.zones.map((zone) => ({ type, zone })));
      const reason = infeasibleReason(job, { teams: TEAMS, machineTypes });
      assert.equal(reason === null, canRun(job, places), reason ?? 'accepted');
    }),
    { seed: 49, numRuns: 4000 },
  );
});

test('the placement on unlimited machines keeps to the constraints of the job', () => {
  fc.assert(
    fc.property(jobs, typeLists, (job, machineTypes) => {
      const placement = placeOnUnlimitedMachines(job, { teams: TEAMS, machineTypes });
      if ('field' in placement) return;
      const placed: Place[] = [];
      for (const { machineType: name, zone, count } of placement.tasks) {
        const type = machineTypes.find((candidate) => candidate.name === name)!;
        for (let i = 0; i < count; i++) {
          assert.ok(isAllowed(job, placed, { type, zone }));
          placed.push({ type, zone });
        }
      }
      assert.equal(placed.length, job.shape === 'gang' ? job.taskCount : 1);
    }),
    { seed: 50, numRuns: 2000 },
  );
});

test('a machine type that is offered in no zone is named as the reason', () => {
  const [type] = fc.sample(machineType('t0'), { seed: 1, numRuns: 1 });
  const machineTypes = [{ ...type!, zones: [] }];
  const placement = placeOnUnlimitedMachines(sampleJob('j-1'), { teams: TEAMS, machineTypes });
  assert.ok('field' in placement && placement.field === 'machineTypes');
});
