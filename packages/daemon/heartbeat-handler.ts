/** Answers the heartbeats of workers. */
import type { ServiceResponse } from '#api';
import type { MachineEntry, Replica, WorkerReachability } from '#cluster';
import type { DataLossDetector } from '#recovery';
import type { Scheduler } from '#scheduling';
import type { Settings } from '#settings';
import {
  type Clock,
  type Command,
  encodeHeartbeatResponse,
  encodeRedirect,
  type Heartbeat,
  type Micros,
  MS,
  parseHeartbeat,
} from '#wire';
import { renewalBound, type WorkerRegistry } from '#workers';
import type { PendingReleases } from './pending-releases.js';
import type { RoundLoop } from './round-loop.js';
import { unavailable } from './service-responses.js';
import type { ShardOwnership } from './shard-ownership.js';
import type { StateFreshness } from './state-freshness.js';

/** How long a response may wait for the next scheduling round. */
interface RoundWait {
  /** As a part of the heartbeat interval. */
  readonly intervalFraction: number;
  readonly max: Micros;
}

/**
 * The wait of a heartbeat that brings changes, or that is the first of its machine, for the round that records them.
 * A response that misses its round carries neither the next start nor the `reap` that would make the worker send its
 * next heartbeat at once, and the free capacity stays idle until that heartbeat is due.
 */
const CHANGE_WAIT: RoundWait = { intervalFraction: 0.45, max: 1500 * MS };
/** The wait of a heartbeat for the round that releases or acquires its machine. */
const TRANSFER_WAIT: RoundWait = { intervalFraction: 0.2, max: 700 * MS };

/** What a {@link HeartbeatHandler} depends on. */
export interface HeartbeatHandlerOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly replica: Replica;
  readonly workers: WorkerRegistry;
  readonly ownership: ShardOwnership;
  readonly scheduler: Scheduler;
  readonly freshness: StateFreshness;
  readonly workerReachability: WorkerReachability;
  /** Null if data loss is not detected. */
  readonly dataLossDetector: DataLossDetector | null;
  readonly pendingReleases: PendingReleases;
  readonly rounds: RoundLoop;
}

/**
 * Handles heartbeats. A worker gets commands only from the owner of its machine's shard, and only while that owner's
 * copy of the state is known to be recent; this is checked again after each wait.
 */
export class HeartbeatHandler {
  constructor(private readonly options: HeartbeatHandlerOptions) {}

  /** The response to a heartbeat: commands (200), a redirect to the owner (421), or a refusal (400, 503). */
  async handle(body: unknown): Promise<ServiceResponse> {
    const { clock, workers, ownership, scheduler } = this.options;
    const heartbeat = parseHeartbeat(body);
    if (!heartbeat) return { status: 400, body: { error: 'not a report' } };
    this.options.workerReachability.onHeartbeat();
    this.options.dataLossDetector?.observeHeartbeat(heartbeat);
    // A worker refused in the middle of a transfer would look for its owner elsewhere, taking a second for each node.
    if (this.isInTransfer(heartbeat.host)) await this.waitForNextRound(TRANSFER_WAIT);
    const refusal = this.checkAuthority(heartbeat);
    if (refusal) return refusal;
    ownership.syncWorkers();
    const isFirst = !workers.trackedWorkers.has(heartbeat.host);
    // Older than the newest known heartbeat: its worker has given this exchange up.
    if (!workers.onHeartbeat(heartbeat, clock.now())) return unavailable('stale report');
    if (isFirst || scheduler.hasUnrecordedCompletion(heartbeat.host))
      await this.waitForNextRound(CHANGE_WAIT);
    return this.checkAuthority(heartbeat) ?? this.respond(heartbeat);
  }

  /** The response with commands; this node must have authority over the machine. */
  private respond(heartbeat: Heartbeat): ServiceResponse {
    const { clock, workers, replica, freshness } = this.options;
    const { host } = heartbeat;
    this.options.ownership.syncWorkers();
    // The machine may have left and come back while the response waited: then nothing is known of its worker.
    if (workers.trackedWorkers.get(host)?.heartbeat !== heartbeat) return unavailable('stale report');
    const now = clock.now();
    const commands = workers.commands(host, {
      ledger: replica.ledger,
      jobs: replica.jobs,
      allowsStarts: freshness.isFresh(),
    });
    workers.onResponseSent(host, now);
    const allowed = this.isStateIntact() ? commands : commands.filter(isStop);
    const fencingToken = replica.fencingToken.value;
    return { status: 200, body: encodeHeartbeatResponse({ fencingToken, commands: allowed }) };
  }

  /** The response for a worker that this node may not command at present; null if it may. */
  private checkAuthority(heartbeat: Heartbeat): ServiceResponse | null {
    const { replica } = this.options;
    const machine = replica.ledger.machines.get(heartbeat.host);
    if (!machine || replica.state !== 'following') return unavailable('machine not known');
    const shard = shardOfMachine(machine);
    const owner = shard === null ? undefined : replica.shardOwners.get(shard);
    if (!owner) return unavailable('no owner known');
    if (!this.isOwned(shard)) return this.redirect(owner.member, heartbeat.host);
    if (machine.shard === null || this.options.pendingReleases.has(heartbeat.host))
      return unavailable('machine on the move');
    return this.checkState(heartbeat);
  }

  /** The response for a worker whose machine another member, or an earlier start of this one, owns. */
  private redirect(owner: string, host: string): ServiceResponse {
    const { settings, workerReachability, clock } = this.options;
    if (owner === settings.member) return unavailable('not ready yet');
    workerReachability.onRedirect(owner, host, clock.now());
    return { status: 421, body: encodeRedirect(owner) };
  }

  /** The refusal if this node's copy of the state is not recent enough to command the worker; null if it is. */
  private checkState(heartbeat: Heartbeat): ServiceResponse | null {
    const { replica, freshness, settings } = this.options;
    // A higher token than the highest known here: another member may own this shard by now.
    if (heartbeat.fencingToken > replica.fencingToken.value || freshness.isOutdated())
      return unavailable('superseded');
    if (this.isBehindWorker(heartbeat)) return unavailable('state behind the worker');
    return freshness.age() > renewalBound(settings) ? unavailable('state not reachable') : null;
  }

  /** A round of this node is about to release or acquire the machine. */
  private isInTransfer(host: string): boolean {
    const { replica, pendingReleases } = this.options;
    const machine = replica.ledger.machines.get(host);
    if (!machine || replica.state !== 'following') return false;
    if (machine.shard !== null && !pendingReleases.has(host)) return false;
    return this.isOwned(shardOfMachine(machine));
  }

  private isOwned(shard: number | null): boolean {
    return this.options.ownership.ownedShards().has(shard ?? -1);
  }

  /** Waits for the next round, which takes into account what is known by now. */
  private waitForNextRound({ intervalFraction, max }: RoundWait): Promise<void> {
    const { rounds, settings } = this.options;
    return rounds.waitForNextRound(Math.min(max, settings.heartbeatInterval * intervalFraction));
  }

  /** Nothing contradicts what this node, its workers and its peers have observed of the state. */
  private isStateIntact(): boolean {
    return this.options.dataLossDetector?.isOpen() ?? true;
  }

  /**
   * The worker's tasks were started by records that this node's copy of the state doesn't have: commands made from
   * the copy would end these tasks.
   */
  private isBehindWorker(heartbeat: Heartbeat): boolean {
    const { dataLossDetector, replica } = this.options;
    return dataLossDetector?.isWorkerAheadOfReplica(replica.highWaterMarks(), heartbeat) ?? false;
  }
}

function isStop(command: Command): boolean {
  return command.kind === 'stop';
}

/** The shard that a machine belongs to or, between two shards, is being transferred to. */
function shardOfMachine({ shard, destination }: MachineEntry): number | null {
  return shard ?? (typeof destination === 'number' ? destination : null);
}
