/** Decides how many further tasks of a job each zone may take under the job's zone constraints. */
import { countFitting } from './resources.js';
import type { CandidateMachine, PendingJob } from './types.js';

/** The part of a job that its zone constraints depend on. */
export type ZoneConstrainedJob = Pick<
  PendingJob,
  'zone' | 'singleZone' | 'spreadZones' | 'taskCount' | 'placedByZone'
>;

/** The part of a machine that the choice of a first zone depends on. */
type ZonedMachine = Pick<CandidateMachine, 'machineType' | 'zone' | 'spot' | 'free'>;

/** True if the zone of one task of the job limits the zones of the others, or the job is limited to one zone. */
export function hasZoneConstraint({ zone, singleZone, spreadZones }: ZoneConstrainedJob): boolean {
  return zone !== null || singleZone || spreadZones;
}

/**
 * Tells in which zones further tasks of a job may be placed, given the zones of its other tasks. Placement, transfers,
 * scale-out, preemption and the answer to a submission all ask here.
 */
export class ZoneConstraint {
  /** Number of the job's tasks in each zone, including those placed since. Keyed by zone. */
  private readonly countByZone: Map<string, number>;
  /** Maximum number of tasks of the job in one zone. */
  private readonly maxPerZone: number;

  /** `firstZone`: zone in which a single-zone job without a task on a machine starts; null if any zone may be the first. */
  constructor(
    private readonly job: ZoneConstrainedJob,
    private readonly firstZone: string | null = null,
  ) {
    this.countByZone = new Map(job.placedByZone);
    this.maxPerZone = job.spreadZones ? maxTasksPerZone(job) : Infinity;
  }

  /** Returns the constraint of a job that starts, if it is a single-zone job, where the machines take most of its tasks. */
  static onMachines(job: PendingJob, machines: readonly ZonedMachine[]): ZoneConstraint {
    const startsAnywhere = !job.singleZone || job.placedByZone.size > 0;
    return new ZoneConstraint(job, startsAnywhere ? null : zoneWithMostCapacity(job, machines));
  }

  /** Number of the job's tasks in each zone, including those placed since. Keyed by zone. */
  get tasksByZone(): ReadonlyMap<string, number> {
    return this.countByZone;
  }

  /** Returns the number of further tasks that the zone may take; `Infinity` if nothing limits them. */
  remainingIn(zone: string): number {
    if (!this.isAllowedZone(zone)) return 0;
    return Math.max(0, this.maxPerZone - (this.countByZone.get(zone) ?? 0));
  }

  /** True if the next task may be placed in the zone. */
  allows(zone: string): boolean {
    return this.remainingIn(zone) > 0;
  }

  /** Counts tasks that were placed in the zone. A negative number takes such tasks back. */
  onTasksPlaced(zone: string, count: number): void {
    const sum = (this.countByZone.get(zone) ?? 0) + count;
    if (sum > 0) this.countByZone.set(zone, sum);
    else this.countByZone.delete(zone);
  }

  /** True if the job is not limited to other zones, by itself or by the zone of its other tasks. */
  private isAllowedZone(zone: string): boolean {
    const { job, firstZone, countByZone } = this;
    if (job.zone !== null && zone !== job.zone) return false;
    if (!job.singleZone) return true;
    if (countByZone.size > 0) return countByZone.has(zone);
    return firstZone === null || zone === firstZone;
  }
}

/** Returns the maximum number of tasks of a spread job in one zone. */
function maxTasksPerZone({ taskCount }: ZoneConstrainedJob): number {
  return Math.ceil(taskCount / 2);
}

/** Returns the zone with capacity for the most tasks of the job, in which a single-zone job starts; null if none. */
function zoneWithMostCapacity(job: PendingJob, machines: readonly ZonedMachine[]): string | null {
  const taskCapacity = new Map<string, number>();
  for (const machine of machines) {
    if (!allowsMachine(job, machine)) continue;
    taskCapacity.set(
      machine.zone,
      (taskCapacity.get(machine.zone) ?? 0) + countFitting(job.taskResources, machine.free),
    );
  }
  return [...taskCapacity].sort((a, b) => b[1] - a[1])[0]?.[0] ?? null;
}

/** True if the job's constraints allow the machine, regardless of its free capacity. */
function allowsMachine(job: PendingJob, machine: ZonedMachine): boolean {
  if (machine.spot && !job.allowsSpot) return false;
  if (job.machineTypes && !job.machineTypes.includes(machine.machineType)) return false;
  return job.zone === null || job.zone === machine.zone;
}
