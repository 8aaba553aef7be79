/** The states of a node's replica of the live state. */
import type { Ledger } from './ledger.js';

/**
 * `loading`: the replica reads all live state, page by page. `catching_up`: it applies the commits made during that
 * read. `following`: it is complete up to the applied revision, and the watch keeps it current. `stopped`: final.
 */
export type ReplicaState = 'loading' | 'catching_up' | 'following' | 'stopped';

/** The current content of a node's replica, for tests and tools. */
export interface ReplicaSnapshot {
  member: string;
  state: ReplicaState;
  /** Revision up to which every commit is applied. */
  appliedRevision: number;
  ledger: Ledger;
}
