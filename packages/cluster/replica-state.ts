/** How current a node's copy of the live state is. */
import type { Ledger } from './ledger.js';

/**
 * `loading`: reads all live state, page by page. `catching_up`: applies what was committed while it read.
 * `following`: complete up to the applied revision, and kept so by the watch.
 */
export type ReplicaState = 'loading' | 'catching_up' | 'following' | 'stopped';

/** What a node's copy of the state holds at this moment, for tests and tools. */
export interface ReplicaSnapshot {
  member: string;
  state: ReplicaState;
  /** Revision up to which every commit is applied. */
  appliedRevision: number;
  ledger: Ledger;
}
