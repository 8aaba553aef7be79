export * from './planner.js';
export * from './keeper.js';
export * from './moves.js';
