import type { Destination, MachineEntry, Ledger, Logger, RecordDraft } from '#cluster';
import { type CloudClient, MAX_DELETE, MAX_RENT } from '#cloud';
import {
  type Clock,
  fromSeconds,
  type ListedMachine,
  type MachineType,
  type Micros,
  MS,
  SECOND,
} from '#wire';
import {
  amountsOf,
  type Coming,
  type NeedRow,
  type Offer,
  offerKey,
  planRentals,
  planReturns,
} from './planner.js';

export interface FleetFacts {
  ledger: Ledger;
  types: ReadonlyMap<string, MachineType>;
  lease: Micros;
  listLag: Micros;
  /** The share that a machine found in this zone should belong to. */
  shareFor: (zone: string) => number;
  /** Workers in this zone may be up and unheard. */
  isCut: (zone: string) => boolean;
  /** The machine is held ready for jobs that can't wait for one to boot. */
  isStandby: (host: string) => boolean;
}

/** What the leader knows to be wanted by the owner of a share. */
export interface ShareNeeds {
  share: number;
  needs: readonly NeedRow[];
  /** Room that its running tasks are about to leave. */
  soon: readonly Coming[];
  reaches: (zone: string) => boolean;
}

const LIST_EVERY: Micros = 4 * SECOND;
const HIRE_RETRY: Micros = 2 * SECOND;
const HIRE_PATIENCE: Micros = 20 * SECOND;
const REFUSAL: Micros = 10 * SECOND;
const MOST_REFUSAL: Micros = 40 * SECOND;
const GONE_KEPT: Micros = 120 * SECOND;

type Pending = Required<Pick<RecordDraft, 'machines' | 'removed' | 'rentals' | 'settledRentals' | 'moves'>>;

/**
 * Rents and returns machines for the leader. What it wants written into the leader's log it gathers in
 * `pending`; what it asks of the cloud it takes from the ledger, so a request is always recorded before it is
 * made, and a machine that may be in use is only deleted once its owner has let it go.
 */
export class FleetManager {
  private pending: Pending = empty();
  private readonly asking = new Map<string, Micros>();
  private readonly refusals = new Map<string, { until: Micros; pause: Micros }>();
  private readonly gone = new Map<string, Micros>();
  private readonly idleSince = new Map<string, Micros>();
  private listed: Map<string, ListedMachine> | null = null;
  /** Listed machines that stopped and are in no record. */
  private readonly wrecks = new Set<string>();
  private lastList: Micros = -Infinity;
  private listing = false;
  private deleting = false;
  private rentals = 0;
  private since: Micros = 0;

  constructor(
    private readonly cloud: CloudClient,
    private readonly clock: Clock,
    private readonly facts: () => FleetFacts,
    private readonly log: Logger,
    private readonly wake: () => void,
  ) {}

  /** A new leadership starts from what the log says. */
  reset(): void {
    this.pending = empty();
    for (const map of [this.asking, this.refusals, this.gone, this.idleSince]) map.clear();
    this.wrecks.clear();
    this.listed = null;
    this.lastList = -Infinity;
    this.since = this.clock.now();
  }

  /** What is to go into the next record; it stays pending until {@link landed} is told of it. */
  draft(): RecordDraft {
    const {
      machines: Hosts,
      removed: Gone,
      rentals: Hires,
      settledRentals: Settled,
      moves: Moves,
    } = this.pending;
    return {
      machines: [...Hosts],
      removed: [...Gone],
      rentals: [...Hires],
      settledRentals: [...Settled],
      moves: [...Moves],
    };
  }

  landed(draft: RecordDraft): void {
    const p = this.pending;
    p.machines = p.machines.filter((r) => !draft.machines?.includes(r));
    p.removed = p.removed.filter((r) => !draft.removed?.includes(r));
    p.rentals = p.rentals.filter((r) => !draft.rentals?.includes(r));
    p.settledRentals = p.settledRentals.filter((r) => !draft.settledRentals?.includes(r));
    p.moves = p.moves.filter((r) => !draft.moves?.includes(r));
  }

  move(host: string, to: Destination, why: string): void {
    const entry = this.facts().ledger.hosts.get(host);
    if (!entry || entry.destination === to || entry.destination === 'return') return;
    if (this.pending.moves.some(([other]) => other === host)) return;
    this.pending.moves.push([host, to]);
    this.log.debug({ host, from: entry.share, to, why }, 'move');
  }

  /** One step: rents for the given needs, returns what idles, and talks to the cloud. */
  step(shares: readonly ShareNeeds[]): void {
    const { ledger } = this.facts();
    for (const share of shares) this.rent(share);
    for (const rental of ledger.rentals.keys()) void this.ask(rental);
    void this.list();
    this.sendBack(shares.some((s) => s.needs.length > 0));
    void this.deleteUnwanted();
    if (isFilled(this.pending)) this.wake();
  }

  private age(host: MachineEntry): Micros {
    return Math.max(0, this.clock.wall() - host.since * MS);
  }

  private isBooting(host: MachineEntry): boolean {
    const boot = fromSeconds(this.facts().types.get(host.machineType)?.bootS ?? 60);
    return host.status === 'new' && this.age(host) <= boot * 2.2 + 5 * SECOND;
  }

  private rent({ share, needs, soon, reaches }: ShareNeeds): void {
    const { ledger, types } = this.facts();
    if (needs.length === 0) return;
    const coming: Coming[] = [...soon];
    const machinesPerZone = new Map<string, number>();
    for (const host of ledger.hosts.values()) {
      machinesPerZone.set(host.zone, (machinesPerZone.get(host.zone) ?? 0) + 1);
      const type = types.get(host.machineType);
      if (type && host.share === share && this.isBooting(host))
        coming.push({ ...host, room: amountsOf(type) });
    }
    const asked = [...ledger.rentals.values()].map((h) => ({ ...h }));
    for (const [, machineType, zone, spot, number, to] of this.pending.rentals) {
      asked.push({ id: '', machineType, zone, spot, number, share: to, at: 0 });
    }
    for (const { machineType, zone, spot, number, share: to } of asked) {
      const type = types.get(machineType);
      for (let i = 0; type && to === share && i < number; i++) {
        coming.push({ machineType, zone, spot, room: amountsOf(type) });
      }
    }
    const plans = planRentals({
      types: [...types.values()],
      needs,
      coming,
      machinesPerZone,
      refused: (offer) => this.isRefused(offer) || !reaches(offer.zone),
    });
    for (const { machineType, zone, spot, number: wanted } of plans) {
      // A request takes only so many; going on with a dearer kind instead would cost money every hour.
      for (let left = wanted; left > 0; left -= MAX_RENT) {
        const number = Math.min(left, MAX_RENT);
        const rental = `h-${this.clock.wall()}-${ledger.size}-${++this.rentals}`;
        this.pending.rentals.push([rental, machineType, zone, spot, number, share]);
        this.log.info({ hire: rental, machineType, zone, spot, number, share }, 'renting');
      }
    }
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
    const rental = this.facts().ledger.rentals.get(name);
    const now = this.clock.now();
    if (!rental || (this.asking.get(name) ?? -Infinity) > now || this.pending.settledRentals.includes(name))
      return;
    this.asking.set(name, now + HIRE_RETRY + 5 * SECOND);
    const { machineType, zone, spot, number } = rental;
    const result = await this.cloud.rent({
      id: name,
      machineType,
      zone,
      spot,
      count: number,
    });
    if (this.facts().ledger.rentals.get(name) === undefined) return;
    this.asking.set(name, this.clock.now() + HIRE_RETRY);
    if (result.kind === 'rented') {
      for (const host of result.hosts) this.adopt(host, rental, rental.share, 0);
      if (result.hosts.length < number) this.refuse(rental);
      else this.refusals.delete(offerKey(rental));
    } else if (result.kind === 'no_capacity') {
      this.refuse(rental);
    } else if (this.clock.wall() - rental.at * MS < HIRE_PATIENCE) {
      return;
    }
    // An answer that never came may still have rented machines: the list shows them, and they are adopted.
    this.pending.settledRentals.push(name);
    this.asking.delete(name);
    this.log.info({ hire: name, result }, 'rental answered');
    this.wake();
  }

  private adopt(host: string, { machineType, zone, spot }: Offer, share: number, ageS: number): void {
    if (!this.isUnknown(host)) return;
    const since = Math.floor(this.clock.wall() / MS - ageS * 1000);
    this.pending.machines.push([host, machineType, zone, spot, since, share]);
  }

  private isUnknown(host: string): boolean {
    if (this.facts().ledger.hosts.has(host) || this.gone.has(host)) return false;
    return !this.pending.machines.some(([other]) => other === host);
  }

  private async list(): Promise<void> {
    const now = this.clock.now();
    if (this.listing || now - this.lastList < LIST_EVERY) return;
    this.listing = true;
    this.lastList = now;
    const rows = await this.cloud.machines();
    this.listing = false;
    if (!rows) return;
    this.listed = new Map(rows.map((r) => [r.host, r]));
    const { ledger, shareFor } = this.facts();
    for (const r of rows) {
      const offer = { machineType: r.machineType, zone: r.zone, spot: r.spot };
      if (r.state === 'failed' && !ledger.hosts.has(r.host)) this.wrecks.add(r.host);
      else if (this.isUnknown(r.host)) this.adopt(r.host, offer, shareFor(r.zone), r.ageS);
    }
    for (const [host, until] of this.gone) if (until < now) this.gone.delete(host);
  }

  /** Machines that idle, were called back or fail their tasks go home, each once its owner has let it go. */
  private sendBack(short: boolean): void {
    const { ledger } = this.facts();
    const now = this.clock.now();
    const idle = [];
    for (const host of ledger.hosts.values()) {
      const isEmpty = !ledger.onHost.has(host.host);
      if (!isEmpty || host.status !== 'up') this.idleSince.delete(host.host);
      if (!isEmpty) continue;
      if (host.status === 'recalled' || host.status === 'faulty') this.move(host.host, 'return', host.status);
      if (host.status !== 'up') continue;
      const since = this.idleSince.get(host.host) ?? now;
      this.idleSince.set(host.host, since);
      if (!short && !this.facts().isStandby(host.host))
        idle.push({ host: host.host, idle: now - since, age: this.age(host), spot: host.spot });
    }
    const keep = { ordinary: 15 * SECOND, spot: 40 * SECOND, least: 55 * SECOND };
    for (const host of planReturns(idle, keep)) this.move(host, 'return', 'idle');
  }

  /** Why the machine may be deleted now, or null. */
  private deletionReason(host: MachineEntry): string | null {
    const { listLag, lease, isCut } = this.facts();
    if (host.share === null && host.destination === 'return') return 'returned';
    if (host.status === 'lost') return 'lost';
    const row = this.listed?.get(host.host);
    if (row?.state === 'failed') return 'failed';
    if (host.status === 'up') return null;
    // The list lags by up to twice its nominal time; a machine that it should show by now is gone.
    if (this.listed && !row && this.age(host) > listLag * 2 + 8 * SECOND) return 'not listed';
    // A worker may have come up while its owner could not be reached: a new leader gives it time.
    const patient = this.clock.now() - this.since < lease || isCut(host.zone);
    return host.status === 'new' && !this.isBooting(host) && !patient ? 'late' : null;
  }

  private async deleteUnwanted(): Promise<void> {
    if (this.deleting) return;
    const unwanted = new Map<string, string>();
    for (const host of this.facts().ledger.hosts.values()) {
      const why = this.pending.removed.includes(host.host) ? null : this.deletionReason(host);
      if (why !== null) unwanted.set(host.host, why);
    }
    for (const host of this.wrecks) unwanted.set(host, 'failed');
    const hosts = [...unwanted.keys()].slice(0, MAX_DELETE);
    if (hosts.length === 0) return;
    this.deleting = true;
    const ok = await this.cloud.delete(hosts);
    this.deleting = false;
    if (!ok) return;
    this.log.info({ hosts: Object.fromEntries(unwanted) }, 'machines returned');
    for (const host of hosts) {
      this.gone.set(host, this.clock.now() + GONE_KEPT);
      this.wrecks.delete(host);
      if (this.facts().ledger.hosts.has(host)) this.pending.removed.push(host);
    }
    this.wake();
  }
}

function empty(): Pending {
  return { machines: [], removed: [], rentals: [], settledRentals: [], moves: [] };
}

function isFilled(pending: Pending): boolean {
  return Object.values(pending).some((rows) => rows.length > 0);
}
