/** The interface by which a node's copy of the state has what it reads checked for data loss. */
import type { Micros } from '#wire';
import type { Positions } from './placement.js';

/** Numbers that never fall while the state service keeps what was committed. */
export interface HighWaterMarks {
  revision: number;
  /** The cluster's fencing token. */
  fencingToken: number;
  /** The last record of each log. */
  positions: Positions;
}

/** What one complete read of the live state showed. */
export interface StateReading {
  /** Steady time at which the read was begun. */
  sentAt: Micros;
  current: HighWaterMarks;
  /** What was known when it was begun; null before the first reading. */
  previous: HighWaterMarks | null;
  /** How the rows that were read differ from those that the copy holds. */
  differences: RowDifferences;
}

/** Keys of the copy that a later reading can't show like this if nothing was lost. */
export interface RowDifferences {
  /** Another record under a number that the copy has, too. */
  forked: readonly string[];
  /** A row older than the copy's. */
  regressed: readonly string[];
  /** Not there any more; that may be as it should where a job has ended. */
  absent: readonly string[];
}

/** Judges what the state service shows. While it is closed a copy stays as it is and reads all live state anew. */
export interface StateIntegrityCheck {
  isOpen(): boolean;
  /** False for a while after the start: observations of a loss may yet arrive, and no read is of use. */
  isReady(): boolean;
  /** Has this called whenever the check closes. */
  onClose(listener: () => void): void;
  /** The highest revision that any answer has shown. */
  minimumRevision(): number;
  /** Whether the reading may be taken for the state; opens or closes the check. */
  verifyReading(reading: StateReading): boolean;
  /** The copy holds all that was committed before this time: may it be relied on? */
  confirmReplica(sentAt: Micros, replicaMarks: HighWaterMarks): boolean;
  /** Keys have gone that this program never removes; true if that closes the check. */
  reportLostKeys(lostKeys: readonly string[]): boolean;
  /** Those of them that no reading has shown again. */
  missingKeys(): readonly string[];
  /** One of them has been shown again. */
  reportFoundKey(key: string): void;
  /** A reading that lacks parts, as a change while it was made may cause, too. */
  reportIncompleteRead(reason: string): void;
}

/** Accepts whatever is shown. */
export const NO_STATE_INTEGRITY_CHECK: StateIntegrityCheck = {
  isOpen: () => true,
  isReady: () => true,
  onClose: () => undefined,
  minimumRevision: () => 0,
  verifyReading: () => true,
  confirmReplica: () => true,
  reportLostKeys: () => false,
  missingKeys: () => [],
  reportFoundKey: () => undefined,
  reportIncompleteRead: () => undefined,
};
