import {
  decodeRecord,
  Ledger,
  type LogId,
  logOfKey,
  LOGS,
  type PlacementRecord,
  type StateCopy,
} from '#cluster';
import { type Fields, isFields } from '#wire';
import { BrokenRule } from './rules.js';

/**
 * Checks that every node's ledger is the one that the commits, applied one after the other, lead to. It keeps a
 * ledger of its own that never restarts, is never read from a checkpoint and sees each commit as it happens.
 */
export class LedgerAgreement {
  private readonly reference = new Ledger();

  /** Takes in a transaction that the state service has just applied. */
  applied(writes: readonly Fields[]): void {
    for (const write of writes) {
      const path = String(write['Set'] ?? '');
      if (!path.startsWith(LOGS) || !isFields(write['V'])) continue;
      this.take(logOfKey(path), decodeRecord(write['V']));
    }
  }

  /** Compares the copies of those nodes that have applied everything up to the present epoch. */
  check(copies: readonly StateCopy[], epoch: number): void {
    const current = copies.filter((copy) => copy.state === 'following' && copy.applied === epoch);
    if (current.length === 0) return;
    const expected = describe(this.reference);
    for (const { ledger, member } of current) {
      const actual = describe(ledger);
      const wrong = actual.find((line, i) => line !== expected[i]) ?? expected[actual.length];
      if (wrong !== undefined) throw new BrokenRule('agreement', `${member} at epoch ${epoch}: ${wrong}`);
    }
  }

  private take(log: LogId, record: PlacementRecord): void {
    if (!this.reference.apply(log, record)) {
      throw new BrokenRule(
        'agreement',
        `record ${record.sequence} of log ${log} follows ${this.reference.seq(log)}`,
      );
    }
  }
}

/** Machines with their shares, and placements, in an order that does not depend on how the ledger came about. */
function describe(ledger: Ledger): string[] {
  const hosts = [...ledger.hosts.values()].map((h) =>
    [h.host, h.share, h.destination, h.ownershipCount, h.status, JSON.stringify(h.lastReport)].join(' '),
  );
  const placements = [...ledger.onHost.values()].flatMap((there) =>
    [...there.values()].map((p) => `${p.taskName} on ${p.host} attempt ${p.attempt} session ${p.session}`),
  );
  return [...hosts.sort(), ...placements.sort()];
}
