export * from './controller.js';
export * from './scheduler.js';
export * from './users.js';
