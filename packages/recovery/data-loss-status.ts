/** What a node reports to operators about data loss in the state service. */
import { describeInconsistency, type Inconsistency, type PartialHighWaterMarks } from './inconsistencies.js';

/**
 * `serving`: nothing is inconsistent with what was observed before. `noticed`: something is, and a complete reading of the
 * live state is to decide whether data was lost; nothing is committed meanwhile. `frozen`: that reading is inconsistent, too.
 */
export type DataLossState = 'serving' | 'noticed' | 'frozen';

/** An inconsistency, and who observed what the state service no longer shows. */
export interface Evidence {
  /** `own requests`, `own copy`, `own watch`, `own reading`, `worker HOST` or `peer MEMBER`. */
  readonly source: string;
  readonly inconsistency: Inconsistency;
  /** Source and inconsistency as a sentence, for operators and the log. */
  readonly text: string;
}

/** The state of a node's data-loss detector. */
export interface DataLossStatus {
  readonly state: DataLossState;
  /** Seconds since the state was entered, to a tenth. */
  readonly sinceS: number;
  readonly evidence: readonly Evidence[];
  /** Alarms that the first complete reading did not confirm. */
  readonly falseAlarms: number;
  /** The highest marks that this node, its workers and its peers have observed. */
  readonly seen: PartialHighWaterMarks;
}

/** One piece of evidence per inconsistency, all from this source. */
export function toEvidence(source: string, inconsistencies: readonly Inconsistency[]): Evidence[] {
  return inconsistencies.map((inconsistency) => ({
    source,
    inconsistency,
    text: `${source}: ${describeInconsistency(inconsistency)}`,
  }));
}
