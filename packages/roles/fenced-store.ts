/** The state service, for whoever acts under a duty: every commit carries a guard on the term it is made under. */
import type { CommitResult, Guard, StoreClient, Write } from '#store';
import type { RoleRegistry } from './role-registry.js';
import type { TermProof } from './term-proof.js';

export class FencedStore {
  constructor(
    private readonly store: Pick<StoreClient, 'compareAndSwap'>,
    private readonly duties: RoleRegistry,
  ) {}

  /** `action` names what is done, for operators who ask why it was refused. */
  async compareAndSwap(
    proofs: readonly [TermProof, ...TermProof[]],
    action: string,
    guards: readonly Guard[],
    writes: Write[],
  ): Promise<CommitResult> {
    const fences = proofs.map((termProof) => termProof.guard);
    const sent = this.store.compareAndSwap([...fences, ...guards], writes);
    const result = await this.duties.track(proofs[0].role, sent);
    if (result.kind === 'refused') this.noteRefusal(proofs, action, result.failed);
    return result;
  }

  private noteRefusal(proofs: readonly TermProof[], action: string, failed: readonly string[]): void {
    for (const termProof of proofs) {
      if (!failed.includes(termProof.guard.path)) continue;
      this.duties.recordRefusal(termProof, action, 'the state service: the duty has changed hands');
    }
  }
}
