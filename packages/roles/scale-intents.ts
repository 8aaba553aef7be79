/**
 * The cloud knows no terms, and what it is asked may be executed minutes late. So whatever is asked of it is named in
 * the leader's log first, and is final from then on: a machine named for return is never used again by any holder,
 * and the name of a rental is never used twice. Late or repeated, the request then harms nobody.
 */
import type { ListedMachine, ScaleOutRequest } from '#wire';

/** What the ledger says of a machine, as far as its return is concerned. */
export interface MachineRecord {
  host: string;
  /** The share it belongs to; null once its owner has let it go. */
  shard: number | null;
  destination: number | 'return' | null;
}

/** What the ledger says of a rental that was named and is not settled yet. */
export interface ScaleOutRecord {
  id: string;
  machineType: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** A rental that is named in the log. */
export class ScaleOutIntent {
  readonly #recorded = true;

  private constructor(readonly request: ScaleOutRequest) {}

  /** The intent that a record of the ledger stands for. */
  static fromRecord({ id, machineType, zone, spot, count: number }: ScaleOutRecord): ScaleOutIntent {
    return new ScaleOutIntent({ id, machineType, zone, spot, count: number });
  }

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

  /** Named for return and let go by its owner, or, once named, known by the cloud's list to have stopped or gone. */
  static fromRecord(machine: MachineRecord, listing: 'failed' | 'not listed' | null): ScaleInIntent | null {
    if (machine.destination !== 'return') return null;
    if (machine.shard === null) return new ScaleInIntent(machine.host, 'released');
    return listing === null ? null : new ScaleInIntent(machine.host, listing);
  }

  /** In no record, and stopped by itself: the cloud never starts such a machine again. */
  static fromStoppedMachine({ host, state }: ListedMachine): ScaleInIntent | null {
    return state === 'failed' ? new ScaleInIntent(host, 'failed') : null;
  }

  get isRecorded(): boolean {
    return this.#recorded;
  }
}

/** Where the open intents are found: the placement ledger. */
export interface IntentLedger {
  pendingScaleOuts: ReadonlyMap<string, ScaleOutRecord>;
  machines: ReadonlyMap<string, MachineRecord>;
}

/** What was named and is not known to be carried out: a successor finds all of it here, and finishes it. */
export interface OpenIntents {
  rentals: string[];
  returns: string[];
}

export function openIntents(ledger: IntentLedger): OpenIntents {
  const returns: string[] = [];
  for (const { host, destination } of ledger.machines.values())
    if (destination === 'return') returns.push(host);
  return { rentals: [...ledger.pendingScaleOuts.keys()], returns };
}
