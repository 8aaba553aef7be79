/** Pricing and placement of a scheduling round, and the choice of tasks to preempt. Pure: no clock, no I/O. */
export * from './resources.js';
export { type ShapePool, poolByShape, shapeOf } from './shape-pools.js';
export { MAX_HOLD_TIME } from './held-jobs.js';
export * from './pricing-round.js';
export * from './types.js';
export * from './preemption.js';
export { hasZoneConstraint, ZoneConstraint, type ZoneConstrainedJob } from './zone-constraint.js';
