/** Checks of the stored state of a simulated cluster and of each node's copy of it. */
import {
  CHECKPOINT_CHUNK_PREFIX,
  CHECKPOINT_HEAD_KEY,
  checkpointChunkKey,
  LEADER_KEY,
  LOG_PREFIX,
} from '#cluster';
import { isWireFields, type WireFields } from '#wire';
import { InvariantViolation } from './invariants.js';
import { LedgerAgreement, type ReplicaFacts } from './ledger-agreement.js';
import type { ClusterEvent } from './sim-cluster-options.js';
import type { SimStore } from './sim-store.js';

/** Compares each node's ledger with the one that the commits lead to. */
export class ReplicaChecks {
  private readonly agreement = new LedgerAgreement();
  /** By ledger: the revision at which it was last compared. */
  private readonly checkedAt = new WeakMap<object, number>();

  /** The state service has applied a transaction. */
  transactionApplied(writes: readonly WireFields[]): void {
    this.agreement.transactionApplied(writes);
  }

  /** Compares each copy once for each revision: a copy changes with nothing else. */
  check(copies: readonly ReplicaFacts[], { revision, hasLostData }: SimStore): void {
    // After a loss the revisions of the copies belong to another history.
    if (hasLostData) return;
    const current = copies.filter(
      (copy) => copy.applied === revision && this.checkedAt.get(copy.ledger) !== revision,
    );
    for (const { ledger } of current) this.checkedAt.set(ledger, revision);
    this.agreement.check(current, revision);
  }
}

/** Checks after a commit that the present checkpoint can be read completely. */
export function checkCheckpoint(store: SimStore, writes: readonly WireFields[]): void {
  const paths = writes.map((write) => String(write['Set'] ?? write['Remove']));
  if (!paths.some((path) => path === CHECKPOINT_HEAD_KEY || path.startsWith(CHECKPOINT_CHUNK_PREFIX))) return;
  const head = store.rows.get(CHECKPOINT_HEAD_KEY)?.value;
  for (let i = 0; i < Number(head?.['Chunks'] ?? 0); i++) {
    const key = checkpointChunkKey(String(head?.['Id']), i);
    if (!store.rows.has(key)) throw new InvariantViolation('checkpoint', `${key} is missing`);
  }
}

/** The events that follow from a commit: changes of the leader and releases of machines. */
export function eventsOf(writes: readonly WireFields[]): ClusterEvent[] {
  return writes.flatMap((write): ClusterEvent[] => {
    const path = String(write['Set'] ?? '');
    if (path === LEADER_KEY) return ['lead'];
    const isRelease =
      path.startsWith(LOG_PREFIX) && isWireFields(write['V']) && write['V']['releases'] !== undefined;
    return isRelease ? ['release'] : [];
  });
}
