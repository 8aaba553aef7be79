/** Gangs in the placement state: tasks that start together, under one attempt number, or not at all. */

/** Names one attempt of a gang, alike in every part of its start. */
export interface GangAttempt {
  attempt: number;
  /** How many tasks the gang has. */
  size: number;
}

/** The placed tasks of a job, from which the completeness of its gang is determined. */
interface GangPlacements {
  readonly placements: ReadonlyMap<number, { attempt: number }>;
}

/**
 * A gang's tasks are all placed under one attempt. Only then may any of them be started: its start may be split
 * over several records, and a reader that has seen some of them, at whatever point, takes none of it for a start.
 * Once a task has ended the attempt is over for all. For independent tasks this is always true.
 */
export function isGangComplete(progress: GangPlacements, placement: { gangSize: number | null }): boolean {
  return placement.gangSize === null || progress.placements.size === placement.gangSize;
}

/** A part of a gang's start may join what is placed: nothing, or other parts of the same attempt. */
export function mayJoinGang(progress: GangPlacements, { attempt }: GangAttempt): boolean {
  for (const placement of progress.placements.values()) return placement.attempt === attempt;
  return true;
}
