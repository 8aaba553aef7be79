/**
 * Detects that the state service has lost data: what it shows is compared with what this node, its workers and its peers
 * have observed before. From the first inconsistency on the node behaves as if the state service refused its requests, so
 * that the guarantees for an outage hold; it goes on once a complete reading reaches everything that was ever observed.
 */
import type {
  HighWaterMarks,
  Logger,
  PeerHighWaterMark,
  PeerStatus,
  StateIntegrityCheck,
  StateReading,
} from '#cluster';
import type { RevisionCheck } from '#store';
import { type Clock, type Heartbeat, type Micros, SECOND } from '#wire';
import { DataLossAlarm } from './data-loss-alarm.js';
import { type DataLossStatus, type Evidence, toEvidence } from './data-loss-status.js';
import { findInconsistencies, type Inconsistency, type PartialHighWaterMarks } from './inconsistencies.js';
import { MissingKeys } from './missing-keys.js';
import { marksOfHeartbeat, type Observation, Observations } from './observations.js';

/** Incomplete readings in a row that count as data loss: fewer may be due to changes made during a reading. */
const INCOMPLETE_READINGS_LIMIT = 3;
/** Added to the heartbeat interval for workers that try another node first. */
const STARTUP_MARGIN: Micros = SECOND;
/** Prefixes of the sources of evidence: this node, and a peer. */
const OWN = 'own';
const PEER = 'peer';
/** Below every revision: a node that has accepted no reading yet believes every peer that disagrees. */
const NO_REVISION = -1;
const TENTH_OF_SECOND: Micros = SECOND / 10;

/** What a {@link DataLossDetector} needs to know of its node and cluster. */
export interface DataLossDetectorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** How long an observation counts that its source doesn't repeat. */
  readonly observationLifetime: Micros;
  /** Number of the other nodes of the cluster. */
  readonly peerCount: number;
  /** Time between two heartbeats of a worker. */
  readonly heartbeatInterval: Micros;
}

/** Checks each answer of the state service and each reading of the live state against all earlier observations. */
export class DataLossDetector implements RevisionCheck, StateIntegrityCheck {
  private readonly alarm: DataLossAlarm;
  private readonly missing = new MissingKeys();
  private readonly observations: Observations;
  /** The highest revision that any answer has shown. */
  private highestRevision = 0;
  private hasAcceptedReading = false;
  private incompleteReadings = 0;
  /** Peers that have published a high-water mark since this node started. */
  private readonly peersWithMarks = new Set<string>();
  private readonly startedAt: Micros;

  constructor(private readonly options: DataLossDetectorOptions) {
    this.startedAt = options.clock.now();
    this.alarm = new DataLossAlarm(options.clock, options.log);
    this.observations = new Observations(options.observationLifetime);
  }

  isOpen(): boolean {
    return !this.alarm.isRaised();
  }

  /**
   * A node that has just started has observed nothing. Before it accepts a reading it waits for the marks of every peer
   * or, where peers have just started themselves, for long enough that all workers have sent a heartbeat.
   */
  isReady(): boolean {
    const { clock, peerCount, heartbeatInterval } = this.options;
    if (peerCount > 0 && this.peersWithMarks.size === peerCount) return true;
    return clock.now() - this.startedAt > heartbeatInterval + STARTUP_MARGIN;
  }

  onClose(listener: () => void): void {
    this.alarm.onRaise(listener);
  }

  minimumRevision(): number {
    return this.highestRevision;
  }

  accepts(minimum: number, revision: number): boolean {
    return this.checkRevision(revision, findInconsistencies({ revision: minimum }, { revision }));
  }

  acceptsCommitted(minimum: number, revision: number): boolean {
    return this.checkRevision(
      revision,
      revision === minimum
        ? [{ kind: 'revision_reused', revision }]
        : findInconsistencies({ revision: minimum }, { revision }),
    );
  }

  /** An answer that arrives after the alarm was raised, as from an old watch, may belong to any history. */
  private checkRevision(revision: number, inconsistencies: readonly Inconsistency[]): boolean {
    if (!this.isOpen()) return false;
    if (inconsistencies.length > 0) this.alarm.raise(toEvidence(`${OWN} requests`, inconsistencies));
    else this.highestRevision = Math.max(this.highestRevision, revision);
    return inconsistencies.length === 0;
  }

  verifyReading(reading: StateReading): boolean {
    const { sentAt, current } = reading;
    // A reading that was begun before the alarm can neither end nor confirm it.
    if (this.alarm.isRaised() && sentAt <= this.alarm.since) return false;
    this.incompleteReadings = 0;
    const evidence = [
      ...toEvidence(`${OWN} copy`, this.compareWithCopy(reading)),
      ...this.compareWithObservations(sentAt, current),
    ];
    if (evidence.length === 0) this.acceptReading(current);
    else this.alarm.escalate(evidence);
    return evidence.length === 0;
  }

  /**
   * Keys that are absent count only after an alarm, until they or the keys that replace them are found: without an alarm,
   * a copy that was disconnected for long may hold any number of jobs that have ended meanwhile.
   */
  private compareWithCopy({ current, previous, differences }: StateReading): Inconsistency[] {
    if (this.alarm.isRaised()) this.missing.addAbsent(differences.absent);
    return [
      ...findInconsistencies(previous ?? {}, current),
      ...missingKeyInconsistencies(this.missing.list()),
      ...differences.regressed.map((key): Inconsistency => ({ kind: 'key_regressed', key })),
      ...differences.forked.map((key): Inconsistency => ({ kind: 'history_forked', key })),
    ];
  }

  private acceptReading({ revision }: HighWaterMarks): void {
    this.hasAcceptedReading = true;
    this.highestRevision = Math.max(this.highestRevision, revision);
    if (!this.alarm.isRaised()) return;
    this.missing.forgetExplained();
    this.alarm.clear();
  }

  confirmReplica(sentAt: Micros, copy: HighWaterMarks): boolean {
    if (this.alarm.isRaised()) return false;
    const evidence = this.compareWithObservations(sentAt, copy);
    if (evidence.length > 0) this.alarm.raise(evidence);
    return evidence.length === 0;
  }

  reportLostKeys(lostKeys: readonly string[]): boolean {
    this.missing.addRemoved(lostKeys);
    this.alarm.raise(toEvidence(`${OWN} watch`, missingKeyInconsistencies(lostKeys)));
    return true;
  }

  missingKeys(): readonly string[] {
    return this.missing.list();
  }

  reportFoundKey(key: string): void {
    this.missing.markFound(key);
  }

  reportIncompleteRead(reason: string): void {
    this.incompleteReadings++;
    if (this.incompleteReadings < INCOMPLETE_READINGS_LIMIT) return;
    this.incompleteReadings = 0;
    this.alarm.escalate(toEvidence(`${OWN} reading`, [{ kind: 'state_incomplete', reason }]));
  }

  /**
   * For peers; null while this node has observed nothing that could prove a loss. What it knows from peers only is not
   * passed on: two peers would keep each other's alarm up.
   */
  publishedHighWaterMark(): PeerHighWaterMark | null {
    const isInconsistent = this.alarm.evidence.some(({ source }) => !source.startsWith(PEER));
    return this.hasAcceptedReading || isInconsistent
      ? { revision: this.highestRevision, isInconsistent }
      : null;
  }

  /** The fencing token for peers: while the alarm is raised it may be one that only workers and peers have observed. */
  publishedFencingToken(fencingToken: number): number {
    return this.isOpen()
      ? fencingToken
      : Math.max(fencingToken, this.observations.combined().fencingToken ?? 0);
  }

  /** Records what a worker's heartbeat shows of the state under which its tasks were started. */
  observeHeartbeat(heartbeat: Heartbeat): void {
    const source = `worker ${heartbeat.host}`;
    this.observations.record(source, marksOfHeartbeat(heartbeat), this.options.clock.now());
  }

  /** Records what a peer has observed of the state; raises the alarm if the peer finds the state inconsistent with it. */
  observePeer(member: string, { fencingToken, highWaterMark }: PeerStatus): void {
    const source = `${PEER} ${member}`;
    const at = this.options.clock.now();
    if (highWaterMark === null) {
      this.observations.record(source, { fencingToken }, at);
      return;
    }
    this.peersWithMarks.add(member);
    const marks: PartialHighWaterMarks = { fencingToken, revision: highWaterMark.revision };
    if (!highWaterMark.isInconsistent) {
      this.observations.record(source, marks, at);
      return;
    }
    const knownRevision = this.hasAcceptedReading ? this.highestRevision : NO_REVISION;
    const observation = this.observations.recordDisagreement({ source, marks, at, knownRevision });
    const inconsistencies = this.validDisagreement(observation);
    if (inconsistencies.length > 0) this.alarm.raise(toEvidence(source, inconsistencies));
  }

  /** The worker runs tasks that no record of this copy has started: it gets no answer that could end them. */
  isWorkerAheadOf(copy: HighWaterMarks, heartbeat: Heartbeat): boolean {
    const positions = marksOfHeartbeat(heartbeat).positions ?? {};
    return findInconsistencies({ positions }, copy).length > 0;
  }

  /** The present state and the evidence for it, for operators. */
  report(): DataLossStatus {
    const { state, since, evidence, falseAlarms } = this.alarm;
    return {
      state,
      sinceS: Math.round((this.options.clock.now() - since) / TENTH_OF_SECOND) / 10,
      evidence,
      falseAlarms,
      seen: { ...this.observations.combined(), revision: this.highestRevision },
    };
  }

  private compareWithObservations(sentAt: Micros, shown: HighWaterMarks): Evidence[] {
    const observations = this.observations.madeBefore(sentAt, this.options.clock.now());
    return observations.flatMap((observation) => {
      const inconsistencies = findInconsistencies(observation.marks, shown);
      return toEvidence(observation.source, [...inconsistencies, ...this.validDisagreement(observation)]);
    });
  }

  /** A peer that disagrees counts if it has observed more than this node had: another history may have grown beyond that. */
  private validDisagreement(observation: Observation): Inconsistency[] {
    const { marks, disagreesSinceRevision } = observation;
    const known = marks.revision ?? 0;
    if (disagreesSinceRevision === null) return [];
    if (known <= disagreesSinceRevision || this.observations.isOverruled(observation)) return [];
    return [{ kind: 'peer_disagrees', known }];
  }
}

function missingKeyInconsistencies(keys: readonly string[]): Inconsistency[] {
  return keys.map((key) => ({ kind: 'key_missing', key }));
}
