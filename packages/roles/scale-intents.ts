/**
 * Recorded intents to scale out or in. The cloud can't check terms, and may execute a request minutes late. So every
 * request is recorded in the leader's log before it is sent, and the record is final: no shard ever uses a machine
 * again that is recorded for scale-in, and the id of a scale-out request is never reused. A late or repeated request
 * is therefore harmless.
 */
import type { ListedMachine, ScaleOutRequest } from '#wire';

/** The fields of a machine in the ledger that decide whether it may be deleted. */
export interface MachineRecord {
  readonly host: string;
  /** The shard to which the machine belongs; null once the shard's owner has released the machine. */
  readonly shard: number | null;
  /** The shard to which the machine is being transferred, `scale_in`, or null if the machine stays in its shard. */
  readonly destination: number | 'scale_in' | null;
}

/** A scale-out request in the ledger that isn't settled yet. */
export interface ScaleOutRecord {
  readonly id: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** A scale-out request that is recorded in the leader's log. */
export class ScaleOutIntent {
  readonly #recorded = true;

  private constructor(readonly request: ScaleOutRequest) {}

  /** Returns the intent of a scale-out request in the ledger. */
  static fromRecord({ id, machineType, zone, spot, count }: ScaleOutRecord): ScaleOutIntent {
    return new ScaleOutIntent({ id, machineType, zone, spot, count });
  }

  /** Always true: intents are made from records only. */
  get isRecorded(): boolean {
    return this.#recorded;
  }
}

/**
 * Reason why a machine may be deleted. `released`: its owner has released it. `failed`: the cloud lists it as failed.
 * `not listed`: it is absent from the cloud's list. In each case no component uses the machine or ever will.
 */
export type ScaleInReason = 'released' | 'failed' | 'not listed';

/** A machine that may be deleted, now or at any later time. */
export class ScaleInIntent {
  readonly #recorded = true;

  private constructor(
    readonly host: string,
    readonly reason: ScaleInReason,
  ) {}

  /**
   * Returns the intent to delete a machine in the ledger. Returns null unless the machine is recorded for scale-in and
   * either released by its owner or, according to the cloud's list, stopped or gone. `listedAs` is null if the cloud
   * lists the machine as neither.
   */
  static fromRecord(machine: MachineRecord, listedAs: 'failed' | 'not listed' | null): ScaleInIntent | null {
    if (machine.destination !== 'scale_in') return null;
    if (machine.shard === null) return new ScaleInIntent(machine.host, 'released');
    return listedAs === null ? null : new ScaleInIntent(machine.host, listedAs);
  }

  /**
   * Returns the intent to delete a machine without a record that stopped by itself, because the cloud never restarts
   * such a machine. Returns null if the machine hasn't stopped.
   */
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
  /** Keyed by request id. */
  readonly pendingScaleOuts: ReadonlyMap<string, ScaleOutRecord>;
  /** Keyed by host. */
  readonly machines: ReadonlyMap<string, MachineRecord>;
}

/**
 * Intents that are recorded and not known to be completed. A new leader reads them from the ledger and completes
 * them.
 */
export interface OpenIntents {
  /** Ids of scale-out requests. */
  readonly scaleOutRequests: readonly string[];
  /** Hosts of machines to be scaled in. */
  readonly scaleInHosts: readonly string[];
}

/** Returns the open intents of the ledger. */
export function openIntents(ledger: IntentLedger): OpenIntents {
  const scaleInHosts: string[] = [];
  for (const { host, destination } of ledger.machines.values())
    if (destination === 'scale_in') scaleInHosts.push(host);
  return { scaleOutRequests: [...ledger.pendingScaleOuts.keys()], scaleInHosts };
}
