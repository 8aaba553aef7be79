/** Reserves machines for tasks that need more than becomes free at a time. */
import { type Micros, SECOND } from '#wire';
import { RESOURCE_TOLERANCE, fits, noResources } from './resources.js';
import type { CandidateMachine, PendingJob } from './types.js';
import type { ZoneConstraint } from './zone-constraint.js';

/** Part of a machine stands idle for a larger task, or for a gang, no longer than this. */
export const MAX_RESERVATION_TIME: Micros = 30 * SECOND;

/** Tasks of one job that found no machine with enough free capacity. */
export interface ReservationRequest {
  readonly job: PendingJob;
  readonly zoneConstraint: ZoneConstraint;
  /** Tasks; nothing is reserved for none or fewer. */
  readonly count: number;
}

/**
 * Machines that could hold one of the tasks, and already have part of the capacity free, take nothing of lower rank until
 * the rest is free, too. Otherwise small tasks would fill each half as it becomes free, and a task that needs a whole
 * machine would wait for ever on a full fleet. Those that are free soonest come first. Returns the hosts reserved.
 */
export function reserveMachines(
  machines: readonly CandidateMachine[],
  { job, zoneConstraint, count }: ReservationRequest,
): string[] {
  if (count <= 0) return [];
  const partlyFree = machines.filter(
    (machine) =>
      machine.free.cpus > RESOURCE_TOLERANCE &&
      !fits(job.taskResources, machine.free) &&
      fits(job.taskResources, machine.total) &&
      zoneConstraint.allows(machine.zone),
  );
  const soonest = partlyFree
    .map((machine) => ({ machine, busyFor: machine.busyFor() }))
    .filter(({ busyFor }) => busyFor <= MAX_RESERVATION_TIME)
    .sort((a, b) => a.busyFor - b.busyFor)
    .slice(0, count);
  for (const { machine } of soonest) machine.free = noResources();
  return soonest.map(({ machine }) => machine.host);
}
