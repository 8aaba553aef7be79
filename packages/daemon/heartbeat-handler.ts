/** Handles the heartbeats of workers: parses them, checks this node's authority and responds with commands. */
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

/** Maximum time for which a response waits for the next scheduling round: the smaller of two bounds. */
interface RoundWait {
  /** Bound as a fraction of the heartbeat interval. */
  readonly intervalFraction: number;
  /** Absolute bound. */
  readonly maxWait: Micros;
}

/**
 * How long the response to a heartbeat waits for the round that records the completion, or the new machine, that the
 * heartbeat reports. A response that is sent before that round carries neither the next start nor the `forget` command
 * that makes the worker send its next heartbeat at once. The free capacity then stays idle until that heartbeat is due.
 */
const RECORDING_WAIT: RoundWait = { intervalFraction: 0.45, maxWait: 1500 * MS };
/** How long the response to a heartbeat waits for the round that releases or acquires the machine. */
const TRANSFER_WAIT: RoundWait = { intervalFraction: 0.2, maxWait: 700 * MS };

/** Dependencies of {@link HeartbeatHandler}. */
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
  readonly roundLoop: RoundLoop;
}

/**
 * Handles heartbeats. A worker gets commands only from the owner of its machine's shard, and only while that owner's
 * replica is known to be recent. Both conditions are checked again after each wait.
 */
export class HeartbeatHandler {
  constructor(private readonly options: HeartbeatHandlerOptions) {}

  /** Returns the response to a heartbeat: commands (200), a redirect to the owner (421), or a refusal (400, 503). */
  async handle(body: unknown): Promise<ServiceResponse> {
    const { clock, workers, ownership, scheduler } = this.options;
    const heartbeat = parseHeartbeat(body);
    if (!heartbeat) return { status: 400, body: { error: 'not a report' } };
    this.options.workerReachability.onHeartbeat();
    this.options.dataLossDetector?.observeHeartbeat(heartbeat);
    // A worker that is refused during a transfer asks each other node for its owner, which takes a second per node.
    if (this.isInTransfer(heartbeat.host)) await this.waitForNextRound(TRANSFER_WAIT);
    const refusal = this.authorityRefusal(heartbeat);
    if (refusal) return refusal;
    ownership.syncWorkers();
    const isFirstHeartbeat = !workers.trackedWorkers.has(heartbeat.host);
    // A later heartbeat of the worker has been received, so the worker no longer waits for this response.
    if (!workers.onHeartbeat(heartbeat, clock.now())) return unavailable('stale report');
    if (isFirstHeartbeat || scheduler.hasUnrecordedCompletion(heartbeat.host))
      await this.waitForNextRound(RECORDING_WAIT);
    return this.authorityRefusal(heartbeat) ?? this.respond(heartbeat);
  }

  /** Returns the response with commands. The caller has checked that this node has authority over the machine. */
  private respond(heartbeat: Heartbeat): ServiceResponse {
    const { clock, workers, replica, freshness } = this.options;
    const { host } = heartbeat;
    this.options.ownership.syncWorkers();
    // If the machine was transferred away and back during the wait, the registry has no heartbeat of its worker.
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

  /** Returns the refusal or redirect for a worker that this node may not command now; null if it may. */
  private authorityRefusal(heartbeat: Heartbeat): ServiceResponse | null {
    const { replica } = this.options;
    const machine = replica.ledger.machines.get(heartbeat.host);
    if (!machine || replica.state !== 'following') return unavailable('machine not known');
    const shard = shardOfMachine(machine);
    const owner = shard === null ? undefined : replica.shardOwners.get(shard);
    if (!owner) return unavailable('no owner known');
    if (!this.isOwned(shard)) return this.redirect(owner.member, heartbeat.host);
    if (machine.shard === null || this.options.pendingReleases.has(heartbeat.host))
      return unavailable('machine on the move');
    return this.stateRefusal(heartbeat);
  }

  /** Returns the response for a worker whose machine belongs to another member or to an earlier start of this one. */
  private redirect(owner: string, host: string): ServiceResponse {
    const { settings, workerReachability, clock } = this.options;
    if (owner === settings.member) return unavailable('not ready yet');
    workerReachability.onRedirect(owner, host, clock.now());
    return { status: 421, body: encodeRedirect(owner) };
  }

  /** Returns the refusal if this node's replica is not recent enough to command the worker; null if it is. */
  private stateRefusal(heartbeat: Heartbeat): ServiceResponse | null {
    const { replica, freshness, settings } = this.options;
    // The worker or a peer has seen a higher fencing token than this node: another member may own this shard by now.
    if (heartbeat.fencingToken > replica.fencingToken.value || freshness.isOutdated())
      return unavailable('superseded');
    if (this.isBehindWorker(heartbeat)) return unavailable('state behind the worker');
    return freshness.age() > renewalBound(settings) ? unavailable('state not reachable') : null;
  }

  /** True if this node is releasing the machine or is about to acquire it in one of its next rounds. */
  private isInTransfer(host: string): boolean {
    const { replica, pendingReleases } = this.options;
    const machine = replica.ledger.machines.get(host);
    if (!machine || replica.state !== 'following') return false;
    if (machine.shard !== null && !pendingReleases.has(host)) return false;
    return this.isOwned(shardOfMachine(machine));
  }

  /** True if this node owns the shard; false for null. */
  private isOwned(shard: number | null): boolean {
    return this.options.ownership.ownedShards().has(shard ?? -1);
  }

  /** Waits for the next round, which takes into account everything that was received before this call. */
  private waitForNextRound({ intervalFraction, maxWait }: RoundWait): Promise<void> {
    const { roundLoop, settings } = this.options;
    return roundLoop.waitForNextRound(Math.min(maxWait, settings.heartbeatInterval * intervalFraction));
  }

  /** True if the state is consistent with what this node, its workers and its peers have observed of it. */
  private isStateIntact(): boolean {
    return this.options.dataLossDetector?.isOpen() ?? true;
  }

  /**
   * True if the worker's tasks were started by records that this node's replica lacks. Commands derived from the
   * replica would end these tasks.
   */
  private isBehindWorker(heartbeat: Heartbeat): boolean {
    const { dataLossDetector, replica } = this.options;
    return dataLossDetector?.isWorkerAheadOfReplica(replica.highWaterMarks(), heartbeat) ?? false;
  }
}

function isStop(command: Command): boolean {
  return command.kind === 'stop';
}

/** Returns the shard that the machine belongs to or, if it belongs to none, the one that it is transferred to. */
function shardOfMachine({ shard, destination }: MachineEntry): number | null {
  return shard ?? (typeof destination === 'number' ? destination : null);
}
