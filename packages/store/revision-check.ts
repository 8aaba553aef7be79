/** Guards against a store that has lost a part of its history. */

/** Tells whether the store still shows the history that it has shown before. */
export interface RevisionCheck {
  /** False: the store may be used for nothing but a complete read of its state. */
  isOpen(): boolean;
  /** The highest revision that any answer has shown: answers to requests sent from now on can't show a lower one. */
  minimumRevision(): number;
  /** Records the revision of an answer; false if it is below the minimum (`floor`) that held when the request was sent. */
  accepts(floor: number, revision: number): boolean;
  /** The same for the revision of an applied commit: it has to be higher than any shown before the request. */
  acceptsCommitted(floor: number, revision: number): boolean;
}

/** Accepts every answer. */
export const NO_REVISION_CHECK: RevisionCheck = {
  isOpen: () => true,
  minimumRevision: () => 0,
  accepts: () => true,
  acceptsCommitted: () => true,
};
