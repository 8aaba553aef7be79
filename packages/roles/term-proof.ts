/** The right to act under one term of a role. Only the role registry issues it. */
import type { Guard } from '#store';
import type { RoleName } from './role.js';

/** What a {@link TermProof} is made of. */
export interface TermProofOptions {
  readonly role: RoleName;
  readonly term: number;
  /** The key that names the holder of the role in the state service. */
  readonly key: string;
  /** The term under which this node may act now; null if it has none. */
  readonly actingTerm: () => number | null;
}

/**
 * Every action of a role takes one, so that the type checker finds a call that is not bound to a term. It stays bound
 * to the term it was issued for: a node that holds the role again under a later term can't use it any more.
 */
export class TermProof {
  readonly role: RoleName;
  readonly term: number;
  /** A private field: the type checker accepts no other object of the same shape as a proof. */
  readonly #key: string;
  readonly #actingTerm: () => number | null;

  constructor({ role, term, key, actingTerm }: TermProofOptions) {
    this.role = role;
    this.term = term;
    this.#key = key;
    this.#actingTerm = actingTerm;
  }

  /** As far as this node knows, the term goes on. */
  isCurrent(): boolean {
    return this.#actingTerm() === this.term;
  }

  /** What the state service checks: the role's key is unchanged since the term began. */
  get guard(): Guard {
    return { path: this.#key, revision: this.term };
  }
}
