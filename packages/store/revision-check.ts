/** Guards against a store that has lost a part of its history. */

/** Tells whether the store still shows the history that it has shown before. */
export interface RevisionCheck {
  /** False: the store may be used for nothing but a complete read of its state. */
  isOpen(): boolean;
  /** The highest epoch that any answer has shown: answers to requests sent from now on can't show a lower one. */
  minimumRevision(): number;
  /** Records the epoch of an answer; false if it is below the minimum (`floor`) that held when the request was sent. */
  accepts(floor: number, epoch: number): boolean;
  /** The same for the epoch of an applied commit: it has to be higher than any shown before the request. */
  acceptsCommitted(floor: number, epoch: number): boolean;
}

/** Accepts every answer. */
export const NO_REVISION_CHECK: RevisionCheck = {
  isOpen: () => true,
  minimumRevision: () => 0,
  accepts: () => true,
  acceptsCommitted: () => true,
};
