/** The check that detects a store that has lost a part of its history. */

/** Checks that the revisions in the store's answers never go back, which would mean that the store has lost commits. */
export interface RevisionCheck {
  /** True if requests are allowed. While it is false, only a complete read of the store's state is allowed. */
  isOpen(): boolean;
  /** Returns the highest revision of any answer so far. Answers to requests sent from now on can't have a lower one. */
  minimumRevision(): number;
  /** Records the revision of an answer. Returns false if it is below the minimum at the time of sending the request. */
  accepts(minimum: number, revision: number): boolean;
  /** Records the revision of an applied commit. Returns false unless it is above the minimum at the time of sending. */
  acceptsCommitted(minimum: number, revision: number): boolean;
}

/** A check that accepts every answer. */
export const NO_REVISION_CHECK: RevisionCheck = {
  isOpen: () => true,
  minimumRevision: () => 0,
  accepts: () => true,
  acceptsCommitted: () => true,
};
