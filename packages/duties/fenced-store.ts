/** The state service, for whoever acts under a duty: every commit carries a guard on the term it is made under. */
import type { CommitResult, Guard, StoreClient, Write } from '#store';
import type { DutyRegistry } from './registry.js';
import type { TermProof } from './term-proof.js';

export class FencedStore {
  constructor(
    private readonly store: Pick<StoreClient, 'commit'>,
    private readonly duties: DutyRegistry,
  ) {}

  /** `action` names what is done, for operators who ask why it was refused. */
  async commit(
    proofs: readonly [TermProof, ...TermProof[]],
    action: string,
    guards: readonly Guard[],
    writes: Write[],
  ): Promise<CommitResult> {
    const fences = proofs.map((proof) => proof.guard);
    const sent = this.store.commit([...fences, ...guards], writes);
    const result = await this.duties.track(proofs[0].duty, sent);
    if (result.kind === 'refused') this.noteRefusal(proofs, action, result.failed);
    return result;
  }

  private noteRefusal(proofs: readonly TermProof[], action: string, failed: readonly string[]): void {
    for (const proof of proofs) {
      if (!failed.includes(proof.guard.path)) continue;
      this.duties.refused(proof, action, 'the state service: the duty has changed hands');
    }
  }
}
