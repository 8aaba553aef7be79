/** Roles (leased singletons), the proofs that a node may act under them, and the clients that check these proofs. */
export * from './role.js';
export * from './role-state-machine.js';
export * from './fenced-cloud.js';
export * from './fenced-store.js';
export * from './scale-intents.js';
export * from './role-registry.js';
export * from './role-status.js';
export type { TermProof } from './term-proof.js';
