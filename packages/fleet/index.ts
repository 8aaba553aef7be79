export * from './planner.js';
export * from './keeper.js';
