export * from './controller.js';
export * from './scheduler.js';
export * from './hand-over.js';
export * from './job-service.js';
