import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type PendingJob, ZoneConstraint } from '#pricing';
import { samplePendingJob } from '#testkit';
import { allocatePending, countFittingPending, type PendingCapacity } from './pending-capacity.js';

function job(cpus: number): PendingJob {
  return samplePendingJob({ taskResources: { cpus, gpus: 0, memGb: 1 } });
}

function machines(machineCount: number, change: Partial<PendingCapacity> = {}): PendingCapacity {
  const free = { cpus: 4, gpus: 0, memGb: 16 };
  return { machineType: 'small', zone: 'east', spot: true, machineCount, free, ...change };
}

/** Returns the free CPUs of each single machine. */
function freeCpus(pending: readonly PendingCapacity[]): number[] {
  return pending.flatMap(({ machineCount, free }) => Array<number>(machineCount).fill(free.cpus));
}

test('allocates a counted group as if its machines were listed one by one', () => {
  for (const [taskCpus, count] of [
    [1, 5],
    [1, 8],
    [3, 2],
    [4, 30],
    [0, 7],
  ] as const) {
    const counted = [machines(3), machines(2, { zone: 'west' })];
    const listed = [1, 1, 1].map((one) => machines(one));
    listed.push(machines(1, { zone: 'west' }), machines(1, { zone: 'west' }));
    const demand = job(taskCpus);
    const allocate = (pending: PendingCapacity[]): number =>
      allocatePending(pending, demand, { count, zones: new ZoneConstraint(demand) });
    assert.equal(allocate(counted), allocate(listed));
    assert.deepEqual(freeCpus(counted), freeCpus(listed), `${count} tasks of ${taskCpus} CPUs`);
    assert.equal(countFittingPending(counted, job(2)), countFittingPending(listed, job(2)));
  }
});

// Guards against memory that grows with the machines asked for: a group must not be split once for each machine.
test('the number of groups grows with the demands, not with the machines', () => {
  const pending = [machines(100_000)];
  const zones = new ZoneConstraint(job(3));
  for (let demand = 0; demand < 10; demand++)
    allocatePending(pending, job(3), { count: 5000 + demand, zones });
  assert.ok(pending.length <= 21, `${pending.length} groups`);
  assert.equal(
    pending.reduce((sum, { machineCount }) => sum + machineCount, 0),
    100_000,
  );
});
