/** A sample job for tests. */
import type { JobSpec } from '#wire';

/** Returns the specification of a small job, with the given fields replaced. */
export function sampleJob(id: string, overrides: Partial<JobSpec> = {}): JobSpec {
  return {
    id,
    jobClass: 'batch',
    team: 'blue',
    shape: 'array',
    rank: 'normal',
    taskCount: 3,
    cpus: 2,
    gpus: 0,
    memGb: 4,
    image: 'img-1',
    imageGb: 1,
    machineTypes: null,
    zone: null,
    singleZone: false,
    spreadZones: false,
    allowsSpot: true,
    estimateS: 10,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...overrides,
  };
}
