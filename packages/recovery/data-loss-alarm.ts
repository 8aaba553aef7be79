/** The state machine of the data-loss detector: the three states, the evidence for them, and one method per transition. */
import type { Logger } from '#cluster';
import type { Clock, Micros } from '#wire';
import type { DataLossState, Evidence } from './data-loss-status.js';

/** Pieces of evidence that are kept and shown. */
const EVIDENCE_LIMIT = 20;

/**
 * Holds one {@link DataLossState}: `serving` → {@link raise} → `noticed` → {@link escalate} → `frozen`, and from either of
 * the latter two by {@link clear} back to `serving`. Every transition is logged.
 */
export class DataLossAlarm {
  private current: DataLossState = 'serving';
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

  /** The present state. */
  get state(): DataLossState {
    return this.current;
  }

  /** Steady time at which the present state was entered. */
  get since(): Micros {
    return this.enteredAt;
  }

  /** What led to the present state, or confirmed it last; empty while `serving`. */
  get evidence(): readonly Evidence[] {
    return this.currentEvidence;
  }

  /** Alarms that the first complete reading did not confirm. */
  get falseAlarms(): number {
    return this.falseAlarmCount;
  }

  /** Data loss is suspected or confirmed. */
  isRaised(): boolean {
    return this.current !== 'serving';
  }

  /** Calls the listener whenever the alarm is raised. */
  onRaise(listener: () => void): void {
    this.raiseListeners.push(listener);
  }

  /** `serving` → `noticed`; no effect on an alarm that is raised already. */
  raise(evidence: readonly Evidence[]): void {
    if (this.isRaised()) return;
    this.enter('noticed', evidence);
    for (const listener of this.raiseListeners) listener();
  }

  /** A complete reading is inconsistent: the first raises the alarm, the next confirms it, later ones renew the evidence. */
  escalate(evidence: readonly Evidence[]): void {
    switch (this.current) {
      case 'serving':
        this.raise(evidence);
        break;
      case 'noticed':
        this.enter('frozen', evidence);
        break;
      case 'frozen':
        this.currentEvidence = evidence.slice(0, EVIDENCE_LIMIT);
        break;
    }
  }

  /** `noticed` or `frozen` → `serving`; no effect while `serving`. */
  clear(): void {
    if (!this.isRaised()) return;
    if (this.current === 'noticed') this.falseAlarmCount++;
    this.enter('serving', []);
  }

  private enter(state: DataLossState, allEvidence: readonly Evidence[]): void {
    const evidence = allEvidence.slice(0, EVIDENCE_LIMIT);
    const fields = { from: this.current, to: state, evidence: evidence.map(({ text }) => text) };
    if (state === 'serving') this.log.info(fields, 'state integrity restored');
    else this.log.error(fields, 'data loss detected');
    this.current = state;
    this.enteredAt = this.clock.now();
    this.currentEvidence = evidence;
  }
}
