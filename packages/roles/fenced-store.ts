/** The state service, for whoever acts under a role: every commit carries a guard on the term it is made under. */
import type { CommitResult, Guard, StoreClient, Write } from '#store';
import type { RoleRegistry } from './role-registry.js';
import type { TermProof } from './term-proof.js';

/** At least one: every commit is made under the term of some role. */
export type TermProofs = readonly [TermProof, ...TermProof[]];

/** A commit, and the terms under which it is made. */
export interface FencedCommit {
  readonly proofs: TermProofs;
  /** What is done, for operators who ask why it was refused. */
  readonly action: string;
  /** Conditions besides the terms. */
  readonly guards: readonly Guard[];
  readonly writes: Write[];
}

/** Compare-and-swap that the state service refuses once a term it was made under is over. */
export class FencedStore {
  constructor(
    private readonly store: Pick<StoreClient, 'compareAndSwap'>,
    private readonly roles: RoleRegistry,
  ) {}

  /** Commits under all these terms. */
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
