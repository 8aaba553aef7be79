/** Checks of the state store of a simulated cluster and of each node's replica of the state. */
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

/** Compares each node's ledger with the ledger that results from the commits to the state store. */
export class ReplicaChecks {
  private readonly agreement = new LedgerAgreement();
  /** Revision at which each ledger was last compared. Keyed by ledger. */
  private readonly comparedAt = new WeakMap<object, number>();

  /** Records a transaction that the state service has just applied. */
  transactionApplied(writes: readonly WireFields[]): void {
    this.agreement.transactionApplied(writes);
  }

  /**
   * Compares each replica once for each revision, because a replica changes only with the revision. Throws an
   * {@link InvariantViolation} if one differs.
   */
  check(replicas: readonly ReplicaFacts[], { revision, hasLostData }: SimStore): void {
    // After a data loss the revisions of the replicas belong to another history.
    if (hasLostData) return;
    const current = replicas.filter(
      (replica) => replica.appliedRevision === revision && this.comparedAt.get(replica.ledger) !== revision,
    );
    for (const { ledger } of current) this.comparedAt.set(ledger, revision);
    this.agreement.check(current, revision);
  }
}

/** Checks after a commit that all chunks of the current checkpoint are stored. */
export function checkCheckpointIsComplete(store: SimStore, writes: readonly WireFields[]): void {
  const keys = writes.map((write) => String(write['Set'] ?? write['Remove']));
  if (!keys.some((key) => key === CHECKPOINT_HEAD_KEY || key.startsWith(CHECKPOINT_CHUNK_PREFIX))) return;
  const head = store.rows.get(CHECKPOINT_HEAD_KEY)?.value;
  for (let i = 0; i < Number(head?.['Chunks'] ?? 0); i++) {
    const key = checkpointChunkKey(String(head?.['Id']), i);
    if (!store.rows.has(key)) throw new InvariantViolation('checkpoint', `${key} is missing`);
  }
}

/** Returns the events that a commit causes: changes of the leader and releases of machines. */
export function clusterEventsOf(writes: readonly WireFields[]): ClusterEvent[] {
  return writes.flatMap((write): ClusterEvent[] => {
    const key = String(write['Set'] ?? '');
    if (key === LEADER_KEY) return ['lead'];
    const isRelease =
      key.startsWith(LOG_PREFIX) && isWireFields(write['V']) && write['V']['releases'] !== undefined;
    return isRelease ? ['release'] : [];
  });
}
