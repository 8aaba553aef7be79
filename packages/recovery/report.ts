/** What a node says of lost state, for operators. */
import type { Contradiction, SeenNumbers } from './contradictions.js';

/**
 * `serving`: nothing contradicts what was seen before. `noticed`: something does, and a reading of all live state is to
 * tell whether it is true; nothing is begun meanwhile. `frozen`: that reading contradicts it, too.
 */
export type LossState = 'serving' | 'noticed' | 'frozen';

/** A contradiction, and who knows better. */
export interface Evidence {
  source: string;
  contradiction: Contradiction;
  text: string;
}

export interface LossReport {
  state: LossState;
  sinceS: number;
  evidence: Evidence[];
  /** Times that a first contradiction was not borne out. */
  falseAlarms: number;
  /** The highest numbers that this node, its workers and peers have seen. */
  seen: SeenNumbers;
}
