import type { HostBook, Ledger, Logger, RecordDraft } from '#cluster';
import { type CloudClient, MAX_DELETE, MAX_RENT } from '#cloud';
import type { Roster } from '#workers';
import { type Clock, fromSeconds, type HostRow, type MachineType, type Micros, MS, SECOND } from '#wire';
import {
  amountsOf,
  type Coming,
  type NeedRow,
  type Offer,
  offerKey,
  planRentals,
  planReturns,
} from './planner.js';

/** How a machine stands with the one who rents it. */
export type MachineState = 'booting' | 'up' | 'late' | 'dead' | 'lost';

export interface FleetFacts {
  ledger: Ledger;
  types: ReadonlyMap<string, MachineType>;
  roster: Roster;
  lease: Micros;
  cancel: Micros;
  report: Micros;
  listLag: Micros;
}

const LIST_EVERY: Micros = 4 * SECOND;
const HIRE_RETRY: Micros = 2 * SECOND;
const HIRE_PATIENCE: Micros = 20 * SECOND;
const REFUSAL: Micros = 10 * SECOND;
const MOST_REFUSAL: Micros = 40 * SECOND;
const GONE_KEPT: Micros = 120 * SECOND;

/**
 * Rents and returns machines for the leader. What it wants written into the log it gathers in `pending`;
 * what it asks of the cloud it takes from the ledger, so a request is always recorded before it is made.
 */
export class FleetKeeper {
  /** Hosts that get no new tasks since they are about to be returned. */
  readonly leaving = new Set<string>();
  private pending: Required<Pick<RecordDraft, 'Hosts' | 'Gone' | 'Hires' | 'Settled'>> = empty();
  private asking = new Map<string, Micros>();
  private refusals = new Map<string, { until: Micros; pause: Micros }>();
  private gone = new Map<string, Micros>();
  private listed: { rows: Map<string, HostRow>; at: Micros } | null = null;
  private lastList: Micros = -Infinity;
  private listing = false;
  private deleting = false;
  private hires = 0;
  private ownedSince: Micros = 0;

  constructor(
    private readonly cloud: CloudClient,
    private readonly clock: Clock,
    private readonly facts: () => FleetFacts,
    private readonly log: Logger,
    private readonly wake: () => void,
  ) {}

  reset(): void {
    this.leaving.clear();
    this.pending = empty();
    this.asking.clear();
    this.refusals.clear();
    this.gone.clear();
    this.listed = null;
    this.lastList = -Infinity;
    this.hires = 0;
    this.ownedSince = this.clock.now();
  }

  /** What is to go into the next record; it stays pending until {@link landed} is told of it. */
  draft(): RecordDraft {
    const { Hosts, Gone, Hires, Settled } = this.pending;
    return { Hosts: [...Hosts], Gone: [...Gone], Hires: [...Hires], Settled: [...Settled] };
  }

  landed(draft: RecordDraft): void {
    const { Hosts = [], Gone = [], Hires = [], Settled = [] } = draft;
    this.pending.Hosts = this.pending.Hosts.filter((r) => !Hosts.includes(r));
    this.pending.Gone = this.pending.Gone.filter((r) => !Gone.includes(r));
    this.pending.Hires = this.pending.Hires.filter((r) => !Hires.includes(r));
    this.pending.Settled = this.pending.Settled.filter((r) => !Settled.includes(r));
    for (const host of Gone) this.leaving.delete(host);
  }

  /** A worker reports whose machine is in nobody's books: it is ours to use or to return. */
  meet(row: { host: string; build: string; hall: string; loaners: boolean; ageS: number }): void {
    const { ledger } = this.facts();
    if (ledger.hosts.has(row.host) || this.gone.has(row.host)) return;
    if (this.pending.Hosts.some(([host]) => host === row.host)) return;
    const since = Math.floor(this.clock.wall() / MS - row.ageS * 1000);
    this.pending.Hosts.push([row.host, row.build, row.hall, row.loaners, since]);
    this.wake();
  }

  state(host: HostBook): MachineState {
    const { ledger, roster, types, report, listLag, lease, cancel } = this.facts();
    const session = roster.sessions.get(host.host);
    const age = this.age(host);
    const row = this.listed?.rows.get(host.host);
    const silence = session ? this.clock.now() - session.heardAt : Infinity;
    if (silence < report * 2 + 2 * SECOND) return 'up';
    if (row?.Status === 'failed') return 'dead';
    // The list lags by up to twice its nominal time; a machine that it should show by now is gone.
    const unlisted = this.listed !== null && !row && age > listLag * 2 + 8 * SECOND;
    if (unlisted) return 'dead';
    if (session) return session.state === 'expired' ? 'lost' : 'up';
    const owned = this.clock.now() - this.ownedSince;
    if (ledger.onHost.has(host.host)) {
      // It was up before the last change of owner and has yet to find the new one: that takes a worker some
      // seconds, or as long as a cut lasts. To return it now would throw away what runs on it.
      return owned > cancel ? 'lost' : 'up';
    }
    const boot = fromSeconds(types.get(host.build)?.BootS ?? 60);
    return age > boot * 2.2 + 5 * SECOND && owned > lease ? 'late' : 'booting';
  }

  /** One step: plans rentals for the given needs and returns of what idles, and talks to the cloud. */
  step(needs: readonly NeedRow[], soon: readonly Coming[]): void {
    const { ledger } = this.facts();
    this.rent(needs, soon);
    for (const hire of ledger.hires.values()) void this.ask(hire.hire);
    void this.list();
    void this.giveBack(needs.length > 0);
  }

  private age(host: HostBook): Micros {
    return Math.max(0, this.clock.wall() - host.since * MS);
  }

  private rent(needs: readonly NeedRow[], soon: readonly Coming[]): void {
    const { ledger, types } = this.facts();
    if (needs.length === 0) return;
    const coming: Coming[] = [...soon];
    const perHall = new Map<string, number>();
    for (const host of ledger.hosts.values()) {
      perHall.set(host.hall, (perHall.get(host.hall) ?? 0) + 1);
      const type = types.get(host.build);
      const down = !this.facts().roster.sessions.has(host.host);
      if (type && down && this.state(host) === 'booting') coming.push({ ...host, room: amountsOf(type) });
    }
    const asked = [...ledger.hires.values()].map(
      (h) => [h.hire, h.build, h.hall, h.loaners, h.number] as const,
    );
    for (const [, build, hall, loaners, number] of [...asked, ...this.pending.Hires]) {
      const type = types.get(build);
      for (let i = 0; type && i < number; i++) coming.push({ build, hall, loaners, room: amountsOf(type) });
    }
    const plans = planRentals({
      types: [...types.values()],
      needs,
      coming,
      perHall,
      refused: (offer) => this.isRefused(offer),
      mostPerRequest: MAX_RENT,
    });
    for (const plan of plans) {
      const hire = `h-${ledger.seq}-${this.clock.wall()}-${++this.hires}`;
      this.pending.Hires.push([hire, plan.build, plan.hall, plan.loaners, plan.number]);
      this.log.info({ hire, ...plan }, 'renting');
    }
    if (plans.length > 0) this.wake();
  }

  private isRefused(offer: Offer): boolean {
    const refusal = this.refusals.get(offerKey(offer));
    return refusal !== undefined && refusal.until > this.clock.now();
  }

  private refuse(offer: Offer): void {
    const key = offerKey(offer);
    const pause = Math.min(MOST_REFUSAL, (this.refusals.get(key)?.pause ?? REFUSAL / 2) * 2);
    this.refusals.set(key, { until: this.clock.now() + pause, pause });
  }

  private async ask(name: string): Promise<void> {
    const { ledger } = this.facts();
    const hire = ledger.hires.get(name);
    const now = this.clock.now();
    if (!hire || (this.asking.get(name) ?? -Infinity) > now || this.pending.Settled.includes(name)) return;
    this.asking.set(name, now + HIRE_RETRY + 5 * SECOND);
    const { build, hall, loaners, number } = hire;
    const result = await this.cloud.rent({
      Hire: name,
      Build: build,
      Hall: hall,
      Loaners: loaners,
      Number: number,
    });
    if (this.facts().ledger.hires.get(name) === undefined) return;
    this.asking.set(name, this.clock.now() + HIRE_RETRY);
    if (result.kind === 'rented') {
      for (const host of result.hosts) this.meet({ host, build, hall, loaners, ageS: 0 });
      if (result.hosts.length < number) this.refuse(hire);
      else this.refusals.delete(offerKey(hire));
    } else if (result.kind === 'no_capacity') {
      this.refuse(hire);
    } else if (this.clock.wall() - hire.at * MS < HIRE_PATIENCE) {
      return;
    }
    // An answer that never came may still have rented machines: the list shows them, and they are adopted.
    this.pending.Settled.push(name);
    this.asking.delete(name);
    this.log.info({ hire: name, result }, 'rental answered');
    this.wake();
  }

  private async list(): Promise<void> {
    const now = this.clock.now();
    if (this.listing || now - this.lastList < LIST_EVERY) return;
    this.listing = true;
    this.lastList = now;
    const rows = await this.cloud.machines();
    this.listing = false;
    if (!rows) return;
    this.listed = { rows: new Map(rows.map((r) => [r.Uid, r])), at: now };
    for (const r of rows) {
      if (r.Status === 'failed' && !this.facts().ledger.hosts.has(r.Uid)) this.leaving.add(r.Uid);
      else this.meet({ host: r.Uid, build: r.Build, hall: r.Hall, loaners: r.Loaners, ageS: r.AgeS });
    }
    for (const [host, until] of this.gone) if (until < now) this.gone.delete(host);
  }

  private async giveBack(short: boolean): Promise<void> {
    if (this.deleting) return;
    const { ledger, roster, lease } = this.facts();
    const now = this.clock.now();
    const idle = [];
    const doomed = new Set<string>();
    for (const host of ledger.hosts.values()) {
      if (this.pending.Gone.includes(host.host)) continue;
      const session = roster.sessions.get(host.host);
      const state = this.state(host);
      const empty = !ledger.onHost.has(host.host);
      if (state === 'dead' || state === 'late') doomed.add(host.host);
      else if (state === 'lost' && session && now - session.heardAt > lease + 15 * SECOND)
        doomed.add(host.host);
      else if (empty && session?.state === 'recalled') doomed.add(host.host);
      else if (empty && session && session.errors >= 3) doomed.add(host.host);
      else if (empty && session?.state === 'reporting' && session.idleSince !== null && !short) {
        idle.push({
          host: host.host,
          idle: now - session.idleSince,
          age: this.age(host),
          loaners: host.loaners,
        });
      }
    }
    for (const host of planReturns(idle, { ordinary: 15 * SECOND, spot: 40 * SECOND, least: 55 * SECOND })) {
      doomed.add(host);
    }
    for (const host of this.leaving) doomed.add(host);
    const hosts = [...doomed].slice(0, MAX_DELETE);
    if (hosts.length === 0) return;
    this.deleting = true;
    // From here on no start may be decided for them: what is deleted takes its tasks with it.
    for (const host of hosts) this.leaving.add(host);
    const ok = await this.cloud.delete(hosts);
    this.deleting = false;
    if (!ok) return;
    this.log.info({ hosts }, 'machines returned');
    for (const host of hosts) {
      this.gone.set(host, this.clock.now() + GONE_KEPT);
      roster.forget(host);
      if (this.facts().ledger.hosts.has(host)) this.pending.Gone.push(host);
      else this.leaving.delete(host);
    }
    this.wake();
  }
}

function empty(): Required<Pick<RecordDraft, 'Hosts' | 'Gone' | 'Hires' | 'Settled'>> {
  return { Hosts: [], Gone: [], Hires: [], Settled: [] };
}
