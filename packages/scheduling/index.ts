/** One owner's scheduling rounds: their input, the forecast of them, preemption, and what is recorded of their result. */
export * from './forecaster.js';
export * from './preemption-planner.js';
export * from './round-input-builder.js';
export * from './run-time-estimator.js';
export * from './scheduler.js';
