/**
 * Recorded intents to scale out or in. The cloud knows no terms, and may execute a request minutes late. So every
 * request is recorded in the leader's log first, and is final from then on: a machine that is recorded for scale-in is
 * never used again by any shard, and the id of a scale-out request is never used twice. Late or repeated, the request
 * is then harmless.
 */
import type { ListedMachine, ScaleOutRequest } from '#wire';

/** The fields of a machine in the ledger that decide whether it may be deleted. */
export interface MachineRecord {
  readonly host: string;
  /** The shard it belongs to; null once the shard's owner has released it. */
  readonly shard: number | null;
  /** Where it is to go: another shard, back to the cloud, or nowhere. */
  readonly destination: number | 'scale_in' | null;
}

/** A scale-out request in the ledger that is not settled yet. */
export interface ScaleOutRecord {
  readonly id: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** A scale-out request that is recorded in the log. */
export class ScaleOutIntent {
  readonly #recorded = true;

  private constructor(readonly request: ScaleOutRequest) {}

  /** The intent of an entry of the ledger. */
  static fromRecord({ id, machineType, zone, spot, count }: ScaleOutRecord): ScaleOutIntent {
    return new ScaleOutIntent({ id, machineType, zone, spot, count });
  }

  /** Always true: intents are made from records only. */
  get isRecorded(): boolean {
    return this.#recorded;
  }
}

/** Why a machine may be deleted: nobody uses it, and nobody ever will. */
export type ScaleInReason = 'released' | 'failed' | 'not listed';

/** A machine that may be deleted, now or at any later time. */
export class ScaleInIntent {
  readonly #recorded = true;

  private constructor(
    readonly host: string,
    readonly reason: ScaleInReason,
  ) {}

  /**
   * Null unless the machine is recorded for scale-in, and either released by its owner or, by the cloud's list, stopped
   * or gone.
   */
  static fromRecord(machine: MachineRecord, listing: 'failed' | 'not listed' | null): ScaleInIntent | null {
    if (machine.destination !== 'scale_in') return null;
    if (machine.shard === null) return new ScaleInIntent(machine.host, 'released');
    return listing === null ? null : new ScaleInIntent(machine.host, listing);
  }

  /** For a machine without a record that stopped by itself: the cloud never starts it again. */
  static fromStoppedMachine({ host, state }: ListedMachine): ScaleInIntent | null {
    return state === 'failed' ? new ScaleInIntent(host, 'failed') : null;
  }

  /** Always true: intents are made from records only. */
  get isRecorded(): boolean {
    return this.#recorded;
  }
}

/** The part of the placement ledger that holds the open intents. */
export interface IntentLedger {
  readonly pendingScaleOuts: ReadonlyMap<string, ScaleOutRecord>;
  readonly machines: ReadonlyMap<string, MachineRecord>;
}

/** Intents that are recorded and not known to be carried out: a new leader finds all of them here, and finishes them. */
export interface OpenIntents {
  /** Ids of scale-out requests. */
  readonly scaleOutRequests: readonly string[];
  /** Hosts of machines to be scaled in. */
  readonly scaleInHosts: readonly string[];
}

/** The open intents of the ledger. */
export function openIntents(ledger: IntentLedger): OpenIntents {
  const scaleInHosts: string[] = [];
  for (const { host, destination } of ledger.machines.values())
    if (destination === 'scale_in') scaleInHosts.push(host);
  return { scaleOutRequests: [...ledger.pendingScaleOuts.keys()], scaleInHosts };
}
