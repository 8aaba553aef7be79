import {
  FENCING_TOKEN_KEY,
  partitionedZonePairs,
  eligibleOwners,
  encodeMachineTypeRow,
  encodeOwner,
  encodeToken,
  type LogId,
  type Logger,
  type LogWriter,
  type Membership,
  planShardAssignments,
  type RecordDraft,
  type Replica,
  shardKey,
  MACHINE_TYPE_PREFIX,
  UNREADABLE_FENCING_TOKEN,
  zonePair,
} from '#cluster';
import type { FencedCloud, FencedStore, TermProof } from '#roles';
import { shapeOf } from '#pricing';
import {
  resourcesOf,
  type DrainCandidate,
  type DrainOptions,
  FleetManager,
  type TransferCandidate,
  planDrains,
  planTransfers,
  type ShardDemand,
  WarmPool,
  utilization,
} from '#fleet';
import type { Settings } from '#settings';
import { isTooLarge, type Write, type WriteLimits } from '#store';
import { type Clock, fromSeconds, type MachineType, type Micros, SECOND } from '#wire';
import type { Forecaster, OwnerForecast } from '#scheduling';
import type { RunTimeEstimator } from '#scheduling';

const MACHINE_TYPE_REFRESH_INTERVAL: Micros = 20 * SECOND;
/** Least time between two changes of shares that nobody is waiting for. */
const REBALANCE_INTERVAL: Micros = 3 * SECOND;
/** A moved machine stays where it is for so long. */
const TRANSFER_COOLDOWN: Micros = 6 * SECOND;
const MIN_PRICE_GAP = 0.5;
const MAX_DEFICIT_TRANSFERS = 10;
/** Foreseeing every owner's round costs as much as all of them: what it took is left to the rest so many times. */
const FORECAST_REST_FACTOR = 6;
const DRAIN: DrainOptions = { maxUtilization: 0.6, minUnderusedTime: 6 * SECOND, spareFactor: 2 };
/** How often the log says how the fleet stands. */
const FLEET_LOG_INTERVAL: Micros = 10 * SECOND;

export interface LeaderOptions {
  settings: Settings;
  clock: Clock;
  store: FencedStore;
  cloud: FencedCloud;
  replica: Replica;
  membership: Membership;
  logWriter: LogWriter;
  writeLimits: WriteLimits;
  forecaster: Forecaster;
  runTimeEstimator: RunTimeEstimator;
  log: Logger;
  requestRound: () => void;
}

/** What the node that leads does besides owning shares: deals out shares, moves, rents and returns machines. */
export class Leader {
  private readonly fleet: FleetManager;
  private term = 0;
  private machineTypesReadAt: Micros = -Infinity;
  private shardsAssignedAt: Micros = -Infinity;
  private recording = false;
  private nextStep: Micros = -Infinity;
  private lastLogged: Micros = -Infinity;
  private assigning = false;
  private readonly underusedSince = new Map<string, Micros>();
  private readonly warmPool = new WarmPool();
  private readonly transferredAt = new Map<string, Micros>();

  constructor(private readonly parts: LeaderOptions) {
    const { cloud, clock, log, requestRound: wake } = parts;
    this.fleet = new FleetManager(
      cloud,
      clock,
      () => ({
        ledger: parts.replica.ledger,
        machineTypes: parts.replica.machineTypes,
        workerLease: parts.settings.workerLease,
        machineListLag: parts.settings.machineListLag,
        shardForZone: (zone) => this.shardForZone(zone),
        isInWarmPool: (host) => this.warmPool.contains(host),
        isPartitioned: (zone) =>
          [...this.partitionedZonePairs()].some((pair) => pair.split('|').includes(zone)),
      }),
      log,
      wake,
    );
  }

  /** One step, taken after each of the node's rounds while it leads. `fresh`: the state is recent enough. */
  step(fresh: boolean): void {
    const { membership, replica, clock, forecaster, logWriter: writer } = this.parts;
    const termProof = membership.roles.proveHeld('lead');
    if (!termProof) return;
    if (termProof.term !== this.term) this.beginTerm(termProof);
    if (
      replica.machineTypes.size === 0 ||
      clock.now() - this.machineTypesReadAt > MACHINE_TYPE_REFRESH_INTERVAL
    )
      void this.refreshMachineTypes(termProof);
    void this.assignShards(termProof);
    if (!fresh || this.recording || clock.now() < this.nextStep) return;
    const began = clock.now();
    this.evacuatePartitionedZones();
    this.warmPool.observe(this.hostsOfLatencySensitiveJobs(), clock.now());
    const forecasts = forecaster.forecast(replica.shardOwners);
    const needs = this.planTransfers(forecasts);
    if (needs.every((n) => n.unmetDemand.length === 0)) this.planDrains(forecasts);
    this.fleet.step(needs);
    this.logFleet();
    this.nextStep = clock.now() + (clock.now() - began) * FORECAST_REST_FACTOR;
    void this.recordFleetChanges();
    void writer.maintain();
  }

  /** Writes what the fleet manager wants recorded. The node's own rounds go on meanwhile: their logs are others. */
  private async recordFleetChanges(): Promise<void> {
    const draft = this.fleet.draft();
    if (!isWorthARecord(draft)) return;
    this.recording = true;
    try {
      const landed = await this.parts.logWriter.append(new Map<LogId, RecordDraft>([['lead', draft]]));
      if (!landed) return;
      this.fleet.onRecordCommitted(draft);
      this.fleet.deleteNamed();
    } finally {
      this.recording = false;
    }
  }

  private beginTerm(termProof: TermProof): void {
    this.term = termProof.term;
    this.machineTypesReadAt = -Infinity;
    this.shardsAssignedAt = -Infinity;
    this.nextStep = -Infinity;
    this.transferredAt.clear();
    this.underusedSince.clear();
    this.warmPool.clear();
    this.fleet.beginTerm(termProof);
  }

  private partitionedZonePairs(): Set<string> {
    return partitionedZonePairs([...this.parts.replica.members.values()]);
  }

  private reaches(member: string, zone: string, cuts: ReadonlySet<string>): boolean {
    const memberZone = this.parts.replica.members.get(member)?.zone;
    return memberZone === undefined || memberZone === zone || !cuts.has(zonePair(memberZone, zone));
  }

  /** Gives shares without a living owner a new one, and evens out what members own. */
  private async assignShards(termProof: TermProof): Promise<void> {
    const { replica, store, settings, writeLimits: limits, log, clock } = this.parts;
    if (this.assigning || replica.fencingToken.value === UNREADABLE_FENCING_TOKEN) return;
    const members = eligibleOwners([...replica.members.values()]);
    const plan = planShardAssignments({
      shardCount: settings.initialSize,
      owners: replica.shardOwners,
      members,
      weights: this.weights(),
    });
    const orphaned = plan.some(({ shard }) => {
      const owner = replica.shardOwners.get(shard);
      const holder = members.find((m) => m.member === owner?.member && m.nonce === owner.nonce);
      return !holder || holder.resignedShards.includes(shard);
    });
    if (plan.length === 0 || (!orphaned && clock.now() - this.shardsAssignedAt < REBALANCE_INTERVAL)) return;
    this.assigning = true;
    this.shardsAssignedAt = clock.now();
    const fencingToken = replica.fencingToken.value + 1;
    const some = plan.slice(0, limits.txnOps - 1);
    const guards = [
      { path: FENCING_TOKEN_KEY, revision: replica.fencingToken.revision },
      ...some.map(({ shard }) => ({
        path: shardKey(shard),
        revision: replica.shardOwners.get(shard)?.revision ?? 0,
      })),
    ];
    const writes: Write[] = [{ set: FENCING_TOKEN_KEY, value: encodeToken(fencingToken) }];
    for (const { shard, member } of some) {
      const memberRecord = replica.members.get(member);
      if (!memberRecord) continue;
      const value = encodeOwner({ member, nonce: memberRecord.nonce, token: fencingToken });
      writes.push({ set: shardKey(shard), value, leaseId: memberRecord.leaseId });
    }
    const action = 'deal shares';
    const result = await store.compareAndSwap({ proofs: [termProof], action, guards, writes });
    if (result.kind === 'applied') {
      await replica.waitForRevision(result.epoch, SECOND);
      log.info(
        { token: fencingToken, shares: Object.fromEntries(some.map((a) => [a.shard, a.member])) },
        'shares dealt',
      );
    }
    if (isTooLarge(result)) limits.shrink();
    this.assigning = false;
  }

  /** A member counts by the CPUs that it can reach, each shared with all others that reach them. */
  private weights(): Map<string, number> {
    const { replica } = this.parts;
    const cuts = this.partitionedZonePairs();
    const members = [...replica.members.keys()];
    const weights = new Map<string, number>();
    if (cuts.size === 0) return weights;
    for (const host of replica.ledger.machines.values()) {
      const cpus = replica.machineTypes.get(host.machineType)?.cpus ?? 1;
      const near = members.filter((m) => this.reaches(m, host.zone, cuts));
      for (const m of near) weights.set(m, (weights.get(m) ?? 0) + cpus / near.length);
    }
    return weights;
  }

  /** Machines whose owner is cut off from their zone go to one that their workers can reach. */
  private evacuatePartitionedZones(): void {
    const { replica } = this.parts;
    const cuts = this.partitionedZonePairs();
    if (cuts.size === 0) return;
    for (const host of replica.ledger.machines.values()) {
      const owner = replica.shardOwners.get(
        typeof host.destination === 'number' ? host.destination : (host.shard ?? -1),
      );
      if (!owner || host.destination === 'return' || this.reaches(owner.member, host.zone, cuts)) continue;
      const shard = this.shardForZone(host.zone);
      if (shard !== host.shard) this.fleet.setTransferTarget(host.host, shard, 'cut');
    }
  }

  /** The share with the fewest machines among those whose owners reach the zone. */
  private shardForZone(zone: string): number {
    const { replica, settings } = this.parts;
    const cuts = this.partitionedZonePairs();
    const counts = new Map<number, number>();
    for (let shard = 0; shard < settings.initialSize; shard++) {
      const owner = replica.shardOwners.get(shard);
      if (!owner || this.reaches(owner.member, zone, cuts)) counts.set(shard, 0);
    }
    for (const { shard, destination } of replica.ledger.machines.values()) {
      const at = typeof destination === 'number' ? destination : shard;
      if (at !== null && counts.has(at)) counts.set(at, (counts.get(at) ?? 0) + 1);
    }
    return [...counts].sort((a, b) => a[1] - b[1])[0]?.[0] ?? 0;
  }

  /** Machines with tasks of jobs that should start sooner than a machine boots. */
  private *hostsOfLatencySensitiveJobs(): Generator<string> {
    const { replica, forecaster } = this.parts;
    const boot = Math.min(...[...replica.machineTypes.values()].map((type) => fromSeconds(type.bootS)));
    for (const [id, entry] of replica.ledger.jobs) {
      const spec = replica.jobs.get(id)?.spec;
      if (!spec || forecaster.startObjective(spec.jobClass) >= boot) continue;
      for (const placement of entry.placements.values()) yield placement.host;
    }
  }

  /** A gang on it is told what to do by the owner of all its machines as long as that can be had. */
  private hasGangTask(host: string): boolean {
    for (const { gangSize } of this.parts.replica.ledger.placementsOn(host)) {
      if (gangSize !== null) return true;
    }
    return false;
  }

  /** Names this round's moves and returns what they leave to be rented for. */
  private planTransfers(forecasts: readonly OwnerForecast[]): ShardDemand[] {
    const { replica, clock, log, forecaster, runTimeEstimator: runTimes } = this.parts;
    const now = clock.now();
    const cuts = this.partitionedZonePairs();
    const machines: TransferCandidate[] = [];
    for (const { member, free: left, reservedHosts: kept } of forecasts) {
      for (const [host, room] of left) {
        const entry = replica.ledger.machines.get(host);
        const type = entry && replica.machineTypes.get(entry.machineType);
        if (!type) continue;
        // One that is kept for a task is as good as taken.
        const isMovedOn = now - (this.transferredAt.get(host) ?? -Infinity) < TRANSFER_COOLDOWN;
        const settling = kept.has(host) || isMovedOn || this.hasGangTask(host);
        const { machineType, zone: memberZone, spot } = entry;
        const busyFor = (): Micros => runTimes.busyFor(host);
        const total = resourcesOf(type);
        machines.push({
          host,
          machineType,
          zone: memberZone,
          spot,
          owner: member,
          free: room,
          total,
          isInCooldown: settling,
          busyFor,
        });
      }
    }
    const owners = forecasts.map((o) => ({ ...o, owner: o.member }));
    const reaches = (owner: string, zone: string): boolean => this.reaches(owner, zone, cuts);
    const { transfers: moves, unmetDemand: left } = planTransfers({
      owners,
      machines,
      reaches,
      minPriceGap: MIN_PRICE_GAP,
      maxDeficitTransfers: MAX_DEFICIT_TRANSFERS,
    });
    for (const { host, owner: destination } of moves) {
      const shard = forecasts.find((o) => o.member === destination)?.shards[0];
      if (shard === undefined) continue;
      this.transferredAt.set(host, now);
      this.fleet.setTransferTarget(host, shard, 'needed');
    }
    if (moves.length > 0) log.debug({ moves }, 'moves');
    return forecasts.map((o) => ({
      shard: o.shards[0] ?? 0,
      unmetDemand: (left.get(o.member) ?? []).map((need) => forecaster.worthScalingOut(need)),
      pendingCapacity: o.pendingCapacity,
      reaches: (zone) => this.reaches(o.member, zone, cuts),
    }));
  }

  /** Poorly used ordinary machines get no new tasks and go home once empty, while the rest has room to spare. */
  private planDrains(forecasts: readonly OwnerForecast[]): void {
    const { replica, clock } = this.parts;
    const now = clock.now();
    const machines: DrainCandidate[] = [];
    for (const [host, left] of forecasts.flatMap((o) => [...o.free])) {
      const entry = replica.ledger.machines.get(host);
      const type = entry && replica.machineTypes.get(entry.machineType);
      if (!type || this.warmPool.contains(host)) continue;
      const total = resourcesOf(type);
      if (utilization({ total, free: left }) > DRAIN.maxUtilization) this.underusedSince.delete(host);
      else if (!this.underusedSince.has(host)) this.underusedSince.set(host, now);
      const poorFor = now - (this.underusedSince.get(host) ?? now);
      const { spot } = entry;
      machines.push({
        host,
        spot,
        price: spot ? type.spotPrice : type.price,
        total,
        free: left,
        underusedFor: poorFor,
      });
    }
    for (const host of this.underusedSince.keys())
      if (!replica.ledger.machines.has(host)) this.underusedSince.delete(host);
    for (const host of planDrains(machines, DRAIN))
      this.fleet.setTransferTarget(host, 'return', 'poorly used');
  }

  /** How the fleet stands: CPUs up and placed, by shape. */
  private logFleet(): void {
    const { replica, clock, log } = this.parts;
    if (clock.now() - this.lastLogged < FLEET_LOG_INTERVAL) return;
    this.lastLogged = clock.now();
    const shapes: Record<string, { machines: number; booting: number; cpus: number; placed: number }> = {};
    for (const host of replica.ledger.machines.values()) {
      const row = (shapes[shapeOf(host.machineType, host.spot)] ??= {
        machines: 0,
        booting: 0,
        cpus: 0,
        placed: 0,
      });
      if (host.status === 'new') row.booting++;
      else {
        row.machines++;
        row.cpus += replica.machineTypes.get(host.machineType)?.cpus ?? 0;
        for (const p of replica.ledger.placementsOn(host.host)) row.placed += p.cpus;
      }
    }
    log.info({ jobs: replica.jobs.size, shapes }, 'fleet');
  }

  private async refreshMachineTypes(termProof: TermProof): Promise<void> {
    const { cloud, clock, replica, writeLimits: limits, store } = this.parts;
    this.machineTypesReadAt = clock.now();
    const types = await cloud.listMachineTypes();
    if (!types) this.machineTypesReadAt = clock.now() - MACHINE_TYPE_REFRESH_INTERVAL + SECOND;
    // Read under an earlier term they may be older than what a successor has written.
    if (!types || !termProof.isCurrent()) return;
    const changed = types.filter((t) => differs(t, replica.machineTypes.get(t.name)));
    const perTxn = limits.txnOps;
    for (let i = 0; i < changed.length; i += perTxn) {
      const writes: Write[] = changed.slice(i, i + perTxn).map((t) => ({
        set: MACHINE_TYPE_PREFIX + t.name,
        value: encodeMachineTypeRow(t),
      }));
      const action = 'write machine types';
      const result = await store.compareAndSwap({ proofs: [termProof], action, guards: [], writes });
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
