/** The proof that a node may act under one term of a role. Only the role registry issues it. */
import type { Guard } from '#store';
import type { RoleName } from './role.js';

/** Options of {@link TermProof}. */
export interface TermProofOptions {
  readonly role: RoleName;
  readonly term: number;
  /** The key that holds the role's record in the state service. */
  readonly key: string;
  /** Returns the term under which this node may act now, or null if there is none. */
  readonly actingTerm: () => number | null;
}

/**
 * Proof that a node may act under one term of a role. Every action of a role takes a proof, so that the type checker
 * rejects a call that isn't bound to a term. A proof stays bound to the term for which it was issued: it is invalid
 * after that term, even if the same node holds the role again under a later term.
 */
export class TermProof {
  readonly role: RoleName;
  readonly term: number;
  /** A private field, so that the type checker accepts no other object of the same shape as a proof. */
  readonly #key: string;
  readonly #actingTerm: () => number | null;

  constructor({ role, term, key, actingTerm }: TermProofOptions) {
    this.role = role;
    this.term = term;
    this.#key = key;
    this.#actingTerm = actingTerm;
  }

  /** Returns true if, as far as this node knows, the term hasn't ended and the node may act under it. */
  isCurrent(): boolean {
    return this.#actingTerm() === this.term;
  }

  /** The condition that the state service checks: the role's key is unchanged since the term began. */
  get guard(): Guard {
    return { path: this.#key, revision: this.term };
  }
}
