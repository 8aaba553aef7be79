/** What a node says of lost state, for operators. */
import type { Inconsistency, PartialHighWaterMarks } from './inconsistencies.js';

/**
 * `serving`: nothing contradicts what was seen before. `noticed`: something does, and a reading of all live state is to
 * tell whether it is true; nothing is begun meanwhile. `frozen`: that reading contradicts it, too.
 */
export type DataLossState = 'serving' | 'noticed' | 'frozen';

/** A contradiction, and who knows better. */
export interface Evidence {
  source: string;
  contradiction: Inconsistency;
  text: string;
}

export interface DataLossReport {
  state: DataLossState;
  sinceS: number;
  evidence: Evidence[];
  /** Times that a first contradiction was not borne out. */
  falseAlarms: number;
  /** The highest numbers that this node, its workers and peers have seen. */
  seen: PartialHighWaterMarks;
}
