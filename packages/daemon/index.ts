export * from './controller.js';
export * from './scheduler.js';
export * from './job-service.js';
