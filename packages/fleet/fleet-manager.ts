import type { Destination, MachineEntry, Ledger, Logger, RecordDraft } from '#cluster';
import { MAX_DELETE, MAX_RENT } from '#cloud';
import { type FencedCloud, RentalIntent, ReturnIntent, type TermProof } from '#duties';
import { type Clock, fromSeconds, type MachineType, type Micros, MS, SECOND } from '#wire';
import { MachineList } from './machine-list.js';
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

const HIRE_RETRY: Micros = 2 * SECOND;
const HIRE_PATIENCE: Micros = 20 * SECOND;
const REFUSAL: Micros = 10 * SECOND;
const MOST_REFUSAL: Micros = 40 * SECOND;
const GONE_KEPT: Micros = 120 * SECOND;

type Pending = Required<Pick<RecordDraft, 'machines' | 'removed' | 'rentals' | 'settledRentals' | 'moves'>>;

/**
 * Rents and returns machines for the leader. What it wants written into the leader's log it gathers in
 * `pending`; what it asks of the cloud it takes from the ledger, so a request is always recorded before it is
 * made. The cloud may execute it minutes late, under a successor: so a machine is named for return first, which
 * is final, and deleted once its owner has let it go or the cloud's list shows that it stopped or is gone.
 */
export class FleetManager {
  private pending: Pending = empty();
  private readonly asking = new Map<string, Micros>();
  private readonly refusals = new Map<string, { until: Micros; pause: Micros }>();
  private readonly gone = new Map<string, Micros>();
  private readonly idleSince = new Map<string, Micros>();
  private readonly list: MachineList;
  private deleting = false;
  private rentals = 0;
  private since: Micros = 0;
  /** The term of the lead under which everything is asked. */
  private proof: TermProof | null = null;

  constructor(
    private readonly cloud: FencedCloud,
    private readonly clock: Clock,
    private readonly facts: () => FleetFacts,
    private readonly log: Logger,
    private readonly wake: () => void,
  ) {
    this.list = new MachineList(cloud, clock, () => facts().listLag);
  }

  /** A new term starts from what the log says. */
  begin(proof: TermProof): void {
    this.proof = proof;
    this.pending = empty();
    for (const map of [this.asking, this.refusals, this.gone, this.idleSince]) map.clear();
    this.list.begin();
    this.since = this.clock.now();
  }

  /** What is to go into the next record; it stays pending until {@link landed} is told of it. */
  draft(): RecordDraft {
    this.dropRecorded();
    const { machines, removed, rentals, settledRentals, moves } = this.pending;
    return {
      machines: [...machines],
      removed: [...removed],
      rentals: [...rentals],
      settledRentals: [...settledRentals],
      moves: [...moves],
    };
  }

  /**
   * A record whose answer was lost may have landed all the same, and its rows lie here still. Written again, the name
   * of a rental that is settled in between would be used twice.
   */
  private dropRecorded(): void {
    const { ledger } = this.facts();
    const { pending } = this;
    pending.rentals = pending.rentals.filter(([id]) => !ledger.rentals.has(id));
    pending.settledRentals = pending.settledRentals.filter((id) => ledger.rentals.has(id));
    pending.machines = pending.machines.filter(([host]) => !ledger.hosts.has(host));
    pending.removed = pending.removed.filter((host) => ledger.hosts.has(host));
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
    const { proof } = this;
    if (!proof) return;
    const { ledger } = this.facts();
    this.list.noteMachines(ledger);
    for (const share of shares) this.rent(share, proof);
    for (const rental of ledger.rentals.keys()) void this.ask(rental, proof);
    void this.adoptListed(proof);
    this.sendBack(shares.some((s) => s.needs.length > 0));
    this.giveUp();
    void this.deleteReturned(proof);
    if (isFilled(this.pending)) this.wake();
  }

  private age(host: MachineEntry): Micros {
    return Math.max(0, this.clock.wall() - host.since * MS);
  }

  private isBooting(host: MachineEntry): boolean {
    const boot = fromSeconds(this.facts().types.get(host.machineType)?.bootS ?? 60);
    return host.status === 'new' && this.age(host) <= boot * 2.2 + 5 * SECOND;
  }

  private rent({ share, needs, soon, reaches }: ShareNeeds, { term }: TermProof): void {
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
        // Unique by the term, which no other holder has, and the count of this process; the time is for readers.
        const rental = `hire-${Math.floor(this.clock.wall() / SECOND)}-${term}-${++this.rentals}`;
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

  private async ask(name: string, proof: TermProof): Promise<void> {
    const rental = this.facts().ledger.rentals.get(name);
    const now = this.clock.now();
    if (!rental || (this.asking.get(name) ?? -Infinity) > now || this.pending.settledRentals.includes(name))
      return;
    this.asking.set(name, now + HIRE_RETRY + 5 * SECOND);
    const { number } = rental;
    const result = await this.cloud.rent(proof, RentalIntent.fromRecord(rental));
    if (result.kind === 'superseded' || this.facts().ledger.rentals.get(name) === undefined) return;
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

  /** Machines that the list shows and no record knows come into a share. */
  private async adoptListed(proof: TermProof): Promise<void> {
    const rows = await this.list.refresh(proof, this.facts().ledger);
    if (!rows) return;
    const { shareFor } = this.facts();
    for (const { host, machineType, zone, spot, ageS } of rows) {
      const isOpen = !this.list.stopped.has(host) && this.isUnknown(host);
      if (isOpen) this.adopt(host, { machineType, zone, spot }, shareFor(zone), ageS);
    }
    const now = this.clock.now();
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

  /** Machines that are of no more use are named for return: from then on nobody can use them again. */
  private giveUp(): void {
    for (const host of this.facts().ledger.hosts.values()) {
      const why = host.destination === 'return' ? null : this.reasonToGiveUp(host);
      if (why !== null) this.move(host.host, 'return', why);
    }
  }

  private reasonToGiveUp(host: MachineEntry): string | null {
    if (host.status === 'lost') return 'lost';
    const listing = this.list.verdict(host);
    if (listing !== null) return listing;
    const { lease, isCut } = this.facts();
    // A worker may have come up while its owner could not be reached: a new leader gives it time.
    const patient = this.clock.now() - this.since < lease || isCut(host.zone);
    return host.status === 'new' && !this.isBooting(host) && !patient ? 'late' : null;
  }

  private returnIntents(): Map<string, ReturnIntent> {
    const intents = new Map(this.list.stopped);
    for (const host of this.facts().ledger.hosts.values()) {
      if (this.pending.removed.includes(host.host)) continue;
      const intent = ReturnIntent.fromRecord(host, this.list.verdict(host));
      if (intent) intents.set(host.host, intent);
    }
    return intents;
  }

  /**
   * Deletes what the record that has just landed named, without waiting for the next step: on a large fleet that is
   * seconds away, and tasks on machines that are gone start elsewhere only once the deletion is answered.
   */
  deleteNamed(): void {
    if (this.proof) void this.deleteReturned(this.proof);
  }

  private async deleteReturned(proof: TermProof): Promise<void> {
    if (this.deleting) return;
    const intents = [...this.returnIntents().values()].slice(0, MAX_DELETE);
    if (intents.length === 0) return;
    this.deleting = true;
    const isGone = await this.cloud.delete(proof, intents);
    this.deleting = false;
    if (!isGone) return;
    const reasons = intents.map(({ host, reason }) => [host, reason]);
    this.log.info({ hosts: Object.fromEntries(reasons) }, 'machines returned');
    for (const { host } of intents) {
      this.gone.set(host, this.clock.now() + GONE_KEPT);
      this.list.stopped.delete(host);
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
