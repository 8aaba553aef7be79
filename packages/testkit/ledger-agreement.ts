/** Checks that every node's copy of the placement state is the one that the commits lead to. */
import {
  decodeRecord,
  type Destination,
  Ledger,
  type LogId,
  logIdOfKey,
  LOG_PREFIX,
  type MachineStatus,
  type PlacementRecord,
  type ReplicaState,
} from '#cluster';
import { type Count, type WireFields, isWireFields } from '#wire';
import { InvariantViolation } from './invariants.js';

/** A machine as a ledger holds it, as far as copies are compared. */
export interface ComparedMachine {
  readonly host: string;
  readonly shard: number | null;
  readonly destination: Destination | null;
  readonly ownershipCount: number;
  readonly status: MachineStatus;
  readonly lastHeartbeat: { readonly incarnation: Count; readonly sequence: Count } | null;
}

/** A placement as a ledger holds it, as far as copies are compared. */
export interface ComparedPlacement {
  readonly taskName: string;
  readonly host: string;
  readonly attempt: number;
  readonly workerIncarnation: Count;
}

/** What is compared of a ledger, whichever version of the program keeps it. */
export interface LedgerFacts {
  readonly machines: readonly ComparedMachine[];
  readonly placements: readonly ComparedPlacement[];
}

/** One node's copy of the state. */
export interface ReplicaFacts {
  readonly member: string;
  readonly state: ReplicaState;
  /** Revision up to which every commit is applied. */
  readonly applied: number;
  /** Tells one ledger from the next: a new object after every complete read of the state. */
  readonly ledger: object;
  /** Lists all of the ledger, which costs time in proportion to its size. */
  readonly describeLedger: () => LedgerFacts;
}

/**
 * Checks that every node's ledger is the one that the commits, applied one after the other, lead to. It keeps a
 * ledger of its own that never restarts, is never read from a checkpoint and sees each commit as it happens.
 */
export class LedgerAgreement {
  private readonly reference = new Ledger();

  /** Takes in a transaction that the state service has just applied. */
  transactionApplied(writes: readonly WireFields[]): void {
    for (const write of writes) {
      const path = String(write['Set'] ?? '');
      if (!path.startsWith(LOG_PREFIX) || !isWireFields(write['V'])) continue;
      this.apply(logIdOfKey(path), decodeRecord(write['V']));
    }
  }

  /** Compares the copies of those nodes that have applied everything up to the present revision. */
  check(copies: readonly ReplicaFacts[], revision: number): void {
    const current = copies.filter((copy) => copy.state === 'following' && copy.applied === revision);
    if (current.length === 0) return;
    const expected = describe(factsOfLedger(this.reference));
    for (const { describeLedger, member } of current) {
      const actual = describe(describeLedger());
      const wrong = actual.find((line, i) => line !== expected[i]) ?? expected[actual.length];
      if (wrong !== undefined)
        throw new InvariantViolation('agreement', `${member} at revision ${revision}: ${wrong}`);
    }
  }

  private apply(log: LogId, record: PlacementRecord): void {
    if (!this.reference.apply(log, record)) {
      throw new InvariantViolation(
        'agreement',
        `record ${record.sequence} of log ${log} follows ${this.reference.position(log)}`,
      );
    }
  }
}

/** What is compared of a ledger of the present version. */
export function factsOfLedger(ledger: Ledger): LedgerFacts {
  const machines = [...ledger.machines.values()].map((machine) => ({
    host: machine.host,
    shard: machine.shard,
    destination: machine.destination,
    ownershipCount: machine.ownershipCount,
    status: machine.status,
    lastHeartbeat: machine.lastHeartbeat && {
      incarnation: machine.lastHeartbeat[0],
      sequence: machine.lastHeartbeat[1],
    },
  }));
  const placements = [...ledger.placementsByHost.values()].flatMap((tasks) =>
    [...tasks.values()].map((placement) => ({
      taskName: placement.taskName,
      host: placement.host,
      attempt: placement.attempt,
      workerIncarnation: placement.workerIncarnation,
    })),
  );
  return { machines, placements };
}

/** Machines with their shards, and placements, in an order that does not depend on how the ledger came about. */
function describe({ machines, placements }: LedgerFacts): string[] {
  const machineLines = machines.map((machine) => {
    const { host, shard, destination, ownershipCount, status, lastHeartbeat } = machine;
    return [host, shard, destination, ownershipCount, status, JSON.stringify(lastHeartbeat)].join(' ');
  });
  const placementLines = placements.map(
    ({ taskName, host, attempt, workerIncarnation }) =>
      `${taskName} on ${host} attempt ${attempt} worker incarnation ${workerIncarnation}`,
  );
  return [...machineLines.sort(), ...placementLines.sort()];
}
