export * from './duty.js';
export * from './duty-state.js';
export * from './fenced-cloud.js';
export * from './fenced-store.js';
export * from './intents.js';
export * from './registry.js';
export * from './report.js';
export type { TermProof } from './term-proof.js';
