/** Checks that every node's replica of the placement state equals the one that results from the commits. */
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

/** The fields of a machine in a ledger that are compared between replicas. */
export interface ComparedMachine {
  readonly host: string;
  readonly shard: number | null;
  readonly destination: Destination | null;
  /** Incremented whenever a shard acquires the machine. */
  readonly ownershipCount: number;
  readonly status: MachineStatus;
  readonly lastHeartbeat: { readonly incarnation: Count; readonly sequence: Count } | null;
}

/** The fields of a placement in a ledger that are compared between replicas. */
export interface ComparedPlacement {
  readonly taskName: string;
  readonly host: string;
  readonly attempt: number;
  readonly workerIncarnation: Count;
}

/** The contents of a ledger that are compared, independent of the version of the program. */
export interface LedgerFacts {
  readonly machines: readonly ComparedMachine[];
  readonly placements: readonly ComparedPlacement[];
}

/** One node's replica of the state. */
export interface ReplicaFacts {
  readonly member: string;
  readonly state: ReplicaState;
  /** Revision up to which the replica has applied every commit. */
  readonly appliedRevision: number;
  /** The ledger itself, used only as an identity: every complete read of the state creates a new object. */
  readonly ledger: object;
  /** Returns the compared contents of the whole ledger; takes time proportional to its size. */
  readonly describeLedger: () => LedgerFacts;
}

/**
 * Checks that every node's ledger equals a reference ledger, which applies each commit as it happens and in order. The
 * reference ledger is never rebuilt after a restart and never read from a checkpoint.
 */
export class LedgerAgreement {
  private readonly reference = new Ledger();

  /** Updates the reference ledger with the log records of a transaction that the state service has just applied. */
  transactionApplied(writes: readonly WireFields[]): void {
    for (const write of writes) {
      const key = String(write['Set'] ?? '');
      if (!key.startsWith(LOG_PREFIX) || !isWireFields(write['V'])) continue;
      this.apply(logIdOfKey(key), decodeRecord(write['V']));
    }
  }

  /** Compares the replicas that have applied everything up to the given revision with the reference ledger. */
  check(replicas: readonly ReplicaFacts[], revision: number): void {
    const current = replicas.filter(
      (replica) => replica.state === 'following' && replica.appliedRevision === revision,
    );
    if (current.length === 0) return;
    const expected = describeSorted(factsOfLedger(this.reference));
    for (const { describeLedger, member } of current) {
      const actual = describeSorted(describeLedger());
      const difference = actual.find((line, i) => line !== expected[i]) ?? expected[actual.length];
      if (difference !== undefined)
        throw new InvariantViolation('agreement', `${member} at revision ${revision}: ${difference}`);
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

/** Extracts the compared contents from a ledger of the current version. */
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

/** Describes machines and placements one per line, sorted so that the order of the commits does not matter. */
function describeSorted({ machines, placements }: LedgerFacts): string[] {
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
