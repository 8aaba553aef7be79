/** Scheduling rounds of a shard owner: round input, planning, preemption, run-time estimates and forecasts. */
export * from './forecaster.js';
export * from './preemption-planner.js';
export * from './round-input-builder.js';
export * from './run-time-estimator.js';
export * from './scheduler.js';
