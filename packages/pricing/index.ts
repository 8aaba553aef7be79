/** Prices and placements of a scheduling round, and preemption. Pure: no clock, no I/O. */
export * from './amounts.js';
export { type ShapePool, poolByShape, shapeOf } from './pools.js';
export * from './round.js';
export * from './types.js';
export * from './preempt.js';
