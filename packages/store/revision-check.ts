/** Guards against a state service that has lost a part of its history. */

/** Tells whether the state service still shows the history that it has shown before. */
export interface RevisionCheck {
  /** False: nothing may be asked of the state service but to read it anew. */
  isOpen(): boolean;
  /** The highest epoch that any answer has shown: one to a request sent from now on can't show a lower one. */
  minimumRevision(): number;
  /** Takes in the epoch that an answer shows; false if it is below the floor that held when the request was sent. */
  accepts(floor: number, epoch: number): boolean;
  /** The same for the epoch that a commit is said to have made: it can't be one that was shown before. */
  acceptsCommitted(floor: number, epoch: number): boolean;
}

/** Believes every answer. */
export const NO_REVISION_CHECK: RevisionCheck = {
  isOpen: () => true,
  minimumRevision: () => 0,
  accepts: () => true,
  acceptsCommitted: () => true,
};
