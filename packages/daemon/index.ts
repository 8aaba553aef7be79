/** One node of the cluster: its controller, the service for users' jobs, and the hand-over of roles. */

export * from './controller.js';
export * from './job-service.js';
export * from './role-handover.js';
