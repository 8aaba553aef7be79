/**
 * Watches for lost state: what the state service shows is compared with what this node, its workers and its peers have
 * seen before. From the first contradiction on the node treats the state service as one that refuses it, so that all
 * bounds of an outage hold; it goes on as soon as a reading bears out all that was ever seen.
 */
import type { Logger, PeerMemory, PeerWord, StateCheck, StateReading, StateSummary } from '#cluster';
import type { EpochCheck } from '#store';
import { type Clock, type Micros, SECOND, type WorkerReport } from '#wire';
import { type Claim, Claims, seenByWorker } from './claims.js';
import { type Contradiction, describeContradiction, findContradictions } from './contradictions.js';
import type { Evidence, LossReport, LossState } from './report.js';

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

export interface LossWatchParts {
  clock: Clock;
  log: Logger;
  /** How long a claim holds that its source doesn't repeat. */
  claimLife: Micros;
  /** The other nodes of the cluster, and how often each worker reports. */
  peerCount: number;
  reportInterval: Micros;
}

export class LossWatch implements EpochCheck, StateCheck {
  private state: LossState = 'serving';
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
  private readonly claims: Claims;
  private readonly rememberingPeers = new Set<string>();
  private readonly startedAt: Micros;
  private readonly closeListeners: (() => void)[] = [];

  constructor(private readonly parts: LossWatchParts) {
    this.startedAt = parts.clock.now();
    this.since = this.startedAt;
    this.claims = new Claims(parts.claimLife);
  }

  isOpen(): boolean {
    return this.state === 'serving';
  }

  /**
   * A node that has just started remembers nothing. Before it believes the state, it hears every peer or, where some have
   * just started themselves, gives the workers the time to report.
   */
  isReady(): boolean {
    const { clock, peerCount, reportInterval } = this.parts;
    if (peerCount > 0 && this.rememberingPeers.size === peerCount) return true;
    return clock.now() - this.startedAt > reportInterval + LISTEN_MARGIN;
  }

  onClose(listener: () => void): void {
    this.closeListeners.push(listener);
  }

  floor(): number {
    return this.highest;
  }

  accepts(floor: number, epoch: number): boolean {
    return this.take(epoch, findContradictions({ epoch: floor }, { epoch }));
  }

  acceptsNew(floor: number, epoch: number): boolean {
    return this.take(
      epoch,
      epoch === floor ? [{ kind: 'epoch_reused', epoch }] : findContradictions({ epoch: floor }, { epoch }),
    );
  }

  /** Takes in an epoch that an answer shows. One that arrives after an alarm, as from an old watch, may be of any history. */
  private take(epoch: number, found: readonly Contradiction[]): boolean {
    if (!this.isOpen()) return false;
    if (found.length > 0) this.notice(evidenceOf(`${OWN} requests`, found));
    else this.highest = Math.max(this.highest, epoch);
    return found.length === 0;
  }

  judge(reading: StateReading): boolean {
    const { sentAt, shown, known } = reading;
    // One that was begun before the alarm can neither end nor confirm it.
    if (this.state !== 'serving' && sentAt <= this.since) return false;
    this.incompleteReadings = 0;
    const found = [
      ...evidenceOf(`${OWN} copy`, [...findContradictions(known ?? {}, shown), ...this.compared(reading)]),
      ...this.contradictedClaims(sentAt, shown),
    ];
    if (found.length === 0) this.accept(shown);
    else this.contradicted(found);
    return found.length === 0;
  }

  /**
   * What the rows of a reading contradict. Keys that are absent count only after an alarm, until they or what follows
   * them are found: without one, a copy that was cut off for long may lack any number of jobs that have ended meanwhile.
   */
  private compared({ differences }: StateReading): Contradiction[] {
    if (this.state !== 'serving') {
      for (const key of differences.absent) if (!this.explained.has(key)) this.missing.add(key);
    }
    return [
      ...[...this.missing].map((key): Contradiction => ({ kind: 'key_missing', key })),
      ...differences.wentBack.map((key): Contradiction => ({ kind: 'key_went_back', key })),
      ...differences.forked.map((key): Contradiction => ({ kind: 'history_forked', key })),
    ];
  }

  confirm(sentAt: Micros, copy: StateSummary): boolean {
    if (this.state !== 'serving') return false;
    const found = this.contradictedClaims(sentAt, copy);
    if (found.length > 0) this.notice(found);
    return found.length === 0;
  }

  refuses(lostKeys: readonly string[]): boolean {
    for (const key of lostKeys) this.missing.add(key);
    const lost = lostKeys.map((key): Contradiction => ({ kind: 'key_missing', key }));
    this.notice(evidenceOf(`${OWN} watch`, lost));
    return true;
  }

  missingKeys(): readonly string[] {
    return [...this.missing];
  }

  found(key: string): void {
    this.missing.delete(key);
    this.explained.add(key);
  }

  incomplete(reason: string): void {
    this.incompleteReadings++;
    if (this.incompleteReadings < INCOMPLETE_READINGS) return;
    this.incompleteReadings = 0;
    this.contradicted(evidenceOf(`${OWN} reading`, [{ kind: 'state_incomplete', reason }]));
  }

  /**
   * For peers; null while this node remembers nothing that could tell of a loss. What it has from a peer only is not told
   * on: two peers would keep each other in alarm.
   */
  memory(): PeerMemory | null {
    const isContradicted = this.evidence.some(({ source }) => !source.startsWith(PEER));
    return this.remembers || isContradicted ? { epoch: this.highest, isContradicted } : null;
  }

  /** The token that peers are told: in an alarm also one that only workers have seen. */
  toldToken(token: number): number {
    return this.isOpen() ? token : Math.max(token, this.claims.joined().token ?? 0);
  }

  /** Takes in what a worker's report shows of the state that it was started under. */
  heardWorker(report: WorkerReport): void {
    this.claims.note(`worker ${report.host}`, seenByWorker(report), this.parts.clock.now());
  }

  /** Takes in what a peer tells of the state that it has seen. */
  heardPeer(member: string, { token, memory }: PeerWord): void {
    const source = `${PEER} ${member}`;
    const now = this.parts.clock.now();
    if (memory === null) {
      this.claims.note(source, { token }, now);
      return;
    }
    this.rememberingPeers.add(member);
    const seen = { token, epoch: memory.epoch };
    if (!memory.isContradicted) {
      this.claims.note(source, seen, now);
      return;
    }
    const known = this.remembers ? this.highest : NOTHING_KNOWN;
    const objections = this.objectionsOf(this.claims.noteObjection(source, seen, now, known));
    if (objections.length > 0) this.notice(evidenceOf(source, objections));
  }

  /** The worker runs tasks that no record of this copy has started: it is told nothing that could end them. */
  isAheadOf(copy: StateSummary, report: WorkerReport): boolean {
    return findContradictions({ positions: seenByWorker(report).positions ?? {} }, copy).length > 0;
  }

  report(): LossReport {
    return {
      state: this.state,
      sinceS: Math.round((this.parts.clock.now() - this.since) / 1e5) / 10,
      evidence: this.evidence,
      falseAlarms: this.falseAlarms,
      seen: { ...this.claims.joined(), epoch: this.highest },
    };
  }

  private contradictedClaims(sentAt: Micros, shown: StateSummary): Evidence[] {
    const claims = this.claims.madeBefore(sentAt, this.parts.clock.now());
    return claims.flatMap((claim) => {
      const found = findContradictions(claim.seen, shown);
      return evidenceOf(claim.source, [...found, ...this.objectionsOf(claim)]);
    });
  }

  /** A peer that remembers more than this node did is believed: another history may have grown beyond what it has seen. */
  private objectionsOf(claim: Claim): Contradiction[] {
    const { seen, objectedAt } = claim;
    const known = seen.epoch ?? 0;
    if (objectedAt === null || known <= objectedAt || this.claims.isOverruled(claim)) return [];
    return [{ kind: 'peer_objects', known }];
  }

  private notice(found: Evidence[]): void {
    if (this.state !== 'serving') return;
    this.enter('noticed', found);
    for (const listener of this.closeListeners) listener();
  }

  /** Whole readings contradict what was seen: the first raises the alarm, the next confirms it. */
  private contradicted(found: Evidence[]): void {
    if (this.state === 'serving') this.notice(found);
    else if (this.state === 'noticed') this.enter('frozen', found);
    else this.evidence = found.slice(0, EVIDENCE_KEPT);
  }

  private accept({ epoch }: StateSummary): void {
    this.remembers = true;
    this.highest = Math.max(this.highest, epoch);
    if (this.state === 'serving') return;
    if (this.state === 'noticed') this.falseAlarms++;
    this.explained.clear();
    this.enter('serving', []);
  }

  private enter(state: LossState, found: Evidence[]): void {
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

function evidenceOf(source: string, found: readonly Contradiction[]): Evidence[] {
  return found.map((contradiction) => ({
    source,
    contradiction,
    text: `${source}: ${describeContradiction(contradiction)}`,
  }));
}
