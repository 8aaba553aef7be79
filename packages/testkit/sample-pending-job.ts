/** A sample job with pending tasks for tests of pricing, placement and scale-out. */
import type { PendingJob } from '#pricing';

/** Returns a job of nine independent tasks, each of which needs half of a small machine's memory and all of its CPUs. */
export function samplePendingJob(overrides: Partial<PendingJob> = {}): PendingJob {
  return {
    id: 'j-1',
    team: 'blue',
    taskResources: { cpus: 4, gpus: 0, memGb: 8 },
    priority: 2,
    acceptanceOrder: 1,
    pendingTaskCount: 9,
    taskCount: 9,
    isGang: false,
    machineTypes: null,
    zone: null,
    singleZone: false,
    spreadZones: false,
    allowsSpot: true,
    image: 'img-1',
    placedByZone: new Map(),
    ...overrides,
  };
}
