export * from './scale-planner.js';
export * from './fleet-manager.js';
export * from './transfer-planner.js';
export * from './warm-pool.js';
