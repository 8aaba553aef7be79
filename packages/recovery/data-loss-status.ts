/** Types of the data-loss status that a node reports to operators. */
import { describeInconsistency, type Inconsistency, type PartialHighWaterMarks } from './inconsistencies.js';

/**
 * `serving`: the state is consistent with all earlier observations. `noticed`: an inconsistency was found, nothing is
 * committed, and a complete reading of the live state will show whether data was lost. `frozen`: that reading is
 * inconsistent, too, which confirms the loss; nothing is committed until a later reading is consistent.
 */
export type DataLossState = 'serving' | 'noticed' | 'frozen';

/** An inconsistency and the source of the observation that the state service contradicts. */
export interface Evidence {
  /** `own requests`, `own copy`, `own watch`, `own reading`, `worker HOST` or `peer MEMBER`. */
  readonly source: string;
  readonly inconsistency: Inconsistency;
  /** Describes source and inconsistency in a sentence, for operators and the log. */
  readonly text: string;
}

/** The state of a node's data-loss detector. */
export interface DataLossStatus {
  readonly state: DataLossState;
  /** Seconds since the state was entered, rounded to a tenth. */
  readonly sinceS: number;
  readonly evidence: readonly Evidence[];
  /** Number of alarms that the first complete reading did not confirm. */
  readonly falseAlarms: number;
  /** The highest marks that this node, its workers and its peers have observed; `GET /recovery` uses the same name. */
  readonly seen: PartialHighWaterMarks;
}

/** Returns one piece of evidence for each inconsistency, all from the given source. */
export function toEvidence(source: string, inconsistencies: readonly Inconsistency[]): Evidence[] {
  return inconsistencies.map((inconsistency) => ({
    source,
    inconsistency,
    text: `${source}: ${describeInconsistency(inconsistency)}`,
  }));
}
