/** What workers and peers tell of the state that they have seen: the memory of a cluster whose controllers have none. */
import { attemptOrigin } from '#cluster';
import type { Micros, Heartbeat } from '#wire';
import { mergeHighWaterMarks, type PartialHighWaterMarks } from './inconsistencies.js';

/** What one worker or peer has seen, as it said last. */
export interface Observation {
  /** `worker H` or `peer M`. */
  source: string;
  marks: PartialHighWaterMarks;
  at: Micros;
  /**
   * What a peer remembers itself contradicts the state: the highest epoch that this node knew when it first heard so,
   * or null while the peer doesn't say it.
   */
  objectedAt: number | null;
}

/** The token that a worker has obeyed and the records that its tasks were started by. */
export function marksOfHeartbeat({ fencingToken, tasks }: Heartbeat): PartialHighWaterMarks {
  const positions: Record<string, number> = {};
  for (const { attempt } of tasks) {
    const { shard, sequence } = attemptOrigin(Number(attempt));
    positions[String(shard)] = Math.max(positions[String(shard)] ?? 0, sequence);
  }
  return { fencingToken: Number(fencingToken), positions };
}

/** The latest claim of each source, for as long as it is repeated. */
export class Observations {
  private readonly bySource = new Map<string, Observation>();

  /** A claim that its source has not repeated for so long is dropped, as that of a machine that is gone. */
  constructor(private readonly life: Micros) {}

  /** What a source has said once holds on: a worker's task that ended is no longer in its reports. */
  note(source: string, seen: PartialHighWaterMarks, now: Micros): void {
    const earlier = this.bySource.get(source)?.marks ?? {};
    this.bySource.set(source, {
      source,
      marks: mergeHighWaterMarks(earlier, seen),
      at: now,
      objectedAt: null,
    });
  }

  /** Notes a claim of a source that finds the state to contradict it; `known` is the highest epoch known here by now. */
  noteObjection(source: string, marks: PartialHighWaterMarks, now: Micros, known: number): Observation {
    const objectedAt = this.bySource.get(source)?.objectedAt ?? known;
    const observation = { source, marks, at: now, objectedAt };
    this.bySource.set(source, observation);
    return observation;
  }

  /** Claims made before the given time: what is read from then on has to bear them out. */
  madeBefore(time: Micros, now: Micros): Observation[] {
    for (const [source, { at }] of this.bySource) {
      if (now - at > this.life) this.bySource.delete(source);
    }
    return [...this.bySource.values()].filter(({ at }) => at < time);
  }

  /** A source that has seen more than this one finds nothing wrong: the objection is of another history. */
  isOverruled({ marks: seen }: Observation): boolean {
    return [...this.bySource.values()].some(
      (other) => other.objectedAt === null && (other.marks.revision ?? 0) > (seen.revision ?? 0),
    );
  }

  /** All of them as one. */
  combined(): PartialHighWaterMarks {
    return [...this.bySource.values()].reduce<PartialHighWaterMarks>(
      (all, { marks: seen }) => mergeHighWaterMarks(all, seen),
      {},
    );
  }
}
