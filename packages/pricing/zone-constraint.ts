/** Decides which zones a job's zone constraints allow. */
import { countFitting } from './resources.js';
import type { CandidateMachine, PendingJob } from './types.js';

/** Decides in which zones the next task of a job may be placed, given the zones of the job's other tasks. */
export class ZoneConstraint {
  /** Number of the job's tasks in each zone, including those placed in the current round. Keyed by zone. */
  private readonly tasksByZone: Map<string, number>;
  /** Maximum number of tasks of a spread job in one zone. */
  private readonly maxPerZone: number;
  /** Zone chosen for a single-zone job that has no task on a machine yet; null for other jobs or if no zone fits. */
  private readonly firstZone: string | null;

  constructor(
    private readonly job: PendingJob,
    machines: readonly CandidateMachine[],
  ) {
    this.tasksByZone = new Map(job.placedByZone);
    this.maxPerZone = maxTasksPerZone(job);
    this.firstZone =
      job.singleZone && this.tasksByZone.size === 0 ? zoneWithMostCapacity(job, machines) : null;
  }

  /** True if the next task may be placed in the zone. */
  allows(zone: string): boolean {
    const { job, tasksByZone } = this;
    if (job.zone !== null && zone !== job.zone) return false;
    if (job.singleZone) {
      if (this.firstZone !== null ? zone !== this.firstZone : !tasksByZone.has(zone)) return false;
    }
    return !job.spreadZones || (tasksByZone.get(zone) ?? 0) < this.maxPerZone;
  }

  /** Counts a task that was placed in the zone. */
  onTaskPlaced(zone: string): void {
    this.tasksByZone.set(zone, (this.tasksByZone.get(zone) ?? 0) + 1);
  }
}

/** Returns the maximum number of tasks of a spread job in one zone. */
export function maxTasksPerZone({ taskCount }: PendingJob): number {
  return Math.ceil(taskCount / 2);
}

/** Returns the zone with capacity for the most tasks of the job, in which a single-zone job starts; null if none. */
function zoneWithMostCapacity(job: PendingJob, machines: readonly CandidateMachine[]): string | null {
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
function allowsMachine(job: PendingJob, machine: CandidateMachine): boolean {
  if (machine.spot && !job.allowsSpot) return false;
  if (job.machineTypes && !job.machineTypes.includes(machine.machineType)) return false;
  return job.zone === null || job.zone === machine.zone;
}
