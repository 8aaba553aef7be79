/** Tracks which machines this node owns and since when. Every decision about their workers is based on it. */
import type { Ledger, MachineEntry, ShardOwner } from '#cluster';
import type { Micros } from '#wire';
import { type HeartbeatPosition, isNewerHeartbeat } from './tracked-worker.js';

/**
 * One uninterrupted period during which this node owns a machine. It is identified by the shard, the revision of the
 * shard's owner row and the machine's ownership count.
 */
export interface MachineOwnership {
  readonly shard: number;
  readonly ownerRevision: number;
  readonly ownershipCount: number;
  /** Monotonic time at which this node first observed that it owns the machine. */
  readonly since: Micros;
  /** A worker that has seen this fencing token ignores the responses of earlier owners. */
  readonly fencingToken: number;
  /**
   * The last heartbeat that an earlier owner, or this process before it read the state anew, has processed. Older ones may
   * arrive late. {@link BEFORE_ALL_HEARTBEATS} if there was none, null if that is not known.
   */
  readonly lastHeartbeat: HeartbeatPosition | null;
}

/** Precedes the positions of all heartbeats, whose incarnations and sequence numbers begin with 1. */
export const BEFORE_ALL_HEARTBEATS: HeartbeatPosition = { incarnation: 0, sequence: 0 };

/** The state from which the ownership of machines is derived. */
export interface OwnershipView {
  readonly ledger: Ledger;
  /** The shards that this node owns, with their owner rows. */
  readonly owners: ReadonlyMap<number, ShardOwner>;
  /** The cluster's current fencing token. */
  readonly fencingToken: number;
  /** The current monotonic time. */
  readonly now: Micros;
}

/** The version of the ledger and of the owner rows at the last sync. A sync at the same version does nothing. */
interface SyncedState {
  readonly ledger: Ledger;
  readonly ownershipChangeCount: number;
  readonly ownerRevisions: string;
}

/** The machines that this node owns. */
export class OwnedMachines {
  /** Keyed by host. */
  private readonly ownerships = new Map<string, MachineOwnership>();
  /**
   * The newest heartbeat that this process has processed as the owner of a machine. Keyed by host. It outlasts an ownership
   * that ends without a release, as when the state is read anew: commands may have been sent in response.
   */
  private readonly processed = new Map<string, HeartbeatPosition>();
  private synced: SyncedState | null = null;

  /** Returns the current ownership of a machine, or undefined if this node doesn't own it. */
  get(host: string): MachineOwnership | undefined {
    return this.ownerships.get(host);
  }

  /** Returns all owned machines in the order in which they were acquired. */
  entries(): Iterable<[host: string, ownership: MachineOwnership]> {
    return this.ownerships;
  }

  /**
   * Updates the ownerships and returns the hosts whose ownership ended. They include each machine that this node lost
   * and acquired again since the last sync, because commands that other owners sent to its worker in between are
   * unknown.
   */
  sync(view: OwnershipView): readonly string[] {
    // This method runs with every heartbeat. Without this check its total cost would be machines times heartbeats.
    const isReadAnew = this.synced !== null && this.synced.ledger !== view.ledger;
    if (!this.recordIfChanged(view)) return [];
    const ended = this.removeEnded(view);
    if (!isReadAnew) this.discardReleased(ended, view.ledger);
    this.addAcquired(view);
    return ended;
  }

  /** Returns true, and records the new version, if the ledger or the owner rows have changed since the last sync. */
  private recordIfChanged({ ledger, owners }: OwnershipView): boolean {
    const ownerRevisions = [...owners].map(([shard, owner]) => `${shard}/${owner.revision}`).join();
    const { ownershipChangeCount } = ledger;
    const last = this.synced;
    const isSameLedger = last?.ledger === ledger && last.ownershipChangeCount === ownershipChangeCount;
    if (isSameLedger && last.ownerRevisions === ownerRevisions) return false;
    this.synced = { ledger, ownershipChangeCount, ownerRevisions };
    return true;
  }

  private removeEnded({ ledger, owners }: OwnershipView): readonly string[] {
    const ended: string[] = [];
    for (const [host, ownership] of this.ownerships) {
      const entry = ledger.machines.get(host);
      const owner = entry && ownerOf(entry, owners);
      if (entry && owner && isSameOwnership(ownership, entry, owner)) continue;
      this.ownerships.delete(host);
      ended.push(host);
    }
    return ended;
  }

  /** Records that this node, as the owner of the machine, has processed a heartbeat that is newer than all earlier ones. */
  onHeartbeatProcessed(host: string, { incarnation, sequence }: HeartbeatPosition): void {
    this.processed.set(host, { incarnation, sequence });
  }

  /**
   * Returns what a release of the machine records: a heartbeat position such that every command of this owner or an
   * earlier one was sent in response to that heartbeat or an older one, or with a fencing token that was replaced before
   * this owner began. Null if no such position is known. `hasSeenToken`: true if the worker has seen the token of this
   * ownership.
   */
  releasePosition(host: string, hasSeenToken: boolean): HeartbeatPosition | null {
    const ownership = this.ownerships.get(host);
    if (!ownership || (ownership.lastHeartbeat === null && !hasSeenToken)) return null;
    return newerOf(ownership.lastHeartbeat ?? BEFORE_ALL_HEARTBEATS, this.processed.get(host));
  }

  /** Returns the newest heartbeat that earlier owners, or this process, have processed; null if it is not known. */
  private lastHeartbeatOf(entry: MachineEntry): HeartbeatPosition | null {
    const recorded = recordedPosition(entry);
    return recorded && newerOf(recorded, this.processed.get(entry.host));
  }

  /** Discards the heartbeats of machines that were released or are gone; the release has recorded them. */
  private discardReleased(ended: readonly string[], ledger: Ledger): void {
    for (const host of ended) {
      if ((ledger.machines.get(host)?.shard ?? null) === null) this.processed.delete(host);
    }
  }

  private addAcquired(view: OwnershipView): void {
    for (const [host, entry] of view.ledger.machines) {
      const owner = ownerOf(entry, view.owners);
      if (entry.shard === null || !owner || this.ownerships.has(host)) continue;
      this.ownerships.set(host, {
        shard: entry.shard,
        ownerRevision: owner.revision,
        ownershipCount: entry.ownershipCount,
        lastHeartbeat: this.lastHeartbeatOf(entry),
        since: view.now,
        fencingToken: acknowledgingToken(entry, view.fencingToken),
      });
    }
  }
}

/**
 * Returns true if a heartbeat is not newer than the last one that an earlier owner processed. Such a heartbeat was
 * delayed. It may lack a task that the earlier owner started with its response, and the task's absence would then
 * wrongly prove that the task never started.
 */
export function isStaleForOwner(ownership: MachineOwnership, heartbeat: HeartbeatPosition): boolean {
  return ownership.lastHeartbeat !== null && !isNewerHeartbeat(heartbeat, ownership.lastHeartbeat);
}

/**
 * Returns the lowest fencing token that, once a worker reports it, proves that the worker ignores all earlier owners.
 * This is usually the current token, because heartbeats from before a transfer are recognized by comparing them with
 * the position that the release recorded. If it recorded none, as older versions do for a machine whose worker has not
 * reported to them, only the next token distinguishes old heartbeats from new ones.
 */
function acknowledgingToken(entry: MachineEntry, currentToken: number): number {
  return recordedPosition(entry) === null ? currentToken + 1 : currentToken;
}

/** Returns the newer one of two positions, the second of which may be absent. */
function newerOf(position: HeartbeatPosition, other: HeartbeatPosition | undefined): HeartbeatPosition {
  return other && isNewerHeartbeat(other, position) ? other : position;
}

function ownerOf(entry: MachineEntry, owners: ReadonlyMap<number, ShardOwner>): ShardOwner | undefined {
  return entry.shard === null ? undefined : owners.get(entry.shard);
}

/** Returns the heartbeat position that the last release recorded; null if it recorded none. */
function recordedPosition({ ownershipCount, lastHeartbeat }: MachineEntry): HeartbeatPosition | null {
  if (ownershipCount === 0) return BEFORE_ALL_HEARTBEATS;
  if (!lastHeartbeat) return null;
  const [incarnation, sequence] = lastHeartbeat;
  return { incarnation, sequence };
}

function isSameOwnership(ownership: MachineOwnership, entry: MachineEntry, owner: ShardOwner): boolean {
  return (
    ownership.shard === entry.shard &&
    ownership.ownerRevision === owner.revision &&
    ownership.ownershipCount === entry.ownershipCount
  );
}
