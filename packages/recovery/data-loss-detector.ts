/**
 * Watches for lost state: what the state service shows is compared with what this node, its workers and its peers have
 * seen before. From the first contradiction on the node treats the state service as one that refuses it, so that all
 * bounds of an outage hold; it goes on as soon as a reading bears out all that was ever seen.
 */
import type {
  Logger,
  PeerHighWaterMark,
  PeerStatus,
  StateIntegrityCheck,
  StateReading,
  HighWaterMarks,
} from '#cluster';
import type { RevisionCheck } from '#store';
import { type Clock, type Micros, SECOND, type Heartbeat } from '#wire';
import { type Observation, Observations, marksOfHeartbeat } from './observations.js';
import { type Inconsistency, describeInconsistency, findInconsistencies } from './inconsistencies.js';
import type { Evidence, DataLossReport, DataLossState } from './data-loss-report.js';

/** Readings in a row that lack parts: fewer may be due to changes while they were made. */
const INCOMPLETE_READINGS = 3;
/** Beyond the time between two reports, for those that look for another node first. */
const LISTEN_MARGIN: Micros = SECOND;
/** Begin the sources of what this node has seen itself, and of what peers tell. */
const OWN = 'own';
const PEER = 'peer';
/** Below every epoch: a node that remembers nothing believes any objection. */
const NOTHING_KNOWN = -1;
/** Contradictions that are kept and shown. */
const EVIDENCE_KEPT = 20;

export interface DataLossDetectorOptions {
  clock: Clock;
  log: Logger;
  /** How long a claim holds that its source doesn't repeat. */
  observationLifetime: Micros;
  /** The other nodes of the cluster, and how often each worker reports. */
  peerCount: number;
  heartbeatInterval: Micros;
}

export class DataLossDetector implements RevisionCheck, StateIntegrityCheck {
  private state: DataLossState = 'serving';
  private since: Micros;
  /** The highest epoch that any answer has shown. */
  private highest = 0;
  /** A reading has been believed since this node started. */
  private remembers = false;
  private evidence: Evidence[] = [];
  private readonly missing = new Set<string>();
  /** Keys that were absent in this alarm and have been found, or found to have ended. */
  private readonly explained = new Set<string>();
  private incompleteReadings = 0;
  private falseAlarms = 0;
  private readonly observations: Observations;
  private readonly rememberingPeers = new Set<string>();
  private readonly startedAt: Micros;
  private readonly closeListeners: (() => void)[] = [];

  constructor(private readonly parts: DataLossDetectorOptions) {
    this.startedAt = parts.clock.now();
    this.since = this.startedAt;
    this.observations = new Observations(parts.observationLifetime);
  }

  isOpen(): boolean {
    return this.state === 'serving';
  }

  /**
   * A node that has just started remembers nothing. Before it believes the state, it hears every peer or, where some have
   * just started themselves, gives the workers the time to report.
   */
  isReady(): boolean {
    const { clock, peerCount, heartbeatInterval: reportInterval } = this.parts;
    if (peerCount > 0 && this.rememberingPeers.size === peerCount) return true;
    return clock.now() - this.startedAt > reportInterval + LISTEN_MARGIN;
  }

  onClose(listener: () => void): void {
    this.closeListeners.push(listener);
  }

  minimumRevision(): number {
    return this.highest;
  }

  accepts(floor: number, epoch: number): boolean {
    return this.checkRevision(epoch, findInconsistencies({ revision: floor }, { revision: epoch }));
  }

  acceptsCommitted(floor: number, epoch: number): boolean {
    return this.checkRevision(
      epoch,
      epoch === floor
        ? [{ kind: 'epoch_reused', epoch }]
        : findInconsistencies({ revision: floor }, { revision: epoch }),
    );
  }

  /** Takes in an epoch that an answer shows. One that arrives after an alarm, as from an old watch, may be of any history. */
  private checkRevision(epoch: number, found: readonly Inconsistency[]): boolean {
    if (!this.isOpen()) return false;
    if (found.length > 0) this.raiseAlarm(evidenceOf(`${OWN} requests`, found));
    else this.highest = Math.max(this.highest, epoch);
    return found.length === 0;
  }

  judgeReading(reading: StateReading): boolean {
    const { sentAt, shown, known } = reading;
    // One that was begun before the alarm can neither end nor confirm it.
    if (this.state !== 'serving' && sentAt <= this.since) return false;
    this.incompleteReadings = 0;
    const found = [
      ...evidenceOf(`${OWN} copy`, [...findInconsistencies(known ?? {}, shown), ...this.compared(reading)]),
      ...this.inconsistentObservations(sentAt, shown),
    ];
    if (found.length === 0) this.accept(shown);
    else this.escalate(found);
    return found.length === 0;
  }

  /**
   * What the rows of a reading contradict. Keys that are absent count only after an alarm, until they or what follows
   * them are found: without one, a copy that was cut off for long may lack any number of jobs that have ended meanwhile.
   */
  private compared({ differences }: StateReading): Inconsistency[] {
    if (this.state !== 'serving') {
      for (const key of differences.absent) if (!this.explained.has(key)) this.missing.add(key);
    }
    return [
      ...[...this.missing].map((key): Inconsistency => ({ kind: 'key_missing', key })),
      ...differences.regressed.map((key): Inconsistency => ({ kind: 'key_went_back', key })),
      ...differences.forked.map((key): Inconsistency => ({ kind: 'history_forked', key })),
    ];
  }

  confirmCopy(sentAt: Micros, copy: HighWaterMarks): boolean {
    if (this.state !== 'serving') return false;
    const found = this.inconsistentObservations(sentAt, copy);
    if (found.length > 0) this.raiseAlarm(found);
    return found.length === 0;
  }

  reportLostKeys(lostKeys: readonly string[]): boolean {
    for (const key of lostKeys) this.missing.add(key);
    const lost = lostKeys.map((key): Inconsistency => ({ kind: 'key_missing', key }));
    this.raiseAlarm(evidenceOf(`${OWN} watch`, lost));
    return true;
  }

  missingKeys(): readonly string[] {
    return [...this.missing];
  }

  reportFoundKey(key: string): void {
    this.missing.delete(key);
    this.explained.add(key);
  }

  reportIncompleteRead(reason: string): void {
    this.incompleteReadings++;
    if (this.incompleteReadings < INCOMPLETE_READINGS) return;
    this.incompleteReadings = 0;
    this.escalate(evidenceOf(`${OWN} reading`, [{ kind: 'state_incomplete', reason }]));
  }

  /**
   * For peers; null while this node remembers nothing that could tell of a loss. What it has from a peer only is not told
   * on: two peers would keep each other in alarm.
   */
  publishedHighWaterMark(): PeerHighWaterMark | null {
    const isContradicted = this.evidence.some(({ source }) => !source.startsWith(PEER));
    return this.remembers || isContradicted
      ? { revision: this.highest, isInconsistent: isContradicted }
      : null;
  }

  /** The token that peers are told: in an alarm also one that only workers have seen. */
  publishedFencingToken(fencingToken: number): number {
    return this.isOpen()
      ? fencingToken
      : Math.max(fencingToken, this.observations.combined().fencingToken ?? 0);
  }

  /** Takes in what a worker's report shows of the state that it was started under. */
  observeHeartbeat(heartbeat: Heartbeat): void {
    this.observations.note(`worker ${heartbeat.host}`, marksOfHeartbeat(heartbeat), this.parts.clock.now());
  }

  /** Takes in what a peer tells of the state that it has seen. */
  observePeer(member: string, { fencingToken, highWaterMark: memory }: PeerStatus): void {
    const source = `${PEER} ${member}`;
    const now = this.parts.clock.now();
    if (memory === null) {
      this.observations.note(source, { fencingToken }, now);
      return;
    }
    this.rememberingPeers.add(member);
    const seen = { fencingToken, revision: memory.revision };
    if (!memory.isInconsistent) {
      this.observations.note(source, seen, now);
      return;
    }
    const known = this.remembers ? this.highest : NOTHING_KNOWN;
    const objections = this.objectionsOf(this.observations.noteObjection(source, seen, now, known));
    if (objections.length > 0) this.raiseAlarm(evidenceOf(source, objections));
  }

  /** The worker runs tasks that no record of this copy has started: it is told nothing that could end them. */
  isWorkerAheadOf(copy: HighWaterMarks, heartbeat: Heartbeat): boolean {
    return findInconsistencies({ positions: marksOfHeartbeat(heartbeat).positions ?? {} }, copy).length > 0;
  }

  report(): DataLossReport {
    return {
      state: this.state,
      sinceS: Math.round((this.parts.clock.now() - this.since) / 1e5) / 10,
      evidence: this.evidence,
      falseAlarms: this.falseAlarms,
      seen: { ...this.observations.combined(), revision: this.highest },
    };
  }

  private inconsistentObservations(sentAt: Micros, shown: HighWaterMarks): Evidence[] {
    const claims = this.observations.madeBefore(sentAt, this.parts.clock.now());
    return claims.flatMap((observation) => {
      const found = findInconsistencies(observation.marks, shown);
      return evidenceOf(observation.source, [...found, ...this.objectionsOf(observation)]);
    });
  }

  /** A peer that remembers more than this node did is believed: another history may have grown beyond what it has seen. */
  private objectionsOf(observation: Observation): Inconsistency[] {
    const { marks: seen, objectedAt } = observation;
    const known = seen.revision ?? 0;
    if (objectedAt === null || known <= objectedAt || this.observations.isOverruled(observation)) return [];
    return [{ kind: 'peer_objects', known }];
  }

  private raiseAlarm(found: Evidence[]): void {
    if (this.state !== 'serving') return;
    this.transitionTo('noticed', found);
    for (const listener of this.closeListeners) listener();
  }

  /** Whole readings contradict what was seen: the first raises the alarm, the next confirms it. */
  private escalate(found: Evidence[]): void {
    if (this.state === 'serving') this.raiseAlarm(found);
    else if (this.state === 'noticed') this.transitionTo('frozen', found);
    else this.evidence = found.slice(0, EVIDENCE_KEPT);
  }

  private accept({ revision: epoch }: HighWaterMarks): void {
    this.remembers = true;
    this.highest = Math.max(this.highest, epoch);
    if (this.state === 'serving') return;
    if (this.state === 'noticed') this.falseAlarms++;
    this.explained.clear();
    this.transitionTo('serving', []);
  }

  private transitionTo(state: DataLossState, found: Evidence[]): void {
    const { clock, log } = this.parts;
    const evidence = found.slice(0, EVIDENCE_KEPT);
    const entry = { from: this.state, to: state, evidence: evidence.map(({ text }) => text) };
    if (state === 'serving') log.info(entry, 'the state is whole again');
    else log.error(entry, 'the state service has lost state');
    this.state = state;
    this.since = clock.now();
    this.evidence = evidence;
  }
}

function evidenceOf(source: string, found: readonly Inconsistency[]): Evidence[] {
  return found.map((inconsistency) => ({
    source,
    contradiction: inconsistency,
    text: `${source}: ${describeInconsistency(inconsistency)}`,
  }));
}
