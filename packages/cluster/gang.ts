/** Gangs in the placement state. The tasks of a gang start together under one attempt number, or not at all. */

/** Identifies one attempt of a gang. All records of a start that is split carry the same value. */
export interface GangAttempt {
  attempt: number;
  /** Number of tasks of the gang. */
  size: number;
}

/** The placed tasks of a gang job, keyed by task index. */
interface GangPlacements {
  readonly placements: ReadonlyMap<number, { attempt: number }>;
}

/**
 * Returns true if all tasks of the placement's gang are placed. Only then may any of them run: a start may be split
 * over several records, and a replica that has applied only some of them must not start any task. Once one task has
 * ended, the gang is incomplete and the attempt is over for all its tasks. Always true for independent tasks.
 */
export function isGangComplete(progress: GangPlacements, placement: { gangSize: number | null }): boolean {
  return placement.gangSize === null || progress.placements.size === placement.gangSize;
}

/** Returns true if a part of a gang's start may be placed: no task is placed yet, or all are of the same attempt. */
export function mayJoinGang(progress: GangPlacements, { attempt }: GangAttempt): boolean {
  for (const placement of progress.placements.values()) return placement.attempt === attempt;
  return true;
}
