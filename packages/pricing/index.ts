export * from './amounts.js';
export * from './pools.js';
export * from './round.js';
export * from './types.js';
export * from './preempt.js';
