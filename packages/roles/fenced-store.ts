/**
 * Client of the state service for the holder of a role. Every commit carries a guard on each term under which it is
 * made.
 */
import type { CommitResult, Guard, StoreClient, Write } from '#store';
import type { RoleRegistry } from './role-registry.js';
import type { TermProof } from './term-proof.js';

/** The proofs of a commit. There is at least one, because every commit is made under the term of a role. */
export type TermProofs = readonly [TermProof, ...TermProof[]];

/** A commit and the proofs of the terms under which it is made. */
export interface FencedCommit {
  readonly proofs: TermProofs;
  /** Description of the action. Operators see it if the action is refused. */
  readonly action: string;
  /** Conditions in addition to the guards on the terms. */
  readonly guards: readonly Guard[];
  readonly writes: Write[];
}

/** Commits by compare-and-swap. The state service refuses a commit once a term under which it was made has ended. */
export class FencedStore {
  constructor(
    private readonly store: Pick<StoreClient, 'compareAndSwap'>,
    private readonly roles: RoleRegistry,
  ) {}

  /**
   * Commits the writes if all terms of the proofs are current and all other guards hold. Records a refused action for
   * each role whose term has ended.
   */
  async compareAndSwap({ proofs, action, guards, writes }: FencedCommit): Promise<CommitResult> {
    const fences = proofs.map((termProof) => termProof.guard);
    const sent = this.store.compareAndSwap([...fences, ...guards], writes);
    const result = await this.roles.track(proofs[0].role, sent);
    if (result.kind === 'refused') this.recordRefusals(proofs, action, result.failed);
    return result;
  }

  private recordRefusals(proofs: TermProofs, action: string, failed: readonly string[]): void {
    for (const termProof of proofs) {
      if (!failed.includes(termProof.guard.path)) continue;
      this.roles.recordRefusal(termProof, action, 'the state service: the duty has changed hands');
    }
  }
}
