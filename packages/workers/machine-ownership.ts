/** Which machines this node owns, and since when: the basis of every decision about their workers. */
import type { Ledger, MachineEntry, ShardOwner } from '#cluster';
import type { Micros } from '#wire';
import { type HeartbeatPosition, isNewerHeartbeat } from './tracked-worker.js';

/**
 * One uninterrupted time of owning a machine. The shard, the revision of the shard's owner row and the machine's
 * ownership count together identify it.
 */
export interface MachineOwnership {
  readonly shard: number;
  readonly ownerRevision: number;
  readonly ownershipCount: number;
  /** Steady time at which this node learnt that it owns the machine. */
  readonly since: Micros;
  /** A worker that has seen this fencing token obeys no earlier owner. */
  readonly fencingToken: number;
  /** The last heartbeat that an earlier owner processed; null if there was none. Older ones may still arrive late. */
  readonly lastHeartbeat: HeartbeatPosition | null;
}

/** What this node's ownership of machines follows from. */
export interface OwnershipView {
  readonly ledger: Ledger;
  /** The shards that this node owns, with their owner rows. */
  readonly owners: ReadonlyMap<number, ShardOwner>;
  /** The cluster's fencing token at present. */
  readonly fencingToken: number;
  /** Steady time. */
  readonly now: Micros;
}

/** The state of ledger and owner rows at the last sync: nothing is examined again until it differs. */
interface SyncedState {
  readonly ledger: Ledger;
  readonly ownershipChangeCount: number;
  readonly ownerRevisions: string;
}

/** The machines that this node owns, by host. */
export class OwnedMachines {
  private readonly ownerships = new Map<string, MachineOwnership>();
  private synced: SyncedState | null = null;

  /** The present ownership of a machine; undefined if this node doesn't own it. */
  get(host: string): MachineOwnership | undefined {
    return this.ownerships.get(host);
  }

  /** All owned machines, in the order in which they were acquired. */
  entries(): Iterable<[host: string, ownership: MachineOwnership]> {
    return this.ownerships;
  }

  /**
   * Brings the ownerships up to date and returns the hosts whose ownership ended. A machine that was lost and acquired
   * again in between is among them: what other owners told its worker meanwhile is unknown.
   */
  sync(view: OwnershipView): readonly string[] {
    // Called with every heartbeat: examining each machine every time would cost machines times heartbeats.
    if (!this.hasChanged(view)) return [];
    const ended = this.removeEnded(view);
    this.addAcquired(view);
    return ended;
  }

  private hasChanged({ ledger, owners }: OwnershipView): boolean {
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

  private addAcquired(view: OwnershipView): void {
    for (const [host, entry] of view.ledger.machines) {
      const owner = ownerOf(entry, view.owners);
      if (entry.shard === null || !owner || this.ownerships.has(host)) continue;
      this.ownerships.set(host, {
        shard: entry.shard,
        ownerRevision: owner.revision,
        ownershipCount: entry.ownershipCount,
        lastHeartbeat: lastHeartbeatOf(entry),
        since: view.now,
        fencingToken: acknowledgingToken(entry, view.fencingToken),
      });
    }
  }
}

/**
 * Whether a heartbeat is older than one that an earlier owner has processed. It was delayed on its way and may lack a task
 * that the earlier owner started with its answer, so its absence would wrongly prove that the task never started.
 */
export function isStaleForOwner(ownership: MachineOwnership, heartbeat: HeartbeatPosition): boolean {
  return ownership.lastHeartbeat !== null && !isNewerHeartbeat(heartbeat, ownership.lastHeartbeat);
}

/**
 * The fencing token that proves, once a worker shows it, that the worker obeys no earlier owner. Usually the present one:
 * heartbeats from before a transfer are recognized by the last one that the earlier owner processed. If the earlier
 * owner had released the machine without any heartbeat there is none to compare with, and only a token that is yet to
 * be issued tells old heartbeats from new ones.
 */
function acknowledgingToken(entry: MachineEntry, present: number): number {
  const wasReleasedUnseen = entry.ownershipCount > 0 && entry.lastHeartbeat === null;
  return wasReleasedUnseen ? present + 1 : present;
}

function ownerOf(entry: MachineEntry, owners: ReadonlyMap<number, ShardOwner>): ShardOwner | undefined {
  return entry.shard === null ? undefined : owners.get(entry.shard);
}

function lastHeartbeatOf({ lastHeartbeat }: MachineEntry): HeartbeatPosition | null {
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
