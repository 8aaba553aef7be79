/** What a node's copy of the state asks of whoever watches for lost state. */
import type { Micros } from '#wire';
import type { Positions } from './placement.js';

/** Numbers that never fall while the state service keeps what was committed. */
export interface StateSummary {
  epoch: number;
  /** The cluster's fencing token. */
  token: number;
  /** The last record of each log. */
  positions: Positions;
}

/** What one reading of all live state showed. */
export interface StateReading {
  /** Steady time at which it was begun. */
  sentAt: Micros;
  shown: StateSummary;
  /** What was known when it was begun; null before the first reading. */
  known: StateSummary | null;
  /** How the rows that were read differ from those that the copy holds. */
  differences: RowDifferences;
}

/** Keys of the copy that a later reading can't show like this if nothing was lost. */
export interface RowDifferences {
  /** Another record under a number that the copy has, too. */
  forked: readonly string[];
  /** A row older than the copy's. */
  wentBack: readonly string[];
  /** Not there any more; that may be as it should where a job has ended. */
  absent: readonly string[];
}

/** Judges what the state service shows. While it is closed a copy stays as it is and reads all live state anew. */
export interface StateCheck {
  isOpen(): boolean;
  /** False for a while after the start: what would tell of a loss has yet to be heard, and no reading is of use. */
  isReady(): boolean;
  /** Has this called whenever the check closes. */
  onClose(listener: () => void): void;
  /** The highest epoch that any answer has shown. */
  floor(): number;
  /** Whether the reading may be taken for the state; opens or closes the check. */
  judge(reading: StateReading): boolean;
  /** The copy holds all that was committed before this time: may it be relied on? */
  confirm(sentAt: Micros, copy: StateSummary): boolean;
  /** Keys have gone that this program never removes; true if that closes the check. */
  refuses(lostKeys: readonly string[]): boolean;
  /** Those of them that no reading has shown again. */
  missingKeys(): readonly string[];
  /** One of them has been shown again. */
  found(key: string): void;
  /** A reading that lacks parts, as a change while it was made may cause, too. */
  incomplete(reason: string): void;
}

/** Believes whatever is shown. */
export const TRUSTING_STATE_CHECK: StateCheck = {
  isOpen: () => true,
  isReady: () => true,
  onClose: () => undefined,
  floor: () => 0,
  judge: () => true,
  confirm: () => true,
  refuses: () => false,
  missingKeys: () => [],
  found: () => undefined,
  incomplete: () => undefined,
};
