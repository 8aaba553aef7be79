/** The state machine of the data-loss detector: three states, the evidence for them, and one method for each transition. */
import type { Logger } from '#cluster';
import type { Clock, Micros } from '#wire';
import type { DataLossState, Evidence } from './data-loss-status.js';

/** Maximum number of pieces of evidence that are kept and shown. */
const EVIDENCE_LIMIT = 20;

/**
 * Holds one {@link DataLossState} and logs every transition. {@link raise} leads from `serving` to `noticed`,
 * {@link escalate} from `noticed` to `frozen`, and {@link clear} from either of these back to `serving`.
 */
export class DataLossAlarm {
  private currentState: DataLossState = 'serving';
  private enteredAt: Micros;
  private currentEvidence: readonly Evidence[] = [];
  private falseAlarmCount = 0;
  private readonly raiseListeners: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {
    this.enteredAt = clock.now();
  }

  /** The current state. */
  get state(): DataLossState {
    return this.currentState;
  }

  /** Monotonic time at which the current state was entered. */
  get since(): Micros {
    return this.enteredAt;
  }

  /** The evidence that led to the current state or confirmed it last; empty while `serving`. */
  get evidence(): readonly Evidence[] {
    return this.currentEvidence;
  }

  /** Number of alarms that the first complete reading did not confirm. */
  get falseAlarms(): number {
    return this.falseAlarmCount;
  }

  /** Returns true while data loss is suspected (`noticed`) or confirmed (`frozen`). */
  isRaised(): boolean {
    return this.currentState !== 'serving';
  }

  /** Registers a listener that is called whenever the alarm is raised. */
  onRaise(listener: () => void): void {
    this.raiseListeners.push(listener);
  }

  /** Changes `serving` to `noticed`; has no effect on an alarm that is already raised. */
  raise(evidence: readonly Evidence[]): void {
    if (this.isRaised()) return;
    this.transitionTo('noticed', evidence);
    for (const listener of this.raiseListeners) listener();
  }

  /**
   * Records that a reading found the state inconsistent or incomplete. The first such reading raises the alarm, the next one
   * confirms it, and later ones replace the evidence.
   */
  escalate(evidence: readonly Evidence[]): void {
    switch (this.currentState) {
      case 'serving':
        this.raise(evidence);
        break;
      case 'noticed':
        this.transitionTo('frozen', evidence);
        break;
      case 'frozen':
        this.currentEvidence = evidence.slice(0, EVIDENCE_LIMIT);
        break;
    }
  }

  /** Changes `noticed` or `frozen` back to `serving`; has no effect while `serving`. */
  clear(): void {
    if (!this.isRaised()) return;
    if (this.currentState === 'noticed') this.falseAlarmCount++;
    this.transitionTo('serving', []);
  }

  private transitionTo(state: DataLossState, allEvidence: readonly Evidence[]): void {
    const evidence = allEvidence.slice(0, EVIDENCE_LIMIT);
    const fields = { from: this.currentState, to: state, evidence: evidence.map(({ text }) => text) };
    if (state === 'serving') this.log.info(fields, 'state integrity restored');
    else this.log.error(fields, 'data loss detected');
    this.currentState = state;
    this.enteredAt = this.clock.now();
    this.currentEvidence = evidence;
  }
}
