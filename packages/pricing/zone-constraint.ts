/** Zones that a job's constraints leave open. */
import { countFitting } from './resources.js';
import type { CandidateMachine, PendingJob } from './types.js';

/** Which zones a job's next task may go to, given where its other tasks are at this moment. */
export class ZoneConstraint {
  private readonly tasksByZone: Map<string, number>;
  /** Tasks of a spread job that one zone may hold. */
  private readonly maxPerZone: number;
  /** The zone of a job that is bound to one zone and has no task yet. */
  private readonly firstZone: string | null;

  constructor(
    private readonly job: PendingJob,
    machines: readonly CandidateMachine[],
  ) {
    this.tasksByZone = new Map(job.placedByZone);
    this.maxPerZone = Math.ceil(job.taskCount / 2);
    this.firstZone =
      job.singleZone && this.tasksByZone.size === 0 ? zoneWithMostCapacity(job, machines) : null;
  }

  /** Whether the next task may go to the zone. */
  allows(zone: string): boolean {
    const { job, tasksByZone } = this;
    if (job.zone !== null && zone !== job.zone) return false;
    if (job.singleZone) {
      if (this.firstZone !== null ? zone !== this.firstZone : !tasksByZone.has(zone)) return false;
    }
    return !job.spreadZones || (tasksByZone.get(zone) ?? 0) < this.maxPerZone;
  }

  /** A task was placed in the zone. */
  onTaskPlaced(zone: string): void {
    this.tasksByZone.set(zone, (this.tasksByZone.get(zone) ?? 0) + 1);
  }
}

/** The zone with free capacity for most of the job's tasks; a job bound to one zone starts there. */
function zoneWithMostCapacity(job: PendingJob, machines: readonly CandidateMachine[]): string | null {
  const taskCapacity = new Map<string, number>();
  for (const machine of machines) {
    if (!admits(job, machine)) continue;
    taskCapacity.set(
      machine.zone,
      (taskCapacity.get(machine.zone) ?? 0) + countFitting(job.taskResources, machine.free),
    );
  }
  return [...taskCapacity].sort((a, b) => b[1] - a[1])[0]?.[0] ?? null;
}

/** Whether the job's constraints admit the machine, whatever capacity is free on it. */
function admits(job: PendingJob, machine: CandidateMachine): boolean {
  if (machine.spot && !job.allowsSpot) return false;
  if (job.machineTypes && !job.machineTypes.includes(machine.machineType)) return false;
  return job.zone === null || job.zone === machine.zone;
}
