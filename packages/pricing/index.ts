export * from './round.js';
export * from './types.js';
