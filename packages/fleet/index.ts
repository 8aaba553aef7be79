export * from './planner.js';
export * from './fleet-manager.js';
export * from './moves.js';
export * from './standby.js';
