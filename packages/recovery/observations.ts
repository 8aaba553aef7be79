/**
 * Stores the high-water marks that workers and peers have observed. After all controllers of a cluster have restarted,
 * these marks are the only knowledge of the state before a loss.
 */
import { attemptOrigin } from '#cluster';
import type { Heartbeat, Micros } from '#wire';
import { mergeHighWaterMarks, type PartialHighWaterMarks } from './inconsistencies.js';

/** The marks that one worker or peer has observed, as of its latest message. */
export interface Observation {
  /** `worker HOST` or `peer MEMBER`. */
  readonly source: string;
  readonly marks: PartialHighWaterMarks;
  /** Monotonic time of the latest message. */
  readonly observedAt: Micros;
  /**
   * Set while the source is a peer that finds the state inconsistent with what it has observed itself. The value is this
   * node's highest revision at the first such message. Null while the source finds the state consistent.
   */
  readonly disagreesSinceRevision: number | null;
}

/** A message from a peer that finds the state inconsistent with what it has observed. */
export interface Disagreement {
  readonly source: string;
  readonly marks: PartialHighWaterMarks;
  readonly observedAt: Micros;
  /** The receiving node's highest revision when the message arrives. */
  readonly ownRevision: number;
}

/** Returns the fencing token that a worker has accepted, and the log positions of the records that started its tasks. */
export function highWaterMarksOfHeartbeat({ fencingToken, tasks }: Heartbeat): PartialHighWaterMarks {
  const positions: Record<string, number> = {};
  for (const { attempt } of tasks) {
    const { shard, sequence } = attemptOrigin(Number(attempt));
    positions[String(shard)] = Math.max(positions[String(shard)] ?? 0, sequence);
  }
  return { fencingToken: Number(fencingToken), positions };
}

/** Holds the latest observation of each source for as long as the source repeats it. */
export class Observations {
  /** Keyed by source. */
  private readonly bySource = new Map<string, Observation>();

  /** Drops an observation that its source has not repeated for `lifetime`, since its machine is assumed to be gone. */
  constructor(private readonly lifetime: Micros) {}

  /**
   * Records the marks of a source that does not report an inconsistency. Marks never decrease: a task that has ended is missing
   * from its worker's later heartbeats, but it was observed.
   */
  record(source: string, marks: PartialHighWaterMarks, now: Micros): void {
    const earlier = this.bySource.get(source)?.marks ?? {};
    this.bySource.set(source, {
      source,
      marks: mergeHighWaterMarks(earlier, marks),
      observedAt: now,
      disagreesSinceRevision: null,
    });
  }

  /** Records the marks of a peer that finds the state inconsistent with them, and returns the observation. */
  recordDisagreement({ source, marks, observedAt, ownRevision }: Disagreement): Observation {
    const disagreesSinceRevision = this.bySource.get(source)?.disagreesSinceRevision ?? ownRevision;
    const observation = { source, marks, observedAt, disagreesSinceRevision };
    this.bySource.set(source, observation);
    return observation;
  }

  /**
   * Returns the observations made before `time`; a reading that began at `time` must reach their marks. Deletes
   * observations that have expired.
   */
  observedBefore(time: Micros, now: Micros): Observation[] {
    for (const [source, { observedAt }] of this.bySource) {
      if (now - observedAt > this.lifetime) this.bySource.delete(source);
    }
    return [...this.bySource.values()].filter(({ observedAt }) => observedAt < time);
  }

  /**
   * Returns true if a source that has observed a higher revision finds the state consistent. The disagreement then concerns
   * a different history.
   */
  isOverruled({ marks }: Observation): boolean {
    const revision = marks.revision ?? 0;
    return [...this.bySource.values()].some(
      (other) => other.disagreesSinceRevision === null && (other.marks.revision ?? 0) > revision,
    );
  }

  /** Returns the highest value of each mark over all sources. */
  combined(): PartialHighWaterMarks {
    return [...this.bySource.values()].reduce<PartialHighWaterMarks>(
      (merged, { marks }) => mergeHighWaterMarks(merged, marks),
      {},
    );
  }
}
