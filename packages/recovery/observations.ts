/**
 * The high-water marks that workers and peers have observed. A cluster whose controllers have all restarted knows of the
 * state before a loss by them only.
 */
import { attemptOrigin } from '#cluster';
import type { Heartbeat, Micros } from '#wire';
import { mergeHighWaterMarks, type PartialHighWaterMarks } from './inconsistencies.js';

/** What one worker or peer has observed, as of its latest message. */
export interface Observation {
  /** `worker HOST` or `peer MEMBER`. */
  readonly source: string;
  readonly marks: PartialHighWaterMarks;
  /** Steady time of the latest message. */
  readonly at: Micros;
  /**
   * Set while the source, a peer, finds the state inconsistent with what it observed itself: the highest revision that
   * this node knew at the first such message. Null while the source finds the state consistent.
   */
  readonly disagreesSinceRevision: number | null;
}

/** A message of a peer that finds the state inconsistent. */
export interface Disagreement {
  readonly source: string;
  readonly marks: PartialHighWaterMarks;
  readonly at: Micros;
  /** The highest revision that this node knows at this time. */
  readonly knownRevision: number;
}

/** The fencing token that a worker has accepted, and the log positions of the records that started its tasks. */
export function marksOfHeartbeat({ fencingToken, tasks }: Heartbeat): PartialHighWaterMarks {
  const positions: Record<string, number> = {};
  for (const { attempt } of tasks) {
    const { shard, sequence } = attemptOrigin(Number(attempt));
    positions[String(shard)] = Math.max(positions[String(shard)] ?? 0, sequence);
  }
  return { fencingToken: Number(fencingToken), positions };
}

/** The latest observation of each source, for as long as the source repeats it. */
export class Observations {
  private readonly bySource = new Map<string, Observation>();

  /** An observation that its source has not repeated for `lifetime` is dropped: its machine is taken to be gone. */
  constructor(private readonly lifetime: Micros) {}

  /** Marks never fall: a task that ended is missing from its worker's heartbeats, and was observed all the same. */
  record(source: string, marks: PartialHighWaterMarks, now: Micros): void {
    const earlier = this.bySource.get(source)?.marks ?? {};
    this.bySource.set(source, {
      source,
      marks: mergeHighWaterMarks(earlier, marks),
      at: now,
      disagreesSinceRevision: null,
    });
  }

  /** Records what a peer has observed that finds the state inconsistent with it. */
  recordDisagreement({ source, marks, at, knownRevision }: Disagreement): Observation {
    const disagreesSinceRevision = this.bySource.get(source)?.disagreesSinceRevision ?? knownRevision;
    const observation = { source, marks, at, disagreesSinceRevision };
    this.bySource.set(source, observation);
    return observation;
  }

  /** Observations of before the given time: what is read from then on has to reach their marks. */
  madeBefore(time: Micros, now: Micros): Observation[] {
    for (const [source, { at }] of this.bySource) {
      if (now - at > this.lifetime) this.bySource.delete(source);
    }
    return [...this.bySource.values()].filter(({ at }) => at < time);
  }

  /** A source that has observed a higher revision finds the state consistent: the disagreement is about another history. */
  isOverruled({ marks }: Observation): boolean {
    const revision = marks.revision ?? 0;
    return [...this.bySource.values()].some(
      (other) => other.disagreesSinceRevision === null && (other.marks.revision ?? 0) > revision,
    );
  }

  /** The highest of each mark that any source has observed. */
  combined(): PartialHighWaterMarks {
    return [...this.bySource.values()].reduce<PartialHighWaterMarks>(
      (all, { marks }) => mergeHighWaterMarks(all, marks),
      {},
    );
  }
}
