import type { Answer } from '#api';
import { CloudClient } from '#cloud';
import { type DutyName, FencedCloud, FencedStore, reportDuties } from '#duties';
import {
  CONTACT_STEP,
  LOG_PLACES,
  type MachineEntry,
  type LogId,
  type Logger,
  LogWriter,
  Membership,
  type PeerMemory,
  type PeerWord,
  PeerWatch,
  type Ping,
  type RecordDraft,
  Replica,
  type ShareOwner,
  type StateCopy,
  TRUSTING_STATE_CHECK,
  WorkerContact,
} from '#cluster';
import type { NodeDutyReport, NodeLossReport } from '#operations';
import { LossWatch, writeSnapshot } from '#recovery';
import type { Settings, Tuning } from '#settings';
import { Pace, StoreClient, TRUSTING_EPOCH_CHECK, WriteLimits } from '#store';
import {
  type Caller,
  type Clock,
  type Command,
  encodeRedirect,
  encodeReportAnswer,
  type Micros,
  MS,
  parseReport,
  SECOND,
  sleep,
  type WorkerReport,
} from '#wire';
import { type Ending, renewalBound, WorkerRegistry } from '#workers';
import { Leader } from './leader.js';
import { Forecaster } from './forecast.js';
import { StateFreshness } from './freshness.js';
import { HandOver, type HandOverResult } from './hand-over.js';
import { Preemption } from './preemption.js';
import { RoundInput } from './round-input.js';
import { RunTimes } from './run-times.js';
import { Scheduler } from './scheduler.js';
import { unavailable, JobService } from './job-service.js';

export interface ControllerParts {
  settings: Settings;
  tuning: Tuning;
  clock: Clock;
  /** Uniform in [0, 1). */
  random: () => number;
  /** Unique for this start of the process. */
  incarnation: string;
  call: Caller;
  ping: Ping;
  log: Logger;
}

type RoundState = 'resting' | 'planning' | 'committing' | 'finishing' | 'leading' | 'stopped';

/**
 * How long the answer to a report with news, or to the first one of a machine, waits for the round that takes it
 * in, as a part of the time between reports and at the most. One that misses its round carries neither the next
 * start nor the `reap` that would make the worker report again at once, and the room stands idle until the next
 * report is due.
 */
const NEWS_WAIT = { part: 0.45, most: 1500 * MS };
/** How long a report waits for the round that lets its machine go, or takes it. */
const MOVE_WAIT = { part: 0.2, most: 700 * MS };
/** What the logs may take of the changes that the state service allows; users' jobs need the rest. */
const LOG_PART = 0.5;
/** A node takes what others leave up to so many times its even part, and while so much of all is not in use. */
const MOST_LOG_PARTS = 2.5;
const BUSY_PART = 0.8;
/** What the leader's checkpoints may take of them. */
const CHECKPOINT_PART = 0.16;
/** The same, once a log is so full that its records may soon have to wait for a checkpoint. */
const URGENT_CHECKPOINT_PART = 0.35;
const URGENT_FILL = 0.6;
/** How long a worker or peer that has fallen silent is believed to have seen more than the state service shows. */
const CLAIM_LIFE: Micros = 60 * SECOND;
/** Time between two pages of final answers that a snapshot reads: rounds and users come first. */
const SNAPSHOT_PAGE_GAP: Micros = 250 * MS;
/** A round starts no sooner than so many times its planning after the one before. */
const PLAN_REST = 4;

/** One node of the service, whole but for its sockets. */
export class Controller {
  readonly users: JobService;
  private readonly replica: Replica;
  private readonly membership: Membership;
  private readonly writer: LogWriter;
  private readonly workers: WorkerRegistry;
  private readonly scheduler: Scheduler;
  private readonly runTimes: RunTimes;
  private readonly leader: Leader;
  private readonly handOver: HandOver;
  /** Null unless the operators' settings switch it on. */
  private readonly lossWatch: LossWatch | null;
  /** Every node of the cluster, whether it is up or not. */
  private readonly allNodes: readonly string[];
  private readonly peers: PeerWatch;
  private readonly contact: WorkerContact;
  private readonly freshness: StateFreshness;
  private readonly clock: Clock;
  private readonly log: Logger;
  private round: RoundState = 'resting';
  private dirty = false;
  private wakeRound: (() => void) | null = null;
  private roundWaiters: (() => void)[] = [];
  private lastRound: Micros = -Infinity;
  /** How long the last round's planning kept this node from all else. */
  private planned: Micros = 0;
  /**
   * Machines whose release was sent to the log and may yet land: their workers are not answered, so that
   * nothing this node says can come after the new owner's first word. By host: log and its position then.
   */
  private readonly lettingGo = new Map<string, { log: number; seq: number }>();

  constructor(private readonly parts: ControllerParts) {
    const { settings, clock, call, log } = parts;
    this.clock = clock;
    this.log = log;
    const { tuning } = parts;
    const { member, domain, peers } = settings;
    this.allNodes = [member, ...peers.map((peer) => peer.member)];
    const watch = {
      clock,
      log,
      claimLife: CLAIM_LIFE,
      peerCount: peers.length,
      reportInterval: settings.report,
    };
    this.lossWatch = tuning.noticesLoss ? new LossWatch(watch) : null;
    const { lossWatch } = this;
    const store = new StoreClient(settings.state, call, lossWatch ?? TRUSTING_EPOCH_CHECK);
    const replica = new Replica(
      ...([store, clock, log, settings.stateRps, lossWatch ?? TRUSTING_STATE_CHECK] as const),
    );
    this.replica = replica;
    this.workers = new WorkerRegistry(settings);
    this.contact = new WorkerContact(settings);
    this.freshness = new StateFreshness(replica, clock, settings.peers.length > 0, () => this.isStateWhole());
    const { incarnation, random } = parts;
    this.membership = new Membership(member, domain, incarnation, store, replica, clock, random, log);
    const { membership, workers } = this;
    const pace = new Pace(clock, (used) => this.logRate(used));
    const upkeep = new Pace(clock, () => settings.stateWriteRps * this.checkpointPart());
    const limits = new WriteLimits(settings.valueBytes, settings.txnOps);
    const { duties } = membership;
    const fencedStore = new FencedStore(store, duties);
    const cloud = new FencedCloud(new CloudClient(settings.cloud, call), duties);
    this.writer = new LogWriter(fencedStore, replica, duties, clock, limits, pace, upkeep, log);
    this.users = new JobService(settings, store, replica, clock);
    const runTimes = new RunTimes(clock, replica, workers, log);
    this.runTimes = runTimes;
    const input = new RoundInput(settings, parts.tuning, clock, replica, workers, runTimes);
    const preemption = new Preemption(settings, clock, replica, workers, runTimes);
    this.scheduler = new Scheduler({
      ...{ settings, tuning, random, replica, workers, input, preemption, log },
    });
    const forecaster = new Forecaster(settings, replica, input, runTimes, this.scheduler);
    const { writer } = this;
    const wake = (): void => {
      this.wake();
    };
    this.leader = new Leader({
      ...{
        settings,
        clock,
        store: fencedStore,
        cloud,
        replica,
        membership,
        writer,
        limits,
        forecaster,
        runTimes,
        log,
        wake,
      },
    });
    this.handOver = new HandOver({
      ...{ clock, replica, membership, store: fencedStore, freshness: this.freshness },
      allNodes: this.allNodes,
    });
    this.peers = new PeerWatch(
      settings.peers,
      parts.ping,
      clock,
      log,
      (unreachable) => {
        // A peer without a member key is dead, not out of reach.
        void membership.tell({
          unreachable: unreachable.filter((name) => replica.members.has(name)),
        });
      },
      (word, peer) => {
        this.hear(word, peer);
      },
    );
    replica.onChange(wake);
  }

  start(): void {
    void this.replica.run();
    void this.membership.run();
    void this.playRounds();
    void this.keepFresh();
    void this.watchContact();
    this.peers.start();
  }

  stop(): void {
    this.round = 'stopped';
    this.replica.stop();
    this.membership.stop();
    this.peers.stop();
    this.wake();
  }

  /** This node's copy of the state, for tests and tools. */
  stateCopy(): StateCopy {
    const { state, applied, ledger } = this.replica;
    return { member: this.parts.settings.member, state, applied, ledger };
  }

  /** What this node knows of the cluster's duties, and how old that knowledge is. */
  dutyReport(): NodeDutyReport {
    const { replica, membership } = this;
    const age = this.freshness.age();
    return {
      member: this.parts.settings.member,
      membership: membership.state,
      knowledgeAgeS: Number.isFinite(age) ? Math.round(age / (100 * MS)) / 10 : null,
      duties: reportDuties(membership.duties, replica.ledger, this.clock.now()),
    };
  }

  /** What this node knows of lost state. */
  lossReport(): NodeLossReport {
    const { member } = this.parts.settings;
    return { member, loss: this.lossWatch?.report() ?? null };
  }

  /** The state as this node's copy holds it now, for a file of the operators; null while there is no copy. */
  snapshot(): AsyncIterable<string> | null {
    const { replica, allNodes, clock } = this;
    if (replica.applied === 0) return null;
    const { member } = this.parts.settings;
    const takenAt = Math.floor(clock.wall() / MS);
    const loss = this.lossWatch?.report().state ?? null;
    const finals = async (after: string): ReturnType<Replica['finalsAfter']> => {
      if (after !== '') await sleep(clock, SNAPSHOT_PAGE_GAP);
      return replica.finalsAfter(after);
    };
    return writeSnapshot(replica, { member, nodes: [...allNodes], takenAt, loss }, finals);
  }

  /** Hands a duty over on purpose. */
  resign(duty: DutyName): Promise<HandOverResult> {
    return this.handOver.resign(duty);
  }

  /** Gives up all duties before a planned stop, so that they are vacant for no longer than it takes to elect anew. */
  async retire(): Promise<void> {
    await this.handOver.retire();
    this.stop();
  }

  /** The term under which this node believes to lead; null if it doesn't. */
  leadTerm(): number | null {
    return this.membership.duties.prove('lead')?.term ?? null;
  }

  /** What this node tells its peers. */
  word(): PeerWord {
    const referred = this.contact.referrals(this.clock.now());
    const served = this.freshness.isServed();
    const { value } = this.replica.token;
    const token = this.lossWatch?.toldToken(value) ?? value;
    return { token, served, referred, memory: this.toldMemory() };
  }

  /** What peers are told of this node's memory; nothing while a node of an older version may hear it. */
  private toldMemory(): PeerMemory | null {
    if (!this.lossWatch || !this.replica.allSupport(this.allNodes, 'memory')) return null;
    return this.lossWatch.memory();
  }

  /**
   * 200 once this node can take requests. An outage of the state service hits all alike and changes nothing; if
   * a peer is served and this node alone is not, users are better off elsewhere.
   */
  health(): Answer {
    if (this.freshness.isAlone()) return unavailable('cut off from the state service');
    const ready = this.replica.applied > 0 && this.replica.types.size > 0;
    return ready ? { status: 200, body: { Status: 'ok' } } : unavailable('not ready yet');
  }

  async report(body: unknown): Promise<Answer> {
    const report = parseReport(body);
    if (!report) return { status: 400, body: { error: 'not a report' } };
    this.contact.heard();
    this.lossWatch?.heardWorker(report);
    // Refused in the middle of a move, a worker would look for its owner elsewhere, a second for each node.
    if (this.isMoving(report.host)) await this.takenIn(MOVE_WAIT);
    const refusal = this.notEntitled(report);
    if (refusal) return refusal;
    this.followOwnership();
    const first = !this.workers.sessions.has(report.host);
    // An older report than the newest known: its worker has given this exchange up.
    if (!this.workers.receive(report, this.clock.now())) return unavailable('stale report');
    if (first || this.scheduler.hasNews(report.host)) await this.takenIn(NEWS_WAIT);
    const again = this.notEntitled(report);
    if (again) return again;
    this.followOwnership();
    // While the answer waited, the machine may have left and come back: then nothing is known of its worker.
    if (this.workers.sessions.get(report.host)?.report !== report) return unavailable('stale report');
    const now = this.clock.now();
    const commands = this.workers.commands(
      report.host,
      this.replica.ledger,
      this.replica.jobs,
      this.freshness.isServed(),
    );
    this.workers.answered(report.host, now);
    const allowed = this.isStateWhole() ? commands : commands.filter(isStop);
    return { status: 200, body: encodeReportAnswer({ token: this.replica.token.value, commands: allowed }) };
  }

  /** Nothing contradicts what this node, its workers and its peers have seen of the state. */
  private isStateWhole(): boolean {
    return this.lossWatch?.isOpen() ?? true;
  }

  /** The worker's tasks were started by records that this copy doesn't have: told to end them, it would lose them. */
  private isBehind(report: WorkerReport): boolean {
    return this.lossWatch?.isAheadOf(this.replica.summary(), report) ?? false;
  }

  /** A round of this node lets the machine go at present, or is to take it. */
  private isMoving(host: string): boolean {
    const entry = this.replica.ledger.hosts.get(host);
    if (!entry || this.replica.state !== 'following') return false;
    if (entry.share !== null && !this.isLettingGo(host)) return false;
    return this.ownShares().has(shareOf(entry) ?? -1);
  }

  /** Waits for the next round, which takes in what is known by now. */
  private takenIn({ part, most }: typeof NEWS_WAIT): Promise<void> {
    this.wake();
    return this.nextRound(Math.min(most, this.parts.settings.report * part));
  }

  /** The answer for a worker if this node may not act for the controllers towards it now. */
  private notEntitled(report: WorkerReport): Answer | null {
    const { ledger, owners, token, state } = this.replica;
    const entry = ledger.hosts.get(report.host);
    if (!entry || state !== 'following') return unavailable('machine not known');
    const at = shareOf(entry);
    const owner = at === null ? undefined : owners.get(at);
    if (!owner) return unavailable('no owner known');
    if (!this.ownShares().has(at ?? -1)) {
      if (owner.member === this.parts.settings.member) return unavailable('not ready yet');
      this.contact.sentTo(owner.member, report.host, this.clock.now());
      return { status: 421, body: encodeRedirect(owner.member) };
    }
    if (entry.share === null || this.isLettingGo(report.host)) return unavailable('machine on the move');
    // A higher token than the highest known here: somebody else may own this by now.
    if (report.token > token.value || this.freshness.isOutdated()) return unavailable('superseded');
    if (this.isBehind(report)) return unavailable('state behind the worker');
    return this.freshness.age() > renewalBound(this.parts.settings)
      ? unavailable('state not reachable')
      : null;
  }

  private hear(word: PeerWord, peer: string): void {
    this.lossWatch?.heardPeer(peer, word);
    this.contact.expect(word.referred[this.parts.settings.member] ?? 0);
    this.freshness.hear(word);
  }

  /**
   * Changes a second for this node's logs: its even part of what they may take, or more while the other nodes leave
   * theirs unused, as where one team's share has hundreds of small jobs and the others' next to none. All that the
   * watch shows counts, users' jobs included, and only a state that is known to be recent tells of it.
   */
  private logRate(own: number): number {
    const { replica } = this;
    const { stateWriteRps } = this.parts.settings;
    const even = replica.partOf(stateWriteRps * LOG_PART);
    if (!this.freshness.isServed()) return even;
    const others = Math.max(0, replica.changeRate - own);
    return Math.max(even, Math.min(MOST_LOG_PARTS * even, stateWriteRps * BUSY_PART - others));
  }

  /** The leader's checkpoints get a larger part of all changes while a log has little room left. */
  private checkpointPart(): number {
    const isUrgent = this.replica.fullestLog > URGENT_FILL * LOG_PLACES;
    return isUrgent ? URGENT_CHECKPOINT_PART : CHECKPOINT_PART;
  }

  private ownShares(): Map<number, ShareOwner> {
    return this.membership.shares();
  }

  private followOwnership(): void {
    this.workers.own(this.replica.ledger, this.ownShares(), this.replica.token.value, this.clock.now());
  }

  private isLettingGo(host: string): boolean {
    const gone = this.lettingGo.get(host);
    if (!gone) return false;
    // Another record took the number that the release was sent under: it can't land any more.
    if (this.replica.ledger.seq(gone.log) > gone.seq) this.lettingGo.delete(host);
    return this.lettingGo.has(host);
  }

  private wake(): void {
    this.dirty = true;
    this.wakeRound?.();
  }

  private nextRound(timeout: Micros): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.after(timeout, resolve);
      this.roundWaiters.push(() => {
        timer.cancel();
        resolve();
      });
    });
  }

  private enterRound(state: RoundState): void {
    if (this.round !== 'stopped') this.round = state;
  }

  private stopped(): boolean {
    return this.round === 'stopped';
  }

  private async playRounds(): Promise<void> {
    while (!this.stopped()) {
      // Rounds get longer before anything is late: what planning took is left to workers and users thrice.
      const least = Math.max(this.parts.tuning.roundGap, this.planned * PLAN_REST);
      const gap = Math.max(this.lastRound + least - this.clock.now(), this.writer.wait());
      if (gap > 0) await sleep(this.clock, gap);
      if (!this.dirty) await this.rest();
      this.dirty = false;
      this.lastRound = this.clock.now();
      const waiters = this.roundWaiters;
      this.roundWaiters = [];
      try {
        const fresh = this.freshness.isServed();
        await this.playRound(fresh);
        for (const done of waiters) done();
        this.enterRound('leading');
        this.leader.step(fresh);
      } catch (cause) {
        this.log.error({ cause: cause instanceof Error ? cause.stack : String(cause) }, 'round failed');
      }
      for (const done of waiters) done();
      this.enterRound('resting');
    }
  }

  private rest(): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.after(this.parts.tuning.roundIdle, done);
      this.wakeRound = done;
      function done(): void {
        timer.cancel();
        resolve();
      }
    });
  }

  /** One round over all shares this node owns: one placement record for each share that has news. */
  private async playRound(fresh: boolean): Promise<void> {
    const shares = new Set(this.ownShares().keys());
    this.followOwnership();
    if (shares.size === 0 || !fresh) return;
    this.enterRound('planning');
    const { replica, workers } = this;
    const now = this.clock.now();
    workers.advance(now, replica.ledger);
    const endings = workers.endings(replica.ledger, replica.jobs, now);
    const drafts = this.ownDrafts(shares, endings);
    const plan = this.scheduler.plan(endings, shares);
    this.planned = this.clock.now() - now;
    for (const [share, starts] of plan.starts) {
      const draft = drafts.get(share) ?? {};
      drafts.set(share, { ...draft, starts, prices: plan.prices, unmet: plan.unmet });
    }
    for (const { placement, graceS } of plan.stops) {
      this.log.info({ taskName: placement.taskName, host: placement.host }, 'stopped to make room');
      workers.stop(placement, graceS);
    }
    if (drafts.size > 0) {
      this.enterRound('committing');
      // A team's limit is kept by all its starts being this node's: the plan relies on every share it covers.
      const landed = await this.writer.append(drafts, [...shares]);
      this.settleReleases(drafts, landed);
      if (!landed) return;
      for (const ending of endings) this.noteEnding(ending);
    }
    this.enterRound('finishing');
    const complete = [...replica.jobs].filter(([id, job]) => {
      const done = replica.ledger.jobEntries.get(id)?.done.count ?? 0;
      return done >= job.spec.taskCount && shares.has(this.scheduler.shareOf(job.spec.team));
    });
    if (complete.length > 0) await this.writer.finish(complete, [...shares]);
  }

  /** Ends, what is to be said of machines, and machines that come and go, by share. */
  private ownDrafts(shares: ReadonlySet<number>, endings: readonly Ending[]): Map<LogId, RecordDraft> {
    const { ledger } = this.replica;
    const now = this.clock.now();
    const drafts = new Map<LogId, RecordDraft>();
    const draft = (share: number): RecordDraft => {
      let found = drafts.get(share);
      if (!found) drafts.set(share, (found = {}));
      return found;
    };
    for (const { placement: p, outcome } of endings) {
      const share = ledger.hosts.get(p.host)?.share ?? null;
      if (share !== null) (draft(share).ends ??= []).push([p.job, p.index, p.attempt, outcome]);
    }
    for (const entry of ledger.hosts.values()) {
      const { host, share, destination } = entry;
      if (share === null) {
        if (typeof destination === 'number' && shares.has(destination))
          (draft(destination).takes ??= []).push(host);
        continue;
      }
      if (!shares.has(share)) continue;
      const status = this.workers.status(entry, now);
      if (status !== entry.status) (draft(share).statuses ??= []).push([host, status]);
      // One that goes back to the cloud is let go only when nothing can be on it any more.
      if (destination === null || (destination === 'return' && ledger.onHost.has(host))) continue;
      const report = this.workers.sessions.get(host)?.report;
      (draft(share).releases ??= []).push([host, report ? [report.session, report.sequence] : null]);
      this.lettingGo.set(host, { log: share, seq: Infinity });
    }
    return drafts;
  }

  private settleReleases(drafts: ReadonlyMap<LogId, RecordDraft>, landed: boolean): void {
    for (const [log, draft] of drafts) {
      for (const [host] of draft.releases ?? []) {
        if (landed || log === 'lead') this.lettingGo.delete(host);
        else this.lettingGo.set(host, { log, seq: this.replica.ledger.seq(log) });
      }
    }
  }

  private noteEnding(ending: Ending): void {
    this.runTimes.learn(ending);
    if (ending.outcome === 'done') return;
    const { taskName, host } = ending.placement;
    this.log.info(
      { taskName, host, attempt: ending.placement.attempt, outcome: ending.outcome },
      'task ended',
    );
  }

  /** Tells the leader when the workers of this node reach every node but this one. */
  private async watchContact(): Promise<void> {
    while (!this.stopped()) {
      await sleep(this.clock, CONTACT_STEP);
      this.contact.step(this.ownShares().size > 0, this.clock.now());
      void this.membership.tell({ workersUnreachable: this.contact.state === 'unreachable' });
    }
  }

  /** Keeps the age of the state known: leases may be renewed only while it is small enough. */
  private async keepFresh(): Promise<void> {
    while (!this.stopped()) {
      if (this.replica.state === 'following') await this.replica.barrier();
      await sleep(this.clock, this.ownShares().size > 0 ? 800 * MS : 2 * SECOND);
    }
  }
}

function isStop(command: Command): boolean {
  return command.kind === 'stop';
}

/** The share that a machine belongs to or, between two, is on its way to. */
function shareOf({ share, destination }: MachineEntry): number | null {
  return share ?? (typeof destination === 'number' ? destination : null);
}
