/** What workers and peers tell of the state that they have seen: the memory of a cluster whose controllers have none. */
import { attemptOrigin } from '#cluster';
import type { Micros, WorkerReport } from '#wire';
import { joinSeen, type SeenNumbers } from './contradictions.js';

/** What one worker or peer has seen, as it said last. */
export interface Claim {
  /** `worker H` or `peer M`. */
  source: string;
  seen: SeenNumbers;
  at: Micros;
  /**
   * What a peer remembers itself contradicts the state: the highest epoch that this node knew when it first heard so,
   * or null while the peer doesn't say it.
   */
  objectedAt: number | null;
}

/** The token that a worker has obeyed and the records that its tasks were started by. */
export function seenByWorker({ token, tasks }: WorkerReport): SeenNumbers {
  const positions: Record<string, number> = {};
  for (const { attempt } of tasks) {
    const { share, sequence } = attemptOrigin(Number(attempt));
    positions[String(share)] = Math.max(positions[String(share)] ?? 0, sequence);
  }
  return { token: Number(token), positions };
}

/** The latest claim of each source, for as long as it is repeated. */
export class Claims {
  private readonly bySource = new Map<string, Claim>();

  /** A claim that its source has not repeated for so long is dropped, as that of a machine that is gone. */
  constructor(private readonly life: Micros) {}

  /** What a source has said once holds on: a worker's task that ended is no longer in its reports. */
  note(source: string, seen: SeenNumbers, now: Micros): void {
    const earlier = this.bySource.get(source)?.seen ?? {};
    this.bySource.set(source, { source, seen: joinSeen(earlier, seen), at: now, objectedAt: null });
  }

  /** Notes a claim of a source that finds the state to contradict it; `known` is the highest epoch known here by now. */
  noteObjection(source: string, seen: SeenNumbers, now: Micros, known: number): Claim {
    const objectedAt = this.bySource.get(source)?.objectedAt ?? known;
    const claim = { source, seen, at: now, objectedAt };
    this.bySource.set(source, claim);
    return claim;
  }

  /** Claims made before the given time: what is read from then on has to bear them out. */
  madeBefore(time: Micros, now: Micros): Claim[] {
    for (const [source, { at }] of this.bySource) {
      if (now - at > this.life) this.bySource.delete(source);
    }
    return [...this.bySource.values()].filter(({ at }) => at < time);
  }

  /** A source that has seen more than this one finds nothing wrong: the objection is of another history. */
  isOverruled({ seen }: Claim): boolean {
    return [...this.bySource.values()].some(
      (other) => other.objectedAt === null && (other.seen.epoch ?? 0) > (seen.epoch ?? 0),
    );
  }

  /** All of them as one. */
  joined(): SeenNumbers {
    return [...this.bySource.values()].reduce<SeenNumbers>((all, { seen }) => joinSeen(all, seen), {});
  }
}
