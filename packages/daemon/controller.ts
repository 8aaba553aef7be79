import type { Answer } from '#api';
import { CloudClient } from '#cloud';
import {
  LEAD,
  Leadership,
  type LeadershipState,
  LogWriter,
  type LiveJob,
  type Logger,
  type RecordDraft,
  Replica,
  type StartGroup,
  TYPES,
} from '#cluster';
import { FleetKeeper } from '#fleet';
import type { Settings } from '#settings';
import { StoreClient, type Write } from '#store';
import {
  type Caller,
  type Clock,
  type Fields,
  type MachineType,
  type Micros,
  MS,
  parseReport,
  SECOND,
  sleep,
} from '#wire';
import { type Ending, renewalBound, Roster } from '#workers';
import { Scheduler } from './scheduler.js';
import { unavailable, UserDesk } from './users.js';

export interface ControllerParts {
  settings: Settings;
  clock: Clock;
  /** Uniform in [0, 1). */
  random: () => number;
  /** Unique for this start of the process. */
  incarnation: string;
  call: Caller;
  log: Logger;
}

type RoundState = 'resting' | 'planning' | 'committing' | 'finishing' | 'stopped';

/** Least time between two rounds, and the time after which one is played without any news. */
const ROUND_GAP: Micros = 250 * MS;
const ROUND_IDLE: Micros = SECOND;
/** New starts are sent only while the state is known to be no older than this. */
const START_FRESH: Micros = 3 * SECOND;
/** How long the answer to a report with news waits for the round that takes it in. */
const NEWS_WAIT: Micros = 700 * MS;
const TYPES_EVERY: Micros = 20 * SECOND;

/** One node of the service, whole but for its sockets. */
export class Controller {
  readonly users: UserDesk;
  private readonly store: StoreClient;
  private readonly cloud: CloudClient;
  private readonly replica: Replica;
  private readonly leadership: Leadership;
  private readonly writer: LogWriter;
  private readonly roster: Roster;
  private readonly fleet: FleetKeeper;
  private readonly scheduler: Scheduler;
  private readonly clock: Clock;
  private readonly log: Logger;
  private round: RoundState = 'resting';
  private dirty = false;
  private wakeRound: (() => void) | null = null;
  private roundWaiters: (() => void)[] = [];
  private lastRound: Micros = -Infinity;
  private lastTypes: Micros = -Infinity;

  constructor(private readonly parts: ControllerParts) {
    const { settings, clock, call, log } = parts;
    this.clock = clock;
    this.log = log;
    this.store = new StoreClient(settings.state, call);
    this.cloud = new CloudClient(settings.cloud, call);
    this.replica = new Replica(this.store, clock, log);
    this.roster = new Roster(settings);
    this.leadership = new Leadership(
      settings.member,
      parts.incarnation,
      this.store,
      this.replica,
      clock,
      parts.random,
      log,
      (state) => {
        this.onLeadership(state);
      },
    );
    const wall = (): number => Math.floor(clock.wall() / MS);
    this.writer = new LogWriter(this.store, this.replica, this.leadership, wall, settings, log);
    this.users = new UserDesk(settings, this.store, this.replica, clock);
    this.scheduler = new Scheduler(settings, clock, parts.random, this.replica, this.roster, log);
    this.fleet = new FleetKeeper(
      this.cloud,
      clock,
      () => ({
        ledger: this.replica.ledger,
        types: this.replica.types,
        roster: this.roster,
        lease: settings.lease,
        cancel: settings.cancel,
        report: settings.report,
        listLag: settings.listLag,
      }),
      log,
      () => {
        this.wake();
      },
    );
    this.replica.onChange(() => {
      this.wake();
    });
  }

  start(): void {
    void this.replica.run();
    void this.leadership.run();
    void this.playRounds();
    void this.keepFresh();
  }

  stop(): void {
    this.round = 'stopped';
    this.replica.stop();
    this.leadership.stop();
    this.wake();
  }

  /** 200 once this node can take requests. An outage of the state service hits all alike and changes nothing. */
  health(): Answer {
    const ready = this.replica.applied > 0 && this.replica.types.size > 0;
    return ready ? { status: 200, body: { Status: 'ok' } } : unavailable('not ready yet');
  }

  async report(body: unknown): Promise<Answer> {
    const report = parseReport(body);
    if (!report) {
      this.log.debug({ body }, 'not a report');
      return { status: 400, body: { error: 'not a report' } };
    }
    const refusal = this.notEntitled(report.Baton);
    if (refusal) return refusal;
    const lead = this.leadership.held();
    if (!lead || !this.roster.receive(report, lead.baton, this.clock.now())) {
      // An older report than the newest known: its worker has given this exchange up.
      return unavailable('stale report');
    }
    const { Host: host, Build: build, Hall: hall, Loaners: loaners } = report;
    this.fleet.meet({ host, build, hall, loaners, ageS: 0 });
    if (this.scheduler.hasNews(host)) {
      this.wake();
      await this.nextRound(NEWS_WAIT);
    }
    const again = this.notEntitled(report.Baton);
    if (again) return again;
    const now = this.clock.now();
    const fresh = now - this.replica.freshAt < START_FRESH;
    const orders = this.roster.orders(host, this.replica.ledger, this.replica.jobs, fresh);
    this.roster.answered(host, now);
    return { status: 200, body: { Baton: lead.baton, Orders: orders } };
  }

  /** The answer for a worker if this node may not act for the controllers now. */
  private notEntitled(seen: number | bigint): Answer | null {
    const lead = this.leadership.held();
    if (!lead) {
      const other = this.replica.lead;
      return other && other.member !== this.parts.settings.member && this.replica.state === 'following'
        ? { status: 421, body: { Foreman: other.member } }
        : unavailable('no leader known');
    }
    // A higher token than ours: somebody else leads by now.
    if (seen > lead.baton) return unavailable('superseded');
    const unknownFor = this.clock.now() - this.replica.freshAt;
    return unknownFor > renewalBound(this.parts.settings) ? unavailable('state not reachable') : null;
  }

  private onLeadership(state: LeadershipState): void {
    if (state !== 'leading') return;
    this.roster.reset(this.clock.now());
    this.fleet.reset();
    this.scheduler.reset();
    this.lastTypes = -Infinity;
    this.wake();
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
      const gap = this.lastRound + ROUND_GAP - this.clock.now();
      if (gap > 0) await sleep(this.clock, gap);
      if (!this.dirty) await this.rest();
      this.dirty = false;
      this.lastRound = this.clock.now();
      if (this.leadership.held()) {
        const waiters = this.roundWaiters;
        this.roundWaiters = [];
        try {
          await this.playRound();
        } catch (cause) {
          this.log.error({ cause: cause instanceof Error ? cause.stack : String(cause) }, 'round failed');
        }
        for (const done of waiters) done();
      }
      this.enterRound('resting');
    }
  }

  private rest(): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.after(ROUND_IDLE, done);
      this.wakeRound = done;
      function done(): void {
        timer.cancel();
        resolve();
      }
    });
  }

  private async playRound(): Promise<void> {
    this.enterRound('planning');
    const { replica, roster } = this;
    if (replica.types.size === 0 || this.clock.now() - this.lastTypes > TYPES_EVERY) void this.readTypes();
    roster.advance(this.clock.now(), replica.ledger);
    const endings = roster.endings(replica.ledger, replica.jobs, this.clock.now());
    const fresh = this.clock.now() - replica.freshAt < START_FRESH;
    const plan = fresh ? this.scheduler.plan(endings, this.fleet.leaving) : null;
    const fleet = this.fleet.draft();
    const draft: RecordDraft = {
      ...fleet,
      Ends: endings.map(({ placement: p, outcome }) => [p.job, p.index, p.try, outcome]),
      Starts: plan?.starts ?? [],
    };
    if (plan && plan.starts.length > 0) {
      draft.Prices = plan.prices;
      draft.Unmet = plan.unmet;
    }
    if (isWorthARecord(draft)) {
      this.enterRound('committing');
      if (!(await this.writer.append(draft))) return;
      this.fleet.landed(fleet);
      this.settle(endings, plan?.starts ?? []);
    }
    this.enterRound('finishing');
    const complete = [...replica.jobs].filter(([id, job]) => {
      return (replica.ledger.books.get(id)?.done.count ?? 0) >= job.spec.Pieces;
    });
    if (complete.length > 0) await this.writer.finish(complete);
    if (this.leadership.held() && plan) this.fleet.step(plan.needs, plan.soon);
    void this.writer.tidy();
  }

  /** What a record that landed means for what is only remembered here. */
  private settle(endings: Ending[], starts: StartGroup[]): void {
    for (const ending of endings) {
      this.scheduler.learn(ending);
      if (ending.outcome !== 'done') {
        const { piece, host } = ending.placement;
        this.log.info({ piece, host, try: ending.placement.try, outcome: ending.outcome }, 'task ended');
      }
    }
    for (const group of starts) {
      const job: LiveJob | undefined = this.replica.jobs.get(group.Job);
      if (job) for (const [, host] of group.On) this.roster.noteImage(host, job.spec.Bundle);
    }
  }

  private async readTypes(): Promise<void> {
    this.lastTypes = this.clock.now();
    const types = await this.cloud.machineTypes();
    const lead = this.leadership.held();
    if (!types) this.lastTypes = this.clock.now() - TYPES_EVERY + SECOND;
    if (!types || !lead) return;
    const changed = types.filter((t) => differs(t, this.replica.types.get(t.Sku)));
    const { txnOps } = this.parts.settings;
    for (let i = 0; i < changed.length; i += txnOps) {
      const writes: Write[] = changed.slice(i, i + txnOps).map((t) => ({
        set: TYPES + t.Sku,
        value: { Type: t } as unknown as Fields,
      }));
      await this.store.commit([{ path: LEAD, stamp: lead.stamp }], writes);
    }
  }

  /** Keeps the age of the state known: leases may be renewed only while it is small enough. */
  private async keepFresh(): Promise<void> {
    while (!this.stopped()) {
      if (this.replica.state === 'following') await this.replica.barrier();
      await sleep(this.clock, this.leadership.held() ? 800 * MS : 2 * SECOND);
    }
  }
}

function isWorthARecord(draft: RecordDraft): boolean {
  return [draft.Ends, draft.Starts, draft.Hosts, draft.Gone, draft.Hires, draft.Settled].some(
    (rows) => (rows?.length ?? 0) > 0,
  );
}

/** Spot prices move all the time: only a change worth a write counts. */
function differs(a: MachineType, b: MachineType | undefined): boolean {
  if (!b) return true;
  const { LowPrice: low, ...fixed } = a;
  const { LowPrice: oldLow, ...oldFixed } = b;
  return Math.abs(low - oldLow) > 0.05 * oldLow || JSON.stringify(fixed) !== JSON.stringify(oldFixed);
}
