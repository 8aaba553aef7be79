export * from './round.js';
export * from './types.js';
export * from './preempt.js';
