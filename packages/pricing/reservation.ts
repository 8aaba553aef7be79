/** Reserves partly free machines for tasks that need more capacity than usually becomes free at once. */
import { type Micros, SECOND } from '#wire';
import { RESOURCE_TOLERANCE, fits, noResources } from './resources.js';
import type { CandidateMachine, PendingJob } from './types.js';
import type { ZoneConstraint } from './zone-constraint.js';

/** Maximum expected time for which part of a machine may stay idle for a larger task or a gang. */
export const MAX_RESERVATION_TIME: Micros = 30 * SECOND;

/** Tasks of one job for which no machine has enough free capacity. */
export interface ReservationRequest {
  readonly job: PendingJob;
  readonly zoneConstraint: ZoneConstraint;
  /** Number of tasks. Nothing is reserved if it is zero or negative. */
  readonly count: number;
}

/**
 * Reserves up to `count` machines that are large enough for one of the tasks and have part of the capacity free. A
 * reserved machine takes no task that is placed later in the round. Without reservations small tasks would fill each
 * part of a machine as it becomes free, and on a full fleet a task that needs a whole machine would never start.
 * Machines that become free soonest are reserved first. Returns the reserved hosts.
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
