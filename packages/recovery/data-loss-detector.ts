/**
 * Detects data loss in the state service. The detector compares what the state service shows with what this node, its
 * workers and its peers observed earlier. After the first inconsistency the node behaves as if the state service refused
 * its requests, so that the guarantees for an outage hold. The node resumes normal operation once a complete reading of
 * the live state reaches every mark that was ever observed.
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
import { MissingKeyTracker } from './missing-key-tracker.js';
import { highWaterMarksOfHeartbeat, type Observation, Observations } from './observations.js';

/** Number of consecutive incomplete readings that count as data loss. Fewer may be caused by changes made during a reading. */
const INCOMPLETE_READINGS_UNTIL_ALARM = 3;
/** Added to the heartbeat interval, since a worker may try another node before it reaches this one. */
const HEARTBEAT_RETRY_MARGIN: Micros = SECOND;
/** Prefixes of {@link Evidence.source}: evidence of this node, and evidence of a peer. */
const OWN_SOURCE_PREFIX = 'own';
const PEER_SOURCE_PREFIX = 'peer';
/** Lower than every revision, so that a node that has not accepted a reading yet trusts every peer that disagrees. */
const NO_REVISION = -1;
const TENTH_OF_SECOND: Micros = SECOND / 10;

/** Dependencies and settings of {@link DataLossDetector}. */
export interface DataLossDetectorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Time after which an observation expires unless its source repeats it. */
  readonly observationLifetime: Micros;
  /** Number of nodes in the cluster, without this one. */
  readonly peerCount: number;
  /** Time between two heartbeats of a worker. */
  readonly heartbeatInterval: Micros;
}

/** Checks each response of the state service and each reading of the live state against all earlier observations. */
export class DataLossDetector implements RevisionCheck, StateIntegrityCheck {
  private readonly alarm: DataLossAlarm;
  private readonly missingKeyTracker = new MissingKeyTracker();
  private readonly observations: Observations;
  /** The highest revision in any accepted response or reading. */
  private highestRevision = 0;
  private hasAcceptedReading = false;
  private incompleteReadings = 0;
  /** Members that have published a high-water mark since this node started. */
  private readonly peersWithHighWaterMarks = new Set<string>();
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
   * Returns true once this node may accept a reading. A node that has just started has no observations. It first waits for
   * the marks of every peer. Peers that have just started may have none, so waiting until all workers have sent a heartbeat
   * is sufficient, too.
   */
  isReady(): boolean {
    const { clock, peerCount, heartbeatInterval } = this.options;
    if (peerCount > 0 && this.peersWithHighWaterMarks.size === peerCount) return true;
    return clock.now() - this.startedAt > heartbeatInterval + HEARTBEAT_RETRY_MARGIN;
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

  /**
   * Returns false, and raises the alarm, if there is an inconsistency. A response that arrives while the alarm is raised, for
   * example from an old watch, is rejected, since it may belong to any history.
   */
  private checkRevision(revision: number, inconsistencies: readonly Inconsistency[]): boolean {
    if (!this.isOpen()) return false;
    if (inconsistencies.length > 0)
      this.alarm.raise(toEvidence(`${OWN_SOURCE_PREFIX} requests`, inconsistencies));
    else this.highestRevision = Math.max(this.highestRevision, revision);
    return inconsistencies.length === 0;
  }

  verifyReading(reading: StateReading): boolean {
    const { sentAt, current } = reading;
    // A reading that began before the alarm was raised can neither clear nor confirm the alarm.
    if (this.alarm.isRaised() && sentAt <= this.alarm.since) return false;
    this.incompleteReadings = 0;
    const evidence = [
      ...toEvidence(`${OWN_SOURCE_PREFIX} copy`, this.compareWithReplica(reading)),
      ...this.compareWithObservations(sentAt, current),
    ];
    if (evidence.length === 0) this.acceptReading(current);
    else this.alarm.escalate(evidence);
    return evidence.length === 0;
  }

  /**
   * Returns the inconsistencies between the reading and this node's replica. Absent keys count only while the alarm is
   * raised, until they or the keys that replace them are found. Without an alarm they prove nothing: the replica of a node
   * that was disconnected for a long time may hold any number of jobs that have ended since.
   */
  private compareWithReplica({ current, previous, differences }: StateReading): Inconsistency[] {
    if (this.alarm.isRaised()) this.missingKeyTracker.recordAbsent(differences.absent);
    return [
      ...findInconsistencies(previous ?? {}, current),
      ...missingKeyInconsistencies(this.missingKeyTracker.list()),
      ...differences.regressed.map((key): Inconsistency => ({ kind: 'key_regressed', key })),
      ...differences.forked.map((key): Inconsistency => ({ kind: 'history_forked', key })),
    ];
  }

  private acceptReading({ revision }: HighWaterMarks): void {
    this.hasAcceptedReading = true;
    this.highestRevision = Math.max(this.highestRevision, revision);
    if (!this.alarm.isRaised()) return;
    this.missingKeyTracker.clearExplained();
    this.alarm.clear();
  }

  confirmReplica(sentAt: Micros, replicaMarks: HighWaterMarks): boolean {
    if (this.alarm.isRaised()) return false;
    const evidence = this.compareWithObservations(sentAt, replicaMarks);
    if (evidence.length > 0) this.alarm.raise(evidence);
    return evidence.length === 0;
  }

  reportLostKeys(lostKeys: readonly string[]): boolean {
    this.missingKeyTracker.recordRemoved(lostKeys);
    this.alarm.raise(toEvidence(`${OWN_SOURCE_PREFIX} watch`, missingKeyInconsistencies(lostKeys)));
    return true;
  }

  missingKeys(): readonly string[] {
    return this.missingKeyTracker.list();
  }

  reportFoundKey(key: string): void {
    this.missingKeyTracker.markExplained(key);
  }

  reportIncompleteRead(reason: string): void {
    this.incompleteReadings++;
    if (this.incompleteReadings < INCOMPLETE_READINGS_UNTIL_ALARM) return;
    this.incompleteReadings = 0;
    this.alarm.escalate(toEvidence(`${OWN_SOURCE_PREFIX} reading`, [{ kind: 'state_incomplete', reason }]));
  }

  /**
   * Returns the high-water mark to publish to peers; null while this node has observed nothing that could prove a loss.
   * Evidence that came from peers is not passed on, because two peers would keep each other's alarm raised.
   */
  publishedHighWaterMark(): PeerHighWaterMark | null {
    const isInconsistent = this.alarm.evidence.some(({ source }) => !source.startsWith(PEER_SOURCE_PREFIX));
    return this.hasAcceptedReading || isInconsistent
      ? { revision: this.highestRevision, isInconsistent }
      : null;
  }

  /**
   * Returns the fencing token to publish to peers, given the replica's. While the alarm is raised the result may be a higher
   * token that only workers and peers have observed.
   */
  publishedFencingToken(fencingToken: number): number {
    return this.isOpen()
      ? fencingToken
      : Math.max(fencingToken, this.observations.combined().fencingToken ?? 0);
  }

  /** Records the fencing token and the log positions that a worker's heartbeat proves to have existed. */
  observeHeartbeat(heartbeat: Heartbeat): void {
    const source = `worker ${heartbeat.host}`;
    this.observations.record(source, highWaterMarksOfHeartbeat(heartbeat), this.options.clock.now());
  }

  /**
   * Records the marks that a peer has published. Raises the alarm if the peer finds the state inconsistent and has observed
   * more than this node.
   */
  observePeer(member: string, { fencingToken, highWaterMark }: PeerStatus): void {
    const source = `${PEER_SOURCE_PREFIX} ${member}`;
    const observedAt = this.options.clock.now();
    if (highWaterMark === null) {
      this.observations.record(source, { fencingToken }, observedAt);
      return;
    }
    this.peersWithHighWaterMarks.add(member);
    const marks: PartialHighWaterMarks = { fencingToken, revision: highWaterMark.revision };
    if (!highWaterMark.isInconsistent) {
      this.observations.record(source, marks, observedAt);
      return;
    }
    const ownRevision = this.hasAcceptedReading ? this.highestRevision : NO_REVISION;
    const observation = this.observations.recordDisagreement({ source, marks, observedAt, ownRevision });
    const inconsistencies = this.disagreementInconsistencies(observation);
    if (inconsistencies.length > 0) this.alarm.raise(toEvidence(source, inconsistencies));
  }

  /**
   * Returns true if the worker runs tasks that no record in this node's replica has started. The node must not answer such
   * a heartbeat with commands that could end these tasks.
   */
  isWorkerAheadOfReplica(replicaMarks: HighWaterMarks, heartbeat: Heartbeat): boolean {
    const positions = highWaterMarksOfHeartbeat(heartbeat).positions ?? {};
    return findInconsistencies({ positions }, replicaMarks).length > 0;
  }

  /** Returns the detector's state and the evidence for it, for operators. */
  status(): DataLossStatus {
    const { state, since, evidence, falseAlarms } = this.alarm;
    return {
      state,
      sinceS: Math.round((this.options.clock.now() - since) / TENTH_OF_SECOND) / 10,
      evidence,
      falseAlarms,
      seen: { ...this.observations.combined(), revision: this.highestRevision },
    };
  }

  /** Returns the inconsistencies with what workers and peers observed before `sentAt`, as evidence. */
  private compareWithObservations(sentAt: Micros, shownMarks: HighWaterMarks): Evidence[] {
    const observations = this.observations.observedBefore(sentAt, this.options.clock.now());
    return observations.flatMap((observation) => {
      const inconsistencies = findInconsistencies(observation.marks, shownMarks);
      return toEvidence(observation.source, [
        ...inconsistencies,
        ...this.disagreementInconsistencies(observation),
      ]);
    });
  }

  /**
   * Returns an inconsistency if a peer disagrees, has observed a higher revision than this node had when the disagreement
   * began, and is not overruled. This node's current revision is no measure, because a different history may have grown
   * beyond the peer's revision since.
   */
  private disagreementInconsistencies(observation: Observation): Inconsistency[] {
    const { marks, disagreesSinceRevision } = observation;
    const observed = marks.revision ?? 0;
    if (disagreesSinceRevision === null) return [];
    if (observed <= disagreesSinceRevision || this.observations.isOverruled(observation)) return [];
    return [{ kind: 'peer_disagrees', observed }];
  }
}

function missingKeyInconsistencies(keys: readonly string[]): Inconsistency[] {
  return keys.map((key) => ({ kind: 'key_missing', key }));
}
