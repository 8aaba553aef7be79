export * from './controller.js';
export * from './role-handover.js';
export * from './job-service.js';
