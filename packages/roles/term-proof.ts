/** The right to act under one term of a duty. Only the {@link DutyRegistry} gives it out. */
import type { Guard } from '#store';
import type { RoleName } from './role.js';

/**
 * Every action of a duty takes one, so that the type checker finds a call that is not bound to a term. It stays bound
 * to the term it was given out for: a node that holds the duty again under a later term can't use it any more.
 */
export class TermProof {
  /** Keeps other objects of the same shape from being taken for a proof. */
  readonly #issued = true;

  constructor(
    readonly role: RoleName,
    readonly term: number,
    private readonly key: string,
    private readonly actingTerm: () => number | null,
  ) {}

  /** As far as this node knows, the term goes on. */
  isCurrent(): boolean {
    return this.#issued && this.actingTerm() === this.term;
  }

  /** What the state service checks: the duty's key as it was when the term began. */
  get guard(): Guard {
    return { path: this.key, revision: this.term };
  }
}
