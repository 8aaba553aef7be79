/** Prices and placements of a scheduling round, and preemption. Pure: no clock, no I/O. */
export * from './resources.js';
export { type ShapePool, poolByShape, shapeOf } from './shape-pools.js';
export * from './pricing-round.js';
export * from './types.js';
export * from './preemption.js';
