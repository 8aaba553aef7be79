import type { Destination, MachineEntry, Ledger, Logger, RecordDraft } from '#cluster';
import { MAX_MACHINES_PER_DELETE, MAX_MACHINES_PER_REQUEST } from '#cloud';
import { type FencedCloud, ScaleOutIntent, ScaleInIntent, type TermProof } from '#roles';
import { type Clock, fromSeconds, type MachineType, type Micros, MS, SECOND } from '#wire';
import { MachineList } from './machine-list.js';
import { type Offer, type PendingCapacity, type UnmetDemand, offerKey, resourcesOf } from './offers.js';
import { planScaleIn } from './scale-in-planner.js';
import { planScaleOut } from './scale-out-planner.js';

export interface FleetState {
  ledger: Ledger;
  machineTypes: ReadonlyMap<string, MachineType>;
  workerLease: Micros;
  machineListLag: Micros;
  /** The share that a machine found in this zone should belong to. */
  shardForZone: (zone: string) => number;
  /** Workers in this zone may be up and unheard. */
  isPartitioned: (zone: string) => boolean;
  /** The machine is held ready for jobs that can't wait for one to boot. */
  isInWarmPool: (host: string) => boolean;
}

/** What the leader knows to be wanted by the owner of a share. */
export interface ShardDemand {
  shard: number;
  unmetDemand: readonly UnmetDemand[];
  /** Room that its running tasks are about to leave. */
  pendingCapacity: readonly PendingCapacity[];
  reaches: (zone: string) => boolean;
}

const SCALE_OUT_RETRY: Micros = 2 * SECOND;
const SCALE_OUT_TIMEOUT: Micros = 20 * SECOND;
const INITIAL_BACKOFF: Micros = 10 * SECOND;
const MAX_BACKOFF: Micros = 40 * SECOND;
const DELETED_MACHINE_RETENTION: Micros = 120 * SECOND;

type Pending = Required<
  Pick<RecordDraft, 'machines' | 'removed' | 'scaleOuts' | 'settledScaleOuts' | 'transferTargets'>
>;

/**
 * Rents and returns machines for the leader. What it wants written into the leader's log it gathers in
 * `pending`; what it asks of the cloud it takes from the ledger, so a request is always recorded before it is
 * made. The cloud may execute it minutes late, under a successor: so a machine is named for return first, which
 * is final, and deleted once its owner has let it go or the cloud's list shows that it stopped or is gone.
 */
export class FleetManager {
  private pending: Pending = empty();
  private readonly nextRequestAt = new Map<string, Micros>();
  private readonly capacityBackoff = new Map<string, { until: Micros; pause: Micros }>();
  private readonly recentlyDeleted = new Map<string, Micros>();
  private readonly idleSince = new Map<string, Micros>();
  private readonly machineList: MachineList;
  private deleting = false;
  private scaleOutCount = 0;
  private termStartedAt: Micros = 0;
  /** The term of the lead under which everything is asked. */
  private proof: TermProof | null = null;

  constructor(
    private readonly cloud: FencedCloud,
    private readonly clock: Clock,
    private readonly state: () => FleetState,
    private readonly log: Logger,
    private readonly requestRound: () => void,
  ) {
    this.machineList = new MachineList(cloud, clock, () => state().machineListLag);
  }

  /** A new term starts from what the log says. */
  beginTerm(termProof: TermProof): void {
    this.proof = termProof;
    this.pending = empty();
    for (const map of [this.nextRequestAt, this.capacityBackoff, this.recentlyDeleted, this.idleSince])
      map.clear();
    this.machineList.beginTerm();
    this.termStartedAt = this.clock.now();
  }

  /** What is to go into the next record; it stays pending until {@link onRecordCommitted} is told of it. */
  draft(): RecordDraft {
    this.dropRecorded();
    const {
      machines,
      removed,
      scaleOuts,
      settledScaleOuts: settledRentals,
      transferTargets: moves,
    } = this.pending;
    return {
      machines: [...machines],
      removed: [...removed],
      scaleOuts: [...scaleOuts],
      settledScaleOuts: [...settledRentals],
      transferTargets: [...moves],
    };
  }

  /**
   * A record whose answer was lost may have landed all the same, and its rows lie here still. Written again, the name
   * of a rental that is settled in between would be used twice.
   */
  private dropRecorded(): void {
    const { ledger } = this.state();
    const { pending } = this;
    pending.scaleOuts = pending.scaleOuts.filter(([id]) => !ledger.pendingScaleOuts.has(id));
    pending.settledScaleOuts = pending.settledScaleOuts.filter((id) => ledger.pendingScaleOuts.has(id));
    pending.machines = pending.machines.filter(([host]) => !ledger.machines.has(host));
    pending.removed = pending.removed.filter((host) => ledger.machines.has(host));
  }

  onRecordCommitted(draft: RecordDraft): void {
    const p = this.pending;
    p.machines = p.machines.filter((r) => !draft.machines?.includes(r));
    p.removed = p.removed.filter((r) => !draft.removed?.includes(r));
    p.scaleOuts = p.scaleOuts.filter((r) => !draft.scaleOuts?.includes(r));
    p.settledScaleOuts = p.settledScaleOuts.filter((r) => !draft.settledScaleOuts?.includes(r));
    p.transferTargets = p.transferTargets.filter((r) => !draft.transferTargets?.includes(r));
  }

  setTransferTarget(host: string, to: Destination, why: string): void {
    const entry = this.state().ledger.machines.get(host);
    if (!entry || entry.destination === to || entry.destination === 'return') return;
    if (this.pending.transferTargets.some(([other]) => other === host)) return;
    this.pending.transferTargets.push([host, to]);
    this.log.debug({ host, from: entry.shard, to, why }, 'move');
  }

  /** One step: rents for the given needs, returns what idles, and talks to the cloud. */
  step(shards: readonly ShardDemand[]): void {
    const { proof: termProof } = this;
    if (!termProof) return;
    const { ledger } = this.state();
    this.machineList.noteMachines(ledger);
    for (const shard of shards) this.planShardScaleOut(shard, termProof);
    for (const scaleOut of ledger.pendingScaleOuts.keys()) void this.sendScaleOut(scaleOut, termProof);
    void this.adoptListed(termProof);
    this.scaleInIdle(shards.some((s) => s.unmetDemand.length > 0));
    this.scaleInUnusable();
    void this.deleteScaledIn(termProof);
    if (isFilled(this.pending)) this.requestRound();
  }

  private age(host: MachineEntry): Micros {
    return Math.max(0, this.clock.wall() - host.acquiredAtMs * MS);
  }

  private isBooting(host: MachineEntry): boolean {
    const boot = fromSeconds(this.state().machineTypes.get(host.machineType)?.bootS ?? 60);
    return host.status === 'new' && this.age(host) <= boot * 2.2 + 5 * SECOND;
  }

  private planShardScaleOut(
    { shard, unmetDemand: needs, pendingCapacity: soon, reaches }: ShardDemand,
    { term }: TermProof,
  ): void {
    const { ledger, machineTypes: types } = this.state();
    if (needs.length === 0) return;
    const coming: PendingCapacity[] = [...soon];
    const machinesPerZone = new Map<string, number>();
    for (const host of ledger.machines.values()) {
      machinesPerZone.set(host.zone, (machinesPerZone.get(host.zone) ?? 0) + 1);
      const type = types.get(host.machineType);
      if (type && host.shard === shard && this.isBooting(host))
        coming.push({ ...host, free: resourcesOf(type) });
    }
    const asked = [...ledger.pendingScaleOuts.values()].map((h) => ({ ...h }));
    for (const [, machineType, zone, spot, number, to] of this.pending.scaleOuts) {
      asked.push({ id: '', machineType, zone, spot, count: number, shard: to, requestedAtMs: 0 });
    }
    for (const { machineType, zone, spot, count: number, shard: to } of asked) {
      const type = types.get(machineType);
      for (let i = 0; type && to === shard && i < number; i++) {
        coming.push({ machineType, zone, spot, free: resourcesOf(type) });
      }
    }
    const plans = planScaleOut({
      types: [...types.values()],
      unmetDemand: needs,
      pendingCapacity: coming,
      machinesPerZone,
      isBackedOff: (offer) => this.isBackedOff(offer) || !reaches(offer.zone),
    });
    for (const { machineType, zone, spot, count: wanted } of plans) {
      // A request takes only so many; going on with a dearer kind instead would cost money every hour.
      for (let left = wanted; left > 0; left -= MAX_MACHINES_PER_REQUEST) {
        const number = Math.min(left, MAX_MACHINES_PER_REQUEST);
        // Unique by the term, which no other holder has, and the count of this process; the time is for readers.
        const scaleOut = `hire-${Math.floor(this.clock.wall() / SECOND)}-${term}-${++this.scaleOutCount}`;
        this.pending.scaleOuts.push([scaleOut, machineType, zone, spot, number, shard]);
        this.log.info({ hire: scaleOut, machineType, zone, spot, number, share: shard }, 'renting');
      }
    }
  }

  private isBackedOff(offer: Offer): boolean {
    const refusal = this.capacityBackoff.get(offerKey(offer));
    return refusal !== undefined && refusal.until > this.clock.now();
  }

  private backOff(offer: Offer): void {
    const key = offerKey(offer);
    const pause = Math.min(MAX_BACKOFF, (this.capacityBackoff.get(key)?.pause ?? INITIAL_BACKOFF / 2) * 2);
    this.capacityBackoff.set(key, { until: this.clock.now() + pause, pause });
  }

  private async sendScaleOut(name: string, termProof: TermProof): Promise<void> {
    const scaleOut = this.state().ledger.pendingScaleOuts.get(name);
    const now = this.clock.now();
    if (
      !scaleOut ||
      (this.nextRequestAt.get(name) ?? -Infinity) > now ||
      this.pending.settledScaleOuts.includes(name)
    )
      return;
    this.nextRequestAt.set(name, now + SCALE_OUT_RETRY + 5 * SECOND);
    const { count: number } = scaleOut;
    const result = await this.cloud.requestMachines(termProof, ScaleOutIntent.fromRecord(scaleOut));
    if (result.kind === 'superseded' || this.state().ledger.pendingScaleOuts.get(name) === undefined) return;
    this.nextRequestAt.set(name, this.clock.now() + SCALE_OUT_RETRY);
    if (result.kind === 'rented') {
      for (const host of result.hosts) this.adopt(host, scaleOut, scaleOut.shard, 0);
      if (result.hosts.length < number) this.backOff(scaleOut);
      else this.capacityBackoff.delete(offerKey(scaleOut));
    } else if (result.kind === 'no_capacity') {
      this.backOff(scaleOut);
    } else if (this.clock.wall() - scaleOut.requestedAtMs * MS < SCALE_OUT_TIMEOUT) {
      return;
    }
    // An answer that never came may still have rented machines: the list shows them, and they are adopted.
    this.pending.settledScaleOuts.push(name);
    this.nextRequestAt.delete(name);
    this.log.info({ hire: name, result }, 'rental answered');
    this.requestRound();
  }

  private adopt(host: string, { machineType, zone, spot }: Offer, shard: number, ageS: number): void {
    if (!this.isUnknownMachine(host)) return;
    const since = Math.floor(this.clock.wall() / MS - ageS * 1000);
    this.pending.machines.push([host, machineType, zone, spot, since, shard]);
  }

  private isUnknownMachine(host: string): boolean {
    if (this.state().ledger.machines.has(host) || this.recentlyDeleted.has(host)) return false;
    return !this.pending.machines.some(([other]) => other === host);
  }

  /** Machines that the list shows and no record knows come into a share. */
  private async adoptListed(termProof: TermProof): Promise<void> {
    const rows = await this.machineList.refresh(termProof, this.state().ledger);
    if (!rows) return;
    const { shardForZone: shareFor } = this.state();
    for (const { host, machineType, zone, spot, ageS } of rows) {
      const isOpen = !this.machineList.stoppedMachines.has(host) && this.isUnknownMachine(host);
      if (isOpen) this.adopt(host, { machineType, zone, spot }, shareFor(zone), ageS);
    }
    const now = this.clock.now();
    for (const [host, until] of this.recentlyDeleted) if (until < now) this.recentlyDeleted.delete(host);
  }

  /** Machines that idle, were called back or fail their tasks go home, each once its owner has let it go. */
  private scaleInIdle(short: boolean): void {
    const { ledger } = this.state();
    const now = this.clock.now();
    const idle = [];
    for (const host of ledger.machines.values()) {
      const isEmpty = !ledger.placementsByHost.has(host.host);
      if (!isEmpty || host.status !== 'up') this.idleSince.delete(host.host);
      if (!isEmpty) continue;
      if (host.status === 'recalled' || host.status === 'faulty')
        this.setTransferTarget(host.host, 'return', host.status);
      if (host.status !== 'up') continue;
      const since = this.idleSince.get(host.host) ?? now;
      this.idleSince.set(host.host, since);
      if (!short && !this.state().isInWarmPool(host.host))
        idle.push({ host: host.host, idleFor: now - since, age: this.age(host), spot: host.spot });
    }
    const keep = { ordinary: 15 * SECOND, spot: 40 * SECOND, least: 55 * SECOND };
    for (const host of planScaleIn(idle, keep)) this.setTransferTarget(host, 'return', 'idle');
  }

  /** Machines that are of no more use are named for return: from then on nobody can use them again. */
  private scaleInUnusable(): void {
    for (const host of this.state().ledger.machines.values()) {
      const why = host.destination === 'return' ? null : this.unusableReason(host);
      if (why !== null) this.setTransferTarget(host.host, 'return', why);
    }
  }

  private unusableReason(host: MachineEntry): string | null {
    if (host.status === 'lost') return 'lost';
    const listing = this.machineList.missingReason(host);
    if (listing !== null) return listing;
    const { workerLease: lease, isPartitioned: isCut } = this.state();
    // A worker may have come up while its owner could not be reached: a new leader gives it time.
    const patient = this.clock.now() - this.termStartedAt < lease || isCut(host.zone);
    return host.status === 'new' && !this.isBooting(host) && !patient ? 'late' : null;
  }

  private scaleInIntents(): Map<string, ScaleInIntent> {
    const intents = new Map(this.machineList.stoppedMachines);
    for (const host of this.state().ledger.machines.values()) {
      if (this.pending.removed.includes(host.host)) continue;
      const intent = ScaleInIntent.fromRecord(host, this.machineList.missingReason(host));
      if (intent) intents.set(host.host, intent);
    }
    return intents;
  }

  /**
   * Deletes what the record that has just landed named, without waiting for the next step: on a large fleet that is
   * seconds away, and tasks on machines that are gone start elsewhere only once the deletion is answered.
   */
  deleteNamed(): void {
    if (this.proof) void this.deleteScaledIn(this.proof);
  }

  private async deleteScaledIn(termProof: TermProof): Promise<void> {
    if (this.deleting) return;
    const intents = [...this.scaleInIntents().values()].slice(0, MAX_MACHINES_PER_DELETE);
    if (intents.length === 0) return;
    this.deleting = true;
    const isGone = await this.cloud.deleteMachines(termProof, intents);
    this.deleting = false;
    if (!isGone) return;
    const reasons = intents.map(({ host, reason }) => [host, reason]);
    this.log.info({ hosts: Object.fromEntries(reasons) }, 'machines returned');
    for (const { host } of intents) {
      this.recentlyDeleted.set(host, this.clock.now() + DELETED_MACHINE_RETENTION);
      this.machineList.stoppedMachines.delete(host);
      if (this.state().ledger.machines.has(host)) this.pending.removed.push(host);
    }
    this.requestRound();
  }
}

function empty(): Pending {
  return { machines: [], removed: [], scaleOuts: [], settledScaleOuts: [], transferTargets: [] };
}

function isFilled(pending: Pending): boolean {
  return Object.values(pending).some((rows) => rows.length > 0);
}
