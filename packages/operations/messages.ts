/** What the operators' listener and its clients exchange, as JSON. */
import type { DutyName, DutyReport } from '#duties';
import type { LossReport } from '#recovery';

/** A node's view of the duties; it counts as proof for nothing. */
export interface NodeDutyReport {
  member: string;
  /** `outside`, `joining`, `member` or `stopped`. */
  membership: string;
  /** Seconds since the node's copy of the state was last known to be complete; null if it never was. */
  knowledgeAgeS: number | null;
  duties: DutyReport[];
}

/** What a node knows of lost state. */
export interface NodeLossReport {
  member: string;
  /** Null where the operators' settings don't switch it on. */
  loss: LossReport | null;
}

export type ResignResult = { kind: 'handed_over' } | { kind: 'refused'; reason: string };

export interface OperatorError {
  error: string;
}

/** What the listener needs of its node. */
export interface OperatedNode {
  dutyReport(): NodeDutyReport;
  lossReport(): NodeLossReport;
  /** The lines of a snapshot, as text; null while the node holds no copy of the state. */
  snapshot(): AsyncIterable<string> | null;
  resign(duty: DutyName): Promise<ResignResult>;
}
