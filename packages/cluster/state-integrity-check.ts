/** The interface through which a replica checks the data that it reads for data loss. */
import type { Micros } from '#wire';
import type { Positions } from './placement.js';

/** Values that never decrease while the state service keeps all committed data. */
export interface HighWaterMarks {
  /** Highest revision seen. */
  revision: number;
  /** The cluster's highest fencing token. */
  fencingToken: number;
  /** Sequence number of the last record of each log. */
  positions: Positions;
}

/** The result of one complete read of the live state, in the form that is checked. */
export interface StateReading {
  /** Monotonic time at which the read began. */
  sentAt: Micros;
  /** High-water marks of the rows that were read. */
  current: HighWaterMarks;
  /** High-water marks of the replica when the read began; null before the first complete read. */
  previous: HighWaterMarks | null;
  /** Differences between the rows that were read and those of the replica. */
  differences: RowDifferences;
}

/** Keys of replica rows that differ from those of a later read in a way that indicates data loss. */
export interface RowDifferences {
  /** Log slots that hold another record under the same sequence number. */
  forked: readonly string[];
  /** Rows whose revision is lower than in the replica. */
  regressed: readonly string[];
  /** Rows that are missing. The row of a job may be missing without data loss, since archiving the job removes it. */
  absent: readonly string[];
}

/**
 * Checks the data that the state service returns for data loss. The check is open while the data may be used, and
 * closed while data loss is suspected or confirmed. While it is closed, a replica keeps its state and repeats the
 * complete read.
 */
export interface StateIntegrityCheck {
  /** Returns true unless data loss is suspected or confirmed. */
  isOpen(): boolean;
  /**
   * Returns true once a replica may start to load. After the start of a node the check first waits for the observations
   * of its peers or workers, without which it cannot detect a loss.
   */
  isReady(): boolean;
  /** Registers a listener that is called whenever the check closes. */
  onClose(listener: () => void): void;
  /** Returns the highest revision of any answer so far. Without data loss no later answer has a lower one. */
  minimumRevision(): number;
  /** Returns true if the replica may accept this read. Opens or closes the check accordingly. */
  verifyReading(reading: StateReading): boolean;
  /** Returns true if the replica, which holds all commits before the monotonic time `sentAt`, may be relied on. */
  confirmReplica(sentAt: Micros, replicaMarks: HighWaterMarks): boolean;
  /** Reports keys that were removed although no node removes them. Returns true if that closes the check. */
  reportLostKeys(lostKeys: readonly string[]): boolean;
  /** Returns the reported keys that no read has found again. */
  missingKeys(): readonly string[];
  /** Reports that a missing key was found again. */
  reportFoundKey(key: string): void;
  /** Reports a complete read that lacks parts, because of data loss or of a change during the read. */
  reportIncompleteRead(reason: string): void;
}

/** A check that accepts everything. */
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
