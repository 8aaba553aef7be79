import {
  TOKEN_KEY,
  cutZones,
  eligible,
  encodeMachineTypeRow,
  encodeOwner,
  encodeToken,
  type LogId,
  type Logger,
  type LogWriter,
  type Membership,
  planShares,
  type RecordDraft,
  type Replica,
  shareKey,
  TYPES,
  UNREADABLE_TOKEN,
  zonePair,
} from '#cluster';
import type { FencedCloud, FencedStore, TermProof } from '#duties';
import { shapeOf } from '#pricing';
import {
  amountsOf,
  type Drainable,
  type DrainOptions,
  FleetManager,
  type MovableMachine,
  planDrains,
  planMoves,
  type ShareNeeds,
  Standby,
  usedPart,
} from '#fleet';
import type { Settings } from '#settings';
import { isTooLarge, type Write, type WriteLimits } from '#store';
import { type Clock, fromSeconds, type MachineType, type Micros, SECOND } from '#wire';
import type { Forecaster, OwnerForecast } from './forecast.js';
import type { RunTimes } from './run-times.js';

const TYPES_EVERY: Micros = 20 * SECOND;
/** Least time between two changes of shares that nobody is waiting for. */
const REBALANCE: Micros = 3 * SECOND;
/** A moved machine stays where it is for so long. */
const SETTLE: Micros = 6 * SECOND;
const PRICE_GAP = 0.5;
const MOST_OWED = 10;
/** Foreseeing every owner's round costs as much as all of them: what it took is left to the rest so many times. */
const FORESIGHT_REST = 6;
const DRAIN: DrainOptions = { poor: 0.6, patience: 6 * SECOND, spare: 2 };
/** How often the log says how the fleet stands. */
const LOG_EVERY: Micros = 10 * SECOND;

export interface LeaderParts {
  settings: Settings;
  clock: Clock;
  store: FencedStore;
  cloud: FencedCloud;
  replica: Replica;
  membership: Membership;
  writer: LogWriter;
  limits: WriteLimits;
  forecaster: Forecaster;
  runTimes: RunTimes;
  log: Logger;
  wake: () => void;
}

/** What the node that leads does besides owning shares: deals out shares, moves, rents and returns machines. */
export class Leader {
  private readonly fleet: FleetManager;
  private term = 0;
  private lastTypes: Micros = -Infinity;
  private lastShares: Micros = -Infinity;
  private recording = false;
  private nextStep: Micros = -Infinity;
  private lastLogged: Micros = -Infinity;
  private assigning = false;
  private readonly poorSince = new Map<string, Micros>();
  private readonly standby = new Standby();
  private readonly movedAt = new Map<string, Micros>();

  constructor(private readonly parts: LeaderParts) {
    const { cloud, clock, log, wake } = parts;
    this.fleet = new FleetManager(
      cloud,
      clock,
      () => ({
        ledger: parts.replica.ledger,
        types: parts.replica.types,
        lease: parts.settings.lease,
        listLag: parts.settings.listLag,
        shareFor: (zone) => this.shareFor(zone),
        isStandby: (host) => this.standby.isHeld(host),
        isCut: (zone) => [...this.cuts()].some((pair) => pair.split('|').includes(zone)),
      }),
      log,
      wake,
    );
  }

  /** One step, taken after each of the node's rounds while it leads. `fresh`: the state is recent enough. */
  step(fresh: boolean): void {
    const { membership, replica, clock, forecaster, writer } = this.parts;
    const proof = membership.duties.prove('lead');
    if (!proof) return;
    if (proof.term !== this.term) this.begin(proof);
    if (replica.types.size === 0 || clock.now() - this.lastTypes > TYPES_EVERY) void this.readTypes(proof);
    void this.dealShares(proof);
    if (!fresh || this.recording || clock.now() < this.nextStep) return;
    const began = clock.now();
    this.leaveCutZones();
    this.standby.observe(this.hostsOfPromptJobs(), clock.now());
    const forecasts = forecaster.forecast(replica.owners);
    const needs = this.move(forecasts);
    if (needs.every((n) => n.needs.length === 0)) this.drain(forecasts);
    this.fleet.step(needs);
    this.logFleet();
    this.nextStep = clock.now() + (clock.now() - began) * FORESIGHT_REST;
    void this.record();
    void writer.tidy();
  }

  /** Writes what the fleet manager wants recorded. The node's own rounds go on meanwhile: their logs are others. */
  private async record(): Promise<void> {
    const draft = this.fleet.draft();
    if (!isWorthARecord(draft)) return;
    this.recording = true;
    try {
      const landed = await this.parts.writer.append(new Map<LogId, RecordDraft>([['lead', draft]]));
      if (!landed) return;
      this.fleet.landed(draft);
      this.fleet.deleteNamed();
    } finally {
      this.recording = false;
    }
  }

  private begin(proof: TermProof): void {
    this.term = proof.term;
    this.lastTypes = -Infinity;
    this.lastShares = -Infinity;
    this.nextStep = -Infinity;
    this.movedAt.clear();
    this.poorSince.clear();
    this.standby.clear();
    this.fleet.begin(proof);
  }

  private cuts(): Set<string> {
    return cutZones([...this.parts.replica.members.values()]);
  }

  private reaches(member: string, zone: string, cuts: ReadonlySet<string>): boolean {
    const memberZone = this.parts.replica.members.get(member)?.zone;
    return memberZone === undefined || memberZone === zone || !cuts.has(zonePair(memberZone, zone));
  }

  /** Gives shares without a living owner a new one, and evens out what members own. */
  private async dealShares(proof: TermProof): Promise<void> {
    const { replica, store, settings, limits, log, clock } = this.parts;
    if (this.assigning || replica.token.value === UNREADABLE_TOKEN) return;
    const members = eligible([...replica.members.values()]);
    const plan = planShares(settings.initialSize, replica.owners, members, this.weights());
    const orphaned = plan.some(({ share }) => {
      const owner = replica.owners.get(share);
      const holder = members.find((m) => m.member === owner?.member && m.nonce === owner.nonce);
      return !holder || holder.resigned.includes(share);
    });
    if (plan.length === 0 || (!orphaned && clock.now() - this.lastShares < REBALANCE)) return;
    this.assigning = true;
    this.lastShares = clock.now();
    const token = replica.token.value + 1;
    const some = plan.slice(0, limits.txnOps - 1);
    const guards = [
      { path: TOKEN_KEY, revision: replica.token.revision },
      ...some.map(({ share }) => ({
        path: shareKey(share),
        revision: replica.owners.get(share)?.revision ?? 0,
      })),
    ];
    const writes: Write[] = [{ set: TOKEN_KEY, value: encodeToken(token) }];
    for (const { share, member } of some) {
      const memberRecord = replica.members.get(member);
      if (!memberRecord) continue;
      const value = encodeOwner({ member, nonce: memberRecord.nonce, token });
      writes.push({ set: shareKey(share), value, leaseId: memberRecord.leaseId });
    }
    const result = await store.commit([proof], 'deal shares', guards, writes);
    if (result.kind === 'applied') {
      await replica.reach(result.epoch, SECOND);
      log.info({ token, shares: Object.fromEntries(some.map((a) => [a.share, a.member])) }, 'shares dealt');
    }
    if (isTooLarge(result)) limits.shrink();
    this.assigning = false;
  }

  /** A member counts by the CPUs that it can reach, each shared with all others that reach them. */
  private weights(): Map<string, number> {
    const { replica } = this.parts;
    const cuts = this.cuts();
    const members = [...replica.members.keys()];
    const weights = new Map<string, number>();
    if (cuts.size === 0) return weights;
    for (const host of replica.ledger.hosts.values()) {
      const cpus = replica.types.get(host.machineType)?.cpus ?? 1;
      const near = members.filter((m) => this.reaches(m, host.zone, cuts));
      for (const m of near) weights.set(m, (weights.get(m) ?? 0) + cpus / near.length);
    }
    return weights;
  }

  /** Machines whose owner is cut off from their zone go to one that their workers can reach. */
  private leaveCutZones(): void {
    const { replica } = this.parts;
    const cuts = this.cuts();
    if (cuts.size === 0) return;
    for (const host of replica.ledger.hosts.values()) {
      const owner = replica.owners.get(
        typeof host.destination === 'number' ? host.destination : (host.share ?? -1),
      );
      if (!owner || host.destination === 'return' || this.reaches(owner.member, host.zone, cuts)) continue;
      const share = this.shareFor(host.zone);
      if (share !== host.share) this.fleet.move(host.host, share, 'cut');
    }
  }

  /** The share with the fewest machines among those whose owners reach the zone. */
  private shareFor(zone: string): number {
    const { replica, settings } = this.parts;
    const cuts = this.cuts();
    const counts = new Map<number, number>();
    for (let share = 0; share < settings.initialSize; share++) {
      const owner = replica.owners.get(share);
      if (!owner || this.reaches(owner.member, zone, cuts)) counts.set(share, 0);
    }
    for (const { share, destination } of replica.ledger.hosts.values()) {
      const at = typeof destination === 'number' ? destination : share;
      if (at !== null && counts.has(at)) counts.set(at, (counts.get(at) ?? 0) + 1);
    }
    return [...counts].sort((a, b) => a[1] - b[1])[0]?.[0] ?? 0;
  }

  /** Machines with tasks of jobs that should start sooner than a machine boots. */
  private *hostsOfPromptJobs(): Generator<string> {
    const { replica, forecaster } = this.parts;
    const boot = Math.min(...[...replica.types.values()].map((type) => fromSeconds(type.bootS)));
    for (const [id, entry] of replica.ledger.jobEntries) {
      const spec = replica.jobs.get(id)?.spec;
      if (!spec || forecaster.startAim(spec.jobClass) >= boot) continue;
      for (const placement of entry.placed.values()) yield placement.host;
    }
  }

  /** A gang on it is told what to do by the owner of all its machines as long as that can be had. */
  private holdsGang(host: string): boolean {
    for (const { gangSize } of this.parts.replica.ledger.placementsOn(host)) {
      if (gangSize !== null) return true;
    }
    return false;
  }

  /** Names this round's moves and returns what they leave to be rented for. */
  private move(forecasts: readonly OwnerForecast[]): ShareNeeds[] {
    const { replica, clock, log, forecaster, runTimes } = this.parts;
    const now = clock.now();
    const cuts = this.cuts();
    const machines: MovableMachine[] = [];
    for (const { member, left, kept } of forecasts) {
      for (const [host, room] of left) {
        const entry = replica.ledger.hosts.get(host);
        const type = entry && replica.types.get(entry.machineType);
        if (!type) continue;
        // One that is kept for a task is as good as taken.
        const isMovedOn = now - (this.movedAt.get(host) ?? -Infinity) < SETTLE;
        const settling = kept.has(host) || isMovedOn || this.holdsGang(host);
        const { machineType, zone: memberZone, spot } = entry;
        const busyFor = (): Micros => runTimes.busyFor(host);
        const total = amountsOf(type);
        machines.push({
          host,
          machineType,
          zone: memberZone,
          spot,
          owner: member,
          room,
          total,
          settling,
          busyFor,
        });
      }
    }
    const owners = forecasts.map((o) => ({ ...o, owner: o.member }));
    const reaches = (owner: string, zone: string): boolean => this.reaches(owner, zone, cuts);
    const { moves, left } = planMoves({
      owners,
      machines,
      reaches,
      priceGap: PRICE_GAP,
      mostOwed: MOST_OWED,
    });
    for (const { host, to: destination } of moves) {
      const share = forecasts.find((o) => o.member === destination)?.shares[0];
      if (share === undefined) continue;
      this.movedAt.set(host, now);
      this.fleet.move(host, share, 'needed');
    }
    if (moves.length > 0) log.debug({ moves }, 'moves');
    return forecasts.map((o) => ({
      share: o.shares[0] ?? 0,
      needs: (left.get(o.member) ?? []).map((need) => forecaster.worthRenting(need)),
      soon: o.soon,
      reaches: (zone) => this.reaches(o.member, zone, cuts),
    }));
  }

  /** Poorly used ordinary machines get no new tasks and go home once empty, while the rest has room to spare. */
  private drain(forecasts: readonly OwnerForecast[]): void {
    const { replica, clock } = this.parts;
    const now = clock.now();
    const machines: Drainable[] = [];
    for (const [host, left] of forecasts.flatMap((o) => [...o.left])) {
      const entry = replica.ledger.hosts.get(host);
      const type = entry && replica.types.get(entry.machineType);
      if (!type || this.standby.isHeld(host)) continue;
      const total = amountsOf(type);
      if (usedPart({ total, left }) > DRAIN.poor) this.poorSince.delete(host);
      else if (!this.poorSince.has(host)) this.poorSince.set(host, now);
      const poorFor = now - (this.poorSince.get(host) ?? now);
      const { spot } = entry;
      machines.push({ host, spot, price: spot ? type.spotPrice : type.price, total, left, poorFor });
    }
    for (const host of this.poorSince.keys())
      if (!replica.ledger.hosts.has(host)) this.poorSince.delete(host);
    for (const host of planDrains(machines, DRAIN)) this.fleet.move(host, 'return', 'poorly used');
  }

  /** How the fleet stands: CPUs up and placed, by shape. */
  private logFleet(): void {
    const { replica, clock, log } = this.parts;
    if (clock.now() - this.lastLogged < LOG_EVERY) return;
    this.lastLogged = clock.now();
    const shapes: Record<string, { machines: number; booting: number; cpus: number; placed: number }> = {};
    for (const host of replica.ledger.hosts.values()) {
      const row = (shapes[shapeOf(host.machineType, host.spot)] ??= {
        machines: 0,
        booting: 0,
        cpus: 0,
        placed: 0,
      });
      if (host.status === 'new') row.booting++;
      else {
        row.machines++;
        row.cpus += replica.types.get(host.machineType)?.cpus ?? 0;
        for (const p of replica.ledger.placementsOn(host.host)) row.placed += p.cpus;
      }
    }
    log.info({ jobs: replica.jobs.size, shapes }, 'fleet');
  }

  private async readTypes(proof: TermProof): Promise<void> {
    const { cloud, clock, replica, limits, store } = this.parts;
    this.lastTypes = clock.now();
    const types = await cloud.machineTypes();
    if (!types) this.lastTypes = clock.now() - TYPES_EVERY + SECOND;
    // Read under an earlier term they may be older than what a successor has written.
    if (!types || !proof.isCurrent()) return;
    const changed = types.filter((t) => differs(t, replica.types.get(t.name)));
    const perTxn = limits.txnOps;
    for (let i = 0; i < changed.length; i += perTxn) {
      const writes: Write[] = changed.slice(i, i + perTxn).map((t) => ({
        set: TYPES + t.name,
        value: encodeMachineTypeRow(t),
      }));
      const result = await store.commit([proof], 'write machine types', [], writes);
      if (isTooLarge(result)) limits.shrink();
    }
  }
}

function isWorthARecord(draft: RecordDraft): boolean {
  return Object.values(draft).some((rows) => Array.isArray(rows) && rows.length > 0);
}

/** Spot prices move all the time: only a change worth a write counts. */
function differs(a: MachineType, b: MachineType | undefined): boolean {
  if (!b) return true;
  const { spotPrice: low, ...fixed } = a;
  const { spotPrice: oldLow, ...oldFixed } = b;
  return Math.abs(low - oldLow) > 0.05 * oldLow || JSON.stringify(fixed) !== JSON.stringify(oldFixed);
}
