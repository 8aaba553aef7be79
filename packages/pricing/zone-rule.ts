/** Zones that a job's constraints leave open. */
import { countFitting } from './amounts.js';
import type { CandidateMachine, PendingJob } from './types.js';

/** Which zones a job's next task may go to, given where its other tasks are at this moment. */
export class ZoneConstraint {
  private readonly counts: Map<string, number>;
  private readonly half: number;
  private readonly only: string | null;

  constructor(
    private readonly job: PendingJob,
    machines: readonly CandidateMachine[],
  ) {
    this.counts = new Map(job.placedByZone);
    this.half = Math.ceil(job.taskCount / 2);
    this.only = job.singleZone && this.counts.size === 0 ? roomiest(job, machines) : null;
  }

  allows(zone: string): boolean {
    const { job, counts } = this;
    if (job.zone !== null && zone !== job.zone) return false;
    if (job.singleZone) {
      if (this.only !== null ? zone !== this.only : !counts.has(zone)) return false;
    }
    return !job.spreadZones || (counts.get(zone) ?? 0) < this.half;
  }

  onTaskPlaced(zone: string): void {
    this.counts.set(zone, (this.counts.get(zone) ?? 0) + 1);
  }
}

/** The zone with room for most of the job's tasks; a job tied to one zone starts there. */
function roomiest(job: PendingJob, machines: readonly CandidateMachine[]): string | null {
  const room = new Map<string, number>();
  for (const m of machines) {
    const usable = (job.allowsSpot || !m.spot) && (job.machineTypes?.includes(m.machineType) ?? true);
    if (!usable || (job.zone !== null && job.zone !== m.zone)) continue;
    room.set(m.zone, (room.get(m.zone) ?? 0) + countFitting(job.need, m.free));
  }
  return [...room].sort((a, b) => b[1] - a[1])[0]?.[0] ?? null;
}
